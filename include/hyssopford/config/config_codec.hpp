/// @file
/// @brief JSON format of the configuration in the store.
#pragma once

#include "hyssopford/config/compressing_codec.hpp"

namespace hyssopford {

/// @brief ConfigCodec for the head value {"version", "document", "history",
/// "archives"} and the archive value {"history"} (docs/configuration.md).
/// Patches are stored as the submitted text, so that a resubmission can be
/// recognised by comparison.
class JsonConfigCodec final : public CompressingCodec {
public:
  std::optional<ConfigHead> parseHead(std::string_view Text,
                                      Error &LastError) const override;
  std::string renderHead(const ConfigHead &Head) const override;
  std::optional<std::vector<ConfigChange>>
  parseArchive(std::string_view Text, Error &LastError) const override;
  std::string
  renderArchive(const std::vector<ConfigChange> &Changes) const override;
  std::optional<std::string> applyPatch(std::string_view Document,
                                        std::string_view Patch,
                                        Error &LastError) const override;
  std::optional<RoutingConfig>
  parseConfig(std::string_view Document, std::uint64_t Version,
              std::vector<Error> &Errors) const override;
};

} // namespace hyssopford
