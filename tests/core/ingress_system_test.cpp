/// @file
/// @brief Tests of requests at their ingress: retries, hedges and outcomes.
#include "hyssopford/core/ingress_system.hpp"

#include "support/linked_ingress.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

TEST_CASE("retries", "[ingress]") {
  LinkedIngress Test;
  SECTION("a not-run attempt is retried elsewhere, marked as extra") {
    const auto First = Test.start(callerRequest(1, "POST"));
    REQUIRE_FALSE(First.Message.IsExtra);
    Test.end(First, Outcome::NotRun, OutcomeReason::QueueFull, 1ms);
    const auto Second = messages<Dispatch>(Test.Out).at(0);
    REQUIRE(Second.To != First.To);
    REQUIRE(Second.Message.IsExtra);
    REQUIRE(Second.Message.Remaining == 999ms);
  }
  SECTION("an unknown attempt is retried only if idempotent") {
    Test.end(Test.start(callerRequest(1, "POST")), Outcome::Unknown,
             OutcomeReason::UpstreamClosed, 1ms);
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    Test.end(Test.start(callerRequest(2, "GET")), Outcome::Unknown,
             OutcomeReason::UpstreamClosed, 1ms);
    REQUIRE(messages<Dispatch>(Test.Out).size() == 1);
  }
  SECTION("the only upstream gets an idempotent request again") {
    // A kept connection may close at the moment of its reuse.
    Test.Ingress.setCandidates({candidate(1)});
    const auto First = Test.start(callerRequest(1, "GET"));
    Test.end(First, Outcome::Unknown, OutcomeReason::UpstreamClosed, 1ms);
    const auto Second = messages<Dispatch>(Test.Out).at(0);
    REQUIRE(Second.To == First.To);
    REQUIRE(Second.Message.IsExtra);
    Test.end(Second, Outcome::Answered, OutcomeReason::None, 2ms);
    REQUIRE(Test.reply().Result == Outcome::Answered);
    REQUIRE(Test.reply().Attempts == 2);
  }
  SECTION("an earlier unknown attempt keeps the end from being not-run") {
    Test.end(Test.start(callerRequest(1, "GET")), Outcome::Unknown,
             OutcomeReason::UpstreamClosed, 1ms);
    for (int Retry = 0; Retry < 2; ++Retry) {
      const auto Next = messages<Dispatch>(Test.Out).at(0);
      Test.end(Next, Outcome::NotRun, OutcomeReason::QueueFull, 2ms);
    }
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    REQUIRE(Test.reply().Attempts == 3);
  }
  SECTION("refusals of all attempts end as not-run") {
    Test.end(Test.start(callerRequest(1, "POST")), Outcome::NotRun,
             OutcomeReason::QueueFull, 1ms);
    Test.end(messages<Dispatch>(Test.Out).at(0), Outcome::NotRun,
             OutcomeReason::QueueFull, 2ms);
    Test.end(messages<Dispatch>(Test.Out).at(0), Outcome::NotRun,
             OutcomeReason::QueueFull, 3ms);
    REQUIRE(Test.reply().Result == Outcome::NotRun);
    REQUIRE(Test.reply().Reason == OutcomeReason::AttemptLimit);
  }
  SECTION("the budget bounds the retries of a service that refuses all") {
    for (std::uint64_t Id = 1; Id <= 1000; ++Id) {
      auto Sent = Test.start(callerRequest(Id, "POST"), 1ms * Id);
      Test.end(Sent, Outcome::NotRun, OutcomeReason::QueueFull, 1ms * Id);
      while (!messages<Dispatch>(Test.Out).empty()) {
        Sent = messages<Dispatch>(Test.Out).at(0);
        Test.end(Sent, Outcome::NotRun, OutcomeReason::QueueFull, 1ms * Id);
      }
    }
    REQUIRE(Test.Ingress.counters().Retries <= 105);
    REQUIRE(Test.Ingress.counters().Retries >= 95);
    REQUIRE(Test.Ingress.inFlight() == 0);
  }
}

