/// @file
/// @brief Tests that a quarantine outlasts the nodes that know it.
#include "site_fake.hpp"
#include "support/decisions.hpp"
#include "support/fleet.hpp"

#include "hyssopford/core/fingerprint.hpp"
#include "hyssopford/core/quarantine/quarantine_record.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

CallerRequest get(std::uint64_t Body) {
  CallerRequest Request;
  Request.Method = "GET";
  Request.Path = "/catalogue";
  Request.BodyHash = Body;
  return Request;
}

constexpr std::uint64_t DeadlyBody = 666;
/// Crashes of a request whose record is kept: two until it is quarantined and
/// two trials.
constexpr std::uint64_t CrashesMax = 4;

FleetSettings storedFleet(std::uint64_t Seed) {
  FleetSettings Settings;
  Settings.Seed = Seed;
  Settings.StoresQuarantine = true;
  return Settings;
}

struct Site {
  struct Crash {
    TimePoint At;
    /// Whether the store had been up for 3 s.
    bool StoreStable = false;
  };

  explicit Site(std::uint64_t Seed = 1) : Cores(storedFleet(Seed)) {
    Cores.IsDeadly = [this](const Execution &Each) {
      const bool IsDeadly = SubmitsDeadly || Deadly.contains(Each.Submission);
      if (IsDeadly) {
        Crashes.push_back(
            {Cores.now(), !Cores.StoreDown && Cores.now() >= StableFrom});
      }
      return IsDeadly;
    };
    wait(2s);
  }

  std::uint64_t submit(std::size_t Node, std::uint64_t Body) {
    // An upstream on the same VM starts the request before its number is known.
    SubmitsDeadly = Body == DeadlyBody;
    const std::uint64_t Id = Cores.submit(Node, get(Body));
    SubmitsDeadly = false;
    if (Body == DeadlyBody) {
      Deadly.insert(Id);
    }
    return Id;
  }

  void wait(Duration Time) { Cores.run(Cores.now() + Time); }

  void crashAll() {
    for (std::size_t Node = 0; Node < Cores.size(); ++Node) {
      Cores.crash(Node);
    }
  }

  void restartAll() {
    for (std::size_t Node = 0; Node < Cores.size(); ++Node) {
      Cores.restart(Node);
    }
  }

  void setStoreDown(bool Down) {
    if (Cores.StoreDown && !Down) {
      StableFrom = Cores.now() + 3s;
    }
    Cores.StoreDown = Down;
  }

  /// Repeats the request until it is quarantined.
  void quarantine() {
    for (std::size_t Repeat = 0; Repeat < 4; ++Repeat) {
      submit(Repeat % Cores.size(), DeadlyBody);
      wait(700ms);
    }
    REQUIRE(Cores.UpstreamCrashes == 2);
  }

  bool hasNotice(const std::string &Event) const {
    return std::any_of(Cores.Notices.begin(), Cores.Notices.end(),
                       [&](const Notice &Each) { return Each.Event == Event; });
  }

  std::set<std::uint64_t> Deadly;
  bool SubmitsDeadly = false;
  std::vector<Crash> Crashes;
  /// When the store has been up for 3 s.
  TimePoint StableFrom;
  Fleet Cores;
};

} // namespace

// Guards against a request that is handed to upstreams anew after all nodes
// have ended at the same time.
TEST_CASE("a quarantine outlasts the end of all nodes", "[quarantine][store]") {
  Site Case;
  Case.quarantine();
  Case.crashAll();
  Case.restartAll();
  Case.wait(1s);
  for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
    CHECK(Case.Cores.core(Node).quarantine().list(Case.Cores.now()).size() ==
          1);
    const std::uint64_t Id = Case.submit(Node, DeadlyBody);
    Case.wait(100ms);
    CHECK(Case.Cores.Replies.at(Id).Reason == OutcomeReason::Quarantined);
  }
  CHECK(Case.Cores.UpstreamCrashes == 2);
}

