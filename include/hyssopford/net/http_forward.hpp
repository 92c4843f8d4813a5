/// @file
/// @brief Conversion of HTTP requests and answers for forwarding.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/time.hpp"
#include "hyssopford/core/trace_context.hpp"
#include "hyssopford/net/http_head.hpp"
#include "hyssopford/net/http_server.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Deadline, priority and trace context that a request carries.
struct RequestContext {
  /// Time left for the request.
  std::optional<Duration> Deadline;
  std::optional<Priority> Class;
  /// True for a retry or a hedge.
  bool IsExtra = false;
  std::optional<TraceContext> Trace;

  friend bool operator==(const RequestContext &,
                         const RequestContext &) = default;
};

/// @brief Reads Hyssopford-Timeout-Ms, traceparent and, from the upstream on
/// this VM only, Hyssopford-Priority and Hyssopford-Extra.
/// @param Head the request
/// @param Trusted true for requests of the upstream on this VM
/// @return the values; absent and malformed ones are left empty
RequestContext parseRequestContext(const Poco::Net::HTTPRequest &Head,
                                   bool Trusted);

/// @brief Renders the fields that tell an upstream about an attempt.
/// @param Attempt the attempt
/// @return field lines, each with its line end
std::string renderAttemptFields(const ForwardToUpstream &Attempt);

/// @brief Builds the request for an upstream from a caller's request, without
/// hop-by-hop and Hyssopford-* fields.
/// @param Request the caller's request
/// @param ShouldDrop returns true for names of further fields to leave out
/// @param AddedFields field lines to add, each with its line end
/// @return request line, fields and body
Payload
renderForwardedRequest(HttpRequest Request,
                       const std::function<bool(std::string_view)> &ShouldDrop,
                       const std::string &AddedFields);

/// @brief Builds the request for an upstream: without hop-by-hop and
/// Hyssopford-* fields, with Forwarded, X-Forwarded-* and Via.
/// @param Request the request
/// @param Trusted true for requests of the upstream on this VM, whose
/// Forwarded fields are kept
/// @return request line, fields and body
Payload buildForwardedRequest(HttpRequest Request, bool Trusted);

/// @brief Builds the answer for a caller from an upstream's answer, without
/// hop-by-hop and Hyssopford-* fields.
/// @param Head status line and fields of the upstream's answer
/// @param Body its body
/// @param IsHeadRequest true if the request's method was HEAD
/// @param Memory memory charged for the answer
/// @return status line, fields and body
Payload buildForwardedAnswer(const Poco::Net::HTTPResponse &Head,
                             std::string Body, bool IsHeadRequest,
                             MemoryCharge Memory = {});

/// @brief Tells whether a field of a message is passed on.
/// @param Head the message
/// @param Name name of the field
/// @return false for hop-by-hop fields, those that Connection names included,
/// and for Hyssopford-* fields
bool isForwardedField(const Poco::Net::HTTPMessage &Head,
                      std::string_view Name);

/// @return the path of the request target, without scheme, authority and query
std::string_view pathOf(const Poco::Net::HTTPRequest &Head,
                        const HttpHeadFacts &Facts);

} // namespace hyssopford
