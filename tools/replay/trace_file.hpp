/// @file
/// @brief Recorded traces of a site. docs/replay.md describes the format.
#pragma once

#include "hyssopford/core/error.hpp"
#include "site.hpp"

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford::replay {

/// @brief A service as the header of a trace describes it.
struct TracedService {
  std::uint32_t Instances = 1;
  std::uint32_t Slots = 1;
  /// Requests in order of their arrival.
  std::vector<experiment::Arrival> Arrivals;

  friend bool operator==(const TracedService &,
                         const TracedService &) = default;
};

/// @brief A recorded trace.
struct Trace {
  std::string Site;
  std::uint32_t FailureDomains = 3;
  /// Round trip between two failure domains.
  Duration RoundTrip{0};
  std::map<std::string, TracedService> Services;

  friend bool operator==(const Trace &, const Trace &) = default;
};

/// @brief Reads a trace: a header line, then one JSON object a line for each
/// request.
/// @param Input the lines
/// @param LastError receives the line and what was expected
/// @return the trace, or nothing
/// @note Complexity: n log n for n lines.
std::optional<Trace> readTrace(std::istream &Input, Error &LastError);

} // namespace hyssopford::replay
