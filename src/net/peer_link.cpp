#include "peer_link.hpp"

#include "codec/codec.hpp"
#include "codec/verified_frame.hpp"
#include "hyssopford/net/message_codec.hpp"

#include <utility>

namespace hyssopford {

namespace {

/// Bytes of the stream's write queue above which no further frame is added.
/// Queued bytes of large contents delay small frames sent after them.
constexpr std::size_t WriteAhead = 65'536;
/// Queued bytes above which the link to a peer that does not read is closed.
constexpr std::size_t QueueLimit = 134'217'728;

std::string encodeChunk(std::uint64_t Stream, bool Last, std::string_view Bytes,
                        std::size_t Total, const wire::AttemptId *Attempt,
                        bool IsRequest) {
  codec::Builder Out(ChunkSize + 256);
  const auto Data = Out.CreateVector(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
  const auto Chunk =
      wire::CreateChunk(Out, Stream, Last, Data, Total, Attempt, IsRequest);
  Out.Finish(wire::CreateFrame(Out, wire::Body::Chunk, Chunk.Union()));
  return codec::bytesOf(Out);
}

} // namespace

PeerLinks::Link::Link(PeerLinks &LinkParent)
    : Parent(LinkParent), Loop(LinkParent.Loop), Stream(LinkParent.Loop, *this),
      Auth(LinkParent.Settings.Site, LinkParent.Settings.Key,
           LinkIdentity{LinkParent.Settings.PublicAddress, LinkParent.Self}) {
  if (Parent.Settings.Memory != nullptr) {
    QueueCharge = Parent.Settings.Memory->charge(0, MemoryUse::Answer);
  }
}

PeerLinks::Link::~Link() { Loop.cancel(Timer); }

void PeerLinks::Link::accept(const Poco::Net::StreamSocket &Accepted) {
  State = Phase::AwaitHello;
  Stream.accept(Accepted);
  RemoteAddress = Stream.peerAddress();
  Timer = Loop.after(Parent.Settings.HandshakeTimeout, [this] {
    closeWithError("link.handshake", "handshake timed out");
  });
}

bool PeerLinks::Link::connect(NodeId Peer, const std::string &Address) {
  IsOpener = true;
  Expected = Peer;
  RemoteAddress = Address;
  Timer = Loop.after(Parent.Settings.HandshakeTimeout, [this] {
    closeWithError("link.connect", "connecting or handshake timed out");
  });
  return Stream.connect(Address);
}

void PeerLinks::Link::send(const PeerMessage &Message) {
  LargeContent Large;
  if (payloadOf(Message).size() > ChunkSize) {
    Large.Message = encodeShared(Message);
    Large.IsRequest = std::holds_alternative<Dispatch>(Message);
    Large.Attempt = Large.IsRequest ? std::get<Dispatch>(Message).Attempt
                                    : std::get<DispatchReply>(Message).Attempt;
  } else {
    Large.Message.Head = encodeMessage(Message);
  }
  const std::size_t Own = Large.Message.Head.size();
  QueuedBytes += Large.Message.size();
  OwnBytes += Own;
  QueueCharge.resize(OwnBytes);
  if (OwnBytes + Stream.pending() > QueueLimit) {
    closeWithError("link.send", "send queue full: the peer does not read");
    return;
  }
  if (Large.Message.size() <= ChunkSize) {
    SmallQueue.push_back(std::move(Large.Message.Head));
  } else {
    Large.Stream = ++LastStream;
    LargeQueue.push_back(std::move(Large));
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
  sendHandshakeFrame(Auth.hello());
}

void PeerLinks::Link::onData(std::string_view Bytes) {
  Parent.Counters.BytesReceived += Bytes.size();
  LastReceived = EventLoop::now();
  Input.feed(Bytes);
  while (State != Phase::Closed) {
    std::string_view Frame;
    const std::size_t Limit = isUsable() ? FrameLimit : HandshakeFrameLimit;
    switch (Input.next(Limit, Frame)) {
    case FrameBuffer::Status::NeedMore:
      return;
    case FrameBuffer::Status::TooLong:
      refuse("link.frame", "frame exceeds the length limit");
      return;
    case FrameBuffer::Status::Ready:
      if (!handleFrame(Frame)) {
        return;
      }
      break;
    }
  }
}

void PeerLinks::Link::onClosed(bool /*Orderly*/, std::string_view Reason) {
  closeWithError(isUsable() ? "link.read" : "link.handshake",
                 std::string(Reason));
}

void PeerLinks::Link::onWritesFlushed() {
  if (!Flushing) {
    flush();
  }
}

bool PeerLinks::Link::handleFrame(std::string_view Frame) {
  ++Parent.Counters.FramesReceived;
  return isUsable() ? handleAuthenticatedFrame(Frame)
                    : handleHandshakeFrame(Frame);
}

bool PeerLinks::Link::handleHandshakeFrame(std::string_view Frame) {
  std::string Reason;
  if (State == Phase::AwaitHello) {
    const auto Reply = Auth.handleHello(Frame, Reason);
    if (!Reply) {
      return refuse("link.handshake", Reason);
    }
    if (!Parent.mayProceed(*this)) {
      closeWithError(
          "link.handshake",
          "duplicate link: another link to this peer takes precedence");
      return false;
    }
    sendHandshakeFrame(*Reply);
    State = Phase::AwaitConfirm;
    return true;
  }
  if (State == Phase::AwaitConfirm) {
    if (!Auth.handleConfirm(Frame, Reason)) {
      return refuse("link.handshake", Reason);
    }
    Incoming.emplace(Auth.openerKey());
    Outgoing.emplace(Auth.acceptorKey());
    becomeUsable();
    return isUsable();
  }
  return State == Phase::AwaitReply && handleReply(Frame);
}

bool PeerLinks::Link::handleReply(std::string_view Frame) {
  std::string Reason;
  const auto Confirm = Auth.handleReply(Frame, Reason);
  if (!Confirm) {
    return refuse("link.handshake", Reason);
  }
  if (peer().Node != Expected) {
    return refuse("link.handshake",
                  "the address belongs to another node than expected");
  }
  sendHandshakeFrame(*Confirm);
  Outgoing.emplace(Auth.openerKey());
  Incoming.emplace(Auth.acceptorKey());
  becomeUsable();
  return isUsable();
}

bool PeerLinks::Link::handleAuthenticatedFrame(std::string_view Frame) {
  if (Frame.size() < FrameMacSize) {
    return refuse("link.frame", "frame too short for its authentication code");
  }
  const std::string_view Code = Frame.substr(0, FrameMacSize);
  const std::string_view Content = Frame.substr(FrameMacSize);
  if (!equalMacs(Code, Incoming->nextMac(Content))) {
    return refuse("link.frame",
                  "frame authentication failed: wrong code or sequence");
  }
  // An empty frame is a heartbeat.
  return Content.empty() || handleContent(Content);
}

bool PeerLinks::Link::handleContent(std::string_view Content) {
  const codec::VerifiedFrame Verified(Content);
  if (!Verified.frame()) {
    return refuse("link.frame",
                  "malformed frame: FlatBuffers verification failed");
  }
  if (const wire::Chunk *Chunk = Verified.frame()->body_as_Chunk()) {
    return handleChunk(*Chunk);
  }
  Error Fault;
  auto Message = decodeMessage(Content, Fault);
  return handleMessage(std::move(Message), Fault);
}

bool PeerLinks::Link::handleChunk(const wire::Chunk &Chunk) {
  startContent(Chunk);
  if (State == Phase::Closed) {
    return false;
  }
  bool Refused = false;
  auto Complete =
      Assembler.add(Chunk.stream(), Chunk.last(),
                    {reinterpret_cast<const char *>(Chunk.bytes()->data()),
                     Chunk.bytes()->size()},
                    Refused);
  if (Refused) {
    return refuse("link.frame", "chunked content exceeds its limits");
  }
  if (!Complete) {
    return true;
  }
  Error Fault;
  auto Message = decodeMessage(
      Payload(std::move(*Complete), Assembler.takeCharge()), Fault);
  return handleMessage(std::move(Message), Fault);
}

void PeerLinks::Link::startContent(const wire::Chunk &Chunk) {
  MemoryBudget *const Memory = Parent.Settings.Memory;
  if (Memory == nullptr || Chunk.total() == 0 || Chunk.attempt() == nullptr) {
    return;
  }
  if (Chunk.total() <= ContentLimit) {
    const auto Total = static_cast<std::size_t>(Chunk.total());
    if (!Chunk.is_request()) {
      // The request has run, so its answer must not be lost.
      Assembler.begin(Chunk.stream(), Total,
                      Memory->charge(Total, MemoryUse::Answer));
      return;
    }
    if (auto Charge = Memory->reserve(Total, MemoryUse::Request)) {
      Assembler.begin(Chunk.stream(), Total, std::move(*Charge));
      return;
    }
  } else if (!Chunk.is_request()) {
    return;
  }
  Assembler.skip(Chunk.stream());
  Parent.Handler.onAttemptRefused(peer(),
                                  codec::decodeAttempt(*Chunk.attempt()));
}

bool PeerLinks::Link::handleMessage(std::optional<PeerMessage> Message,
                                    const Error &Fault) {
  if (!Message) {
    return refuse("link.frame", Fault.Reason);
  }
  Parent.Handler.onMessage(peer(), std::move(*Message));
  return State != Phase::Closed;
}

void PeerLinks::Link::becomeUsable() {
  if (!Parent.establish(*this)) {
    closeWithError(
        "link.handshake",
        "duplicate link: another link to this peer takes precedence");
    return;
  }
  State = Phase::Usable;
  Loop.cancel(Timer);
  LastReceived = EventLoop::now();
  Timer = Loop.after(Parent.Settings.HeartbeatPeriod,
                     [this] { onHeartbeatTimer(); });
  Parent.Handler.onLinkUp(peer());
}

void PeerLinks::Link::sendHandshakeFrame(const std::string &Content) {
  ++Parent.Counters.FramesSent;
  Parent.Counters.BytesSent += Content.size() + FrameLengthSize;
  Stream.write(frameLength(Content.size()) + Content);
}

void PeerLinks::Link::appendAuthenticated(std::string &Out,
                                          std::string_view Content) {
  ++Parent.Counters.FramesSent;
  Parent.Counters.BytesSent += Content.size() + FrameLengthSize + FrameMacSize;
  SentSinceHeartbeat = true;
  Out += frameLength(Content.size() + FrameMacSize);
  Out += Outgoing->nextMac(Content);
  Out += Content;
}

bool PeerLinks::Link::appendNext(std::string &Out) {
  if (!SmallQueue.empty()) {
    QueuedBytes -= SmallQueue.front().size();
    releaseOwn(SmallQueue.front().size());
    appendAuthenticated(Out, SmallQueue.front());
    SmallQueue.pop_front();
    return true;
  }
  if (LargeQueue.empty()) {
    return false;
  }
  LargeContent Current = std::move(LargeQueue.front());
  LargeQueue.pop_front();
  const bool First = Current.Offset == 0 && Current.Attempt;
  const std::string Part = Current.Message.part(Current.Offset, ChunkSize);
  Current.Offset += Part.size();
  QueuedBytes -= Part.size();
  const bool Last = Current.Offset == Current.Message.size();
  const wire::AttemptId Attempt =
      First ? codec::encodeAttempt(*Current.Attempt) : wire::AttemptId();
  appendAuthenticated(Out, encodeChunk(Current.Stream, Last, Part,
                                       First ? Current.Message.size() : 0,
                                       First ? &Attempt : nullptr,
                                       First && Current.IsRequest));
  if (!Last) {
    LargeQueue.push_back(std::move(Current));
  } else {
    releaseOwn(Current.Message.Head.size());
  }
  return true;
}

void PeerLinks::Link::releaseOwn(std::size_t Bytes) {
  OwnBytes -= Bytes;
  QueueCharge.resize(OwnBytes);
}

void PeerLinks::Link::scheduleFlush() {
  // Frames of one iteration of the loop are sent by one system call.
  if (!FlushScheduled && isUsable()) {
    FlushScheduled = true;
    Loop.defer([Weak = Parent.All.at(this)] {
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
  if (Closing && SmallQueue.empty() && LargeQueue.empty()) {
    Stream.closeAfterWrite();
  }
}

void PeerLinks::Link::onHeartbeatTimer() {
  if (EventLoop::now() - LastReceived > Parent.Settings.SilenceLimit) {
    Timer = 0;
    closeWithError("link.heartbeat",
                   "no frame received within the silence limit");
    return;
  }
  if (!SentSinceHeartbeat) {
    std::string Heartbeat;
    appendAuthenticated(Heartbeat, {});
    Stream.write(std::move(Heartbeat));
  }
  SentSinceHeartbeat = false;
  Timer = Loop.after(Parent.Settings.HeartbeatPeriod,
                     [this] { onHeartbeatTimer(); });
}

bool PeerLinks::Link::refuse(const char *Step, std::string Reason) {
  ++Parent.Counters.Refused;
  closeWithError(Step, std::move(Reason));
  return false;
}

void PeerLinks::Link::closeWithError(const char *Step, std::string Reason) {
  if (State == Phase::Closed) {
    return;
  }
  const Error Fault{303, Step, RemoteAddress, std::move(Reason)};
  Loop.cancel(Timer);
  Timer = 0;
  Stream.close();
  State = Phase::Closed;
  Parent.onLinkClosed(*this, Fault);
}

} // namespace hyssopford
