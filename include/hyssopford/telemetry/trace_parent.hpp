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

/// @brief Reads a traceparent value (W3C Trace Context level 1, section 3.2).
/// Values of later versions are read by the rules of section 4.3.
/// @param Value the value of the only traceparent header of a request
/// @return the context, or nothing if the value is invalid
/// @note Complexity: constant.
std::optional<TraceContext> parseTraceParent(std::string_view Value);

/// @brief Renders a traceparent value.
/// @param Trace the context; its parent span is the span of the sender
/// @return the value, of version 00
std::string renderTraceParent(const TraceContext &Trace);

/// @brief Decides which of the traces that a node starts are sampled.
class TraceSampler {
public:
  /// @param Ppm sampled traces per million
  explicit TraceSampler(std::uint32_t Ppm) : SamplingPpm(Ppm) {}

  /// @brief Decides from the trace's identifier, so that the decision is the
  /// same wherever it is taken.
  /// @param TraceLow lower half of the trace's identifier, which is random
  /// @return whether the trace is sampled
  bool isSampled(std::uint64_t TraceLow) const {
    return TraceLow % 1'000'000 < SamplingPpm;
  }

private:
  std::uint32_t SamplingPpm;
};

/// @brief Gives the context of a request that arrived at its ingress. An absent
/// or invalid header starts a new trace without parent; the caller of this
/// function then drops the tracestate header too (section 4.3). A valid one
/// keeps its sampling decision.
/// @param Header value of the only traceparent header; none if there is no such
/// header or more than one
/// @param Sampler decides on a new trace
/// @param Random gives a new trace its identifier
/// @return the context
TraceContext traceOfRequest(std::optional<std::string_view> Header,
                            const TraceSampler &Sampler, RandomSource &Random);

} // namespace hyssopford
