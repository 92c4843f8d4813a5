#include "hyssopford/node/caller_service.hpp"

#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/net/http_forward.hpp"
#include "hyssopford/net/peer_links.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Retry-After of refusals that are sent before the request body is read.
constexpr Duration RefusalRetryAfter = 150ms;
/// Memory charged for a request besides its head and body, in bytes.
constexpr std::size_t RequestOverhead = 4'096;
/// Largest body that reaches another node with its head, in bytes.
constexpr std::uint64_t LargestBody = PeerPayloadLimit - 1'048'576;

EdgeRefusal makeRefusal(OutcomeReason Reason) {
  EdgeRefusal Refused;
  Refused.Code = Reason;
  Refused.Reason = toString(Reason);
  return Refused;
}

} // namespace

CallerService::CallerService(CoreDriver &Target, const EdgePolicy &Fields,
                             bool FromUpstream)
    : Driver(Target), Edge(Fields), Trusted(FromUpstream),
      TraceSource(std::random_device{}()) {}

void CallerService::answer(const ReplyToCaller &Reply) {
  if (Reply.Result == Outcome::Answered) {
    Server->reply(Reply.Id, Reply.Answer, Edge.answerFields(Reply));
    return;
  }
  CredentialRefusals +=
      Reply.Reason == OutcomeReason::UnknownCredential ? 1 : 0;
  EdgeRefusal Refused = makeRefusal(Reply.Reason);
  Refused.Result = Reply.Result;
  Refused.RetryAfter = Reply.RetryAfter;
  Server->reply(Reply.Id, Edge.refusal(Refused), Edge.answerFields(Reply));
}

HeadDecision CallerService::onHead(const Poco::Net::HTTPRequest &Head,
                                   const HttpHeadFacts &Facts) {
  HeadDecision Decision;
  Decision.DiscardBody = true;
  Decision.BodyLimit = HeadDecision::DiscardLimit;
  const RoutingConfig &Config = Driver.core().config();
  if (Refusing) {
    Decision.Refusal = refuseHead(Head, OutcomeReason::ShuttingDown);
    return Decision;
  }
  if (Config.Version == 0) {
    Decision.Refusal = refuseHead(Head, OutcomeReason::NoConfig);
    return Decision;
  }
  const Route *Matched =
      findRoute(Config, Facts.Host, pathOf(Head, Facts), Head.getMethod());
  if (Matched == nullptr) {
    Decision.Refusal = refuseHead(Head, OutcomeReason::NoRoute);
    return Decision;
  }
  const Authorization Granted =
      Driver.core().authorize(*Matched, Facts.Credential);
  if (Granted.Refusal != OutcomeReason::None) {
    Decision.Refusal = refuseHead(Head, Granted.Refusal);
    return Decision;
  }
  if (!canServe(Head, Facts)) {
    Decision.Refusal =
        refuseHead(Head, OutcomeReason::ShuttingDown, Granted.Account);
    return Decision;
  }
  Decision.BodyLimit = std::min(Matched->BodyLimit, LargestBody);
  if (Memory != nullptr) {
    Decision.BodyLimit = std::min<std::uint64_t>(
        Decision.BodyLimit,
        Memory->largeLimit() -
            std::min(Memory->largeLimit(), RequestOverhead + Facts.HeadBytes));
  }
  if (Memory != nullptr && Facts.ContentLength <= Decision.BodyLimit) {
    std::optional<MemoryCharge> Charge =
        Memory->reserve(static_cast<std::size_t>(Facts.ContentLength) +
                            RequestOverhead + Facts.HeadBytes,
                        MemoryUse::Request);
    if (!Charge) {
      Decision.Refusal =
          refuseHead(Head, OutcomeReason::NoMemory, Granted.Account);
      return Decision;
    }
    Decision.Memory = std::move(*Charge);
  }
  return Decision;
}

