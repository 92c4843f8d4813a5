/// @file
/// @brief Tests of the proof that the configuration in force is recent.
#include "hyssopford/core/directory_system.hpp"
#include "hyssopford/core/freshness/freshness_system.hpp"
#include "site_fake.hpp"
#include "support/decisions.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

constexpr Duration Limit = 5s;
constexpr Duration Usable = 4'500ms;

/// A site whose nodes have version 1 in force and need a proof for credentials.
class FreshSite : public SiteFake {
public:
  explicit FreshSite(std::size_t Count = 9, Duration NodeLimit = Limit) {
    StoreEra = 1;
    addNodes(Count, 3, 2);
    for (std::size_t Each = 0; Each < Count; ++Each) {
      node(Each).Settings.Decisions.Freshness.Limit = NodeLimit;
    }
    writeVersion("one");
    startAll();
    REQUIRE(runUntil([&] { return allAlive() && lowestVersion() == 1; }, 30s));
    run(10s);
  }

  Duration age(std::size_t Index) {
    return core(Index).freshness().age(now()).value_or(1h);
  }

  bool accepts(std::size_t Index) {
    return core(Index).freshness().timeLeft(now()) > Duration{0};
  }

  bool allAccept() {
    for (std::size_t Each = 0; Each < size(); ++Each) {
      if (!accepts(Each)) {
        return false;
      }
    }
    return true;
  }

  Duration worstAge(Duration Time) {
    Duration Worst{0};
    const TimePoint End = now() + Time;
    while (now() < End) {
      run(100ms);
      for (std::size_t Each = 0; Each < size(); ++Each) {
        Worst = std::max(Worst, age(Each));
      }
    }
    return Worst;
  }

  std::int64_t count(std::size_t Index, const std::string &Name) {
    const auto &All = node(Index).Notices;
    return std::count_if(All.begin(), All.end(), [&](const Notice &Each) {
      return Each.Event == Name;
    });
  }

  void isolate(std::size_t Index) {
    Blocked = [=](std::size_t First, std::size_t Second) {
      return First == Index || Second == Index;
    };
  }
};

/// One system with a link to a peer that has version 1.
struct Fixture {
  FreshnessSystem System{FreshnessSettings{Limit, Limit - Usable}};
  Actions Out;

  Fixture() {
    System.setVersion(1);
    System.linkUp(nodeRun(2), at(10s), Out);
    System.receive(nodeRun(2), {1, 0ms, false, {}, 1h}, at(10s), Out);
    Out.clear();
  }

  void hear(std::uint64_t Version, Duration Age, Duration Sent, Duration Now) {
    // The reserve for the usual transit time of 20 ms is left out.
    System.receive(nodeRun(2), {Version, 0ms, false, Age - 20ms, 1h + Sent},
                   at(10s + Now), Out);
  }

  Duration age(Duration Now) { return System.age(at(10s + Now)).value_or(1h); }
};

} // namespace

// Guards against nodes that refuse credentials although nothing has failed.
TEST_CASE("all nodes of a calm site have a recent proof", "[freshness]") {
  FreshSite Site;
  CHECK(Site.worstAge(20s) < 3s);
  CHECK(Site.allAccept());
}

// Guards against proofs that are passed on without end.
TEST_CASE("the messages of a calm site are bounded", "[freshness]") {
  FreshSite Site(20);
  std::size_t Count = 0;
  Site.SizeOf = [&](const PeerMessage &Message) {
    const auto *Digest = std::get_if<ConfigDigest>(&Message);
    Count += Digest != nullptr && Digest->FreshAge ? 1 : 0;
    return std::size_t{0};
  };
  Site.run(20s);
  Site.SizeOf = [](const PeerMessage &) { return std::size_t{0}; };
  std::size_t LinkEnds = 0;
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    LinkEnds += Site.linkCount(Each);
  }
  INFO(Count << " messages in 20 s on " << LinkEnds / 2 << " links");
  INFO("worst age " << Site.worstAge(20s).count() << " us");
  // Each link carries at most one a second in each direction.
  CHECK(Count <= LinkEnds * 20);
}

