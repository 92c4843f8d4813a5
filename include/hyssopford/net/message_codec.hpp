/// @file
/// @brief Conversion between messages and frames.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

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

} // namespace hyssopford