// Guards against a first crash that is forgotten: a request that crashes one
// upstream in each life of the nodes would never be quarantined.
TEST_CASE("a single crash outlasts the end of all nodes",
          "[quarantine][store]") {
  Site Case;
  for (int Life = 0; Life < 8; ++Life) {
    Case.submit(0, DeadlyBody);
    Case.wait(700ms);
    Case.crashAll();
    Case.restartAll();
    Case.wait(2s);
  }
  CHECK(Case.Cores.UpstreamCrashes <= 2);
}

// Guards against trials that are repeated as the nodes end while one runs.
TEST_CASE("a trial is recorded before it runs", "[quarantine][store]") {
  Site Case;
  Case.quarantine();
  for (int Repeat = 0; Repeat < 12; ++Repeat) {
    Case.wait(11s);
    const std::uint64_t Before = Case.Cores.UpstreamCrashes;
    Case.submit(0, DeadlyBody);
    const TimePoint End = Case.Cores.now() + 600ms;
    while (Case.Cores.now() < End && Case.Cores.UpstreamCrashes == Before) {
      Case.wait(100us);
    }
    Case.crashAll();
    Case.restartAll();
    Case.wait(1s);
  }
  CHECK(Case.Cores.UpstreamCrashes <= CrashesMax);
}

// Guards against an upstream that crashes again and again while the record
// cannot be read, and against other requests that suffer meanwhile.
TEST_CASE("without the store, one crash is enough", "[quarantine][store]") {
  Site Case;
  Case.quarantine();
  Case.crashAll();
  Case.Cores.StoreDown = true;
  Case.restartAll();
  Case.wait(2s);
  for (int Repeat = 0; Repeat < 60; ++Repeat) {
    Case.submit(static_cast<std::size_t>(Repeat) % Case.Cores.size(),
                DeadlyBody);
    Case.wait(500ms);
  }
  CHECK(Case.Cores.UpstreamCrashes <= 3);
  CHECK(Case.hasNotice("quarantine_record_unavailable"));
  const std::uint64_t Other = Case.submit(0, 1);
  Case.wait(500ms);
  CHECK(Case.Cores.Replies.at(Other).Result == Outcome::Answered);
  Case.Cores.StoreDown = false;
  Case.wait(15s);
  CHECK(Case.hasNotice("quarantine_record_available"));
  for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
    CHECK(Case.Cores.core(Node).quarantine().complete());
  }
}

TEST_CASE("no trial runs while the store does not answer",
          "[quarantine][store]") {
  Site Case;
  Case.quarantine();
  Case.Cores.StoreDown = true;
  for (int Repeat = 0; Repeat < 60; ++Repeat) {
    Case.submit(static_cast<std::size_t>(Repeat) % Case.Cores.size(),
                DeadlyBody);
    Case.wait(1s);
  }
  CHECK(Case.Cores.UpstreamCrashes == 2);
  CHECK(Case.hasNotice("quarantine_record_unavailable"));
  // The calls do not follow the requests.
  CHECK(Case.Cores.QuarantineCalls < 120);
}

TEST_CASE("requests without a crash cause no call for the record",
          "[quarantine][store]") {
  Site Case;
  const std::uint64_t AtStart = Case.Cores.QuarantineCalls;
  CHECK(AtStart >= 1);
  CHECK(AtStart <= Case.Cores.size() / 2);
  for (std::uint64_t Body = 1; Body <= 500; ++Body) {
    Case.submit(Body % Case.Cores.size(), Body);
    Case.wait(10ms);
  }
  // A node that starts alone learns from its peers.
  Case.Cores.crash(2);
  Case.Cores.restart(2);
  Case.wait(3s);
  CHECK(Case.Cores.core(2).quarantine().complete());
  CHECK(Case.Cores.QuarantineCalls == AtStart);
}