// Guards against a directory slot that is missing until its writer restarts,
// because the store has the lease but lost the value.
TEST_CASE("the directory is written again in a new era", "[freshness]") {
  SeededRandomSource Random(1);
  DirectorySystem System("10.0.0.1:7101", Random);
  System.setIsolated(false, at(0ms));
  System.setDirectorySlot(0, {"10.0.0.1:7101"}, at(0ms));
  TimePoint Now = at(0ms);
  const auto Next = [&] {
    Actions Out;
    Now = std::max(Now, System.nextWakeup().value_or(Now));
    System.tick(Now, Out);
    REQUIRE(all<StoreCall>(Out).size() == 1);
    return all<StoreCall>(Out).front();
  };
  const auto Answer = [&](const StoreCall &Call, std::uint64_t Era) {
    StoreResult Result;
    Result.Status = StoreStatus::Done;
    Result.Lease = 5;
    Result.Revision = 9;
    Result.Era = Era;
    System.receive(StoreReplied{Call.Call, Result}, Now);
  };
  Answer(Next(), 1);
  Answer(Next(), 1);
  const StoreCall Renewal = Next();
  REQUIRE(std::get<StoreLease>(Renewal.Operation).Lease == 5);
  Answer(Renewal, 2);
  const StoreCall Grant = Next();
  CHECK(std::get<StoreLease>(Grant.Operation).Lease == 0);
  Answer(Grant, 2);
  CHECK(std::get<StoreWrite>(Next().Operation).ExpectedRevision == 0);
}

// Guards against a node that accepts a revoked key for longer than the limit.
TEST_CASE("the proof of a node that is cut off", "[freshness]") {
  FreshSite Site;
  SECTION("from the store and its peers lapses, and returns") {
    Site.isolate(4);
    Site.AccessOf = [](std::size_t Index) {
      return Index == 4 ? SiteFake::StoreAccess::Silent
                        : SiteFake::StoreAccess::Served;
    };
    const TimePoint Cut = Site.now();
    REQUIRE(Site.runUntil([&] { return !Site.accepts(4); }, Limit));
    CHECK(Site.now() - Cut <= Usable);
    Site.writeVersion("two");
    Site.run(10s);
    CHECK_FALSE(Site.accepts(4));
    CHECK(Site.core(4).config().Version == 1);
    CHECK(Site.accepts(0));
    Site.Blocked = [](std::size_t, std::size_t) { return false; };
    REQUIRE(Site.runUntil([&] { return Site.accepts(4); }, 30s));
    Site.run(1s);
    CHECK(Site.core(4).config().Version == 2);
    CHECK(Site.count(4, "credentials_stale") == 1);
    CHECK(Site.count(4, "credentials_fresh") == 1);
  }
  SECTION("from the store only is carried on by its peers") {
    Site.AccessOf = [](std::size_t Index) {
      return Index < 4 ? SiteFake::StoreAccess::Silent
                       : SiteFake::StoreAccess::Served;
    };
    CHECK(Site.worstAge(20s) < Usable);
  }
}

// Guards against peers that make each other's proofs younger in a circle.
TEST_CASE("no proof is younger than the last answer of the store",
          "[freshness]") {
  FreshSite Site;
  Site.silenceStore(true);
  const TimePoint Silent = Site.now();
  for (int Step = 0; Step < 80; ++Step) {
    Site.run(100ms);
    for (std::size_t Each = 0; Each < Site.size(); ++Each) {
      REQUIRE(Site.age(Each) >= Site.now() - Silent);
      REQUIRE((!Site.accepts(Each) || Site.now() - Silent <= Usable));
    }
  }
  Site.silenceStore(false);
  CHECK(Site.runUntil([&] { return Site.allAccept(); }, 3s));
}

// Guards against messages that waited during a pause and count as new after it.
TEST_CASE("the proof of a frozen node has lapsed when it resumes",
          "[freshness]") {
  FreshSite Site;
  Site.pause(4);
  Site.run(1s);
  Site.silenceStore(true);
  Site.run(9s);
  Site.resume(4);
  CHECK(Site.age(4) >= 9s);
  CHECK_FALSE(Site.accepts(4));
}

