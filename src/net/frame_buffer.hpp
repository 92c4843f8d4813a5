/// @file
/// @brief Splits a byte stream into frames and reassembles chunked contents.
#pragma once

#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/net/peer_links.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopford {

/// Size in bytes of the little-endian length that precedes each frame.
constexpr std::size_t FrameLengthSize = 4;
/// Contents above this size in bytes are sent as chunks of this size, so that
/// small frames can be sent in between.
constexpr std::size_t ChunkSize = 16'384;
/// Longest frame on a usable link in bytes: a chunk, its table and its
/// authentication code.
constexpr std::size_t FrameLimit = ChunkSize + 256;
/// Longest frame before the peer is authenticated, in bytes.
constexpr std::size_t HandshakeFrameLimit = 1'024;
/// Largest content that is reassembled from chunks, in bytes.
constexpr std::size_t ContentLimit = PeerPayloadLimit + 65'536;
/// Maximum number of bytes on one link of incomplete contents that no budget
/// bounds.
constexpr std::size_t PartialLimit = 2 * ContentLimit;

/// @brief Splits the bytes of a connection into frames.
class FrameBuffer {
public:
  /// @brief Result of next().
  enum class Status : std::uint8_t { NeedMore, Ready, TooLong };

  /// @brief Appends bytes of the connection.
  void feed(std::string_view Bytes);

  /// @brief Extracts the next frame.
  /// @param Limit longest frame allowed in bytes; a longer one is refused as
  /// soon as its length is read
  /// @param Frame receives the frame without its length; valid until feed()
  /// @return Ready if a frame was extracted
  Status next(std::size_t Limit, std::string_view &Frame);

private:
  std::string Buffer;
  std::size_t Position = 0;
};

/// @brief Reassembles contents from chunks.
class ChunkAssembler {
public:
  /// @brief Prepares for a content whose size is known.
  /// @param Stream identifies the content on this link
  /// @param Total its size in bytes, at most ContentLimit
  /// @param Charge memory charged for it
  void begin(std::uint64_t Stream, std::size_t Total, MemoryCharge Charge);

  /// @brief Discards the chunks of a content.
  void skip(std::uint64_t Stream);

  /// @brief Adds a chunk.
  /// @param Stream identifies the content on this link
  /// @param Last whether it is the last chunk of its content
  /// @param Bytes the chunk
  /// @param Refused receives whether a limit is exceeded or an empty chunk is
  /// not the last one
  /// @return the complete content if this is its last chunk
  std::optional<std::string> add(std::uint64_t Stream, bool Last,
                                 std::string_view Bytes, bool &Refused);

  /// @return the memory charged for the content that add() returned last
  MemoryCharge takeCharge() { return std::move(CompleteCharge); }

private:
  struct Content {
    std::string Bytes;
    MemoryCharge Charge;
    bool Skipped = false;
  };

  std::map<std::uint64_t, Content> Partial;
  /// Size of the contents that are not charged.
  std::size_t PartialBytes = 0;
  MemoryCharge CompleteCharge;
};

/// @return the encoded length that precedes a frame of @p Size bytes
std::string frameLength(std::size_t Size);

} // namespace hyssopford