// Guards against a record for each repeat of a request whose trial the owner
// hands back.
TEST_CASE("trials that are not sent cause few calls for the record",
          "[quarantine][store]") {
  SeededRandomSource Random{1};
  const NodeRun Self{NodeId{1}, Incarnation{1}};
  QuarantineSettings Settings;
  Settings.Stored = true;
  QuarantineSystem System{Self, Random, Settings};
  TimePoint Now{1s};
  Actions Out;
  std::uint64_t Calls = 0;
  const auto Serve = [&] {
    for (int Round = 0; Round < 4; ++Round) {
      System.tick(Now, Out);
      const Actions Sent = std::exchange(Out, {});
      for (const Action &Each : Sent) {
        if (const auto *Call = std::get_if<StoreCall>(&Each)) {
          ++Calls;
          StoreResult Result;
          Result.Status = StoreStatus::Done;
          Result.Value = renderQuarantineRecord({});
          Result.Revision = Calls;
          Result.Lease = 1;
          System.receive(StoreReplied{Call->Call, Result}, Now, Out);
        }
      }
    }
  };
  Serve();
  Now += 1s;
  Serve();
  System.receive(Self,
                 QuarantineNotice{{{7, {NodeId{2}, {1}}, 1, 0, true},
                                   {7, {NodeId{3}, {1}}, 1, 0, true}}},
                 Now, Out);
  Now += 11s;
  for (std::uint64_t Repeat = 1; Repeat <= 1'000; ++Repeat) {
    Now += 10ms;
    Dispatch Attempt;
    Attempt.Attempt = AttemptId{Self, Repeat};
    Attempt.Fingerprint = 7;
    Attempt.Remaining = 1s;
    System.dispatch(Self, Attempt, Now);
    System.recordTrials(Now, Out);
    Serve();
    for (const GatedAttempt &Each : System.takeGated(Now)) {
      DispatchReply Reply;
      Reply.Attempt = Each.Attempt.Attempt;
      Reply.Result = Outcome::NotRun;
      Reply.Reason = OutcomeReason::QueueFull;
      System.attemptEnded(Reply, Now, Out);
    }
  }
  CHECK(Calls < 60);
}

// Guards against a site whose nodes all read the record when they start.
TEST_CASE("few nodes of a starting site read the record",
          "[quarantine][store]") {
  const std::size_t Count = GENERATE(13U, 84U);
  SiteFake Site;
  Site.addNodes(Count, 4, 0);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Site.node(Index).Settings.Decisions.Start = platformStart();
    Site.node(Index).Settings.Decisions.Quarantine.Stored = true;
  }
  Site.startAll();
  Site.run(30s);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    CHECK(Site.core(Index).quarantine().complete());
  }
  CHECK(Site.quarantineCalls() >= 1);
  CHECK(Site.quarantineCalls() <= 2 + Count / 10);
}

// Guards against a request that answers prove harmless and that stays rejected
// after each start.
TEST_CASE("an answer ends a quarantine in the record as well",
          "[quarantine][store]") {
  Site Case;
  Case.quarantine();
  Case.Deadly.clear();
  Case.Cores.IsDeadly = nullptr;
  std::uint64_t Last = 0;
  for (int Repeat = 0; Repeat < 30; ++Repeat) {
    Last = Case.Cores.submit(0, get(DeadlyBody));
    Case.wait(1s);
  }
  REQUIRE(Case.Cores.Replies.at(Last).Result == Outcome::Answered);
  Case.crashAll();
  Case.restartAll();
  Case.wait(2s);
  CHECK(Case.Cores.core(0).quarantine().list(Case.Cores.now()).empty());
}

TEST_CASE("a record of another format is neither used nor replaced",
          "[quarantine][store]") {
  Site Case;
  Case.crashAll();
  Case.Cores.writeStore(QuarantineKey, "other 2\nx\n");
  Case.restartAll();
  Case.wait(2s);
  for (int Repeat = 0; Repeat < 20; ++Repeat) {
    Case.submit(static_cast<std::size_t>(Repeat) % Case.Cores.size(),
                DeadlyBody);
    Case.wait(1s);
  }
  CHECK(Case.hasNotice("quarantine_record_unavailable"));
  CHECK(Case.Cores.UpstreamCrashes == 1);
  CHECK(Case.Cores.readStore(QuarantineKey) == "other 2\nx\n");
}

