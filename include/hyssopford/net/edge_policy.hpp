/// @file
/// @brief Mapping between HTTP header fields and the data of requests, attempts
/// and answers.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/net/http_forward.hpp"
#include "hyssopford/net/http_server.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief How a response relates to the attempt on whose connection it arrived.
enum class AnswerKind : std::uint8_t {
  /// The upstream's answer to the attempt.
  Answer,
  /// The upstream states that it did not run the request.
  NotRun,
  /// States the same, but may belong to an earlier request on the connection.
  UnprovenNotRun,
  /// An answer to an earlier request on the connection, or to none.
  Mismatched,
  /// Not a valid answer of the upstream; the attempt fails.
  Invalid
};

/// @brief A request that ends without an upstream's answer.
struct EdgeRefusal {
  /// Outcome reported to the caller.
  Outcome Result = Outcome::NotRun;
  /// Stable name of the reason, as written in the answer.
  std::string Reason;
  /// HTTP status of a malformed request; 0 derives the status from Result and
  /// Code.
  int Status = 0;
  OutcomeReason Code = OutcomeReason::None;
  /// Further explanation for the caller; may be empty.
  std::string Detail;
  /// Time after which the caller may try again; 0 if unknown.
  Duration RetryAfter{0};
};

/// @brief Reads and writes the header fields by which callers and upstreams of
/// a deployment exchange identifiers, deadlines, load and outcomes.
class EdgePolicy {
public:
  virtual ~EdgePolicy() = default;

  /// @name Callers
  /// @{

  /// @brief Reads deadline, priority and trace context of a request.
  /// @param Head the request
  /// @param Trusted true for requests of the upstream on this VM
  virtual RequestContext readRequestContext(const Poco::Net::HTTPRequest &Head,
                                            bool Trusted) const = 0;

  /// @return the caller's own identifier of the request, or empty
  virtual std::string
  callerRequestId(const Poco::Net::HTTPRequest &Head) const = 0;

  /// @brief Names the field in which callers state the key of their client
  /// account. The server replaces the field by HttpHeadFacts::Credential.
  /// @return the name; empty if there is no such field
  virtual std::string credentialField() const { return {}; }

  /// @brief Names the fields by which the node and the upstream decide alike
  /// and which a request may therefore have once at most.
  virtual std::vector<std::string> uniqueFields() const { return {}; }

  /// @brief Builds the request that is sent to an upstream.
  /// @param Request the request
  /// @param Trusted true for requests of the upstream on this VM
  virtual Payload forwardedRequest(HttpRequest Request, bool Trusted) const = 0;

  /// @param Reply the reply to the caller
  /// @return field lines added to an upstream's answer, each with its line end
  virtual std::string answerFields(const ReplyToCaller &Reply) const = 0;

  /// @param Refused the refused request
  /// @return the complete answer for its caller
  virtual Payload refusal(const EdgeRefusal &Refused) const = 0;
  /// @}

  /// @name Upstreams
  /// @{

  /// @brief Renders the fields that tell an upstream about an attempt.
  /// @param Attempt the attempt
  /// @param Instance identifier of the upstream that is to run it, or empty
  /// @return field lines, each with its line end
  virtual std::string attemptFields(const ForwardToUpstream &Attempt,
                                    const std::string &Instance) const = 0;

  /// @brief Finds the identifier that the answer must repeat.
  /// @param Request a request as forwardedRequest built it
  /// @return the identifier; empty if answers do not repeat one
  virtual std::string correlationIdOf(std::string_view Request) const = 0;

  /// @brief Classifies a response.
  /// @param Head the response
  /// @param CorrelationId identifier from correlationIdOf(); empty for none
  /// @param IsFirst whether the connection has carried no earlier request and
  /// no other answer, so that an answer without identifier belongs to this one
  virtual AnswerKind classifyResponse(const Poco::Net::HTTPResponse &Head,
                                      const std::string &CorrelationId,
                                      bool IsFirst) const = 0;

  /// @brief Classifies a response to a probe.
  /// @param Head the response
  /// @param IsFirst as for classifyResponse()
  /// @return Answer, Mismatched or, if the probe has to be repeated on a new
  /// connection, Invalid
  virtual AnswerKind classifyProbeResponse(const Poco::Net::HTTPResponse &Head,
                                           bool IsFirst) const = 0;

  /// @brief Reads the upstream's current service time relative to the usual
  /// one.
  /// @param Head the response
  /// @return percent of the usual time, above 100 if slower; 0 if the response
  /// does not state it
  virtual std::uint32_t
  slownessPercentOf(const Poco::Net::HTTPResponse &Head) const = 0;

  /// @brief Reads from a response to a probe how long the upstream stays cold.
  /// @param Head the response
  /// @return the time; 0 if it is not cold or the response does not state it
  virtual Duration coldTimeOf(const Poco::Net::HTTPResponse &Head) const = 0;

  /// @brief Reads from a response to a probe which upstream sent it.
  /// @param Head the response
  /// @return its identifier; empty if the response does not state it
  virtual std::string
  instanceOf(const Poco::Net::HTTPResponse & /*Head*/) const {
    return {};
  }
  /// @}
};

/// @brief The header fields of hyssopford's HTTP interface (docs/http.md).
class DefaultEdgePolicy final : public EdgePolicy {
public:
  RequestContext readRequestContext(const Poco::Net::HTTPRequest &Head,
                                    bool Trusted) const override;
  std::string
  callerRequestId(const Poco::Net::HTTPRequest &Head) const override;
  std::string credentialField() const override;
  std::vector<std::string> uniqueFields() const override;
  Payload forwardedRequest(HttpRequest Request, bool Trusted) const override;
  std::string answerFields(const ReplyToCaller &Reply) const override;
  Payload refusal(const EdgeRefusal &Refused) const override;
  std::string attemptFields(const ForwardToUpstream &Attempt,
                            const std::string &Instance) const override;
  std::string correlationIdOf(std::string_view Request) const override;
  AnswerKind classifyResponse(const Poco::Net::HTTPResponse &Head,
                              const std::string &CorrelationId,
                              bool IsFirst) const override;
  AnswerKind classifyProbeResponse(const Poco::Net::HTTPResponse &Head,
                                   bool IsFirst) const override;
  std::uint32_t
  slownessPercentOf(const Poco::Net::HTTPResponse &Head) const override;
  Duration coldTimeOf(const Poco::Net::HTTPResponse &Head) const override;
};

/// @return the shared instance of DefaultEdgePolicy
const EdgePolicy &defaultEdgePolicy();

/// @brief Maps the outcome of a request to the HTTP status for its caller.
/// @param Result the outcome, other than Answered
/// @param Reason the reason of the outcome
/// @return the HTTP status, as in section 7 of the design page
int statusOf(Outcome Result, OutcomeReason Reason);

} // namespace hyssopford
