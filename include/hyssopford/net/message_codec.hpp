/// @file
/// @brief Conversion between messages and frames.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Encodes a message as the content of a frame.
/// @param Message the message
/// @return a FlatBuffers "Frame" of src/net/schema/frame.fbs
/// @note Complexity: linear in the size of the message.
std::string encodeMessage(const PeerMessage &Message);

/// @brief Decodes the content of a frame after verifying it.
/// @param Bytes the content, at any alignment
/// @param Fault receives the reason if nothing is returned
/// @return the message; nothing if the bytes fail the verifier, hold a value
/// out of range, or are a frame of the link itself
std::optional<PeerMessage> decodeMessage(std::string_view Bytes, Error &Fault);

} // namespace hyssopford
