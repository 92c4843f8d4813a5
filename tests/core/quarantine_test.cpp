/// @file
/// @brief Tests of the quarantine of requests that crash upstreams.
#include "support/fleet.hpp"

#include "hyssopford/core/fingerprint.hpp"

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

/// Six upstreams; requests with DeadlyBody crash theirs.
struct Scenario {
  Scenario() : Cores(FleetSettings{}) {
    Cores.IsDeadly = [this](const Execution &Each) {
      return SubmitsDeadly || Deadly.contains(Each.Submission);
    };
    Cores.run(TimePoint{2s});
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

  std::uint64_t fingerprint() const { return fingerprintOf(get(DeadlyBody)); }

  std::set<std::uint64_t> Deadly;
  bool SubmitsDeadly = false;
  Fleet Cores;
};

/// The quarantine of one owner; the fingerprint of an attempt is its sequence.
struct OwnerSide {
  AttemptId start(std::uint64_t Sequence) {
    Dispatch Attempt;
    Attempt.Attempt = AttemptId{Self, Sequence};
    Attempt.Fingerprint = Sequence;
    Attempt.Remaining = 1s;
    System.dispatch(Self, Attempt, Now);
    REQUIRE(System.takeGated(Now).size() == 1);
    System.attemptStarted(Attempt.Attempt, Now, Out);
    return Attempt.Attempt;
  }

  SeededRandomSource Random{1};
  NodeRun Self{NodeId{1}, Incarnation{1}};
  QuarantineSystem System{Self, Random};
  TimePoint Now{1s};
  Actions Out;
};

} // namespace

TEST_CASE("a request that crashes upstreams is quarantined", "[quarantine]") {
  Scenario Case;

  SECTION("50 repeats through all nodes crash at most two of six upstreams") {
    for (std::size_t Repeat = 0; Repeat < 50; ++Repeat) {
      Case.submit(Repeat % Case.Cores.size(), DeadlyBody);
      Case.wait(60ms);
    }
    Case.wait(2s);
    CHECK(Case.Cores.UpstreamCrashes <= 2);
    const std::uint64_t Last = *Case.Deadly.rbegin();
    CHECK(Case.Cores.Replies.at(Last).Result == Outcome::NotRun);
    CHECK(Case.Cores.Replies.at(Last).Reason == OutcomeReason::Quarantined);
    for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
      const auto List =
          Case.Cores.core(Node).quarantine().list(Case.Cores.now());
      REQUIRE(List.size() == 1);
      CHECK(List[0].Fingerprint == Case.fingerprint());
    }
  }

  SECTION(
      "other requests that ran during the crashes are answered when repeated") {
    for (std::uint64_t Round = 0; Round < 3; ++Round) {
      for (std::uint64_t Body = 1; Body <= 30; ++Body) {
        Case.submit(Body % Case.Cores.size(), Body);
      }
      Case.submit(0, DeadlyBody);
      Case.wait(700ms);
    }
    Case.wait(3s);
    std::vector<std::uint64_t> Innocent;
    for (std::uint64_t Body = 1; Body <= 30; ++Body) {
      Innocent.push_back(Case.submit(Body % Case.Cores.size(), Body));
    }
    Case.wait(2s);
    for (const std::uint64_t Id : Innocent) {
      CHECK(Case.Cores.Replies.at(Id).Result == Outcome::Answered);
    }
    CHECK(Case.Cores.UpstreamCrashes <= 2);
    CHECK(Case.Cores.core(0).quarantine().list(Case.Cores.now()).size() == 1);
  }

  SECTION("the quarantine expires, and operators can lift it earlier") {
    for (std::size_t Repeat = 0; Repeat < 4; ++Repeat) {
      Case.submit(Repeat, DeadlyBody);
      Case.wait(700ms);
    }
    NodeCore &First = Case.Cores.core(0);
    const TimePoint Now = Case.Cores.now();
    REQUIRE(First.quarantine().isQuarantined(Case.fingerprint(), Now));
    CHECK_FALSE(First.quarantine().isQuarantined(
        Case.fingerprint(), Now + QuarantineSystem::QuarantineTime));
    RoutingConfig Lifted = Case.Cores.Config;
    ++Lifted.Version;
    Lifted.Lifts = {QuarantineLift{Case.fingerprint(), 1}};
    REQUIRE(First.adopt(Lifted));
    CHECK_FALSE(First.quarantine().isQuarantined(Case.fingerprint(), Now));
  }
}

