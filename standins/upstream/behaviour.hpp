/// @file
/// @brief Settings, state and counters of the upstream stand-in.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace hyssopford {

/// @brief Shared by the handlers and the thread that sends announcements.
/// Service and Instance are set at the start; the rest changes at run time.
struct Behaviour {
  /// Name of the service in announcements and answers.
  std::string Service;
  /// Name of this instance in answers.
  std::string Instance;
  /// Number of concurrent requests announced to the node.
  std::atomic<std::uint32_t> Slots{10};
  /// Time to serve a request without X-Service-Time-Us.
  std::atomic<std::int64_t> ServiceTimeUs{2'000};
  /// Share of requests answered with 500, in per mille.
  std::atomic<std::uint32_t> ErrorPerMille{0};
  /// The announced state is "draining" instead of "serving".
  std::atomic<bool> Draining{false};
  /// The process withdraws its announcement and ends.
  std::atomic<bool> Stopping{false};
  /// Requests received by the service since the start.
  std::atomic<std::uint64_t> Runs{0};
  /// Requests in flight.
  std::atomic<std::uint32_t> Running{0};
};

} // namespace hyssopford
