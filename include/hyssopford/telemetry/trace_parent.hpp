/// @file
/// @brief The traceparent header of W3C Trace Context, level 1.
#pragma once

#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/trace_context.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Parses a traceparent value (W3C Trace Context level 1, section 3.2).
/// Values of later versions are parsed by the rules of section 4.3.
/// @param Value the value of the only traceparent header of a request
/// @return the context, or nothing if the value is invalid
/// @note Complexity: constant.
std::optional<TraceContext> parseTraceParent(std::string_view Value);

/// @brief Renders a traceparent value.
/// @param Trace the context; its parent span is the span of the sender
/// @return the value, of version 00
std::string renderTraceParent(const TraceContext &Trace);

/// @brief Decides which traces started by a node are sampled.
class TraceSampler {
public:
  /// @param Ppm share of sampled traces, per million
  explicit TraceSampler(std::uint32_t Ppm) : SamplingPpm(Ppm) {}

  /// @brief Decides from the trace identifier, so that every node with the same
  /// share decides alike.
  /// @param TraceLow lower half of the trace identifier, which is random
  /// @return whether the trace is sampled
  bool isSampled(std::uint64_t TraceLow) const {
    return TraceLow % 1'000'000 < SamplingPpm;
  }

private:
  std::uint32_t SamplingPpm;
};

/// @brief Determines the trace context of a request at its ingress. A valid
/// header is adopted with its sampling decision. An absent or invalid one
/// starts a new trace without parent; the caller must then drop the tracestate
/// header as well (section 4.3).
/// @param Header value of the only traceparent header; none if there is no such
/// header or more than one
/// @param Sampler sampling decision for a new trace
/// @param Random source of identifiers for a new trace
/// @return the context
TraceContext traceOfRequest(std::optional<std::string_view> Header,
                            const TraceSampler &Sampler, RandomSource &Random);

} // namespace hyssopford
