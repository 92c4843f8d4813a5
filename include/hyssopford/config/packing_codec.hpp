/// @file
/// @brief ConfigCodec that compresses the documents sent between nodes.
#pragma once

#include "hyssopford/core/config_codec.hpp"

namespace hyssopford {

/// @brief Base class of the codecs for production use.
class PackingCodec : public ConfigCodec {
public:
  std::string packDocument(std::string_view Document) const final;
  std::optional<std::string>
  unpackDocument(std::string_view Compressed) const final;
};

} // namespace hyssopford
