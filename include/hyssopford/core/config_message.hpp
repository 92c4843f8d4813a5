/// @file
/// @brief Messages that spread the configuration.
#pragma once

#include "hyssopford/core/payload.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief States the version that the sender has in force.
struct ConfigDigest {
  std::uint64_t Version = 0;

  friend bool operator==(const ConfigDigest &, const ConfigDigest &) = default;
};

/// @brief Asks for a version above one's own. A peer without a higher one
/// answers with its ConfigDigest.
struct ConfigRequest {
  /// Version that the sender has in force.
  std::uint64_t Version = 0;

  friend bool operator==(const ConfigRequest &,
                         const ConfigRequest &) = default;
};

/// @brief Carries one version of the configuration.
struct ConfigPush {
  std::uint64_t Version = 0;
  /// The document as JSON.
  Payload Document;

  friend bool operator==(const ConfigPush &, const ConfigPush &) = default;
};

} // namespace hyssopford
