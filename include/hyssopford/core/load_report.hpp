/// @file
/// @brief The load of an upstream as its owner measures it.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Load that an owner attaches to each reply. Of two reports of one run
/// of the owner, that with the higher sequence is newer.
struct LoadReport {
  std::uint64_t Sequence = 0;
  /// Requests running on the upstream.
  std::uint32_t InFlight = 0;
  /// Requests waiting in the owner's queue.
  std::uint32_t Queued = 0;
  /// Current concurrency limit.
  std::uint32_t Limit = 1;
  /// Smoothed service time of recent answers.
  Duration ServiceTime{0};
  /// Age of the report when it was sent; 0 if made for this message.
  Duration Age{0};
  /// True if the upstream was slowed down: a request started at the time of
  /// the report would run slowly.
  bool Slow = false;
  /// Starts a second that the upstream gets while it is cold; 0 if it is not.
  double ColdRate = 0.0;
  /// How long it stays cold from the time of the report.
  Duration ColdTime{0};

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace hyssopford
