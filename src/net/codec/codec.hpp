/// @file
/// @brief Conversion functions of the single messages, by subsystem. A new
/// message needs a table in src/net/schema, a pair of functions here and an
/// entry in message_codec.cpp.
#pragma once

#include "frame_generated.h"
#include "hyssopford/core/message.hpp"

#include <flatbuffers/flatbuffers.h>
#include <optional>
#include <string>

namespace hyssopford::codec {

using Builder = flatbuffers::FlatBufferBuilder;

/// @name Shared types
/// @{
wire::NodeRun encodeRun(const NodeRun &Value);
NodeRun decodeRun(const wire::NodeRun &Value);
wire::AttemptId encodeAttempt(const AttemptId &Value);
AttemptId decodeAttempt(const wire::AttemptId &Value);

inline std::string text(const flatbuffers::String &Value) {
  return Value.str();
}

/// @brief Converts a number to an enumerator.
/// @param Value the number on the wire
/// @param Last the highest enumerator
/// @param Result receives the enumerator
/// @return whether the number is in range
template <typename Enum>
bool decodeEnum(std::uint8_t Value, Enum Last, Enum &Result) {
  Result = static_cast<Enum>(Value);
  return Value <= static_cast<std::uint8_t>(Last);
}
/// @}

/// @name Requests
/// @{
flatbuffers::Offset<wire::Dispatch> encode(Builder &Out, const Dispatch &Value);
flatbuffers::Offset<wire::DispatchReply> encode(Builder &Out,
                                                const DispatchReply &Value);
flatbuffers::Offset<wire::Cancel> encode(Builder &Out, const Cancel &Value);
flatbuffers::Offset<wire::StatusQuery> encode(Builder &Out,
                                              const StatusQuery &Value);
flatbuffers::Offset<wire::StatusReply> encode(Builder &Out,
                                              const StatusReply &Value);
std::optional<Dispatch> decode(const wire::Dispatch &Value);
std::optional<DispatchReply> decode(const wire::DispatchReply &Value);
std::optional<Cancel> decode(const wire::Cancel &Value);
std::optional<StatusQuery> decode(const wire::StatusQuery &Value);
std::optional<StatusReply> decode(const wire::StatusReply &Value);
/// @}

/// @name Membership
/// @{
flatbuffers::Offset<wire::Gossip> encode(Builder &Out, const Gossip &Value);
std::optional<Gossip> decode(const wire::Gossip &Value);
/// @}

} // namespace hyssopford::codec
