#include "hyssopford/config/packing_codec.hpp"

#include "hyssopford/config/packed_text.hpp"

namespace hyssopford {

std::string PackingCodec::compressDocument(std::string_view Document) const {
  return packText(Document);
}

std::optional<std::string>
PackingCodec::decompressDocument(std::string_view Packed) const {
  return unpackText(Packed);
}

} // namespace hyssopford
