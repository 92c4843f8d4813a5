/// @file
/// @brief ConfigCodec that compresses the documents sent between nodes.
#pragma once

#include "hyssopford/core/config_codec.hpp"

namespace hyssopford {

/// @brief Base class of the codecs for production use.
class CompressingCodec : public ConfigCodec {
public:
  std::string compressDocument(std::string_view Document) const final;
  std::optional<std::string>
  decompressDocument(std::string_view Compressed) const override;
};

} // namespace hyssopford