TEST_CASE("hedges", "[ingress]") {
  LinkedIngress Test;
  // Enough requests to fill the budget for hedges.
  for (std::uint64_t Id = 1000; Id <= 1200; ++Id) {
    Test.end(Test.start(callerRequest(Id)), Outcome::Answered,
             OutcomeReason::None, 10ms);
  }
  CallerRequest Request = callerRequest(100);
  SECTION("a slow idempotent request is hedged and the loser cancelled") {
    const auto First = Test.start(Request);
    const TimePoint HedgeAt = *Test.Ingress.nextWakeup();
    REQUIRE(HedgeAt >= at(5ms));
    REQUIRE(HedgeAt <= at(40ms));
    Test.Out.clear();
    Test.Ingress.tick(HedgeAt, Test.Out);
    const auto Second = messages<Dispatch>(Test.Out).at(0);
    REQUIRE(Second.To != First.To);
    REQUIRE(Second.Message.IsExtra);
    Test.end(Second, Outcome::Answered, OutcomeReason::None, 50ms);
    REQUIRE(Test.reply().Result == Outcome::Answered);
    const auto Cancelled = messages<Cancel>(Test.Out).at(0);
    REQUIRE(Cancelled.To == First.To);
    REQUIRE(Cancelled.Message.Attempt == First.Message.Attempt);
    Test.end(First, Outcome::Answered, OutcomeReason::None, 60ms);
    REQUIRE(Test.Out.empty());
    REQUIRE(Test.Ingress.lateReplies() == 1);
  }
  SECTION("a hedge that is refused leaves the first attempt running") {
    Test.start(Request);
    Test.Out.clear();
    Test.Ingress.tick(*Test.Ingress.nextWakeup(), Test.Out);
    Test.end(messages<Dispatch>(Test.Out).at(0), Outcome::NotRun,
             OutcomeReason::QueueFull, 50ms);
    REQUIRE(Test.Out.empty());
    REQUIRE(Test.Ingress.inFlight() == 1);
  }
  SECTION(
      "a late non-idempotent attempt is not hedged but recalled if queued") {
    Request.Method = "POST";
    const auto First = Test.start(Request);
    Test.Out.clear();
    Test.Ingress.tick(*Test.Ingress.nextWakeup(), Test.Out);
    REQUIRE(messages<Dispatch>(Test.Out).empty());
    REQUIRE(messages<StatusQuery>(Test.Out).at(0).To == First.To);
    Test.Out.clear();
    SECTION("an attempt that was still queued is retried") {
      Test.Ingress.resolveStatus(
          First.To, {First.Message.Attempt, AttemptState::WillNotRun}, at(50ms),
          Test.Out);
      REQUIRE(messages<Dispatch>(Test.Out).at(0).To != First.To);
    }
    SECTION("an attempt that runs is waited for") {
      Test.Ingress.resolveStatus(First.To,
                                 {First.Message.Attempt, AttemptState::Running},
                                 at(50ms), Test.Out);
      REQUIRE(Test.Out.empty());
      REQUIRE(Test.Ingress.inFlight() == 1);
    }
  }
  SECTION("a retry or hedge of an earlier hop is not hedged again") {
    Request.IsExtra = true;
    REQUIRE(Test.start(Request).Message.IsExtra);
    REQUIRE(*Test.Ingress.nextWakeup() == at(1s));
  }
}

