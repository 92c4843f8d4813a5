/// @file
/// @brief Conversion between each message type and its FlatBuffers table,
/// grouped by subsystem. A new message needs a table in src/net/schema, a pair
/// of functions here and an entry in message_codec.cpp.
#pragma once

#include "frame_generated.h"
#include "hyssopford/core/message.hpp"

#include <flatbuffers/flatbuffers.h>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford::codec {

using Builder = flatbuffers::FlatBufferBuilder;

/// @name Shared types
/// @{
wire::NodeRun encodeRun(const NodeRun &Value);
NodeRun decodeRun(const wire::NodeRun &Value);
wire::AttemptId encodeAttempt(const AttemptId &Value);
AttemptId decodeAttempt(const wire::AttemptId &Value);

/// @brief Writes bytes as a FlatBuffers vector.
flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
encodeBytes(Builder &Out, std::string_view Bytes);

/// @brief Reads a FlatBuffers vector of bytes.
/// @param Source the frame that holds the vector, which the result then shares;
/// nullptr to copy
Payload decodeBytes(const flatbuffers::Vector<std::uint8_t> &Bytes,
                    const Payload *Source = nullptr);

inline std::string text(const flatbuffers::String &Value) {
  return Value.str();
}

/// @brief Converts a number to an enumerator.
/// @param Value the encoded number
/// @param Last the enumerator with the highest number
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
std::optional<Dispatch> decode(const wire::Dispatch &Value,
                               const Payload *Source = nullptr);
std::optional<DispatchReply> decode(const wire::DispatchReply &Value,
                                    const Payload *Source = nullptr);
std::optional<Cancel> decode(const wire::Cancel &Value);
std::optional<StatusQuery> decode(const wire::StatusQuery &Value);
std::optional<StatusReply> decode(const wire::StatusReply &Value);
/// @}

/// @name Membership
/// @{
flatbuffers::Offset<wire::Gossip> encode(Builder &Out, const Gossip &Value);
flatbuffers::Offset<wire::Ping> encode(Builder &Out, const Ping &Value);
flatbuffers::Offset<wire::PingRequest> encode(Builder &Out,
                                              const PingRequest &Value);
flatbuffers::Offset<wire::Ack> encode(Builder &Out, const Ack &Value);
flatbuffers::Offset<wire::SyncRequest> encode(Builder &Out,
                                              const SyncRequest &Value);
flatbuffers::Offset<wire::SyncReply> encode(Builder &Out,
                                            const SyncReply &Value);
std::optional<Gossip> decode(const wire::Gossip &Value);
std::optional<Ping> decode(const wire::Ping &Value);
std::optional<PingRequest> decode(const wire::PingRequest &Value);
std::optional<Ack> decode(const wire::Ack &Value);
std::optional<SyncRequest> decode(const wire::SyncRequest &Value);
std::optional<SyncReply> decode(const wire::SyncReply &Value);
/// @}

/// @name Configuration
/// @{
flatbuffers::Offset<wire::ConfigDigest> encode(Builder &Out,
                                               const ConfigDigest &Value);
flatbuffers::Offset<wire::ConfigRequest> encode(Builder &Out,
                                                const ConfigRequest &Value);
flatbuffers::Offset<wire::ConfigPush> encode(Builder &Out,
                                             const ConfigPush &Value);
std::optional<ConfigDigest> decode(const wire::ConfigDigest &Value);
std::optional<ConfigRequest> decode(const wire::ConfigRequest &Value);
std::optional<ConfigPush> decode(const wire::ConfigPush &Value);
/// @}

/// @name Idempotency keys
/// @{
flatbuffers::Offset<wire::KeyClaim> encode(Builder &Out, const KeyClaim &Value);
flatbuffers::Offset<wire::KeyClaimReply> encode(Builder &Out,
                                                const KeyClaimReply &Value);
flatbuffers::Offset<wire::KeyRelease> encode(Builder &Out,
                                             const KeyRelease &Value);
flatbuffers::Offset<wire::KeyOutcome> encode(Builder &Out,
                                             const KeyOutcome &Value);
flatbuffers::Offset<wire::KeyAck> encode(Builder &Out, const KeyAck &Value);
flatbuffers::Offset<wire::SealRequest> encode(Builder &Out,
                                              const SealRequest &Value);
flatbuffers::Offset<wire::SealReply> encode(Builder &Out,
                                            const SealReply &Value);
flatbuffers::Offset<wire::RosterRequest> encode(Builder &Out,
                                                const RosterRequest &Value);
flatbuffers::Offset<wire::RosterUpdate> encode(Builder &Out,
                                               const RosterUpdate &Value);
std::optional<KeyClaim> decode(const wire::KeyClaim &Value);
std::optional<KeyClaimReply> decode(const wire::KeyClaimReply &Value);
std::optional<KeyRelease> decode(const wire::KeyRelease &Value);
std::optional<KeyOutcome> decode(const wire::KeyOutcome &Value);
std::optional<KeyAck> decode(const wire::KeyAck &Value);
std::optional<SealRequest> decode(const wire::SealRequest &Value);
std::optional<SealReply> decode(const wire::SealReply &Value);
std::optional<RosterRequest> decode(const wire::RosterRequest &Value);
std::optional<RosterUpdate> decode(const wire::RosterUpdate &Value);
/// @}

/// @name Allotments and evacuation
/// @{
flatbuffers::Offset<wire::AllotmentRequest>
encode(Builder &Out, const AllotmentRequest &Value);
flatbuffers::Offset<wire::AllotmentGrant> encode(Builder &Out,
                                                 const AllotmentGrant &Value);
flatbuffers::Offset<wire::ShareRequest> encode(Builder &Out,
                                               const ShareRequest &Value);
flatbuffers::Offset<wire::ShareReply> encode(Builder &Out,
                                             const ShareReply &Value);
flatbuffers::Offset<wire::EvacuationNotice>
encode(Builder &Out, const EvacuationNotice &Value);
std::optional<AllotmentRequest> decode(const wire::AllotmentRequest &Value);
std::optional<AllotmentGrant> decode(const wire::AllotmentGrant &Value);
std::optional<ShareRequest> decode(const wire::ShareRequest &Value);
std::optional<ShareReply> decode(const wire::ShareReply &Value);
std::optional<EvacuationNotice> decode(const wire::EvacuationNotice &Value);
/// @}

/// @name Quarantine
/// @{
flatbuffers::Offset<wire::QuarantineNotice>
encode(Builder &Out, const QuarantineNotice &Value);
std::optional<QuarantineNotice> decode(const wire::QuarantineNotice &Value);
/// @}

} // namespace hyssopford::codec
