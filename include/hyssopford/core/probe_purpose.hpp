/// @file
/// @brief What a probe of an upstream is to find out.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief What a probe is to find out.
enum class ProbePurpose : std::uint8_t {
  /// Whether the upstream answers well.
  Health,
  /// The speed at which it runs now.
  Speed,
  /// Whether an upstream that ran before this node still takes requests.
  Presence
};

} // namespace hyssopford
