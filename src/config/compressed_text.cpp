#include "hyssopford/config/compressed_text.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace hyssopford {

namespace {

/// The fastest zlib level, since a change must reach all nodes quickly.
constexpr int CompressionLevel = 1;
/// Longest decompressed text in bytes.
constexpr std::size_t MaxTextBytes = 16'777'216;
constexpr std::size_t ChunkBytes = 65'536;

} // namespace

std::string compressText(std::string_view Text) {
  std::ostringstream Compressed;
  Compressed << Text.size() << ':';
  Poco::DeflatingOutputStream Stream(
      Compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, CompressionLevel);
  Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Stream.close();
  return Compressed.str();
}

std::optional<std::string> decompressText(std::string_view Compressed) {
  // The decompressor does not detect a truncated stream, so the length is sent
  // along.
  std::size_t Size = 0;
  const auto [End, Fault] = std::from_chars(
      Compressed.data(), Compressed.data() + Compressed.size(), Size);
  if (Fault != std::errc() || End == Compressed.data() + Compressed.size() ||
      *End != ':' || Size > MaxTextBytes) {
    return std::nullopt;
  }
  Compressed.remove_prefix(static_cast<std::size_t>(End - Compressed.data()) +
                           1);
  Poco::MemoryInputStream Source(
      Compressed.data(), static_cast<std::streamsize>(Compressed.size()));
  std::string Text;
  try {
    Poco::InflatingInputStream Stream(Source,
                                      Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::array<char, ChunkBytes> Chunk{};
    while (Stream.read(Chunk.data(), Chunk.size()) || Stream.gcount() > 0) {
      Text.append(Chunk.data(), static_cast<std::size_t>(Stream.gcount()));
      if (Text.size() > Size) {
        return std::nullopt;
      }
    }
  } catch (const Poco::Exception &) {
    // The input is not a zlib stream; there is no further detail to report.
    return std::nullopt;
  }
  return Text.size() == Size ? std::optional(std::move(Text)) : std::nullopt;
}

} // namespace hyssopford
