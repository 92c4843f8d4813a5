#include "handshake.hpp"

#include "codec/codec.hpp"
#include "codec/verified_frame.hpp"
#include "frame_code.hpp"

#include <utility>

namespace hyssopford {

namespace {

/// Version of the handshake and the frames.
constexpr std::uint16_t ProtocolVersion = 1;

/// Appends a value with its length, so that different values never give the
/// same transcript.
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
bytes(codec::Builder &Out, std::string_view Value) {
  return Out.CreateVector(reinterpret_cast<const std::uint8_t *>(Value.data()),
                          Value.size());
}

std::string_view view(const flatbuffers::Vector<std::uint8_t> &Value) {
  return {reinterpret_cast<const char *>(Value.data()), Value.size()};
}

template <typename Table>
std::string finish(codec::Builder &Out, flatbuffers::Offset<Table> Body) {
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
  const auto Nonce = bytes(Out, OwnNonce);
  const wire::NodeRun Run = codec::encodeRun(Self.Run);
  return finish(Out, wire::CreateHello(Out, ProtocolVersion, SiteName, Address,
                                       &Run, Nonce));
}

std::optional<std::string> Handshake::takeReply(std::string_view Frame,
                                                std::string &Reason) {
  const codec::VerifiedFrame Verified(Frame);
  const wire::HelloReply *Reply =
      Verified.frame() ? Verified.frame()->body_as_HelloReply() : nullptr;
  if (Reply == nullptr || Reply->nonce()->size() != NonceSize) {
    Reason = "not a reply to a handshake";
    return std::nullopt;
  }
  Peer = LinkIdentity{codec::text(*Reply->address()),
                      codec::decodeRun(*Reply->self())};
  append(Transcript, Peer, view(*Reply->nonce()));
  if (!equalCodes(view(*Reply->code()), derive("acceptor"))) {
    Reason = "the peer does not hold the site's key";
    return std::nullopt;
  }
  if (!checkIdentity(Reason)) {
    return std::nullopt;
  }
  codec::Builder Out;
  const auto Code = bytes(Out, derive("opener"));
  return finish(Out, wire::CreateHelloConfirm(Out, Code));
}

std::optional<std::string> Handshake::takeHello(std::string_view Frame,
                                                std::string &Reason) {
  const codec::VerifiedFrame Verified(Frame);
  const wire::Hello *Hello =
      Verified.frame() ? Verified.frame()->body_as_Hello() : nullptr;
  if (Hello == nullptr || Hello->nonce()->size() != NonceSize) {
    Reason = "not a handshake";
    return std::nullopt;
  }
  if (Hello->version() != ProtocolVersion) {
    Reason = "another protocol version";
    return std::nullopt;
  }
  if (codec::text(*Hello->site()) != Site) {
    Reason = "a node of another site";
    return std::nullopt;
  }
  Peer = LinkIdentity{codec::text(*Hello->address()),
                      codec::decodeRun(*Hello->self())};
  if (!checkIdentity(Reason)) {
    return std::nullopt;
  }
  append(Transcript, Site);
  append(Transcript, Peer, view(*Hello->nonce()));
  append(Transcript, Self, OwnNonce);
  codec::Builder Out;
  const auto Address = Out.CreateString(Self.Address);
  const auto Nonce = bytes(Out, OwnNonce);
  const auto Code = bytes(Out, derive("acceptor"));
  const wire::NodeRun Run = codec::encodeRun(Self.Run);
  return finish(Out, wire::CreateHelloReply(Out, Address, &Run, Nonce, Code));
}

bool Handshake::takeConfirm(std::string_view Frame, std::string &Reason) {
  const codec::VerifiedFrame Verified(Frame);
  const wire::HelloConfirm *Confirm =
      Verified.frame() ? Verified.frame()->body_as_HelloConfirm() : nullptr;
  if (Confirm == nullptr ||
      !equalCodes(view(*Confirm->code()), derive("opener"))) {
    Reason = "the peer does not hold the site's key";
    return false;
  }
  return true;
}

std::string Handshake::derive(std::string_view Label) const {
  std::string Text;
  append(Text, Label);
  return hmacSha256(Key, Text + Transcript);
}

bool Handshake::checkIdentity(std::string &Reason) const {
  if (Peer.Run.Node != nodeIdOf(Peer.Address)) {
    Reason = "identifier and address of the peer differ";
    return false;
  }
  if (Peer.Run.Node == Self.Run.Node) {
    Reason = "the peer uses this node's address";
    return false;
  }
  return true;
}

} // namespace hyssopford
