/// @file
/// @brief The load of an upstream as its owner knows it.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Load that an owner attaches to each reply. Within one run of the
/// owner a higher sequence is newer.
struct LoadReport {
  std::uint64_t Sequence = 0;
  /// Requests running on the upstream.
  std::uint32_t InFlight = 0;
  /// Requests waiting in the owner's queue.
  std::uint32_t Queued = 0;
  /// Concurrency limit in force.
  std::uint32_t Limit = 1;
  /// Smoothed service time of recent answers.
  Duration ServiceTime{0};
  /// Age of the report when it was sent; 0 if it was made for the message.
  Duration Age{0};
  /// True if a request that the upstream started then would run slowly.
  bool Slow = false;

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace hyssopford
