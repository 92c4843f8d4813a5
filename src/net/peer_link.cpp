#include "peer_link.hpp"

#include "codec/codec.hpp"
#include "codec/verified_frame.hpp"
#include "hyssopford/net/message_codec.hpp"

#include <utility>

namespace hyssopford {

namespace {

/// Bytes handed to the operating system ahead of need. More would let large
/// contents delay small frames.
constexpr std::size_t WriteAhead = 65'536;
/// Queued bytes above which a peer that does not read is given up.
constexpr std::size_t QueueLimit = 134'217'728;

std::string encodeChunk(std::uint64_t Stream, bool Last,
                        std::string_view Bytes) {
  codec::Builder Out(ChunkSize + 256);
  const auto Data = Out.CreateVector(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
  const auto Chunk = wire::CreateChunk(Out, Stream, Last, Data);
  Out.Finish(wire::CreateFrame(Out, wire::Body::Chunk, Chunk.Union()));
  return codec::bytesOf(Out);
}

} // namespace

PeerLinks::Link::Link(PeerLinks &LinkOwner)
    : Owner(LinkOwner), Loop(LinkOwner.Loop), Stream(LinkOwner.Loop, *this),
      Auth(LinkOwner.Settings.Site, LinkOwner.Settings.Key,
           LinkIdentity{LinkOwner.Settings.PublicAddress, LinkOwner.Self}) {}

PeerLinks::Link::~Link() { Loop.cancel(Timer); }

void PeerLinks::Link::accept(const Poco::Net::StreamSocket &Accepted) {
  State = Phase::AwaitHello;
  Stream.accept(Accepted);
  RemoteAddress = Stream.peerAddress();
  Timer = Loop.after(Owner.Settings.HandshakeTimeout,
                     [this] { end("link.handshake", "timed out"); });
}

bool PeerLinks::Link::connect(NodeId Peer, const std::string &Address) {
  Opener = true;
  Expected = Peer;
  RemoteAddress = Address;
  Timer = Loop.after(Owner.Settings.HandshakeTimeout,
                     [this] { end("link.connect", "timed out"); });
  return Stream.connect(Address);
}

void PeerLinks::Link::send(std::string Content) {
  QueuedBytes += Content.size();
  if (pending() > QueueLimit) {
    end("link.send", "the peer does not read");
    return;
  }
  if (Content.size() <= ChunkSize) {
    Small.push_back(std::move(Content));
  } else {
    Large.push_back(LargeContent{++LastStream, std::move(Content), 0});
  }
  scheduleFlush();
}

void PeerLinks::Link::closeAfterQueue() {
  Closing = true;
  scheduleFlush();
}

void PeerLinks::Link::drop() {
  State = Phase::Closed;
  Loop.cancel(Timer);
  Stream.close();
}

void PeerLinks::Link::onConnected() {
  State = Phase::AwaitReply;
  sendPlain(Auth.hello());
}

void PeerLinks::Link::onData(std::string_view Bytes) {
  Owner.Counters.BytesReceived += Bytes.size();
  LastReceived = EventLoop::now();
  Input.feed(Bytes);
  while (State != Phase::Closed) {
    std::string_view Frame;
    const std::size_t Limit = isUsable() ? FrameLimit : HandshakeFrameLimit;
    switch (Input.next(Limit, Frame)) {
    case FrameBuffer::Status::NeedMore:
      return;
    case FrameBuffer::Status::TooLong:
      refuse("link.frame", "the frame is too long");
      return;
    case FrameBuffer::Status::Ready:
      if (!takeFrame(Frame)) {
        return;
      }
      break;
    }
  }
}

void PeerLinks::Link::onClosed(bool /*Orderly*/, std::string_view Reason) {
  end(isUsable() ? "link.read" : "link.handshake", std::string(Reason));
}

void PeerLinks::Link::onDrained() {
  if (!Flushing) {
    flush();
  }
}

bool PeerLinks::Link::takeFrame(std::string_view Frame) {
  ++Owner.Counters.FramesReceived;
  return isUsable() ? takeCodedFrame(Frame) : takeHandshakeFrame(Frame);
}

bool PeerLinks::Link::takeHandshakeFrame(std::string_view Frame) {
  std::string Reason;
  if (State == Phase::AwaitHello) {
    const auto Reply = Auth.takeHello(Frame, Reason);
    if (!Reply) {
      return refuse("link.handshake", Reason);
    }
    if (!Owner.mayProceed(*this)) {
      end("link.handshake", "another link to this peer goes first");
      return false;
    }
    sendPlain(*Reply);
    State = Phase::AwaitConfirm;
    return true;
  }
  if (State == Phase::AwaitConfirm) {
    if (!Auth.takeConfirm(Frame, Reason)) {
      return refuse("link.handshake", Reason);
    }
    Incoming.emplace(Auth.openerKey());
    Outgoing.emplace(Auth.acceptorKey());
    becomeUsable();
    return isUsable();
  }
  return State == Phase::AwaitReply && takeReply(Frame);
}

bool PeerLinks::Link::takeReply(std::string_view Frame) {
  std::string Reason;
  const auto Confirm = Auth.takeReply(Frame, Reason);
  if (!Confirm) {
    return refuse("link.handshake", Reason);
  }
  if (peer().Node != Expected) {
    return refuse("link.handshake", "another node answers at this address");
  }
  sendPlain(*Confirm);
  Outgoing.emplace(Auth.openerKey());
  Incoming.emplace(Auth.acceptorKey());
  becomeUsable();
  return isUsable();
}

bool PeerLinks::Link::takeCodedFrame(std::string_view Frame) {
  if (Frame.size() < FrameCodeSize) {
    return refuse("link.frame", "the frame is too short");
  }
  const std::string_view Code = Frame.substr(0, FrameCodeSize);
  const std::string_view Content = Frame.substr(FrameCodeSize);
  if (!equalCodes(Code, Incoming->next(Content))) {
    return refuse("link.frame", "the code of a frame is wrong");
  }
  // A frame without content is a heartbeat.
  return Content.empty() || takeContent(Content);
}

bool PeerLinks::Link::takeContent(std::string_view Content) {
  const codec::VerifiedFrame Verified(Content);
  if (!Verified.frame()) {
    return refuse("link.frame", "the verifier refused a frame");
  }
  const wire::Chunk *Chunk = Verified.frame()->body_as_Chunk();
  if (Chunk == nullptr) {
    return takeMessage(Content);
  }
  bool Refused = false;
  const auto Complete =
      Joiner.take(Chunk->stream(), Chunk->last(),
                  {reinterpret_cast<const char *>(Chunk->bytes()->data()),
                   Chunk->bytes()->size()},
                  Refused);
  if (Refused) {
    return refuse("link.frame", "a content is too large");
  }
  return !Complete || takeMessage(*Complete);
}

bool PeerLinks::Link::takeMessage(std::string_view Content) {
  Error Fault;
  auto Message = decodeMessage(Content, Fault);
  if (!Message) {
    return refuse("link.frame", Fault.Reason);
  }
  Owner.Handler.onMessage(peer(), std::move(*Message));
  return State != Phase::Closed;
}

void PeerLinks::Link::becomeUsable() {
  if (!Owner.establish(*this)) {
    end("link.handshake", "another link to this peer goes first");
    return;
  }
  State = Phase::Usable;
  Loop.cancel(Timer);
  LastReceived = EventLoop::now();
  Timer =
      Loop.after(Owner.Settings.HeartbeatPeriod, [this] { checkSilence(); });
  Owner.Handler.onLinkUp(peer());
}

void PeerLinks::Link::sendPlain(const std::string &Content) {
  ++Owner.Counters.FramesSent;
  Owner.Counters.BytesSent += Content.size() + FrameLengthSize;
  Stream.write(frameLength(Content.size()) + Content);
}

void PeerLinks::Link::appendCoded(std::string &Out, std::string_view Content) {
  ++Owner.Counters.FramesSent;
  Owner.Counters.BytesSent += Content.size() + FrameLengthSize + FrameCodeSize;
  SentSinceTick = true;
  Out += frameLength(Content.size() + FrameCodeSize);
  Out += Outgoing->next(Content);
  Out += Content;
}

bool PeerLinks::Link::appendNext(std::string &Out) {
  if (!Small.empty()) {
    QueuedBytes -= Small.front().size();
    appendCoded(Out, Small.front());
    Small.pop_front();
    return true;
  }
  if (Large.empty()) {
    return false;
  }
  LargeContent Current = std::move(Large.front());
  Large.pop_front();
  const std::string_view Part =
      std::string_view(Current.Bytes).substr(Current.Offset, ChunkSize);
  Current.Offset += Part.size();
  QueuedBytes -= Part.size();
  const bool Last = Current.Offset == Current.Bytes.size();
  appendCoded(Out, encodeChunk(Current.Stream, Last, Part));
  if (!Last) {
    Large.push_back(std::move(Current));
  }
  return true;
}

void PeerLinks::Link::scheduleFlush() {
  // Frames of one round of the loop share a system call.
  if (!FlushScheduled && isUsable()) {
    FlushScheduled = true;
    Loop.defer([Weak = Owner.All.at(this)] {
      Weak->FlushScheduled = false;
      Weak->flush();
    });
  }
}

void PeerLinks::Link::flush() {
  if (!isUsable()) {
    return;
  }
  Flushing = true;
  while (isUsable() && Stream.isOpen() && Stream.pending() < WriteAhead) {
    std::string Out;
    while (Out.size() < WriteAhead && appendNext(Out)) {
    }
    if (Out.empty()) {
      break;
    }
    Stream.write(std::move(Out));
  }
  Flushing = false;
  if (Closing && Small.empty() && Large.empty()) {
    Stream.closeAfterWrite();
  }
}

void PeerLinks::Link::checkSilence() {
  if (EventLoop::now() - LastReceived > Owner.Settings.SilenceLimit) {
    Timer = 0;
    end("link.heartbeat", "the peer is silent");
    return;
  }
  if (!SentSinceTick) {
    std::string Heartbeat;
    appendCoded(Heartbeat, {});
    Stream.write(std::move(Heartbeat));
  }
  SentSinceTick = false;
  Timer =
      Loop.after(Owner.Settings.HeartbeatPeriod, [this] { checkSilence(); });
}

bool PeerLinks::Link::refuse(const char *Step, std::string Reason) {
  ++Owner.Counters.Refused;
  end(Step, std::move(Reason));
  return false;
}

void PeerLinks::Link::end(const char *Step, std::string Reason) {
  if (State == Phase::Closed) {
    return;
  }
  const Error Fault{303, Step, RemoteAddress, std::move(Reason)};
  Loop.cancel(Timer);
  Timer = 0;
  Stream.close();
  State = Phase::Closed;
  Owner.ended(*this, Fault);
}

} // namespace hyssopford