TEST_CASE("short requests beside long ones are hedged after their own latency",
          "[ingress]") {
  // Guards against one latency quantile for all routes of a service: calls of
  // 60 ms with a deadline of 800 ms were hedged after the 700 ms of others.
  LinkedIngress Test;
  Route Long = seatsRoute();
  Long.Name = "long";
  Route Short = seatsRoute();
  Short.Name = "short";
  const auto Run = [&](std::uint64_t Id, const Route &Matched, Duration Begin,
                       Duration Length) {
    Test.Out.clear();
    Test.Ingress.start(callerRequest(Id), Matched, at(Begin), Test.Out);
    const auto Sent = messages<Dispatch>(Test.Out).at(0);
    Test.end(Sent, Outcome::Answered, OutcomeReason::None, Begin + Length);
  };
  for (std::uint64_t Id = 1; Id <= 400; Id += 2) {
    Run(Id, Long, Id * 10ms, 600ms);
    Run(Id + 1, Short, Id * 10ms, 60ms);
  }
  const TimePoint Begin = at(100s);
  const auto HedgeDelay = [&](std::uint64_t Id, const Route &Matched) {
    Test.Out.clear();
    Test.Ingress.start(callerRequest(Id), Matched, Begin, Test.Out);
    const Duration Delay = *Test.Ingress.nextWakeup() - Begin;
    Test.end(messages<Dispatch>(Test.Out).at(0), Outcome::Answered,
             OutcomeReason::None, 101s);
    return Delay;
  };
  CHECK(HedgeDelay(1'000, Short) <= 120ms);
  CHECK(HedgeDelay(1'001, Long) >= 500ms);
}

TEST_CASE("lost links", "[ingress]") {
  LinkedIngress Test;
  const auto Sent = Test.start(callerRequest(1, "POST"));
  Test.Out.clear();
  Test.Ingress.linkDown(Sent.To, at(10ms), Test.Out);
  REQUIRE(Test.Out.empty());

  SECTION("without the link the outcome is unknown at the deadline") {
    Test.Ingress.tick(at(1s), Test.Out);
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    REQUIRE(Test.reply().Reason == OutcomeReason::DeadlineExceeded);
  }
  SECTION("the same run is asked for the status") {
    Test.Ingress.linkUp(nodeRun(Sent.To.Value), at(20ms), Test.Out);
    REQUIRE(messages<StatusQuery>(Test.Out).at(0).Message.Attempt ==
            Sent.Message.Attempt);
    Test.Out.clear();
    SECTION("an attempt that will not run is retried") {
      // Only the owner of the attempt can tell.
      Test.Ingress.resolveStatus(
          NodeId{99},
          StatusReply{Sent.Message.Attempt, AttemptState::WillNotRun}, at(21ms),
          Test.Out);
      REQUIRE(Test.Out.empty());
      Test.Ingress.resolveStatus(
          Sent.To, StatusReply{Sent.Message.Attempt, AttemptState::WillNotRun},
          at(21ms), Test.Out);
      REQUIRE(messages<Dispatch>(Test.Out).size() == 1);
    }
    SECTION("a running attempt is waited for") {
      Test.Ingress.resolveStatus(
          Sent.To, StatusReply{Sent.Message.Attempt, AttemptState::Running},
          at(21ms), Test.Out);
      REQUIRE(Test.Out.empty());
      Test.end(Sent, Outcome::Answered, OutcomeReason::None, 30ms);
      REQUIRE(Test.reply().Result == Outcome::Answered);
    }
    SECTION("an owner that cannot tell leaves it unknown") {
      Test.Ingress.resolveStatus(
          Sent.To, StatusReply{Sent.Message.Attempt, AttemptState::CannotTell},
          at(21ms), Test.Out);
      REQUIRE(Test.reply().Result == Outcome::Unknown);
    }
  }
  SECTION("another run of the owner means unknown") {
    Test.Ingress.linkUp(nodeRun(Sent.To.Value, 2), at(20ms), Test.Out);
    REQUIRE(Test.reply().Result == Outcome::Unknown);
    REQUIRE(messages<StatusQuery>(Test.Out).empty());
  }
  SECTION("only the idempotent request is retried at once") {
    const auto Other = Test.start(callerRequest(2, "GET"), 20ms);
    Test.Out.clear();
    Test.Ingress.linkDown(Other.To, at(30ms), Test.Out);
    const auto Second = messages<Dispatch>(Test.Out).at(0);
    Test.end(Second, Outcome::Answered, OutcomeReason::None, 40ms);
    REQUIRE(Test.reply().Result == Outcome::Answered);
  }
}

TEST_CASE("candidates of an ingress", "[ingress]") {
  // Without the charge for failures, failing candidates keep their traffic, so
  // that the tests see the ejection itself.
  RoutingSettings Settings;
  Settings.FailureWeight = 0.0;
  LinkedIngress Test{Settings};
  SECTION("an owner that drains gets no further attempt") {
    const auto Drained = Test.start(callerRequest(1, "POST"));
    Test.end(Drained, Outcome::NotRun, OutcomeReason::Draining, 1ms);
    for (std::uint64_t Id = 2; Id < 50; ++Id) {
      const auto Sent = Test.start(callerRequest(Id), 2ms);
      REQUIRE(Sent.To != Drained.To);
      Test.end(Sent, Outcome::Answered, OutcomeReason::None, 3ms);
    }
  }
  SECTION("a failing upstream is ejected and reinstated by a trial") {
    std::uint64_t Id = 1;
    std::vector<Notice> Ejections;
    while (Ejections.empty() && Id < 200) {
      const auto Sent = Test.start(callerRequest(Id++, "POST"), 1ms);
      const bool Fails = Sent.To == NodeId{1};
      Test.end(Sent, Outcome::Answered, OutcomeReason::None, 2ms,
               Fails ? 500 : 200);
      Ejections = all<Notice>(Test.Out);
    }
    REQUIRE(Ejections.at(0).Event == "upstream_ejected");
    for (int Count = 0; Count < 50; ++Count) {
      const auto Sent = Test.start(callerRequest(Id++), 10ms);
      REQUIRE(Sent.To != NodeId{1});
      Test.end(Sent, Outcome::Answered, OutcomeReason::None, 11ms);
    }
    const auto Trial = Test.start(callerRequest(Id++), 1s);
    REQUIRE(Trial.To == NodeId{1});
    Test.end(Trial, Outcome::Answered, OutcomeReason::None, 1002ms);
    REQUIRE(all<Notice>(Test.Out).at(0).Event == "upstream_reinstated");
  }
  SECTION("not all upstreams of a failing service are ejected") {
    for (std::uint64_t Id = 1; Id < 200; ++Id) {
      Test.end(Test.start(callerRequest(Id, "POST"), 1ms), Outcome::Answered,
               OutcomeReason::None, 2ms, 500);
    }
    Test.start(callerRequest(500, "POST"), 3ms);
    REQUIRE(messages<Dispatch>(Test.Out).size() == 1);
  }
  SECTION("a request waits for the first link of its service") {
    IngressSystem Ingress(nodeRun(9), Test.Random);
    Ingress.setCandidates({candidate(1)});
    Actions Out;
    Ingress.start(callerRequest(1), seatsRoute(), at(0ms), Out);
    REQUIRE(Ingress.neededPeers().contains(NodeId{1}));
    REQUIRE(Out.empty());
    SECTION("it is sent when the link is up") {
      Ingress.linkUp(nodeRun(1), at(2ms), Out);
      Ingress.tick(at(5ms), Out);
      REQUIRE(messages<Dispatch>(Out).size() == 1);
    }
    SECTION("it is refused when no link comes up in time") {
      while (all<ReplyToCaller>(Out).empty()) {
        Ingress.tick(*Ingress.nextWakeup(), Out);
      }
      REQUIRE(all<ReplyToCaller>(Out)[0].Reason == OutcomeReason::NoUpstream);
      REQUIRE(all<ReplyToCaller>(Out)[0].Result == Outcome::NotRun);
    }
  }
  SECTION("sampled requests report their hops as spans") {
    CallerRequest Request = callerRequest(1);
    Request.Trace.Sampled = true;
    const auto Sent = Test.start(Request);
    Test.end(Sent, Outcome::Answered, OutcomeReason::None, 3ms);
    const auto Spans = all<SpanFinished>(Test.Out);
    REQUIRE(Spans.size() == 2);
    REQUIRE(Spans[0].Kind == SpanKind::Peer);
    REQUIRE(Spans[0].Span == Sent.Message.Trace.ParentSpan);
    REQUIRE(Spans[0].Trace.ParentSpan == Spans[1].Span);
    REQUIRE(Spans[1].Kind == SpanKind::Ingress);
  }
}
