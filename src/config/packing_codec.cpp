#include "hyssopford/config/packing_codec.hpp"

#include "hyssopford/config/packed_text.hpp"

namespace hyssopford {

std::string PackingCodec::compressDocument(std::string_view Document) const {
  return compressText(Document);
}

std::optional<std::string>
PackingCodec::decompressDocument(std::string_view Compressed) const {
  return decompressText(Compressed);
}

} // namespace hyssopford
