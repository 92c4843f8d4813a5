/// @file
/// @brief Guards against work that starts too late to end before a node that
/// shuts down, and against requests that such a node leaves without an answer.
#include "hyssopford/core/owner_system.hpp"
#include "hyssopford/core/shutdown_limit.hpp"

#include "support/linked_ingress.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// When the last request must be answered.
constexpr Duration AnswerBy = 800ms;
/// Latest deadline of an attempt.
constexpr Duration LatestDeadline = AnswerBy - 2 * ShutdownLimit::ReplyMargin;

/// An ingress that knows the latency of its route: some 10 to 30 ms.
struct MeasuredIngress : LinkedIngress {
  MeasuredIngress() {
    for (std::uint64_t Id = 1000; Id <= 1200; ++Id) {
      end(LinkedIngress::start(callerRequest(Id)), Outcome::Answered,
          OutcomeReason::None, 10ms);
    }
    Out.clear();
  }

  /// Starts a request of which the test does not know whether it is sent.
  void offer(const CallerRequest &Request, Duration Now) {
    Out.clear();
    Ingress.start(Request, seatsRoute(), at(Now), Out);
  }

  bool isRefused() const {
    return messages<Dispatch>(Out).empty() &&
           reply().Result == Outcome::NotRun &&
           reply().Reason == OutcomeReason::ShuttingDown;
  }
};

/// An owner with one slot whose upstream takes 10 ms.
struct MeasuredOwner {
  OwnerSystem Owner{nodeRun(1)};
  Actions Out;

  MeasuredOwner() {
    Owner.upstreamAnnounced({"seats", 1, UpstreamState::Serving}, at(0ms), Out);
    admit(1, 0ms);
    Owner.upstreamAnswered(
        {AttemptId{nodeRun(9), 1}, 200, Payload("ok"), false}, at(10ms), Out);
    Out.clear();
  }

  void admit(std::uint64_t Sequence, Duration Now, Duration Remaining = 1s,
             const std::string &Route = "") {
    Out.clear();
    Dispatch Attempt = dispatchOf(Sequence, Priority::Normal, Remaining);
    Attempt.Route = Route;
    Owner.admit(NodeId{9}, Attempt, at(Now), Out);
  }

  DispatchReply reply() const {
    return messages<DispatchReply>(Out).at(0).Message;
  }
};

} // namespace

TEST_CASE("a request starts late in a shutdown only if it ends in time",
          "[ingress][shutdown]") {
  MeasuredIngress Test;
  Test.Ingress.limitWork(at(AnswerBy));
  CallerRequest Request = callerRequest(1, "POST");

  SECTION("whose deadline is before the end") {
    Request.Deadline = 200ms;
    Test.offer(Request, LatestDeadline - 200ms);
    REQUIRE(messages<Dispatch>(Test.Out).size() == 1);
  }
  SECTION("whose expected time leaves a margin") {
    Test.offer(Request, 100ms);
    // The upstream gives up early enough for its answer to arrive.
    REQUIRE(messages<Dispatch>(Test.Out).at(0).Message.Remaining ==
            LatestDeadline - 100ms);
  }
  SECTION("the margin is larger for a request that must run once only") {
    Test.offer(Request, LatestDeadline - 60ms);
    REQUIRE(Test.isRefused());
    Request.Method = "GET";
    Request.Id = RequestId{2};
    Test.offer(Request, LatestDeadline - 60ms);
    REQUIRE(messages<Dispatch>(Test.Out).size() == 1);
  }
  SECTION("of unknown length only if most of its time is left") {
    Route Other = seatsRoute();
    Other.Name = "other";
    Other.Deadline = 1s;
    REQUIRE(Test.Ingress.mayStart(Other, "POST", 600ms, at(100ms)));
    REQUIRE(Test.Ingress.mayStart(Other, "POST", 700ms, at(100ms)));
    REQUIRE_FALSE(
        Test.Ingress.mayStart(Other, "POST", std::nullopt, at(100ms)));
    Test.Ingress.start(Request, Other, at(100ms), Test.Out);
    REQUIRE(Test.isRefused());
  }
  SECTION("not a retry") {
    const auto First = Test.start(Request, 100ms);
    Test.end(First, Outcome::NotRun, OutcomeReason::QueueFull,
             LatestDeadline - 10ms);
    REQUIRE(Test.isRefused());
  }
  SECTION("not a retry of a failed answer") {
    RoutingSettings Settings;
    Settings.RetryFailedAnswers = true;
    LinkedIngress Retrying(Settings);
    Retrying.Ingress.limitWork(at(AnswerBy));
    Request.Method = "GET";
    Request.Deadline = 500ms;
    const auto First = Retrying.start(Request);
    Retrying.end(First, Outcome::Answered, OutcomeReason::None, 700ms, 500);
    REQUIRE(messages<Dispatch>(Retrying.Out).empty());
    REQUIRE(Retrying.reply().Status == 500);
  }
  SECTION("not a request that waited for a link") {
    LinkedIngress Waiting;
    for (std::uint64_t Node = 1; Node <= 3; ++Node) {
      Waiting.Ingress.linkDown(NodeId{Node}, at(0ms), Waiting.Out);
    }
    Request.Deadline = 300ms;
    Waiting.Ingress.limitWork(at(AnswerBy));
    Waiting.Ingress.start(Request, seatsRoute(), at(300ms), Waiting.Out);
    Waiting.Out.clear();
    Waiting.Ingress.tick(at(AnswerBy), Waiting.Out);
    REQUIRE(messages<Dispatch>(Waiting.Out).empty());
    REQUIRE(Waiting.reply().Result == Outcome::NotRun);
  }
}

