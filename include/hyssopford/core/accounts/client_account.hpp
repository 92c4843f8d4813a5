/// @file
/// @brief Client accounts as operators configured them.
#pragma once

#include "hyssopford/core/priority.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// SHA-256 digest of an API key. Keys themselves are never kept.
using KeyDigest = std::array<std::uint8_t, 32>;

/// @return a digest as 64 lower-case hexadecimal digits
std::string toHex(const KeyDigest &Digest);

/// @brief Reads a digest as toHex() writes it.
/// @return the digest; empty if the text is not 64 lower-case hexadecimal
/// digits
std::optional<KeyDigest> digestFromHex(std::string_view Text);

/// @brief A customer whose requests carry one of its API keys.
struct ClientAccount {
  /// Unique name, used in logs and metrics and stated to upstreams.
  std::string Name;
  /// Digests of the valid keys.
  std::vector<KeyDigest> Keys;
  /// Takes precedence over the class of the route.
  std::optional<Priority> Class;
  /// Requests a second that may start, over all nodes; 0 for no limit.
  double RatePerSecond = 0.0;
  /// Requests that may start at once on top of the rate.
  double Burst = 0.0;

  friend bool operator==(const ClientAccount &,
                         const ClientAccount &) = default;
};

} // namespace hyssopford
