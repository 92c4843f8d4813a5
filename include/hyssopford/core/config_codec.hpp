/// @file
/// @brief Interface through which the core reads and writes the JSON form of
/// the configuration.
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
  /// Version that the patch created.
  std::uint64_t Version = 0;
  /// Version that the patch was based on.
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

/// @brief Range of versions whose changes were moved from the head value to one
/// archive key.
struct ConfigArchive {
  std::uint64_t FirstVersion = 0;
  std::uint64_t LastVersion = 0;

  friend bool operator==(const ConfigArchive &,
                         const ConfigArchive &) = default;
};

/// @brief Value of the head key in the store: the current configuration with
/// its recent history.
struct ConfigHead {
  std::uint64_t Version = 0;
  /// The configuration document as JSON.
  std::string Document = "{}";
  /// Recent changes, oldest first.
  std::vector<ConfigChange> History;
  /// Archives, oldest first. An archive's key contains its first version.
  std::vector<ConfigArchive> Archives;

  friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

/// @brief Parses, renders and validates the JSON form of the configuration.
class ConfigCodec {
public:
  virtual ~ConfigCodec() = default;

  /// @brief Parses a head value.
  /// @param Text the value from the store
  /// @param LastError receives the reason if the result is empty
  /// @return the head value, or nothing if the text is not valid
  virtual std::optional<ConfigHead> parseHead(std::string_view Text,
                                              Error &LastError) const = 0;

  /// @brief Compresses a document for transfer between nodes. The default
  /// leaves it unchanged.
  virtual std::string compressDocument(std::string_view Document) const {
    return std::string(Document);
  }

  /// @brief Reverses compressDocument.
  /// @return the document, or nothing if the compressed text is damaged
  virtual std::optional<std::string>
  decompressDocument(std::string_view Compressed) const {
    return std::string(Compressed);
  }

  /// @brief Renders a head value.
  virtual std::string renderHead(const ConfigHead &Head) const = 0;

  /// @brief Parses the value of an archive key.
  /// @param Text the value from the store
  /// @param LastError receives the reason if the result is empty
  /// @return the changes, oldest first, or nothing if the text is not valid
  virtual std::optional<std::vector<ConfigChange>>
  parseArchive(std::string_view Text, Error &LastError) const = 0;

  /// @brief Renders the value of an archive key.
  virtual std::string
  renderArchive(const std::vector<ConfigChange> &Changes) const = 0;

  /// @brief Applies an RFC 6902 patch.
  /// @param Document the document to change
  /// @param Patch array of operations
  /// @param LastError receives the reason if the result is empty
  /// @return the changed document, or nothing if an operation failed
  virtual std::optional<std::string> applyPatch(std::string_view Document,
                                                std::string_view Patch,
                                                Error &LastError) const = 0;

  /// @brief Parses and validates a document.
  /// @param Document the document as JSON
  /// @param Version version of the result
  /// @param Errors receives the reasons if the result is empty
  /// @return the configuration, or nothing if the document is not valid
  virtual std::optional<RoutingConfig>
  parseConfig(std::string_view Document, std::uint64_t Version,
              std::vector<Error> &Errors) const = 0;
};

} // namespace hyssopford