TEST_CASE("a late attempt is neither hedged nor recalled in a shutdown",
          "[ingress][shutdown]") {
  MeasuredIngress Test;
  Test.start(callerRequest(1, GENERATE("GET", "POST")), 100ms);
  const TimePoint HedgeAt = *Test.Ingress.nextWakeup();
  Test.Ingress.limitWork(HedgeAt + 2 * ShutdownLimit::ReplyMargin + 1ms);
  Test.Out.clear();
  Test.Ingress.tick(HedgeAt, Test.Out);
  REQUIRE(Test.Out.empty());
}

TEST_CASE("a request left at the end of a shutdown ends as unknown",
          "[ingress][shutdown]") {
  LinkedIngress Test;
  const auto Sent = Test.start(callerRequest(1, "POST"));
  Test.Ingress.limitWork(at(AnswerBy));
  REQUIRE(*Test.Ingress.nextWakeup() == at(AnswerBy));
  Test.Out.clear();
  Test.Ingress.tick(at(AnswerBy), Test.Out);
  REQUIRE(Test.reply().Result == Outcome::Unknown);
  REQUIRE(Test.reply().Reason == OutcomeReason::ShuttingDown);
  REQUIRE(messages<Cancel>(Test.Out).at(0).To == Sent.To);
  REQUIRE(Test.Ingress.inFlight() == 0);
  REQUIRE(Test.Ingress.counters().Interrupted == 1);
}

TEST_CASE("an owner that shuts down runs only what ends in time",
          "[owner][shutdown]") {
  MeasuredOwner Test;

  SECTION("an attempt of a peer that fits is admitted with a lower deadline") {
    Test.Owner.limitWork(at(AnswerBy), at(10ms), Test.Out);
    Test.admit(2, 100ms);
    REQUIRE(all<ForwardToUpstream>(Test.Out).at(0).Remaining ==
            LatestDeadline - 100ms);
  }
  SECTION("one that arrives too late is refused") {
    Test.Owner.limitWork(at(AnswerBy), at(10ms), Test.Out);
    Test.admit(2, LatestDeadline - 30ms);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
    REQUIRE(Test.reply().Reason == OutcomeReason::DeadlineTooClose);
  }
  SECTION("one of unknown length is refused unless its deadline fits") {
    Test.Owner.limitWork(at(AnswerBy), at(10ms), Test.Out);
    Test.admit(2, 100ms, 1s, "other");
    REQUIRE(Test.reply().Result == Outcome::NotRun);
    Test.admit(3, 100ms, 400ms, "other");
    REQUIRE(all<ForwardToUpstream>(Test.Out).size() == 1);
  }
  SECTION("a queued attempt that cannot start in time is refused") {
    Test.admit(2, 10ms);
    Test.admit(3, 10ms, 1s);
    SECTION("at once") {
      Test.Out.clear();
      Test.Owner.limitWork(at(180ms), at(20ms), Test.Out);
    }
    SECTION("once it has waited too long") {
      Test.Owner.limitWork(at(AnswerBy), at(20ms), Test.Out);
      Test.Out.clear();
      Test.Owner.tick(at(LatestDeadline - 39ms), Test.Out);
    }
    REQUIRE(Test.reply().Attempt.Sequence == 3);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
  }
  SECTION("a running attempt is cancelled and reported as unknown in time") {
    Test.admit(2, 10ms);
    Test.Owner.limitWork(at(AnswerBy), at(20ms), Test.Out);
    const TimePoint End = at(AnswerBy - ShutdownLimit::ReplyMargin);
    REQUIRE(*Test.Owner.nextWakeup() == End);
    Test.Out.clear();
    Test.Owner.tick(End, Test.Out);
    REQUIRE(all<CancelUpstream>(Test.Out).size() == 1);
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    REQUIRE(Test.reply().Reason == OutcomeReason::ShuttingDown);
    REQUIRE(Test.Owner.inFlight() == 0);
    REQUIRE(Test.Owner.interrupted() == 1);
  }
}
