/// @file
/// @brief Trace context of a request.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief Trace and parent span of a request, as in W3C Trace Context level 1,
/// section 3.2.
struct TraceContext {
  std::uint64_t TraceHigh = 0;
  std::uint64_t TraceLow = 0;
  std::uint64_t ParentSpan = 0;
  bool Sampled = false;

  friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

} // namespace hyssopford
