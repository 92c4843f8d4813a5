/// @file
/// @brief Purposes of probes of an upstream.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief What a probe checks.
enum class ProbePurpose : std::uint8_t {
  /// Whether the upstream answers successfully.
  Health,
  /// The speed at which the upstream currently runs.
  Speed,
  /// Which upstream is at the address, and whether it accepts requests.
  Presence
};

} // namespace hyssopford
