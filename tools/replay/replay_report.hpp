/// @file
/// @brief Replays a trace through the core and compares it with stated
/// outcomes.
#pragma once

#include "trace_file.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hyssopford::replay {

/// @brief What became of the requests of one service.
struct ServiceReport {
  std::string Service;
  std::size_t Requests = 0;
  /// Shares of the requests in percent.
  double Answered = 0;
  double NotRun = 0;
  double Unknown = 0;
  double Extra = 0;
  /// Latencies in ms.
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;

  friend bool operator==(const ServiceReport &,
                         const ServiceReport &) = default;
};

/// @brief An outcome that each service must have.
struct StatedOutcome {
  /// Name of a field: answered, not-run, unknown, extra, p50, p99 or p99.9.
  std::string Measure;
  bool AtLeast = false;
  double Bound = 0;

  friend bool operator==(const StatedOutcome &,
                         const StatedOutcome &) = default;
};

/// @brief Parses a stated outcome, e.g. "answered>=99.9" or "p99<=40".
/// @return the outcome, or nothing if it has another form
std::optional<StatedOutcome> parseOutcome(const std::string &Text);

/// @brief Replays each service of a trace.
/// @param Recorded the trace
/// @param Case the condition during the replay
/// @param Settings the constants of the core
/// @param Seed start value of the random source
std::vector<ServiceReport> replayTrace(const Trace &Recorded,
                                       experiment::Condition Case,
                                       const DecisionSettings &Settings,
                                       std::uint64_t Seed);

/// @return one line for each outcome that a report violates
std::vector<std::string> violations(const std::vector<ServiceReport> &Reports,
                                    const std::vector<StatedOutcome> &Stated);

} // namespace hyssopford::replay
