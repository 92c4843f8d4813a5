#include "hyssopford/net/message_codec.hpp"
#include "hyssopford/core/error_codes.hpp"

#include "codec.hpp"
#include "verified_frame.hpp"

#include <variant>

namespace hyssopford {

namespace {

/// Decodes the union member of a frame as @p Table.
template <typename Table>
std::optional<PeerMessage> decodeAs(const wire::Frame &Frame) {
  const auto *Body = static_cast<const Table *>(Frame.body());
  auto Result = codec::decode(*Body);
  if (!Result) {
    return std::nullopt;
  }
  return PeerMessage(std::move(*Result));
}

std::optional<PeerMessage> decodeBody(const wire::Frame &Frame) {
  switch (Frame.body_type()) {
  case wire::Body::Dispatch:
    return decodeAs<wire::Dispatch>(Frame);
  case wire::Body::DispatchReply:
    return decodeAs<wire::DispatchReply>(Frame);
  case wire::Body::Cancel:
    return decodeAs<wire::Cancel>(Frame);
  case wire::Body::StatusQuery:
    return decodeAs<wire::StatusQuery>(Frame);
  case wire::Body::StatusReply:
    return decodeAs<wire::StatusReply>(Frame);
  case wire::Body::Gossip:
    return decodeAs<wire::Gossip>(Frame);
  case wire::Body::Ping:
    return decodeAs<wire::Ping>(Frame);
  case wire::Body::PingRequest:
    return decodeAs<wire::PingRequest>(Frame);
  case wire::Body::Ack:
    return decodeAs<wire::Ack>(Frame);
  case wire::Body::SyncRequest:
    return decodeAs<wire::SyncRequest>(Frame);
  case wire::Body::SyncReply:
    return decodeAs<wire::SyncReply>(Frame);
  case wire::Body::ConfigDigest:
    return decodeAs<wire::ConfigDigest>(Frame);
  case wire::Body::ConfigRequest:
    return decodeAs<wire::ConfigRequest>(Frame);
  case wire::Body::ConfigPush:
    return decodeAs<wire::ConfigPush>(Frame);
  case wire::Body::KeyClaim:
    return decodeAs<wire::KeyClaim>(Frame);
  case wire::Body::KeyClaimReply:
    return decodeAs<wire::KeyClaimReply>(Frame);
  case wire::Body::KeyRelease:
    return decodeAs<wire::KeyRelease>(Frame);
  case wire::Body::KeyOutcome:
    return decodeAs<wire::KeyOutcome>(Frame);
  case wire::Body::KeyAck:
    return decodeAs<wire::KeyAck>(Frame);
  case wire::Body::SealRequest:
    return decodeAs<wire::SealRequest>(Frame);
  case wire::Body::SealReply:
    return decodeAs<wire::SealReply>(Frame);
  case wire::Body::RosterRequest:
    return decodeAs<wire::RosterRequest>(Frame);
  case wire::Body::RosterUpdate:
    return decodeAs<wire::RosterUpdate>(Frame);
  case wire::Body::QuarantineNotice:
    return decodeAs<wire::QuarantineNotice>(Frame);
  default:
    return std::nullopt;
  }
}

template <typename Table>
void finishFrame(codec::Builder &Out, flatbuffers::Offset<Table> Body) {
  Out.Finish(wire::CreateFrame(Out, wire::BodyTraits<Table>::enum_value,
                               Body.Union()));
}

} // namespace

std::string encodeMessage(const PeerMessage &Message) {
  codec::Builder Out;
  std::visit(
      [&](const auto &Value) { finishFrame(Out, codec::encode(Out, Value)); },
      Message);
  return codec::bytesOf(Out);
}

std::optional<PeerMessage> decodeMessage(std::string_view Bytes, Error &Fault) {
  const codec::VerifiedFrame Verified(Bytes);
  if (!Verified.frame()) {
    Fault = Error{numberOf(ErrorCode::FrameRefused), "frame.verify", "",
                  "malformed frame: FlatBuffers verification failed"};
    return std::nullopt;
  }
  auto Result = decodeBody(*Verified.frame());
  if (!Result) {
    Fault = Error{numberOf(ErrorCode::InvalidFrameValue), "frame.decode", "",
                  "malformed frame: a value is out of range"};
  }
  return Result;
}

} // namespace hyssopford
