#include "hyssopford/config/packed_text.hpp"

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

/// Fastest level of zlib: a change should reach all nodes soon.
constexpr int Level = 1;
/// Longest text that is unpacked, in bytes.
constexpr std::size_t Limit = 16'777'216;
constexpr std::size_t ChunkSize = 65'536;

} // namespace

std::string packText(std::string_view Text) {
  std::ostringstream Packed;
  Packed << Text.size() << ':';
  Poco::DeflatingOutputStream Stream(
      Packed, Poco::DeflatingStreamBuf::STREAM_ZLIB, Level);
  Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Stream.close();
  return Packed.str();
}

std::optional<std::string> unpackText(std::string_view Packed) {
  // The decompressor takes a stream that is cut off for a shorter text.
  std::size_t Size = 0;
  const auto [End, Fault] =
      std::from_chars(Packed.data(), Packed.data() + Packed.size(), Size);
  if (Fault != std::errc() || End == Packed.data() + Packed.size() ||
      *End != ':' || Size > Limit) {
    return std::nullopt;
  }
  Packed.remove_prefix(static_cast<std::size_t>(End - Packed.data()) + 1);
  Poco::MemoryInputStream Source(Packed.data(),
                                 static_cast<std::streamsize>(Packed.size()));
  std::string Text;
  try {
    Poco::InflatingInputStream Stream(Source,
                                      Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::array<char, ChunkSize> Chunk{};
    while (Stream.read(Chunk.data(), Chunk.size()) || Stream.gcount() > 0) {
      Text.append(Chunk.data(), static_cast<std::size_t>(Stream.gcount()));
      if (Text.size() > Size) {
        return std::nullopt;
      }
    }
  } catch (const Poco::Exception &) {
    // The reason is always the same: the bytes are no zlib stream.
    return std::nullopt;
  }
  return Text.size() == Size ? std::optional(std::move(Text)) : std::nullopt;
}

} // namespace hyssopford
