/// @file
/// @brief Conversion between messages and frames.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/message.hpp"
#include "hyssopford/core/payload.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief An encoded message whose request or answer is shared, not copied.
struct EncodedMessage {
  /// Bytes before the payload.
  std::string Head;
  Payload Content;
  /// Bytes after the payload.
  std::string Tail;

  /// @return the number of bytes of the frame content
  std::size_t size() const {
    return Head.size() + Content.size() + Tail.size();
  }

  /// @return a copy of a part of the frame content
  std::string part(std::size_t Offset, std::size_t Size) const;
};

/// @return the request or the answer that a message carries; empty for others
const Payload &payloadOf(const PeerMessage &Message);

/// @brief Encodes a message with a payload of more than a few bytes.
/// @param Message a Dispatch or DispatchReply
/// @return the same bytes as encodeMessage()
/// @note Complexity: independent of the size of the payload.
EncodedMessage encodeShared(const PeerMessage &Message);

/// @brief Encodes a message as frame content.
/// @param Message the message
/// @return a FlatBuffers "Frame" of src/net/schema/frame.fbs
/// @note Complexity: linear in the size of the message.
std::string encodeMessage(const PeerMessage &Message);

/// @brief Verifies and decodes frame content.
/// @param Bytes the content; need not be aligned
/// @param Fault receives the error if nothing is returned
/// @return the message; nothing if the bytes fail the FlatBuffers verifier, a
/// value is out of range, or the frame is one of src/net/schema/link.fbs
std::optional<PeerMessage> decodeMessage(std::string_view Bytes, Error &Fault);

/// @brief As above; requests and answers share the bytes of the content.
std::optional<PeerMessage> decodeMessage(const Payload &Bytes, Error &Fault);

} // namespace hyssopford
