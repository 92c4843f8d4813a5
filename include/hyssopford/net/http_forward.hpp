/// @file
/// @brief Form in which requests and answers pass between nodes.
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

/// @brief What a request states about its place in a call chain.
struct RequestContext {
  std::optional<Duration> Deadline;
  std::optional<Priority> Class;
  bool IsExtra = false;
  std::optional<TraceContext> Trace;

  friend bool operator==(const RequestContext &,
                         const RequestContext &) = default;
};

/// @brief Reads Hyssopford-Timeout-Ms, traceparent and, from the upstream on
/// this VM only, Hyssopford-Priority and Hyssopford-Extra.
/// @param Head the request
/// @param Trusted true for requests of the upstream on this VM
/// @return the values; malformed ones are left out
RequestContext parseRequestContext(const Poco::Net::HTTPRequest &Head,
                                   bool Trusted);

/// @brief Renders the fields that tell an upstream about an attempt.
/// @param Attempt the attempt
/// @return field lines, each with its line end
std::string renderAttemptFields(const ForwardToUpstream &Attempt);

/// @brief Builds a request for an upstream from that of a caller, without
/// hop-by-hop fields.
/// @param Request the request
/// @param Drops says which further fields are left out
/// @param Added field lines that are added, each with its line end
/// @return request line, fields and body
Payload
renderForwardedRequest(const HttpRequest &Request,
                       const std::function<bool(std::string_view)> &Drops,
                       const std::string &Added);

/// @brief Builds the form of a request in which upstreams get it: without
/// hop-by-hop and internal fields, with Forwarded, X-Forwarded-* and Via.
/// @param Request the request
/// @param Trusted true for requests of the upstream on this VM, whose
/// Forwarded fields are kept
/// @return request line, fields and body
Payload buildForwardedRequest(const HttpRequest &Request, bool Trusted);

/// @brief Builds the form of an upstream's answer in which callers get it:
/// without hop-by-hop and internal fields.
/// @param Head the upstream's answer
/// @param Body its body
/// @param ToHead true if the request's method was HEAD
/// @return status line, fields and body
Payload buildForwardedAnswer(const Poco::Net::HTTPResponse &Head,
                             std::string_view Body, bool ToHead);

/// @return the path of a request target without query
std::string_view pathOf(const Poco::Net::HTTPRequest &Head,
                        const HttpHeadFacts &Facts);

} // namespace hyssopford
