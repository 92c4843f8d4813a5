/// @file
/// @brief Settable behaviour of the upstream stand-in.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace hyssopford {

/// @brief What the stand-in does; changed while it runs.
struct Behaviour {
  std::string Service;
  std::string Instance;
  std::atomic<std::uint32_t> Slots{10};
  /// Time that a request takes.
  std::atomic<std::int64_t> ServiceTimeUs{2'000};
  /// Share of requests answered with 500, in per mille.
  std::atomic<std::uint32_t> ErrorPerMille{0};
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  /// Requests that ran.
  std::atomic<std::uint64_t> Runs{0};
  std::atomic<std::uint32_t> Running{0};
};

} // namespace hyssopford