// Guards against a store that proves an older version after a loss of history,
// and against watches from a lost revision that hang.
TEST_CASE("a store that comes back older", "[freshness]") {
  FreshSite Site;
  const standin::StoreTable Copy = Site.store();
  Site.writeVersion("two");
  Site.writeVersion("three");
  REQUIRE(Site.runUntil([&] { return Site.lowestVersion() == 3; }, 5s));
  Site.store() = Copy;
  ++Site.StoreEra;
  const TimePoint Lost = Site.now();
  Site.run(Usable + 10ms);
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    CHECK(Site.age(Each) >= Site.now() - Lost);
    CHECK_FALSE(Site.accepts(Each));
    CHECK(Site.core(Each).config().Version == 3);
  }
  Site.writeVersion("older still");
  Site.run(3s);
  CHECK(Site.lowestVersion() == 3);
  CHECK_FALSE(Site.accepts(0));
  Site.writeVersion("three");
  CHECK(Site.runUntil([&] { return Site.allAccept(); }, 3s));
  Site.writeVersion("four");
  CHECK(Site.runUntil([&] { return Site.lowestVersion() == 4; }, 2'500ms));
  CHECK(Site.worstAge(10s) < 3s);
}

TEST_CASE("without a limit nothing is sent and nothing refused",
          "[freshness]") {
  FreshnessSystem System{FreshnessSettings{}};
  Actions Out;
  System.setVersion(1);
  System.linkUp(nodeRun(2), at(0ms), Out);
  System.proveByStore(at(0ms), true, at(1ms), Out);
  System.tick(at(1h), Out);
  CHECK(Out.empty());
  CHECK_FALSE(System.enabled());
  CHECK_FALSE(System.nextWakeup());
}

TEST_CASE("proofs of peers", "[freshness]") {
  Fixture Test;
  SECTION("the age goes on from the one stated") {
    Test.hear(1, 2s, 100ms, 100ms);
    CHECK(Test.age(1'100ms) == 3s);
    Test.hear(1, 4s, 1'100ms, 1'100ms);
    CHECK(Test.age(1'100ms) == 3s);
  }
  SECTION("time in buffers counts") {
    Test.hear(1, 2s, 0ms, 1ms);
    Test.hear(1, 1s, 2s, 5'001ms);
    CHECK(Test.age(5'001ms) >= 4s - 5ms);
  }
  SECTION("on a link that was quiet for long prove nothing at first") {
    Test.hear(1, 1s, 200s, 200s);
    CHECK(Test.age(200s) == 1h);
    Test.hear(1, 1s, 201s, 201s);
    CHECK(Test.age(201s) < 1'300ms);
  }
  SECTION("in the first message of a link count from the start of the link") {
    Test.System.linkDown(NodeId{2});
    Test.System.linkUp(nodeRun(2), at(10s), Test.Out);
    Test.hear(1, 1s, 0ms, 800ms);
    CHECK(Test.age(800ms) == 1'800ms);
  }
  SECTION("of an older version proves nothing") {
    Test.hear(0, 1s, 0ms, 1ms);
    CHECK(Test.age(1ms) == 1h);
  }
  SECTION("of a newer version counts once that is in force") {
    Test.hear(2, 1s, 0ms, 0ms);
    CHECK(Test.age(0ms) == 1h);
    Test.System.setVersion(2);
    CHECK(Test.age(500ms) == 1'500ms);
  }
  SECTION("are passed on with their age to peers that are 1 s behind") {
    Test.System.linkUp(nodeRun(3), at(10s), Test.Out);
    Test.Out.clear();
    Test.hear(1, 1s, 600ms, 600ms);
    Test.hear(1, 1s, 900ms, 900ms);
    Test.System.tick(at(11'100ms), Test.Out);
    Test.hear(1, 1s, 1'600ms, 1'600ms);
    const auto Sent = messages<ConfigDigest>(Test.Out);
    REQUIRE(Sent.size() == 2);
    CHECK(Sent[0].To == NodeId{3});
    CHECK(Sent[0].Message.FreshAge == 1s);
    CHECK(Sent[1].Message.FreshAge == 1s);
  }
}

// Guards against requests that are accepted on a lapsed proof or on none.
TEST_CASE("a node accepts credentials while its proof is recent",
          "[freshness]") {
  NodeCoreSettings Settings;
  Settings.Address = "10.0.0.1:7101";
  Settings.Decisions.Freshness.Limit = Limit;
  NodeCore Core(Settings);
  RoutingConfig Config;
  Config.Version = 1;
  Config.Routes.emplace_back();
  Config.Routes.back().Service = "seats";
  Config.Routes.emplace_back();
  Config.Routes.back().PathPrefix = "/public";
  Config.Routes.back().IsPublic = true;
  Config.HasAccounts = true;
  Config.Accounts.push_back(ClientAccount{"mill", {KeyDigest{7}}, {}, 0, 0});
  Core.adopt(Config);
  std::uint64_t LastRequest = 0;
  const auto Reason = [&](const char *Path, Duration Now) {
    CallerRequest Request;
    Request.Id = RequestId{++LastRequest};
    Request.Path = Path;
    Request.Credential = KeyDigest{7};
    Actions Out;
    Core.handle(Request, at(Now), Out);
    const auto Replies = all<ReplyToCaller>(Out);
    return Replies.empty() ? OutcomeReason::None : Replies.front().Reason;
  };
  CHECK(Reason("/", 1ms) == OutcomeReason::CredentialsStale);
  CHECK(Reason("/public", 1ms) != OutcomeReason::CredentialsStale);
  Actions Out;
  Core.handle(PeerLinkUp{nodeRun(2)}, at(2ms), Out);
  Core.handle(
      PeerMessageReceived{nodeRun(2), ConfigDigest{1, 0ms, false, 1s, 1h}},
      at(2ms), Out);
  CHECK(Reason("/", 3'481ms) != OutcomeReason::CredentialsStale);
  CHECK(Reason("/", 3'482ms) == OutcomeReason::CredentialsStale);
  CHECK(Core.freshness().refused() == 2);
}
