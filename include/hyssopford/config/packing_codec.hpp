/// @file
/// @brief ConfigCodec whose documents go between nodes compressed.
#pragma once

#include "hyssopford/core/config_codec.hpp"

namespace hyssopford {

/// @brief Base of the codecs of real deployments.
class PackingCodec : public ConfigCodec {
public:
  std::string compressDocument(std::string_view Document) const final;
  std::optional<std::string>
  decompressDocument(std::string_view Packed) const final;
};

} // namespace hyssopford
