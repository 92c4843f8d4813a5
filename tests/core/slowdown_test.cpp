/// @file
/// @brief Tests of upstreams that neighbours on the same machine slow down for
/// some 100 ms at a time. A request keeps the speed at which it starts, so
/// none may start during a slowdown.
#include "hyssopford/core/estimated_delay_policy.hpp"
#include "hyssopford/core/owner_system.hpp"
#include "hyssopford/core/speed_tracker.hpp"

#include "support/linked_ingress.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

AdmissionSettings slowdownSettings() {
  AdmissionSettings Settings;
  Settings.AdaptiveLimit = false;
  Settings.SlowdownThreshold = 2.5;
  Settings.QueueDelayMax = 100ms;
  return Settings;
}

/// An owner whose upstream has two slots, a service time of 10 ms, and reports
/// its speed.
struct SpeedAwareOwner {
  OwnerSystem Owner{nodeRun(1), slowdownSettings()};
  Actions Out;

  SpeedAwareOwner() {
    Owner.upstreamAnnounced({"seats", 2, UpstreamState::Serving}, at(0ms), Out);
    admit(dispatchOf(1), 0ms);
    answer(1, 10ms, 100);
  }

  void admit(const Dispatch &Attempt, Duration Now) {
    Out.clear();
    Owner.admit(NodeId{9}, Attempt, at(Now), Out);
  }
  void answer(std::uint64_t Sequence, Duration Now, std::uint32_t Percent) {
    Out.clear();
    UpstreamAnswered Answer;
    Answer.Attempt = AttemptId{nodeRun(9), Sequence};
    Answer.Status = 200;
    Answer.SlownessPercent = Percent;
    Owner.upstreamAnswered(Answer, at(Now), Out);
  }
  void finishProbe(Duration Now, std::uint32_t Percent, bool Succeeded = true) {
    Out.clear();
    Owner.finishSpeedProbe(
        ProbeFinished{Succeeded, 1ms, ProbePurpose::Speed, Percent}, at(Now),
        Out);
  }
  std::size_t started() const { return all<ForwardToUpstream>(Out).size(); }
  std::size_t probes() const { return all<ProbeUpstream>(Out).size(); }
};

Dispatch dispatchWithHandBack(std::uint64_t Sequence) {
  Dispatch Result = dispatchOf(Sequence);
  Result.MayHandBack = true;
  return Result;
}

} // namespace

