/// @file
/// @brief Tests of admission at the owner.
#include "hyssopford/core/owner_system.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

AdmissionSettings longQueue() {
  AdmissionSettings Settings;
  Settings.QueueDelayMax = 100ms;
  return Settings;
}

/// An owner whose upstream has two slots and a service time of 10 ms.
struct OwnerFixture {
  OwnerSystem Owner{nodeRun(1), longQueue()};
  Actions Out;

  OwnerFixture() {
    Owner.upstreamAnnounced({"seats", 2, UpstreamState::Serving}, at(0ms), Out);
    admit(dispatchOf(1));
    answer(1, 10ms);
    Out.clear();
  }

  void admit(const Dispatch &Attempt, Duration Now = 0ms) {
    Out.clear();
    Owner.admit(NodeId{9}, Attempt, at(Now), Out);
  }

  void answer(std::uint64_t Sequence, Duration Now) {
    Out.clear();
    Owner.upstreamAnswered(
        {AttemptId{nodeRun(9), Sequence}, 200, Payload("ok"), false}, at(Now),
        Out);
  }

  DispatchReply reply() const {
    return messages<DispatchReply>(Out).at(0).Message;
  }

  AttemptState status(std::uint64_t Sequence, Duration Now) {
    Out.clear();
    Owner.queryStatus(NodeId{9},
                      {AttemptId{nodeRun(9), Sequence}, Incarnation{1}},
                      at(Now), Out);
    return messages<StatusReply>(Out).at(0).Message.State;
  }

  std::size_t started() const { return all<ForwardToUpstream>(Out).size(); }
};

} // namespace

// Guards against a request that may run only once and ends as unknown although
// it was never sent.
TEST_CASE("a crash leaves attempts that were not sent as not-run", "[owner]") {
  OwnerFixture Test;
  Test.admit(dispatchOf(2), 10ms);
  Test.admit(dispatchOf(3), 10ms);
  Test.Out.clear();
  Test.Owner.upstreamGone({true, {AttemptId{nodeRun(9), 3}}}, at(11ms),
                          Test.Out);
  const auto Replies = messages<DispatchReply>(Test.Out);
  REQUIRE(Replies.size() == 2);
  CHECK(Replies[0].Message.Result == Outcome::Unknown);
  CHECK(Replies[0].Message.Reason == OutcomeReason::UpstreamClosed);
  CHECK(Replies[1].Message.Result == Outcome::NotRun);
  CHECK(Replies[1].Message.Reason == OutcomeReason::NoUpstream);
  CHECK(all<CancelUpstream>(Test.Out).size() == 2);
}

