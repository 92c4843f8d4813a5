/// @file
/// @brief What requests and answers carry besides their content.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/net/http_forward.hpp"
#include "hyssopford/net/http_server.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief What an upstream's response says of the attempt it arrived for.
enum class AnswerKind : std::uint8_t {
  /// The upstream's answer to the attempt.
  Answer,
  /// The upstream states that it did not run the request.
  NotRun,
  /// The answer to another request, which arrived late.
  Mismatched,
  /// Not an answer that the upstream meant to give.
  Invalid
};

/// @brief A request that ends without an upstream's answer.
struct EdgeRefusal {
  Outcome Result = Outcome::NotRun;
  /// Stable name of the reason.
  std::string Reason;
  /// Status of a request that is refused for its form; otherwise 0.
  int Status = 0;
  OutcomeReason Code = OutcomeReason::None;
  std::string Detail;
  Duration RetryAfter{0};
};

/// @brief Header fields with which a deployment's callers and upstreams state
/// identifiers, deadlines, load and outcomes.
class EdgePolicy {
public:
  virtual ~EdgePolicy() = default;

  /// @name Callers
  /// @{

  /// @brief Reads what a request states about its place in a call chain.
  /// @param Head the request
  /// @param Trusted true for requests of the upstream on this VM
  virtual RequestContext readRequestContext(const Poco::Net::HTTPRequest &Head,
                                            bool Trusted) const = 0;

  /// @return the identifier under which the caller knows the request, or empty
  virtual std::string
  callerRequestId(const Poco::Net::HTTPRequest &Head) const = 0;

  /// @brief Builds the form of a request in which upstreams get it.
  /// @param Request the request
  /// @param Trusted true for requests of the upstream on this VM
  virtual Payload forwardedRequest(const HttpRequest &Request,
                                   bool Trusted) const = 0;

  /// @return field lines for an upstream's answer, each with its line end
  virtual std::string answerFields(const ReplyToCaller &Reply) const = 0;

  /// @return the complete answer to a refused request
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

  /// @brief Finds the identifier that the answer to a request must repeat.
  /// @param Request a request as forwardedRequest built it
  /// @return the identifier; empty if answers repeat none
  virtual std::string correlationIdOf(std::string_view Request) const = 0;

  /// @brief Judges a response.
  /// @param Head the response
  /// @param Echo the identifier that it must repeat, if not empty
  virtual AnswerKind classifyResponse(const Poco::Net::HTTPResponse &Head,
                                      const std::string &Echo) const = 0;

  /// @brief Reads the time that work takes at the upstream now.
  /// @return percent of the usual time; 0 if the response does not state it
  virtual std::uint32_t
  slownessPercentOf(const Poco::Net::HTTPResponse &Head) const = 0;
  /// @}
};

/// @brief The header fields of hyssopford's own interface (docs/http.md).
class DefaultEdgePolicy final : public EdgePolicy {
public:
  RequestContext readRequestContext(const Poco::Net::HTTPRequest &Head,
                                    bool Trusted) const override;
  std::string
  callerRequestId(const Poco::Net::HTTPRequest &Head) const override;
  Payload forwardedRequest(const HttpRequest &Request,
                           bool Trusted) const override;
  std::string answerFields(const ReplyToCaller &Reply) const override;
  Payload refusal(const EdgeRefusal &Refused) const override;
  std::string attemptFields(const ForwardToUpstream &Attempt,
                            const std::string &Instance) const override;
  std::string correlationIdOf(std::string_view Request) const override;
  AnswerKind classifyResponse(const Poco::Net::HTTPResponse &Head,
                              const std::string &Echo) const override;
  std::uint32_t
  slownessPercentOf(const Poco::Net::HTTPResponse &Head) const override;
};

/// @return the policy of the own interface
const EdgePolicy &defaultEdgePolicy();

/// @brief Maps the outcome of a request to the status for its caller.
/// @param Result the outcome, other than Answered
/// @param Reason why
/// @return the HTTP status, as in section 7 of the design page
int statusOf(Outcome Result, OutcomeReason Reason);

} // namespace hyssopford