bool CallerService::canServe(const Poco::Net::HTTPRequest &Head,
                             const HttpHeadFacts &Facts) {
  const IngressSystem &Ingress = Driver.core().ingress();
  if (!Ingress.isWorkLimited()) {
    return true;
  }
  const Route *Matched = findRoute(Driver.core().config(), Facts.Host,
                                   pathOf(Head, Facts), Head.getMethod());
  return Matched == nullptr ||
         Ingress.mayStart(*Matched, Head.getMethod(),
                          Edge.readRequestContext(Head, Trusted).Deadline,
                          EventLoop::now());
}

Payload CallerService::refuseHead(const Poco::Net::HTTPRequest &Head,
                                  OutcomeReason Reason,
                                  const ClientAccount *Account) {
  if (Telemetry != nullptr) {
    Telemetry->log(LogLevel::Info, "request_refused",
                   {{"id", Edge.callerRequestId(Head)},
                    {"reason", toString(Reason)},
                    {"target", Head.getURI()},
                    {"account", Account == nullptr ? "" : Account->Name},
                    {"config_version", Driver.core().config().Version}});
  }
  CredentialRefusals += Reason == OutcomeReason::UnknownCredential ? 1 : 0;
  EdgeRefusal Refused = makeRefusal(Reason);
  Refused.RetryAfter = RefusalRetryAfter;
  return Edge.refusal(Refused);
}

void CallerService::onRequest(RequestId Id, HttpRequest Request) {
  const RequestContext Hop = Edge.readRequestContext(Request.Head, Trusted);
  CallerRequest Input;
  Input.Id = Id;
  Input.Method = Request.Head.getMethod();
  Input.CallerRequestId = Edge.callerRequestId(Request.Head);
  Input.Host = Request.Facts.Host;
  Input.Path = std::string(pathOf(Request.Head, Request.Facts));
  Input.Deadline = Hop.Deadline;
  Input.Class = Hop.Class;
  const std::size_t HostEnd = Request.Peer.rfind(':');
  Input.FromUpstreamAddress =
      !UpstreamIp.empty() && Request.Peer.substr(0, HostEnd) == UpstreamIp;
  Input.Key = Request.Head.get("Idempotency-Key", "");
  Input.BodyHash = hashBytes(Request.Body);
  Input.BodySize = Request.Body.size();
  Input.CredentialsHash = hashBytes(Request.Head.get("Authorization", ""));
  Input.Credential = Request.Facts.Credential;
  Input.IsExtra = Hop.IsExtra;
  Input.Trace = Hop.Trace ? *Hop.Trace : newTrace();
  Input.ServeInShutdown = true;
  Input.Request = Edge.forwardedRequest(std::move(Request), Trusted);
  if (Telemetry != nullptr) {
    Telemetry->requestStarted(Id, EventLoop::now());
  }
  Driver.submit(std::move(Input));
}

void CallerService::onDisconnected(RequestId Id) {
  if (Telemetry != nullptr) {
    Telemetry->requestDropped(Id);
  }
  Driver.submit(CallerGone{Id});
}

void CallerService::onRefused(const HttpFault & /*Fault*/) {
  ++RefusedRequests;
}

Payload CallerService::refusal(const HttpFault &Fault) {
  EdgeRefusal Refused =
      makeRefusal(Fault.LacksMemory ? OutcomeReason::NoMemory
                                    : OutcomeReason::ShuttingDown);
  Refused.Status = Fault.Status;
  Refused.Detail = Fault.Reason;
  if (Fault.Status == Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE) {
    Refused.Reason = "body-too-large";
  } else if (Fault.Status !=
             Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
    Refused.Reason = "bad-request";
  }
  return Edge.refusal(Refused);
}

TraceContext CallerService::newTrace() {
  TraceContext Trace;
  Trace.TraceHigh = TraceSource();
  Trace.TraceLow = TraceSource();
  // A span identifier of zero is invalid (W3C Trace Context, section 3.2.2.4).
  Trace.ParentSpan = TraceSource() | 1U;
  Trace.Sampled = Sampler.isSampled(Trace.TraceLow);
  return Trace;
}

} // namespace hyssopford