TEST_CASE("admission", "[owner]") {
  OwnerFixture Test;
  Test.admit(dispatchOf(2), 10ms);
  REQUIRE(Test.started() == 1);
  Test.admit(dispatchOf(3), 10ms);
  REQUIRE(Test.started() == 1);
  Test.admit(dispatchOf(4), 10ms);
  REQUIRE(Test.started() == 0);
  REQUIRE(Test.Owner.load() ==
          LoadReport{Test.Owner.load().Sequence, 2, 1, 2, 10ms, 0ms});

  SECTION("a freed slot starts the next attempt") {
    Test.answer(2, 20ms);
    REQUIRE(Test.started() == 1);
    REQUIRE(Test.reply().Held == 10ms);
    REQUIRE(Test.reply().Load.InFlight == 1);
  }
  SECTION("an attempt whose deadline is too close is refused at once") {
    Test.admit(dispatchOf(5, Priority::Normal, 15ms), 10ms);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
    REQUIRE(Test.reply().Reason == OutcomeReason::DeadlineTooClose);
  }
  SECTION("the queue is bounded by the expected wait") {
    OutcomeReason Refusal = OutcomeReason::None;
    std::uint64_t Sequence = 5;
    while (Refusal == OutcomeReason::None && Sequence < 100) {
      Test.admit(dispatchOf(Sequence++), 10ms);
      Refusal = messages<DispatchReply>(Test.Out).empty() ? OutcomeReason::None
                                                          : Test.reply().Reason;
    }
    REQUIRE(Refusal == OutcomeReason::QueueFull);
    REQUIRE(Test.Owner.load().Queued == 20);
  }
  SECTION("fast failures do not shorten the service time") {
    Test.Owner.upstreamAnswered(
        {AttemptId{nodeRun(9), 2}, 500, Payload(), false}, at(10ms), Test.Out);
    REQUIRE(Test.Owner.load().ServiceTime == 10ms);
  }
  SECTION("a queued attempt ends at its deadline") {
    Test.Owner.tick(*Test.Owner.nextWakeup(), Test.Out);
    REQUIRE(Test.reply().Reason == OutcomeReason::DeadlineExceeded);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
  }
  SECTION(
      "a stall delays further starts and raises the reported service time") {
    Test.Owner.upstreamAnnounced({"seats", 4, UpstreamState::Serving}, at(10ms),
                                 Test.Out);
    REQUIRE(Test.Owner.load().InFlight == 3);
    Test.admit(dispatchOf(5), 45ms);
    REQUIRE(Test.Owner.load().InFlight == 3);
    REQUIRE(Test.Owner.load().Queued == 1);
    REQUIRE(Test.Owner.load().ServiceTime == 35ms);
    Test.Owner.tick(at(90ms), Test.Out);
    REQUIRE(Test.Owner.load().InFlight == 4);
  }
  SECTION("neither priority class starves") {
    for (std::uint64_t Sequence = 10; Sequence < 18; ++Sequence) {
      Test.admit(dispatchOf(Sequence, Priority::High), 10ms);
    }
    std::vector<std::uint64_t> Order;
    std::uint64_t Running = 2;
    for (int Count = 0; Count < 9; ++Count) {
      Test.answer(Running, 20ms);
      Running = all<ForwardToUpstream>(Test.Out).at(0).Attempt.Sequence;
      Order.push_back(Running);
    }
    REQUIRE(Order ==
            std::vector<std::uint64_t>{10, 11, 12, 13, 4, 14, 15, 16, 17});
  }
  SECTION("a draining upstream refuses new work and finishes the queue") {
    Test.Owner.drain();
    Test.admit(dispatchOf(5), 10ms);
    REQUIRE(Test.reply().Reason == OutcomeReason::Draining);
    Test.answer(2, 20ms);
    REQUIRE(Test.started() == 1);
  }
  SECTION("after a crash running attempts are unknown, queued ones not-run") {
    Test.Out.clear();
    Test.Owner.upstreamGone({true}, at(11ms), Test.Out);
    const auto Replies = messages<DispatchReply>(Test.Out);
    REQUIRE(Replies.size() == 3);
    REQUIRE(Replies[0].Message.Attempt.Sequence == 4);
    REQUIRE(Replies[0].Message.Result == Outcome::NotRun);
    REQUIRE(Replies[1].Message.Result == Outcome::Unknown);
    REQUIRE(Replies[2].Message.Result == Outcome::Unknown);
    REQUIRE(Test.Owner.inFlight() == 0);
  }
}

TEST_CASE("attempts run at most once", "[owner]") {
  OwnerFixture Test;
  SECTION("a duplicate of a running attempt is ignored") {
    Test.admit(dispatchOf(2), 10ms);
    Test.admit(dispatchOf(2), 11ms);
    REQUIRE(Test.Out.empty());
  }
  SECTION("a duplicate of a finished attempt gets the same reply") {
    Test.admit(dispatchOf(1), 9s);
    REQUIRE(Test.started() == 0);
    REQUIRE(Test.reply().Answer == Payload("ok"));
  }
  SECTION("a duplicate of an attempt whose reply was dropped is unknown") {
    Test.admit(dispatchOf(1), 11s);
    REQUIRE(Test.started() == 0);
    REQUIRE(Test.reply().Reason == OutcomeReason::StaleFrame);
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    REQUIRE(Test.status(1, 11s) == AttemptState::CannotTell);
  }
  SECTION("an attempt that arrives after its cancellation does not run") {
    Test.Owner.cancel(AttemptId{nodeRun(9), 5}, at(10ms), Test.Out);
    Test.admit(dispatchOf(5), 11ms);
    REQUIRE(Test.started() == 0);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
  }
  SECTION("an attempt that arrives after its status query does not run") {
    REQUIRE(Test.status(5, 10ms) == AttemptState::WillNotRun);
    Test.admit(dispatchOf(5), 11ms);
    REQUIRE(Test.started() == 0);
  }
  SECTION("an attempt meant for another run is refused") {
    Dispatch Other = dispatchOf(5);
    Other.Owner = Incarnation{2};
    Test.admit(Other, 10ms);
    REQUIRE(Test.reply().Reason == OutcomeReason::WrongIncarnation);
  }
  SECTION("the status of an attempt sent to another run is unknown") {
    Test.Owner.queryStatus(NodeId{9},
                           {AttemptId{nodeRun(9), 7}, Incarnation{0}}, at(10ms),
                           Test.Out);
    REQUIRE(messages<StatusReply>(Test.Out).at(0).Message.State ==
            AttemptState::CannotTell);
  }
  SECTION("a status query cancels a queued attempt only") {
    Test.admit(dispatchOf(2), 10ms);
    Test.admit(dispatchOf(3), 10ms);
    Test.admit(dispatchOf(4), 10ms);
    REQUIRE(Test.status(2, 11ms) == AttemptState::Running);
    REQUIRE(Test.status(4, 11ms) == AttemptState::WillNotRun);
    REQUIRE(Test.status(1, 11ms) == AttemptState::Finished);
    REQUIRE(Test.reply().Result == Outcome::Answered);
  }
  SECTION("cancelling a running attempt frees its slot") {
    Test.admit(dispatchOf(2), 10ms);
    Test.Out.clear();
    Test.Owner.cancel(AttemptId{nodeRun(9), 2}, at(11ms), Test.Out);
    REQUIRE(all<CancelUpstream>(Test.Out).size() == 1);
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    REQUIRE(Test.Owner.inFlight() == 0);
  }
  SECTION("an attempt whose bytes were not sent is not-run") {
    Test.admit(dispatchOf(2), 10ms);
    Test.Owner.upstreamFailed(
        {AttemptId{nodeRun(9), 2}, OutcomeReason::ConnectFailed, false},
        at(11ms), Test.Out);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
  }
}