// Searches orders of ends, starts, outages and lost answers. Once the store has
// been up for 3 s, at most three runs follow later than 3 s after the third
// crash; without it, each life of the nodes has one crash at most.
TEST_CASE("a deadly request stays bounded whatever ends when",
          "[quarantine][store]") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    Site Case(Seed);
    Case.Cores.Rates.StoreAnswerLost = Seed % 3 == 0 ? 200 : 0;
    SeededRandomSource Random(Seed);
    std::size_t Lives = 1;
    for (int Step = 0; Step < 150; ++Step) {
      const std::uint64_t Choice = Random.below(20);
      if (Choice == 0) {
        ++Lives;
        Case.crashAll();
        Case.wait(Duration(Random.below(1'000'000)));
        Case.restartAll();
        // As from a machine in touch.
        Case.wait(3s);
      } else if (Choice == 1) {
        Case.setStoreDown(true);
      } else if (Choice < 5) {
        Case.setStoreDown(false);
      } else if (Choice == 5) {
        const std::size_t Node = Random.below(Case.Cores.size());
        Case.Cores.crash(Node);
        Case.wait(Duration(Random.below(500'000)));
        Case.Cores.restart(Node);
      } else {
        Case.submit(Random.below(Case.Cores.size()), DeadlyBody);
        Case.submit(Random.below(Case.Cores.size()), 1 + Random.below(9));
      }
      Case.wait(Duration(Random.below(2'000'000)));
    }
    const std::vector<Site::Crash> &All = Case.Crashes;
    std::size_t Late = 0;
    for (const Site::Crash &Each : All) {
      const bool IsLate = All.size() > 2 && Each.At > All[2].At + 3s;
      Late += IsLate && Each.StoreStable ? 1 : 0;
    }
    INFO("seed " << Seed << ", " << All.size() << " crashes, " << Lives
                 << " lives");
    CHECK(Late <= 3);
    CHECK(All.size() <= CrashesMax + Lives);
  }
}

TEST_CASE("the record of crash sightings", "[quarantine][store]") {
  const NodeRun Owner{NodeId{0xabc}, Incarnation{17}};
  const std::vector<CrashSighting> Sightings{
      {0xffffffffffffffff, Owner, 3, 2, true, false, 1'234ms},
      {1, Owner, 4, 0, false, false, 0ms},
      {1, Owner, 5, 0, true, false, 9ms, true}};
  const std::string Text = renderQuarantineRecord(Sightings);
  CHECK(parseQuarantineRecord(Text) == Sightings);

  SECTION("cleared sightings are left out, and their number is bounded") {
    std::vector<CrashSighting> Many(QuarantineRecordLimit + 9, Sightings[1]);
    Many[0].Cleared = true;
    CHECK(parseQuarantineRecord(renderQuarantineRecord(Many))->size() ==
          QuarantineRecordLimit);
  }
  SECTION("malformed values are refused") {
    CHECK(parseQuarantineRecord(renderQuarantineRecord({}))->empty());
    for (std::size_t Cut = 1; Cut + 1 < Text.size(); ++Cut) {
      const auto Parsed = parseQuarantineRecord(Text.substr(0, Cut));
      CHECK((!Parsed || Parsed->size() < Sightings.size()));
    }
    for (const char *Line :
         {"1 2 3 4 5 6 other", "1 2 3 4 5 -6 alone", "1 2 3 4 5 6 alone x",
          "1  3 4 5 6 alone", "g 2 3 4 5 6 alone", "1 2 3 4 5 6", "",
          "11111111111111111 2 3 4 5 6 alone", "1 2 3 4 5 3600001 alone"}) {
      INFO(Line);
      CHECK_FALSE(
          parseQuarantineRecord(renderQuarantineRecord({}) + Line + "\n"));
    }
  }
}
