/// @file
/// @brief Upstreams that their neighbours slow down for some 100 ms at a time:
/// a run keeps the speed at which it starts, so no run may start in a spell.
#include "hyssopford/core/estimated_delay_policy.hpp"
#include "hyssopford/core/owner_system.hpp"
#include "hyssopford/core/speed_gate.hpp"

#include "support/linked_ingress.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

AdmissionSettings gatedSettings() {
  AdmissionSettings Settings;
  Settings.AdaptiveLimit = false;
  Settings.SlowdownThreshold = 2.5;
  Settings.QueueDelayMax = 100ms;
  return Settings;
}

/// An owner with two slots whose upstream works for 10 ms and states its speed.
struct GatedOwner {
  OwnerSystem Owner{nodeRun(1), gatedSettings()};
  Actions Out;

  GatedOwner() {
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
  void look(Duration Now, std::uint32_t Percent, bool Succeeded = true) {
    Out.clear();
    Owner.finishSpeedProbe(
        ProbeFinished{Succeeded, 1ms, ProbePurpose::Speed, Percent}, at(Now),
        Out);
  }
  std::size_t started() const { return all<ForwardToUpstream>(Out).size(); }
  std::size_t looks() const { return all<ProbeUpstream>(Out).size(); }
};

Dispatch handBackable(std::uint64_t Sequence) {
  Dispatch Result = dispatchOf(Sequence);
  Result.MayHandBack = true;
  return Result;
}

} // namespace

TEST_CASE("speed gate", "[spell]") {
  SpeedGate Gate(gatedSettings());
  SECTION("an upstream that states no speed is never slow or unknown") {
    Gate.observe(0, at(0ms));
    CHECK(Gate.state(at(1h)) == SpeedState::Usual);
  }
  SECTION("a report is relied on for a few milliseconds only") {
    Gate.observe(100, at(0ms));
    CHECK(Gate.state(at(8ms)) == SpeedState::Usual);
    CHECK(Gate.state(at(9ms)) == SpeedState::Unknown);
  }
  SECTION("a spell is told from a cold start, which doubles all times") {
    Gate.observe(200, at(0ms));
    CHECK(Gate.state(at(0ms)) == SpeedState::Usual);
    Gate.observe(1'000, at(10ms));
    CHECK(Gate.state(at(10ms)) == SpeedState::Slow);
  }
  SECTION("an upstream that stays slow is used as it is") {
    // Waiting for the end of a slowness of many seconds would stop the
    // service.
    Gate.observe(100, at(0ms));
    for (Duration Now = 10ms; Now < 7s; Now += 100ms) {
      Gate.observe(500, at(Now));
    }
    CHECK(Gate.state(at(6'910ms)) == SpeedState::Usual);
  }
}

TEST_CASE("an owner starts nothing in a slow spell", "[spell]") {
  GatedOwner Test;
  SECTION("with a fresh report of the usual speed it starts at once") {
    Test.admit(dispatchOf(2), 12ms);
    CHECK(Test.started() == 1);
    CHECK(Test.looks() == 0);
  }
  SECTION("with an old report it looks first, once for all that wait") {
    Test.admit(dispatchOf(2), 50ms);
    CHECK(Test.started() == 0);
    CHECK(Test.looks() == 1);
    Test.admit(dispatchOf(3), 50ms);
    CHECK(Test.looks() == 0);
    Test.look(51ms, 100);
    CHECK(Test.started() == 2);
  }
  SECTION("in a spell it hands back what others may take, unrun") {
    Test.admit(handBackable(2), 50ms);
    Test.look(51ms, 500);
    CHECK(Test.started() == 0);
    const auto Replies = messages<DispatchReply>(Test.Out);
    REQUIRE(Replies.size() == 1);
    CHECK(Replies[0].Message.Result == Outcome::NotRun);
    CHECK(Replies[0].Message.Reason == OutcomeReason::UpstreamSlow);
    CHECK(Replies[0].Message.Load.Slow);
  }
  SECTION("what no other may take waits for the end of the spell") {
    Test.admit(dispatchOf(2), 50ms);
    Test.look(51ms, 500);
    CHECK(Test.started() == 0);
    REQUIRE(Test.Owner.nextWakeup().has_value());
    CHECK(*Test.Owner.nextWakeup() <= at(51ms + gatedSettings().SpeedRecheck));
    Test.Out.clear();
    Test.Owner.tick(at(66ms), Test.Out);
    CHECK(Test.looks() == 1);
    Test.look(67ms, 100);
    CHECK(Test.started() == 1);
  }
  SECTION("an upstream that does not answer a look gets its work anyway") {
    Test.admit(dispatchOf(2), 50ms);
    Test.look(80ms, 0, false);
    CHECK(Test.started() == 1);
  }
  SECTION("a cancelled attempt does not start after the look") {
    Test.admit(dispatchOf(2), 50ms);
    Test.Owner.cancel(AttemptId{nodeRun(9), 2}, at(50ms), Test.Out);
    Test.look(51ms, 100);
    CHECK(Test.started() == 0);
  }
}

TEST_CASE("an ingress goes on to other owners without cost", "[spell]") {
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

  SECTION("after all have handed it back, the best one keeps it") {
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

TEST_CASE("a hand-back leaves no timer of its request behind", "[spell]") {
  // The hedge timer of an attempt that was handed back once outlived its
  // request and ended the process.
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

TEST_CASE("candidates in a spell or far away are chosen last", "[spell]") {
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
  // The reports are too old to tell anything by now.
  CHECK(Choose(2s) < 2);
}
