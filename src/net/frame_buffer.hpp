/// @file
/// @brief Splits a byte stream into frames and reassembles large ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// Size of the length that precedes each frame, little-endian.
constexpr std::size_t FrameLengthSize = 4;
/// Content above this size is sent as chunks of this size, so that small
/// frames can overtake it.
constexpr std::size_t ChunkSize = 16'384;
/// Longest frame on a usable link: a chunk, its table and its code.
constexpr std::size_t FrameLimit = ChunkSize + 256;
/// Longest frame before the peer is known.
constexpr std::size_t HandshakeFrameLimit = 1'024;
/// Largest content that is reassembled from chunks.
constexpr std::size_t ContentLimit = 20'971'520;
/// Most bytes of incomplete contents on one link.
constexpr std::size_t PartialLimit = 67'108'864;

/// @brief Finds frames in the bytes of a connection.
class FrameBuffer {
public:
  enum class Status : std::uint8_t { NeedMore, Ready, TooLong };

  /// @brief Appends bytes of the connection.
  void feed(std::string_view Bytes);

  /// @brief Takes the next frame.
  /// @param Limit longest frame allowed; a longer one is refused from its
  /// length alone
  /// @param Frame receives the frame without its length; valid until feed()
  Status next(std::size_t Limit, std::string_view &Frame);

private:
  std::string Buffer;
  std::size_t Position = 0;
};

/// @brief Joins chunks to contents.
class ChunkJoiner {
public:
  /// @brief Takes a chunk.
  /// @param Stream identifies the content on this link
  /// @param Last whether it is the last chunk of its content
  /// @param Bytes the chunk
  /// @param Refused is set if a limit is exceeded
  /// @return the complete content after its last chunk
  std::optional<std::string> take(std::uint64_t Stream, bool Last,
                                  std::string_view Bytes, bool &Refused);

private:
  std::map<std::uint64_t, std::string> Partial;
  std::size_t PartialBytes = 0;
};

/// @return a length in the form that precedes a frame
std::string frameLength(std::size_t Size);

} // namespace hyssopford
