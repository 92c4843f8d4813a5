#include "hyssopford/net/edge_policy.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// Value of Retry-After for requests that did not run.
constexpr int RetryAfterSeconds = 1;

} // namespace

RequestContext
DefaultEdgePolicy::readRequestContext(const Poco::Net::HTTPRequest &Head,
                                      bool Trusted) const {
  return parseRequestContext(Head, Trusted);
}

std::string
DefaultEdgePolicy::callerRequestId(const Poco::Net::HTTPRequest &Head) const {
  return Head.get("X-Request-Id", "");
}

std::string DefaultEdgePolicy::credentialField() const {
  return "Hyssopford-Credential";
}

std::vector<std::string> DefaultEdgePolicy::uniqueFields() const {
  return {"Idempotency-Key", "Authorization", "Hyssopford-Timeout-Ms"};
}

Payload DefaultEdgePolicy::forwardedRequest(HttpRequest Request,
                                            bool Trusted) const {
  return buildForwardedRequest(std::move(Request), Trusted);
}

std::string DefaultEdgePolicy::answerFields(const ReplyToCaller &Reply) const {
  std::string Fields;
  if (Reply.Result == Outcome::Answered) {
    Fields = fmt::format("Hyssopford-Outcome: answered\r\n"
                         "Hyssopford-Attempts: {}\r\n"
                         "Hyssopford-Owner: {}\r\n",
                         Reply.Attempts, toString(Reply.Owner));
    if (Reply.Replayed) {
      Fields += "Hyssopford-Replayed: 1\r\n";
    }
    return Fields;
  }
  return fmt::format("Hyssopford-Attempts: {}\r\n", Reply.Attempts);
}

Payload DefaultEdgePolicy::refusal(const EdgeRefusal &Refused) const {
  const int Status = Refused.Status != 0
                         ? Refused.Status
                         : statusOf(Refused.Result, Refused.Code);
  std::string Fields = fmt::format("Content-Type: application/json\r\n"
                                   "Hyssopford-Outcome: {}\r\n"
                                   "Hyssopford-Reason: {}\r\n",
                                   toString(Refused.Result), Refused.Reason);
  if (Status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
    Fields += fmt::format("Retry-After: {}\r\n", RetryAfterSeconds);
  } else if (Status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS) {
    // Whole seconds (RFC 9110, section 10.2.3), rounded up.
    const auto Wait = std::chrono::ceil<std::chrono::seconds>(
        std::max<Duration>(Refused.RetryAfter, 1s));
    Fields += fmt::format("Retry-After: {}\r\n", Wait.count());
  }
  const std::string Body =
      Refused.Detail.empty()
          ? fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                        toString(Refused.Result), Refused.Reason)
          : fmt::format(
                "{{\"outcome\":\"{}\",\"reason\":\"{}\",\"detail\":\"{}\"}}\n",
                toString(Refused.Result), Refused.Reason, Refused.Detail);
  return makeHttpAnswer(Status, Fields, Body);
}

std::string
DefaultEdgePolicy::attemptFields(const ForwardToUpstream &Attempt,
                                 const std::string & /*Instance*/) const {
  return renderAttemptFields(Attempt);
}

std::string
DefaultEdgePolicy::correlationIdOf(std::string_view /*Request*/) const {
  return {};
}

AnswerKind
DefaultEdgePolicy::classifyResponse(const Poco::Net::HTTPResponse & /*Head*/,
                                    const std::string & /*CorrelationId*/,
                                    bool /*IsFirst*/) const {
  return AnswerKind::Answer;
}

AnswerKind DefaultEdgePolicy::classifyProbeResponse(
    const Poco::Net::HTTPResponse & /*Head*/, bool /*IsFirst*/) const {
  return AnswerKind::Answer;
}

std::uint32_t DefaultEdgePolicy::slownessPercentOf(
    const Poco::Net::HTTPResponse & /*Head*/) const {
  return 0;
}

Duration
DefaultEdgePolicy::coldTimeOf(const Poco::Net::HTTPResponse & /*Head*/) const {
  return Duration{0};
}

const EdgePolicy &defaultEdgePolicy() {
  static const DefaultEdgePolicy Policy;
  return Policy;
}

int statusOf(Outcome Result, OutcomeReason Reason) {
  if (Result == Outcome::Unknown) {
    return 502;
  }
  switch (Reason) {
  case OutcomeReason::NoRoute:
    return 404;
  case OutcomeReason::UnknownCredential:
    return 401;
  case OutcomeReason::AllotmentExceeded:
    return 429;
  case OutcomeReason::KeyReused:
    return 422;
  case OutcomeReason::DeadlineExceeded:
  case OutcomeReason::DeadlineTooClose:
    return 504;
  default:
    return 503;
  }
}

} // namespace hyssopford