TEST_CASE("speed tracker", "[slowdown]") {
  SpeedTracker Tracker(slowdownSettings());
  SECTION("an upstream that reports no speed is never slow or unknown") {
    Tracker.observe(0, at(0ms));
    CHECK(Tracker.state(at(1h)) == SpeedState::Normal);
  }
  SECTION("a report is used for a few milliseconds only") {
    Tracker.observe(100, at(0ms));
    CHECK(Tracker.state(at(8ms)) == SpeedState::Normal);
    CHECK(Tracker.state(at(9ms)) == SpeedState::Unknown);
  }
  SECTION("a cold start that doubles all times is not a slowdown") {
    Tracker.observe(200, at(0ms));
    CHECK(Tracker.state(at(0ms)) == SpeedState::Normal);
    Tracker.observe(1'000, at(10ms));
    CHECK(Tracker.state(at(10ms)) == SpeedState::Slow);
  }
  SECTION("an upstream that stays slow counts as normal") {
    // Waiting many seconds for the end of a slowdown would stop the service.
    Tracker.observe(100, at(0ms));
    for (Duration Now = 10ms; Now < 7s; Now += 100ms) {
      Tracker.observe(500, at(Now));
    }
    CHECK(Tracker.state(at(6'910ms)) == SpeedState::Normal);
  }
}

TEST_CASE("an owner starts nothing during a slowdown", "[slowdown]") {
  SpeedAwareOwner Test;
  SECTION(
      "after a fresh report of the normal speed an attempt starts at once") {
    Test.admit(dispatchOf(2), 12ms);
    CHECK(Test.started() == 1);
    CHECK(Test.probes() == 0);
  }
  SECTION(
      "after an old report the speed is probed once for all waiting attempts") {
    Test.admit(dispatchOf(2), 50ms);
    CHECK(Test.started() == 0);
    CHECK(Test.probes() == 1);
    Test.admit(dispatchOf(3), 50ms);
    CHECK(Test.probes() == 0);
    Test.finishProbe(51ms, 100);
    CHECK(Test.started() == 2);
  }
  SECTION("during a slowdown, attempts that others may take are handed back") {
    Test.admit(dispatchWithHandBack(2), 50ms);
    Test.finishProbe(51ms, 500);
    CHECK(Test.started() == 0);
    const auto Replies = messages<DispatchReply>(Test.Out);
    REQUIRE(Replies.size() == 1);
    CHECK(Replies[0].Message.Result == Outcome::NotRun);
    CHECK(Replies[0].Message.Reason == OutcomeReason::UpstreamSlow);
    CHECK(Replies[0].Message.Load.Slow);
  }
  SECTION("attempts that no other may take wait for the end of the slowdown") {
    Test.admit(dispatchOf(2), 50ms);
    Test.finishProbe(51ms, 500);
    CHECK(Test.started() == 0);
    REQUIRE(Test.Owner.nextWakeup().has_value());
    CHECK(*Test.Owner.nextWakeup() <=
          at(51ms + slowdownSettings().SpeedProbeInterval));
    Test.Out.clear();
    Test.Owner.tick(at(66ms), Test.Out);
    CHECK(Test.probes() == 1);
    Test.finishProbe(67ms, 100);
    CHECK(Test.started() == 1);
  }
  SECTION("an upstream that does not answer the probe gets attempts anyway") {
    Test.admit(dispatchOf(2), 50ms);
    Test.finishProbe(80ms, 0, false);
    CHECK(Test.started() == 1);
  }
  SECTION("a cancelled attempt does not start after the probe") {
    Test.admit(dispatchOf(2), 50ms);
    Test.Owner.cancel(AttemptId{nodeRun(9), 2}, at(50ms), Test.Out);
    Test.finishProbe(51ms, 100);
    CHECK(Test.started() == 0);
  }
}

TEST_CASE("a handed-back attempt goes to other owners without using the budget",
          "[slowdown]") {
  RoutingSettings Settings;
  Settings.FreeHandBacks = 4;
  Settings.ExtraInitial = 0;
  LinkedIngress Test(Settings);
  Test.start(callerRequest(1, "POST"));
  std::vector<NodeId> Asked;
  const auto HandBack = [&](Duration Now) {
    const auto Sent = messages<Dispatch>(Test.Out);
    REQUIRE(Sent.size() == 1);
    Asked.push_back(Sent[0].To);
    Test.end(Sent[0], Outcome::NotRun, OutcomeReason::UpstreamSlow, Now);
    return Sent[0].Message;
  };
  // The budget is empty, so an ordinary retry would be denied.
  CHECK(HandBack(1ms).MayHandBack);
  CHECK_FALSE(HandBack(2ms).IsExtra);
  CHECK_FALSE(HandBack(3ms).MayHandBack);
  CHECK(std::set<NodeId>(Asked.begin(), Asked.end()).size() == 3);

  SECTION("after all have handed it back, the best one may not hand it back "
          "again") {
    const auto Last = messages<Dispatch>(Test.Out);
    REQUIRE(Last.size() == 1);
    CHECK_FALSE(Last[0].Message.MayHandBack);
    CHECK(Test.Ingress.counters().Retries == 0);
  }
  SECTION("hand-backs are bounded") {
    HandBack(4ms);
    HandBack(5ms);
    REQUIRE(all<ReplyToCaller>(Test.Out).size() == 1);
    const ReplyToCaller Reply = all<ReplyToCaller>(Test.Out)[0];
    CHECK(Reply.Result == Outcome::NotRun);
    CHECK(Reply.RetryAfter >= Settings.RetryAfterMin);
    CHECK(Reply.RetryAfter <= Settings.RetryAfterMax);
    CHECK_FALSE(Test.Ingress.nextWakeup().has_value());
  }
}

TEST_CASE("a hand-back leaves no hedge timer behind", "[slowdown]") {
  // Guards against a hedge timer of a handed-back attempt that outlives its
  // request: tick then looks up a request that no longer exists, which ended
  // the process.
  RoutingSettings Settings;
  Settings.FreeHandBacks = 4;
  LinkedIngress Test(Settings);
  const auto Finish = [&](Outcome Result, OutcomeReason Reason, Duration Now) {
    const auto Sent = messages<Dispatch>(Test.Out);
    REQUIRE_FALSE(Sent.empty());
    Test.end(Sent[0], Result, Reason, Now);
  };
  Duration Now = 0ms;
  for (std::uint64_t Id = 1; Id <= 200; ++Id, Now += 10ms) {
    Test.start(callerRequest(Id), Now);
    Finish(Outcome::NotRun, OutcomeReason::UpstreamSlow, Now + 1ms);
    Finish(Outcome::Answered, OutcomeReason::None, Now + 5ms);
  }
  CHECK(Test.Ingress.inFlight() == 0);
  CHECK_FALSE(Test.Ingress.nextWakeup().has_value());
  CHECK_NOTHROW(Test.Ingress.tick(at(Now + 10s), Test.Out));
}

TEST_CASE("slowed-down and remote candidates are chosen last", "[slowdown]") {
  RoutingSettings Settings;
  Settings.RemoteDomainCost = 30ms;
  EstimatedDelayPolicy Policy(Settings);
  SeededRandomSource Random(1);
  std::vector<CandidateView> Views(3);
  for (std::size_t Index = 0; Index < Views.size(); ++Index) {
    Views[Index].Owner = nodeRun(Index + 1);
    Views[Index].IsLocalDomain = Index < 2;
    Views[Index].Report = LoadReport{1, 0, 0, 4, 50ms, 0ms};
    Views[Index].ReportedAt = at(0ms);
  }
  const std::vector<Duration> RoundTrips{1ms};
  ServiceMean Mean;
  Mean.ServiceTime = 50'000.0;
  const auto Choose = [&](Duration Now) {
    return Policy
        .choose(Selection{Views, {}, RoundTrips, Mean, at(Now)}, Random)
        .value();
  };
  for (int Round = 0; Round < 20; ++Round) {
    CHECK(Choose(1ms) < 2);
  }
  Views[0].Report.Slow = true;
  CHECK(Choose(1ms) == 1);
  Views[1].Report.Slow = true;
  CHECK(Choose(1ms) == 2);
  // The reports are too old to count any more.
  CHECK(Choose(2s) < 2);
}
