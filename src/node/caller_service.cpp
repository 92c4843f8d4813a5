#include "hyssopford/node/caller_service.hpp"

#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/net/http_forward.hpp"

#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// Seconds after which a caller may repeat a request that did not run.
constexpr int RetryAfterSeconds = 1;

/// Builds an answer of the node itself.
Payload ownAnswer(int Status, Outcome Result, const char *Reason,
                  const std::string &Detail) {
  std::string Fields = fmt::format("Content-Type: application/json\r\n"
                                   "Hyssopford-Outcome: {}\r\n"
                                   "Hyssopford-Reason: {}\r\n",
                                   toString(Result), Reason);
  if (Status == 503) {
    Fields += fmt::format("Retry-After: {}\r\n", RetryAfterSeconds);
  }
  const std::string Body =
      Detail.empty()
          ? fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                        toString(Result), Reason)
          : fmt::format(
                "{{\"outcome\":\"{}\",\"reason\":\"{}\",\"detail\":\"{}\"}}\n",
                toString(Result), Reason, Detail);
  return makeHttpAnswer(Status, Fields, Body);
}

} // namespace

int statusOf(Outcome Result, OutcomeReason Reason) {
  if (Result == Outcome::Unknown) {
    return 502;
  }
  switch (Reason) {
  case OutcomeReason::NoRoute:
    return 404;
  case OutcomeReason::KeyReused:
    return 422;
  case OutcomeReason::DeadlineExceeded:
  case OutcomeReason::DeadlineTooClose:
    return 504;
  default:
    return 503;
  }
}

CallerService::CallerService(CoreDriver &Target, bool FromUpstream)
    : Driver(Target), Trusted(FromUpstream),
      TraceSource(std::random_device{}()) {}

void CallerService::answer(const ReplyToCaller &Reply) {
  const std::string Common =
      fmt::format("Hyssopford-Attempts: {}\r\n", Reply.Attempts);
  if (Reply.Result != Outcome::Answered) {
    Server->reply(Reply.Id,
                  ownAnswer(statusOf(Reply.Result, Reply.Reason), Reply.Result,
                            toString(Reply.Reason), {}),
                  Common);
    return;
  }
  std::string Fields = fmt::format("Hyssopford-Outcome: answered\r\n{}"
                                   "Hyssopford-Owner: {}\r\n",
                                   Common, toString(Reply.Owner));
  if (Reply.Replayed) {
    Fields += "Hyssopford-Replayed: 1\r\n";
  }
  Server->reply(Reply.Id, Reply.Answer, Fields);
}

HeadDecision CallerService::onHead(const Poco::Net::HTTPRequest &Head,
                                   const HttpHeadFacts &Facts) {
  HeadDecision Decision;
  if (Refusing) {
    Decision.Refusal = ownAnswer(503, Outcome::NotRun,
                                 toString(OutcomeReason::ShuttingDown), {});
    return Decision;
  }
  const Route *Matched = findRoute(Driver.core().config(), Facts.Host,
                                   pathOf(Head, Facts), Head.getMethod());
  if (Matched == nullptr) {
    Decision.Refusal =
        ownAnswer(404, Outcome::NotRun, toString(OutcomeReason::NoRoute), {});
    return Decision;
  }
  Decision.BodyLimit = Matched->BodyLimit;
  return Decision;
}

void CallerService::onRequest(RequestId Id, HttpRequest Request) {
  const HopFields Hop = readHopFields(Request.Head, Trusted);
  CallerRequest Input;
  Input.Id = Id;
  Input.Method = Request.Head.getMethod();
  Input.Host = Request.Facts.Host;
  Input.Path = std::string(pathOf(Request.Head, Request.Facts));
  Input.Deadline = Hop.Deadline;
  Input.Class = Hop.Class;
  Input.Key = Request.Head.get("Idempotency-Key", "");
  Input.BodyHash = hashBytes(Request.Body);
  Input.BodySize = Request.Body.size();
  Input.IsExtra = Hop.IsExtra;
  Input.Trace = Hop.Trace ? *Hop.Trace : newTrace();
  Input.ServeInShutdown = true;
  Input.Request = buildForwardedRequest(Request, Trusted);
  if (Telemetry != nullptr) {
    Telemetry->requestStarted(Id, EventLoop::now());
  }
  Driver.submit(std::move(Input));
}

void CallerService::onGone(RequestId Id) {
  if (Telemetry != nullptr) {
    Telemetry->requestDropped(Id);
  }
  Driver.submit(CallerGone{Id});
}

void CallerService::onRefused(const HttpFault & /*Fault*/) {
  ++RefusedRequests;
}

Payload CallerService::refusal(const HttpFault &Fault) {
  const char *Reason = "bad-request";
  if (Fault.Status == 413) {
    Reason = "body-too-large";
  } else if (Fault.Status == 503) {
    Reason = toString(OutcomeReason::ShuttingDown);
  }
  return ownAnswer(Fault.Status, Outcome::NotRun, Reason, Fault.Reason);
}

TraceContext CallerService::newTrace() {
  TraceContext Trace;
  Trace.TraceHigh = TraceSource();
  Trace.TraceLow = TraceSource();
  // Zero is not a valid identifier.
  Trace.ParentSpan = TraceSource() | 1U;
  Trace.Sampled = Sampler.isSampled(Trace.TraceLow);
  return Trace;
}

} // namespace hyssopford
