#include "hyssopford/net/message_codec.hpp"
#include "hyssopford/core/error_codes.hpp"

#include "codec.hpp"
#include "verified_frame.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hyssopford {

namespace {

/// Decodes the union member of a frame as @p Table.
template <typename Table>
std::optional<PeerMessage> decodeAs(const wire::Frame &Frame,
                                    const Payload *Source = nullptr) {
  const auto *Body = static_cast<const Table *>(Frame.body());
  const auto Decode = [&] {
    if constexpr (requires { codec::decode(*Body, Source); }) {
      return codec::decode(*Body, Source);
    } else {
      return codec::decode(*Body);
    }
  };
  auto Result = Decode();
  if (!Result) {
    return std::nullopt;
  }
  return PeerMessage(std::move(*Result));
}

std::optional<PeerMessage> decodeBody(const wire::Frame &Frame,
                                      const Payload *Source) {
  switch (Frame.body_type()) {
  case wire::Body::Dispatch:
    return decodeAs<wire::Dispatch>(Frame, Source);
  case wire::Body::DispatchReply:
    return decodeAs<wire::DispatchReply>(Frame, Source);
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
  case wire::Body::AllotmentRequest:
    return decodeAs<wire::AllotmentRequest>(Frame);
  case wire::Body::AllotmentGrant:
    return decodeAs<wire::AllotmentGrant>(Frame);
  case wire::Body::ShareRequest:
    return decodeAs<wire::ShareRequest>(Frame);
  case wire::Body::ShareReply:
    return decodeAs<wire::ShareReply>(Frame);
  case wire::Body::EvacuationNotice:
    return decodeAs<wire::EvacuationNotice>(Frame);
  default:
    return std::nullopt;
  }
}

template <typename Table>
void finishFrame(codec::Builder &Out, flatbuffers::Offset<Table> Body) {
  Out.Finish(wire::CreateFrame(Out, wire::BodyTraits<Table>::enum_value,
                               Body.Union()));
}

/// Position and content of the payload's vector in a frame.
const flatbuffers::Vector<std::uint8_t> &
payloadVector(const wire::Frame &Frame) {
  if (const wire::Dispatch *Request = Frame.body_as_Dispatch()) {
    return *Request->request();
  }
  return *Frame.body_as_DispatchReply()->answer();
}

PeerMessage withPayload(const PeerMessage &Message, Payload Content) {
  if (const auto *Request = std::get_if<Dispatch>(&Message)) {
    Dispatch Result = *Request;
    Result.Request = std::move(Content);
    return Result;
  }
  DispatchReply Result = std::get<DispatchReply>(Message);
  Result.Answer = std::move(Content);
  return Result;
}

std::optional<PeerMessage> decode(std::string_view Bytes, const Payload *Source,
                                  Error &Fault) {
  const codec::VerifiedFrame Verified(Bytes);
  if (!Verified.frame()) {
    Fault = Error{numberOf(ErrorCode::FrameRefused), "frame.verify", "",
                  "malformed frame: FlatBuffers verification failed"};
    return std::nullopt;
  }
  auto Result =
      decodeBody(*Verified.frame(), Verified.isCopy() ? nullptr : Source);
  if (!Result) {
    Fault = Error{numberOf(ErrorCode::InvalidFrameValue), "frame.decode", "",
                  "malformed frame: a value is out of range"};
  }
  return Result;
}

} // namespace

std::string EncodedMessage::part(std::size_t Offset, std::size_t Size) const {
  std::string Result;
  Result.reserve(Size);
  std::size_t Begin = 0;
  for (const std::string_view Each :
       {std::string_view(Head), Content.bytes(), std::string_view(Tail)}) {
    const std::size_t From = std::max(Begin, Offset);
    const std::size_t To = std::min(Begin + Each.size(), Offset + Size);
    if (From < To) {
      Result.append(Each.substr(From - Begin, To - From));
    }
    Begin += Each.size();
  }
  return Result;
}

const Payload &payloadOf(const PeerMessage &Message) {
  static const Payload None;
  if (const auto *Request = std::get_if<Dispatch>(&Message)) {
    return Request->Request;
  }
  const auto *Reply = std::get_if<DispatchReply>(&Message);
  return Reply != nullptr ? Reply->Answer : None;
}

EncodedMessage encodeShared(const PeerMessage &Message) {
  // A FlatBuffers buffer is written from its end and the payload comes first,
  // so the bytes before it depend on its size only through its alignment and
  // the length in front of it.
  constexpr std::size_t Alignment = 8;
  const Payload &Content = payloadOf(Message);
  const std::size_t Short = Alignment + Content.size() % Alignment;
  const std::string Encoded =
      encodeMessage(withPayload(Message, Payload(std::string(Short, '\0'))));
  const auto &Vector = payloadVector(*wire::GetFrame(Encoded.data()));
  const auto Offset = static_cast<std::size_t>(
      reinterpret_cast<const char *>(Vector.data()) - Encoded.data());
  EncodedMessage Result{Encoded.substr(0, Offset), Content,
                        Encoded.substr(Offset + Short)};
  flatbuffers::WriteScalar(Result.Head.data() + Offset -
                               sizeof(flatbuffers::uoffset_t),
                           static_cast<flatbuffers::uoffset_t>(Content.size()));
  return Result;
}

std::string encodeMessage(const PeerMessage &Message) {
  codec::Builder Out;
  std::visit(
      [&](const auto &Value) { finishFrame(Out, codec::encode(Out, Value)); },
      Message);
  return codec::bytesOf(Out);
}

std::optional<PeerMessage> decodeMessage(std::string_view Bytes, Error &Fault) {
  return decode(Bytes, nullptr, Fault);
}

std::optional<PeerMessage> decodeMessage(const Payload &Bytes, Error &Fault) {
  return decode(Bytes.bytes(), &Bytes, Fault);
}

} // namespace hyssopford
