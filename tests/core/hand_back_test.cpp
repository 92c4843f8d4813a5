/// @file
/// @brief Tests of requests that busy owners hand back: where they go next, and
/// that calls of running requests wait instead of being refused.
#include "hyssopford/core/owner_system.hpp"

#include "support/linked_ingress.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// An ingress of a large service, linked to all of its upstreams, whose retry
/// budget is empty.
struct LargeService {
  static constexpr std::uint64_t Upstreams = 22;

  SeededRandomSource Random{5};
  IngressSystem Ingress;
  Actions Out;
  std::set<NodeId> Asked;

  LargeService() : Ingress(nodeRun(99), Random, settings(), "r1", "d1") {
    std::vector<Candidate> All;
    for (std::uint64_t Node = 1; Node <= Upstreams; ++Node) {
      All.push_back(candidate(Node, Node % 2 == 0 ? "d1" : "d2"));
      Ingress.linkUp(nodeRun(Node), at(0ms), Out);
    }
    Ingress.setCandidates(All);
  }
  static RoutingSettings settings() {
    RoutingSettings Settings;
    Settings.FreeHandBacks = 4;
    Settings.OutsideHandBacks = 2;
    Settings.ExtraInitial = 0;
    Settings.HedgeQuantile = 1.0;
    return Settings;
  }
  /// Hands back the attempt that was sent last.
  /// @return the attempt
  Dispatch handBack(Duration Now, OutcomeReason Reason) {
    const auto Sent = messages<Dispatch>(Out);
    REQUIRE(Sent.size() == 1);
    Asked.insert(Sent[0].To);
    Out.clear();
    DispatchReply Reply;
    Reply.Attempt = Sent[0].Message.Attempt;
    Reply.Result = Outcome::NotRun;
    Reply.Reason = Reason;
    Ingress.finishAttempt(nodeRun(Sent[0].To.Value), Reply, at(Now), Out);
    return Sent[0].Message;
  }
};

} // namespace

TEST_CASE("upstreams outside of the subset are asked when it is busy",
          "[overload][hand_back]") {
  // Guards against a refusal although most upstreams of the service are free:
  // the 8 of the subset were full, the 14 others were never asked.
  LargeService Test;
  Test.Ingress.start(callerRequest(1, "POST"), seatsRoute(), at(0ms), Test.Out);
  for (int Count = 1; Count <= 6; ++Count) {
    const Dispatch Sent =
        Test.handBack(Duration(Count), OutcomeReason::QueueFull);
    CHECK(Sent.MayHandBack == (Count < 6));
    CHECK_FALSE(Sent.IsExtra);
  }
  CHECK(Test.Asked.size() == 6);
  CHECK(Test.Ingress.counters().OutsideAttempts == 2);
  SECTION("then a busy one must queue or refuse it") {
    const Dispatch Last = Test.handBack(7ms, OutcomeReason::QueueFull);
    CHECK_FALSE(Last.MayHandBack);
    const auto Replies = all<ReplyToCaller>(Test.Out);
    REQUIRE(Replies.size() == 1);
    CHECK(Replies[0].Result == Outcome::NotRun);
    CHECK(Replies[0].Reason == OutcomeReason::QueueFull);
  }
  CHECK(Test.Ingress.counters().Retries == 0);
  CHECK(Test.Ingress.counters().RetriesDenied == 0);
}

TEST_CASE("hand-backs do not use the retry budget", "[overload][hand_back]") {
  // Guards against the refusal "retry-budget" of a request that reached no
  // upstream: of 2,800 calls on a day with bursts, 690 ended so after 40 ms of
  // their 490 ms, and the runs that made them were lost.
  LargeService Test;
  Test.Ingress.start(callerRequest(1, "POST"), seatsRoute(), at(0ms), Test.Out);
  Duration Now = 0ms;
  while (!messages<Dispatch>(Test.Out).empty()) {
    REQUIRE(Now < 100ms);
    Test.handBack(Now += 1ms, OutcomeReason::Draining);
  }
  const auto Replies = all<ReplyToCaller>(Test.Out);
  REQUIRE(Replies.size() == 1);
  CHECK(Replies[0].Result == Outcome::NotRun);
  CHECK(Replies[0].Reason == OutcomeReason::Draining);
  CHECK(Test.Ingress.counters().RetriesDenied == 0);
}

TEST_CASE("a call of a running request waits beyond its latency target",
          "[overload][hand_back]") {
  // Guards against refused calls while their deadline leaves time: the refusal
  // loses the work of the run that made the call.
  AdmissionSettings Settings;
  Settings.AdaptiveLimit = false;
  OwnerSystem Owner(nodeRun(1), Settings);
  Actions Out;
  Owner.upstreamAnnounced({"seats", 1, UpstreamState::Serving}, at(0ms), Out);
  Owner.admit(NodeId{9}, dispatchOf(1), at(0ms), Out);
  Owner.upstreamAnswered(
      {AttemptId{nodeRun(9), 1}, 200, Payload("ok"), false, 0}, at(40ms), Out);
  for (std::uint64_t Sequence = 2; Sequence <= 5; ++Sequence) {
    Owner.admit(NodeId{9}, dispatchOf(Sequence, Priority::High, 500ms),
                at(40ms), Out);
  }
  Out.clear();
  Dispatch Call = dispatchOf(6, Priority::High, 500ms);
  Call.Target = 60ms;
  Owner.admit(NodeId{9}, Call, at(41ms), Out);
  CHECK(messages<DispatchReply>(Out).empty());
  Dispatch Request = dispatchOf(7, Priority::Normal, 500ms);
  Request.Target = 60ms;
  Owner.admit(NodeId{9}, Request, at(41ms), Out);
  REQUIRE(messages<DispatchReply>(Out).size() == 1);
  CHECK(messages<DispatchReply>(Out)[0].Message.Attempt.Sequence == 7);
}