// Guards against the quarantine of a frequent request when several upstreams
// crash at once, e.g. with their rack: it runs on all of them, so it is seen in
// each crash.
TEST_CASE("a request that other upstreams answer is not quarantined",
          "[quarantine]") {
  constexpr std::uint64_t FrequentBody = 7;
  Scenario Case;
  // The first two upstreams have not answered it before they crash.
  Case.Cores.setSlowdown(0, 200);
  Case.Cores.setSlowdown(1, 200);
  for (std::size_t Repeat = 0; Repeat < 48; ++Repeat) {
    Case.submit(Repeat % Case.Cores.size(), FrequentBody);
    Case.wait(1ms);
  }
  Case.wait(20ms);
  const auto RunningAt = [&](std::size_t Node) {
    return Case.Cores.core(Node).owner().running().size();
  };
  REQUIRE(RunningAt(0) > 1);
  REQUIRE(RunningAt(1) > 1);
  Case.Cores.crashUpstream(0);
  Case.Cores.crashUpstream(1);
  Case.wait(400ms);
  std::vector<std::uint64_t> After;
  for (std::size_t Repeat = 0; Repeat < 30; ++Repeat) {
    After.push_back(Case.submit(Repeat % Case.Cores.size(), FrequentBody));
    Case.wait(5ms);
  }
  Case.wait(2s);
  for (const std::uint64_t Id : After) {
    CHECK(Case.Cores.Replies.at(Id).Result == Outcome::Answered);
  }
  for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
    CHECK(Case.Cores.core(Node).quarantine().list(Case.Cores.now()).empty());
  }
}

// Guards against the quarantine of a whole route because of crashes of requests
// for one path.
TEST_CASE("requests for different paths have different fingerprints",
          "[quarantine]") {
  const CallerRequest First = get(0);
  CallerRequest Second = get(0);
  Second.Path = "/catalogue/2";
  CHECK(fingerprintOf(First) != fingerprintOf(Second));
  CHECK(fingerprintOf(First) == fingerprintOf(get(0)));
}

// Guards against answers to other hosts or client accounts that refute the
// crashes of a request for the same path.
TEST_CASE("requests for other hosts and with other credentials have different "
          "fingerprints",
          "[quarantine]") {
  CallerRequest First = get(0);
  First.Host = "a.example";
  First.CredentialsHash = hashBytes("Basic one");
  CallerRequest OtherHost = First;
  OtherHost.Host = "b.example";
  CallerRequest OtherAccount = First;
  OtherAccount.CredentialsHash = hashBytes("Basic two");
  CHECK(fingerprintOf(First) != fingerprintOf(OtherHost));
  CHECK(fingerprintOf(First) != fingerprintOf(OtherAccount));
}

// Guards against a quarantine that a change of the configuration forgets, so
// that the request crashes further upstreams.
TEST_CASE("a quarantine outlasts the name of its route", "[quarantine]") {
  Scenario Case;
  for (std::size_t Repeat = 0; Repeat < 10; ++Repeat) {
    Case.submit(Repeat % Case.Cores.size(), DeadlyBody);
    Case.wait(60ms);
  }
  REQUIRE(Case.Cores.UpstreamCrashes == 2);
  RoutingConfig Renamed = Case.Cores.Config;
  ++Renamed.Version;
  Renamed.Routes[1].Name = "pages";
  for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
    REQUIRE(Case.Cores.core(Node).adopt(Renamed));
  }
  for (std::size_t Repeat = 0; Repeat < 40; ++Repeat) {
    Case.submit(Repeat % Case.Cores.size(), DeadlyBody);
    Case.wait(60ms);
  }
  CHECK(Case.Cores.UpstreamCrashes == 2);
}

// Guards against a page that stays rejected because it was running alone when
// all upstreams lost power.
TEST_CASE("a request that crashes nothing is served again after all upstreams "
          "were lost",
          "[quarantine]") {
  constexpr std::uint64_t PageBody = 7;
  Scenario Case;
  const auto RunningUpstreams = [&] {
    std::size_t Count = 0;
    for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
      Count += Case.Cores.core(Node).owner().idle() ? 0 : 1;
    }
    return Count;
  };
  for (std::size_t Node = 0; RunningUpstreams() < 2; ++Node) {
    REQUIRE(Node < 20);
    Case.submit(Node % Case.Cores.size(), PageBody);
    Case.wait(2ms);
  }
  for (std::size_t Node = 0; Node < Case.Cores.size(); ++Node) {
    Case.Cores.crashUpstream(Node);
  }
  Case.wait(1s);
  const auto IsRejected = [&] {
    return !Case.Cores.core(0).quarantine().list(Case.Cores.now()).empty();
  };
  REQUIRE(IsRejected());
  std::uint64_t Last = 0;
  for (std::size_t Repeat = 0; Repeat < 100; ++Repeat) {
    Last = Case.submit(Repeat % Case.Cores.size(), PageBody);
    Case.wait(200ms);
  }
  CHECK_FALSE(IsRejected());
  CHECK(Case.Cores.Replies.at(Last).Result == Outcome::Answered);
}