TEST_CASE("replies beyond the byte limit are dropped early", "[owner]") {
  // Guards against replies without an answer that do not count: refusals of a
  // flood of requests took 100 MB.
  const std::size_t AnswerSize = GENERATE(0, 50);
  // Each reply counts 256 bytes besides its answer.
  FinishedAttempts Finished(10s, 2 * (AnswerSize + 256));
  for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence) {
    DispatchReply Reply;
    Reply.Attempt = AttemptId{nodeRun(9), Sequence};
    Reply.Answer = Payload(std::string(AnswerSize, 'x'));
    Finished.add(Reply, at(0ms));
  }
  REQUIRE(Finished.size() == 2);
  REQUIRE(Finished.mayHaveDropped(AttemptId{nodeRun(9), 1}));
  REQUIRE_FALSE(Finished.mayHaveDropped(AttemptId{nodeRun(9, 2), 1}));
}

TEST_CASE("concurrency limit", "[owner]") {
  ConcurrencyLimit Limit{AdmissionSettings{}};
  Limit.setSlots(10, false, at(0ms));
  const auto Window = [&](Duration Latency, int Windows = 1) {
    for (int Count = 0; Count < 40 * Windows; ++Count) {
      Limit.observe(Latency, 10, at(1ms));
    }
  };
  Window(10ms, 10);
  REQUIRE(Limit.value(at(1ms)) == 10);

  SECTION("follows a noisy neighbour down and back up") {
    Window(25ms);
    REQUIRE(Limit.value(at(1ms)) == 7);
    Window(10ms, 3);
    REQUIRE(Limit.value(at(1ms)) == 10);
  }
  SECTION("never falls below 1") {
    Window(1s, 30);
    REQUIRE(Limit.value(at(1ms)) == 1);
  }
  SECTION("shrinks once for requests that are shed together") {
    Limit.recordShed(at(1ms));
    Limit.recordShed(at(2ms));
    REQUIRE(Limit.value(at(2ms)) == 8);
  }
  SECTION("ramps up when the upstream is cold") {
    ConcurrencyLimit Cold{AdmissionSettings{}};
    Cold.setSlots(10, true, at(0ms));
    REQUIRE(Cold.value(at(0ms)) == 2);
    REQUIRE(Cold.value(at(1s)) == 6);
    REQUIRE(Cold.value(at(2s)) == 10);
  }
  SECTION("is 1 while the upstream is suspected") {
    Limit.setSuspected(true, at(1s));
    REQUIRE(Limit.value(at(1s)) == 1);
    Limit.setSuspected(false, at(2s));
    REQUIRE(Limit.value(at(4s)) == 10);
  }
}

// Guards against an attempt that starts on a credential which may be revoked.
TEST_CASE("attempts do not start after the time of their credential",
          "[owner][freshness]") {
  OwnerFixture Test;
  Test.admit(dispatchOf(2), 10ms);
  Test.admit(dispatchOf(3), 10ms);
  Dispatch Limited = dispatchOf(4);
  Limited.CredentialTime = 5ms;
  Test.admit(Limited, 10ms);
  SECTION("when a slot becomes free") { Test.answer(2, 15ms); }
  SECTION("when its time is over") {
    REQUIRE(Test.Owner.nextWakeup() == at(15ms));
    Test.Out.clear();
    Test.Owner.tick(at(15ms), Test.Out);
  }
  CHECK(Test.started() == 0);
  const auto Replies = messages<DispatchReply>(Test.Out);
  REQUIRE_FALSE(Replies.empty());
  CHECK(Replies.back().Message.Attempt.Sequence == 4);
  CHECK(Replies.back().Message.Result == Outcome::NotRun);
  CHECK(Replies.back().Message.Reason == OutcomeReason::CredentialsStale);
}
