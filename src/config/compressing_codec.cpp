#include "hyssopford/config/compressing_codec.hpp"

#include "hyssopford/config/compressed_text.hpp"

namespace hyssopford {

std::string
CompressingCodec::compressDocument(std::string_view Document) const {
  return compressText(Document);
}

std::optional<std::string>
CompressingCodec::decompressDocument(std::string_view Compressed) const {
  return decompressText(Compressed);
}

} // namespace hyssopford