// Guards against innocent requests that count as seen in a crash although they
// were still waiting for a connection.
TEST_CASE("an attempt that was not sent is not seen in a crash",
          "[quarantine]") {
  OwnerSide Test;
  const AttemptId Sent = Test.start(1);
  const AttemptId Waiting = Test.start(2);
  Test.System.upstreamGone(UpstreamGone{true, {Waiting}}, Test.Now, Test.Out);
  CHECK(Test.System.isSuspect(Sent.Sequence, Test.Now));
  CHECK_FALSE(Test.System.isSuspect(Waiting.Sequence, Test.Now));
}

// Guards against a request that crashes an upstream right after its caller left
// or its hedge was answered, and is not suspected.
TEST_CASE("an attempt that was cancelled shortly before a crash is seen in it",
          "[quarantine]") {
  OwnerSide Test;
  const AttemptId Cancelled = Test.start(1);
  DispatchReply Reply;
  Reply.Attempt = Cancelled;
  Reply.Result = Outcome::Unknown;
  Reply.Reason = OutcomeReason::CancelledByCaller;
  Test.System.attemptEnded(Reply, Test.Now, Test.Out);
  SECTION("while the upstream may still run it") {
    Test.System.upstreamGone(UpstreamGone{true}, Test.Now + 50ms, Test.Out);
    CHECK(Test.System.isSuspect(Cancelled.Sequence, Test.Now + 50ms));
  }
  SECTION("not after that") {
    Test.System.upstreamGone(UpstreamGone{true}, Test.Now + 600ms, Test.Out);
    CHECK_FALSE(Test.System.isSuspect(Cancelled.Sequence, Test.Now + 600ms));
  }
}

// Guards against trials that let a request crash more upstreams than a few.
TEST_CASE("a request that crashes upstreams gets two trials", "[quarantine]") {
  Scenario Case;
  std::size_t Repeat = 0;
  const auto RepeatFor = [&](Duration Time) {
    for (const TimePoint End = Case.Cores.now() + Time; Case.Cores.now() < End;
         ++Repeat) {
      Case.submit(Repeat % Case.Cores.size(), DeadlyBody);
      Case.wait(100ms);
    }
  };
  RepeatFor(5s);
  CHECK(Case.Cores.UpstreamCrashes == 2);
  RepeatFor(15s);
  CHECK(Case.Cores.UpstreamCrashes == 3);
  RepeatFor(9min);
  CHECK(Case.Cores.UpstreamCrashes == 4);
  const std::uint64_t Last = *Case.Deadly.rbegin();
  CHECK(Case.Cores.Replies.at(Last).Result == Outcome::NotRun);
  CHECK(Case.Cores.Replies.at(Last).RetryAfter > 30s);
}

TEST_CASE("a trial that does not reach the upstream is not counted",
          "[quarantine]") {
  OwnerSide Test;
  for (const std::uint64_t Node : {2, 3}) {
    QuarantineNotice Notice;
    Notice.Sightings = {CrashSighting{1, NodeRun{NodeId{Node}, Incarnation{1}},
                                      1, 0, true, false, Duration{0}}};
    Test.System.receive(NodeRun{NodeId{Node}, Incarnation{1}}, Notice, Test.Now,
                        Test.Out);
  }
  REQUIRE(Test.System.isBarred(1, Test.Now));
  Test.Now = *Test.System.nextTrial(1);
  REQUIRE_FALSE(Test.System.isBarred(1, Test.Now));
  DispatchReply Reply;
  Reply.Attempt = Test.start(1);
  CHECK(Test.System.isBarred(1, Test.Now));
  SECTION("not sent: the next one may start") {
    Reply.Result = Outcome::NotRun;
    Test.System.attemptEnded(Reply, Test.Now, Test.Out);
    CHECK_FALSE(Test.System.isBarred(1, Test.Now));
  }
  SECTION("sent: it counts") {
    Reply.Result = Outcome::Unknown;
    Test.System.attemptEnded(Reply, Test.Now, Test.Out);
    CHECK(Test.System.nextTrial(1) ==
          Test.Now + QuarantineSystem::TrialDelays[1]);
  }
  SECTION("answered: the quarantine ends") {
    Reply.Result = Outcome::Answered;
    Test.System.attemptEnded(Reply, Test.Now, Test.Out);
    CHECK_FALSE(Test.System.isQuarantined(1, Test.Now));
  }
}

TEST_CASE("the table of fingerprints is bounded", "[quarantine]") {
  SeededRandomSource Random(1);
  QuarantineSystem System(NodeRun{NodeId{1}, Incarnation{1}}, Random);
  Actions Out;
  for (std::uint64_t Each = 1; Each <= 3000; ++Each) {
    QuarantineNotice Notice;
    Notice.Sightings = {CrashSighting{Each, NodeRun{NodeId{2}, Incarnation{1}},
                                      Each, 0, false, false, Duration{0}}};
    System.receive(NodeRun{NodeId{2}, Incarnation{1}}, Notice,
                   TimePoint{Duration(Each)}, Out);
  }
  CHECK(System.size() == QuarantineSystem::MaxFingerprints);
  CHECK(System.isSuspect(3000, TimePoint{3ms}));
}
