/// @file
/// @brief What the core needs to know of the JSON form of the configuration.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief One accepted patch.
struct ConfigChange {
  /// Version that the patch made.
  std::uint64_t Version = 0;
  /// Version that it changed.
  std::uint64_t Base = 0;
  /// Unique identifier that its author chose.
  std::string PatchId;
  std::string Author;
  /// Time of acceptance in ms since 1970-01-01 UTC.
  std::uint64_t TimeMs = 0;
  /// The RFC 6902 patch.
  std::string Patch;

  friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/// @brief Key that holds changes moved out of the head value.
struct ConfigArchive {
  std::uint64_t FirstVersion = 0;
  std::uint64_t LastVersion = 0;

  friend bool operator==(const ConfigArchive &,
                         const ConfigArchive &) = default;
};

/// @brief The store's head value.
struct ConfigHead {
  std::uint64_t Version = 0;
  /// The configuration document as JSON.
  std::string Document = "{}";
  /// Recent changes, oldest first.
  std::vector<ConfigChange> History;
  /// Archives, oldest first. The key of one is named after its first version.
  std::vector<ConfigArchive> Archives;

  friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

/// @brief JSON work on behalf of the core.
class ConfigCodec {
public:
  virtual ~ConfigCodec() = default;

  /// @brief Reads a head value.
  /// @param Text the value from the store
  /// @param LastError receives the reason if the result is empty
  virtual std::optional<ConfigHead> parseHead(std::string_view Text,
                                              Error &LastError) const = 0;

  /// @brief Makes the form of a document in which nodes pass it on.
  virtual std::string compressDocument(std::string_view Document) const {
    return std::string(Document);
  }

  /// @brief Reverses compressDocument.
  /// @return the document, or nothing if the form is damaged
  virtual std::optional<std::string>
  decompressDocument(std::string_view Packed) const {
    return std::string(Packed);
  }

  /// @brief Writes a head value.
  virtual std::string renderHead(const ConfigHead &Head) const = 0;

  /// @brief Reads the value of an archive key.
  virtual std::optional<std::vector<ConfigChange>>
  parseArchive(std::string_view Text, Error &LastError) const = 0;

  /// @brief Writes the value of an archive key.
  virtual std::string
  renderArchive(const std::vector<ConfigChange> &Changes) const = 0;

  /// @brief Applies an RFC 6902 patch.
  /// @return the changed document, or nothing if an operation failed
  virtual std::optional<std::string> applyPatch(std::string_view Document,
                                                std::string_view Patch,
                                                Error &LastError) const = 0;

  /// @brief Reads and validates a document.
  /// @return the configuration, or nothing if there are errors
  virtual std::optional<RoutingConfig>
  parseConfig(std::string_view Document, std::uint64_t Version,
              std::vector<Error> &Errors) const = 0;
};

} // namespace hyssopford
