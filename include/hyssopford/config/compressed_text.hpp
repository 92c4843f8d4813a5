/// @file
/// @brief Compression of documents that nodes send to each other.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Compresses a text with deflate (RFC 1951) in the zlib format
/// (RFC 1950).
/// @param Text the text
/// @return the length of the text in bytes as a decimal number, a colon, and
/// the zlib stream
std::string compressText(std::string_view Text);

/// @brief Reverses compressText.
/// @param Compressed the compressed text
/// @return the text, or nothing if the input is damaged or the text is longer
/// than 16 MiB
std::optional<std::string> decompressText(std::string_view Compressed);

} // namespace hyssopford
