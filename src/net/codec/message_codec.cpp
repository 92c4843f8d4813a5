#include "hyssopford/net/message_codec.hpp"

#include "codec.hpp"
#include "verified_frame.hpp"

#include <variant>

namespace hyssopford {

namespace {

/// Decodes the member of the union that the frame holds.
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
    Fault = Error{301, "frame.verify", "", "the verifier refused the frame"};
    return std::nullopt;
  }
  auto Result = decodeBody(*Verified.frame());
  if (!Result) {
    Fault = Error{302, "frame.decode", "", "a value is out of range"};
  }
  return Result;
}

} // namespace hyssopford
