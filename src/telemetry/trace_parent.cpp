#include "hyssopford/telemetry/trace_parent.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace hyssopford {

namespace {

/// @name Layout of version 00:
/// "vv-tttttttttttttttttttttttttttttttt-ssssssssssssssss-ff"
/// @{
constexpr std::size_t TraceOffset = 3;
constexpr std::size_t SpanOffset = 36;
constexpr std::size_t FlagsOffset = 53;
constexpr std::size_t Length = 55;
constexpr std::size_t HalfDigits = 16;
/// @}

constexpr std::uint64_t SampledFlag = 1;

bool isLowerHex(char Each) {
  return (Each >= '0' && Each <= '9') || (Each >= 'a' && Each <= 'f');
}

std::optional<std::uint64_t> parseHex(std::string_view Digits) {
  std::uint64_t Result = 0;
  if (!std::all_of(Digits.begin(), Digits.end(), isLowerHex)) {
    return std::nullopt;
  }
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Result, 16);
  return Result;
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view Value) {
  if (Value.size() < Length || Value[TraceOffset - 1] != '-' ||
      Value[SpanOffset - 1] != '-' || Value[FlagsOffset - 1] != '-') {
    return std::nullopt;
  }
  const auto Version = parseHex(Value.substr(0, 2));
  const auto High = parseHex(Value.substr(TraceOffset, HalfDigits));
  const auto Low = parseHex(Value.substr(TraceOffset + HalfDigits, HalfDigits));
  const auto Span = parseHex(Value.substr(SpanOffset, HalfDigits));
  const auto Flags = parseHex(Value.substr(FlagsOffset, 2));
  if (!Version || !High || !Low || !Span || !Flags || *Version == 0xff) {
    return std::nullopt;
  }
  // Version 00 ends here; later ones may continue after a dash.
  if (Value.size() > Length && (*Version == 0 || Value[Length] != '-')) {
    return std::nullopt;
  }
  if ((*High == 0 && *Low == 0) || *Span == 0) {
    return std::nullopt;
  }
  return TraceContext{*High, *Low, *Span, (*Flags & SampledFlag) != 0};
}

std::string renderTraceParent(const TraceContext &Trace) {
  return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", Trace.TraceHigh,
                     Trace.TraceLow, Trace.ParentSpan, Trace.Sampled ? 1 : 0);
}

TraceContext traceOfRequest(std::optional<std::string_view> Header,
                            const TraceSampler &Sampler, RandomSource &Random) {
  if (Header) {
    if (const auto Parsed = parseTraceParent(*Header)) {
      return *Parsed;
    }
  }
  TraceContext Result;
  Result.TraceHigh = Random.next();
  // An all-zero identifier is invalid (section 3.2.2.3).
  Result.TraceLow = std::max<std::uint64_t>(Random.next(), 1);
  Result.Sampled = Sampler.isSampled(Result.TraceLow);
  return Result;
}

} // namespace hyssopford
