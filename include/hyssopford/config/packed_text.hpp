/// @file
/// @brief Compression of documents that nodes pass on to each other.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Compresses a text by deflate (RFC 1951) in the zlib format
/// (RFC 1950).
/// @param Text the text
/// @return the length of the text in bytes, a colon and the compressed text
std::string packText(std::string_view Text);

/// @brief Reverses packText.
/// @param Packed the compressed text
/// @return the text, or nothing if it is damaged or longer than 16 MB
std::optional<std::string> unpackText(std::string_view Packed);

} // namespace hyssopford
