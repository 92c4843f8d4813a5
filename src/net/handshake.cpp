#include "handshake.hpp"

#include "codec/codec.hpp"
#include "codec/verified_frame.hpp"
#include "frame_mac.hpp"

#include <utility>

namespace hyssopford {

namespace {

/// Version of the link protocol (handshake and frames).
constexpr std::uint16_t ProtocolVersion = 1;

/// Appends a value prefixed by its length, so that different sequences of
/// values always give different transcripts.
void append(std::string &Transcript, std::string_view Value) {
  Transcript.append(std::to_string(Value.size())).append(":").append(Value);
}

void append(std::string &Transcript, const LinkIdentity &Identity,
            std::string_view Nonce) {
  append(Transcript, Identity.Address);
  append(Transcript, std::to_string(Identity.Run.Node.Value));
  append(Transcript, std::to_string(Identity.Run.Run.Value));
  append(Transcript, Nonce);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
createByteVector(codec::Builder &Out, std::string_view Value) {
  return Out.CreateVector(reinterpret_cast<const std::uint8_t *>(Value.data()),
                          Value.size());
}

std::string_view toStringView(const flatbuffers::Vector<std::uint8_t> &Value) {
  return {reinterpret_cast<const char *>(Value.data()), Value.size()};
}

template <typename Table>
std::string finishFrame(codec::Builder &Out, flatbuffers::Offset<Table> Body) {
  Out.Finish(wire::CreateFrame(Out, wire::BodyTraits<Table>::enum_value,
                               Body.Union()));
  return codec::bytesOf(Out);
}

} // namespace

Handshake::Handshake(std::string SiteName, std::string SiteKey,
                     LinkIdentity Own)
    : Site(std::move(SiteName)), Key(std::move(SiteKey)), Self(std::move(Own)),
      OwnNonce(makeNonce()) {}

std::string Handshake::hello() {
  append(Transcript, Site);
  append(Transcript, Self, OwnNonce);
  codec::Builder Out;
  const auto SiteName = Out.CreateString(Site);
  const auto Address = Out.CreateString(Self.Address);
  const auto Nonce = createByteVector(Out, OwnNonce);
  const wire::NodeRun Run = codec::encodeRun(Self.Run);
  return finishFrame(Out, wire::CreateHello(Out, ProtocolVersion, SiteName,
                                            Address, &Run, Nonce));
}

std::optional<std::string> Handshake::handleReply(std::string_view Frame,
                                                  std::string &Reason) {
  const codec::VerifiedFrame Verified(Frame);
  const wire::HelloReply *Reply =
      Verified.frame() ? Verified.frame()->body_as_HelloReply() : nullptr;
  if (Reply == nullptr || Reply->nonce()->size() != NonceSize) {
    Reason = "malformed HelloReply frame";
    return std::nullopt;
  }
  Peer = LinkIdentity{codec::text(*Reply->address()),
                      codec::decodeRun(*Reply->self())};
  append(Transcript, Peer, toStringView(*Reply->nonce()));
  if (!equalMacs(toStringView(*Reply->code()), transcriptHmac("acceptor"))) {
    Reason = "authentication failed: the peer does not have the site's key";
    return std::nullopt;
  }
  if (!checkIdentity(Reason)) {
    return std::nullopt;
  }
  codec::Builder Out;
  const auto Code = createByteVector(Out, transcriptHmac("opener"));
  return finishFrame(Out, wire::CreateHelloConfirm(Out, Code));
}

std::optional<std::string> Handshake::handleHello(std::string_view Frame,
                                                  std::string &Reason) {
  const codec::VerifiedFrame Verified(Frame);
  const wire::Hello *Hello =
      Verified.frame() ? Verified.frame()->body_as_Hello() : nullptr;
  if (Hello == nullptr || Hello->nonce()->size() != NonceSize) {
    Reason = "malformed Hello frame";
    return std::nullopt;
  }
  if (Hello->version() != ProtocolVersion) {
    Reason = "unsupported protocol version";
    return std::nullopt;
  }
  if (codec::text(*Hello->site()) != Site) {
    Reason = "the peer belongs to another site";
    return std::nullopt;
  }
  Peer = LinkIdentity{codec::text(*Hello->address()),
                      codec::decodeRun(*Hello->self())};
  if (!checkIdentity(Reason)) {
    return std::nullopt;
  }
  append(Transcript, Site);
  append(Transcript, Peer, toStringView(*Hello->nonce()));
  append(Transcript, Self, OwnNonce);
  codec::Builder Out;
  const auto Address = Out.CreateString(Self.Address);
  const auto Nonce = createByteVector(Out, OwnNonce);
  const auto Code = createByteVector(Out, transcriptHmac("acceptor"));
  const wire::NodeRun Run = codec::encodeRun(Self.Run);
  return finishFrame(Out,
                     wire::CreateHelloReply(Out, Address, &Run, Nonce, Code));
}

bool Handshake::handleConfirm(std::string_view Frame, std::string &Reason) {
  const codec::VerifiedFrame Verified(Frame);
  const wire::HelloConfirm *Confirm =
      Verified.frame() ? Verified.frame()->body_as_HelloConfirm() : nullptr;
  if (Confirm == nullptr ||
      !equalMacs(toStringView(*Confirm->code()), transcriptHmac("opener"))) {
    Reason = "authentication failed: the peer does not have the site's key";
    return false;
  }
  return true;
}

std::string Handshake::transcriptHmac(std::string_view Label) const {
  std::string Text;
  append(Text, Label);
  return hmacSha256(Key, Text + Transcript);
}

bool Handshake::checkIdentity(std::string &Reason) const {
  if (Peer.Run.Node != nodeIdOf(Peer.Address)) {
    Reason = "the peer's identifier does not match its address";
    return false;
  }
  if (Peer.Run.Node == Self.Run.Node) {
    Reason = "the peer states this node's own address";
    return false;
  }
  return true;
}

} // namespace hyssopford
