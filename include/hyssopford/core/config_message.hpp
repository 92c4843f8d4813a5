/// @file
/// @brief Messages that distribute the configuration among nodes.
#pragma once

#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <optional>

namespace hyssopford {

/// @brief Announces the version that the sender has in force.
struct ConfigDigest {
  std::uint64_t Version = 0;
  /// If not 0, the sender watches the store and sends another such digest
  /// within this time; a receiver that gets none reads the store in its place.
  Duration NextWithin{0};
  /// Asks the receiver to read the store, because the sender gets no answer.
  bool Check = false;
  /// Time since the sender's version was known to be the newest in the store;
  /// empty if not stated.
  std::optional<Duration> FreshAge{};
  /// Time of the sender's clock at which FreshAge was stated. The receiver
  /// finds from it how much longer than usual the message was under way.
  Duration SentAt{0};

  friend bool operator==(const ConfigDigest &, const ConfigDigest &) = default;
};

/// @brief Requests a version higher than the sender's. A peer without one
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
  /// The document as JSON, compressed by ConfigCodec::compressDocument.
  Payload Document;

  friend bool operator==(const ConfigPush &, const ConfigPush &) = default;
};

} // namespace hyssopford
