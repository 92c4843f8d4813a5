/// @file
/// @brief One connection of PeerLinks.
#pragma once

#include "frame_buffer.hpp"
#include "frame_generated.h"
#include "frame_mac.hpp"
#include "handshake.hpp"
#include "hyssopford/net/message_codec.hpp"
#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief A link to a peer: performs the handshake, then exchanges
/// authenticated frames.
class PeerLinks::Link final : public TcpStreamHandler {
public:
  explicit Link(PeerLinks &Parent);
  ~Link() override;
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// @brief Serves an accepted connection.
  void accept(const Poco::Net::StreamSocket &Accepted);

  /// @brief Connects to a peer.
  /// @param Expected the node that must answer
  /// @param Address "ip:port"
  /// @return whether connecting could be started
  bool connect(NodeId Expected, const std::string &Address);

  /// @brief Queues a message for sending, in chunks if it is large.
  void send(const PeerMessage &Message);

  /// @brief Closes after the queue is sent.
  void closeAfterQueue();

  /// @brief Closes immediately without notifying the parent.
  void drop();

  bool openedBySelf() const { return IsOpener; }
  bool isUsable() const { return State == Phase::Usable; }
  /// @return the node that must answer, for links opened by this node
  NodeId expected() const { return Expected; }
  NodeRun peer() const { return Auth.peer().Run; }
  /// @return the number of queued bytes
  std::size_t pending() const { return QueuedBytes + Stream.pending(); }

private:
  enum class Phase : std::uint8_t {
    Connecting,
    AwaitHello,
    AwaitReply,
    AwaitConfirm,
    Usable,
    Closed
  };

  /// A content that is sent in chunks.
  struct LargeContent {
    std::uint64_t Stream = 0;
    EncodedMessage Message;
    /// Attempt that carries the content, if it is a request or an answer.
    std::optional<AttemptId> Attempt;
    bool IsRequest = false;
    std::size_t Offset = 0;
  };

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onClosed(bool Orderly, std::string_view Reason) override;
  void onWritesFlushed() override;

  bool handleFrame(std::string_view Frame);
  bool handleHandshakeFrame(std::string_view Frame);
  bool handleReply(std::string_view Frame);
  bool handleAuthenticatedFrame(std::string_view Frame);
  bool handleContent(std::string_view Content);
  bool handleChunk(const wire::Chunk &Chunk);
  /// Charges a content whose first chunk states its size, or discards it.
  void startContent(const wire::Chunk &Chunk);
  bool handleMessage(std::optional<PeerMessage> Message, const Error &Fault);
  void becomeUsable();
  void sendHandshakeFrame(const std::string &Content);
  void appendAuthenticated(std::string &Out, std::string_view Content);
  bool appendNext(std::string &Out);
  void releaseOwn(std::size_t Bytes);
  void scheduleFlush();
  void flush();
  void onHeartbeatTimer();
  bool refuse(const char *Step, std::string Reason);
  void closeWithError(const char *Step, std::string Reason);

  PeerLinks &Parent;
  /// Not read from Parent, as a closed link may outlive its parent.
  EventLoop &Loop;
  TcpStream Stream;
  Handshake Auth;
  Phase State = Phase::Connecting;
  bool IsOpener = false;
  NodeId Expected;
  std::string RemoteAddress;
  FrameBuffer Input;
  ChunkAssembler Assembler;
  std::optional<FrameAuthenticator> Outgoing;
  std::optional<FrameAuthenticator> Incoming;
  std::deque<std::string> SmallQueue;
  std::deque<LargeContent> LargeQueue;
  std::size_t QueuedBytes = 0;
  /// Memory of the queued messages that is not shared with their payloads.
  std::size_t OwnBytes = 0;
  MemoryCharge QueueCharge;
  std::uint64_t LastStream = 0;
  bool FlushScheduled = false;
  bool Flushing = false;
  bool Closing = false;
  bool SentSinceHeartbeat = false;
  TimePoint LastReceived;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
