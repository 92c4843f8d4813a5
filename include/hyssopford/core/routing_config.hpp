/// @file
/// @brief Routing configuration as operators accepted it.
#pragma once

#include "hyssopford/core/accounts/client_account.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/priority.hpp"
#include "hyssopford/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief One part of a traffic split.
struct ServiceShare {
  std::string Service;
  /// Share of the requests, relative to the other parts.
  std::uint32_t Weight = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// @brief Maps requests to a service and sets how they are handled.
struct Route {
  /// Unique name, used in logs, metrics and traces.
  std::string Name;
  /// Host to match; empty matches every host.
  std::string Host;
  /// Path prefix to match on segment boundaries.
  std::string PathPrefix = "/";
  /// Methods to match; empty matches all.
  std::vector<std::string> Methods;
  /// Service that serves the requests; unused if there is a split.
  std::string Service;
  /// Services that share the requests in proportion to their weights.
  std::vector<ServiceShare> Split;
  /// Time for the whole request unless the caller sets a shorter one.
  Duration Deadline = 1s;
  /// Latency that the service should meet; 0 if none is configured.
  Duration TargetLatency{0};
  /// Overrides the method's idempotency (RFC 9110, section 9.2.2).
  std::optional<bool> Idempotent;
  Priority Class = Priority::Normal;
  /// Upper limit of attempts for one request, including the first.
  std::uint32_t AttemptLimit = 3;
  /// Largest request body in bytes.
  std::uint64_t BodyLimit = 1'048'576;
  /// Whether requests need no credential of a client account.
  bool IsPublic = false;

  friend bool operator==(const Route &, const Route &) = default;
};

/// @brief Lifts a quarantine: from this configuration version on, requests with
/// the fingerprint are allowed until they crash upstreams again.
struct QuarantineLift {
  std::uint64_t Fingerprint = 0;
  /// Operators increase it to lift the quarantine of the same fingerprint
  /// again.
  std::uint64_t Serial = 0;

  friend bool operator==(const QuarantineLift &,
                         const QuarantineLift &) = default;
};

/// @brief Limits for connections of callers, set by operators.
struct CallerLimits {
  /// Largest request line and header fields of a request, in bytes.
  std::size_t HeadBytes = 32'768;
  /// Time in which these must arrive after their first byte.
  Duration HeadTimeout = 10s;
  /// Time for which a connection may wait for its next request.
  Duration IdleTimeout = 60s;

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// @brief Settings of a service, set by operators.
struct ServiceSettings {
  std::string Name;
  /// Path of the health endpoint of its upstreams.
  std::string HealthPath = "/";
  /// Connections that an upstream accepts; 0 if not configured.
  std::uint32_t ConnectionLimit = 0;
  /// Time for which an upstream is cold after its start.
  Duration ColdTime{0};
  /// Requests a second that a cold upstream tolerates; 0 for no limit.
  double ColdRate = 0.0;

  friend bool operator==(const ServiceSettings &,
                         const ServiceSettings &) = default;
};

/// @brief One numbered version of the site's configuration.
struct RoutingConfig {
  std::uint64_t Version = 0;
  /// Routes in order of precedence among equally specific ones.
  std::vector<Route> Routes;
  /// Peer addresses ("ip:port") of the nodes whose upstreams are drained.
  std::vector<std::string> Drains;
  std::vector<QuarantineLift> Lifts;
  /// Limits for callers; without them the settings of each node apply.
  std::optional<CallerLimits> Callers;
  /// Settings of services that have any.
  std::vector<ServiceSettings> Services;
  /// Whether requests on routes that are not public need a credential.
  bool HasAccounts = false;
  std::vector<ClientAccount> Accounts;

  friend bool operator==(const RoutingConfig &,
                         const RoutingConfig &) = default;
};

/// @brief Finds the route of a request. A route with an exact host takes
/// precedence, then the longest path prefix, then the earliest route.
/// @param Config the configuration to search
/// @param Host the request's host without port, in lower case
/// @param Path the request's path without query
/// @param Method the request's method
/// @return the route, or nullptr if none matches
/// @note Complexity: linear in the number of routes.
const Route *findRoute(const RoutingConfig &Config, std::string_view Host,
                       std::string_view Path, std::string_view Method);

/// @brief Tests whether a method is idempotent by RFC 9110, section 9.2.2.
/// @param Method the method's name, case-sensitive
/// @return true for GET, HEAD, OPTIONS, TRACE, PUT and DELETE
bool isIdempotentMethod(std::string_view Method);

/// @brief Decides whether a request may run again, by its route or its method.
/// @param Matched the route
/// @param Method the request's method
/// @return true if the request may run more than once
bool isIdempotent(const Route &Matched, std::string_view Method);

/// @brief Gives the time that a request has.
/// @param Matched the route, whose deadline is the upper bound
/// @param Stated remaining time stated by the caller, if any
/// @return the time from the arrival of the request
Duration timeLimit(const Route &Matched, std::optional<Duration> Stated);

} // namespace hyssopford
