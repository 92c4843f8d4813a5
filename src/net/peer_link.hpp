/// @file
/// @brief One connection of PeerLinks.
#pragma once

#include "frame_buffer.hpp"
#include "frame_code.hpp"
#include "handshake.hpp"
#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Carries the handshake, then frames with their codes.
class PeerLinks::Link final : public TcpStreamHandler {
public:
  explicit Link(PeerLinks &Owner);
  ~Link() override;
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// @brief Serves an accepted connection.
  void accept(const Poco::Net::StreamSocket &Accepted);

  /// @brief Connects to a peer.
  /// @return whether the attempt could be started
  bool connect(NodeId Expected, const std::string &Address);

  /// @brief Queues the content of a frame.
  void send(std::string Content);

  /// @brief Closes after the queue was sent.
  void closeAfterQueue();

  /// @brief Closes at once without a report.
  void drop();

  bool openedBySelf() const { return Opener; }
  bool isUsable() const { return State == Phase::Usable; }
  NodeId expected() const { return Expected; }
  NodeRun peer() const { return Auth.peer().Run; }
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

  struct LargeContent {
    std::uint64_t Stream = 0;
    std::string Bytes;
    std::size_t Offset = 0;
  };

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onClosed(bool Orderly, std::string_view Reason) override;
  void onDrained() override;

  bool takeFrame(std::string_view Frame);
  bool takeHandshakeFrame(std::string_view Frame);
  bool takeReply(std::string_view Frame);
  bool takeCodedFrame(std::string_view Frame);
  bool takeContent(std::string_view Content);
  bool takeMessage(std::string_view Content);
  void becomeUsable();
  void sendPlain(const std::string &Content);
  void appendCoded(std::string &Out, std::string_view Content);
  bool appendNext(std::string &Out);
  void scheduleFlush();
  void flush();
  void checkSilence();
  bool refuse(const char *Step, std::string Reason);
  void end(const char *Step, std::string Reason);

  PeerLinks &Owner;
  /// Kept apart, as a closed link may outlive its owner.
  EventLoop &Loop;
  TcpStream Stream;
  Handshake Auth;
  Phase State = Phase::Connecting;
  bool Opener = false;
  NodeId Expected;
  std::string RemoteAddress;
  FrameBuffer Input;
  ChunkJoiner Joiner;
  std::optional<FrameCodes> Outgoing;
  std::optional<FrameCodes> Incoming;
  std::deque<std::string> Small;
  std::deque<LargeContent> Large;
  std::size_t QueuedBytes = 0;
  std::uint64_t LastStream = 0;
  bool FlushScheduled = false;
  bool Flushing = false;
  bool Closing = false;
  bool SentSinceTick = false;
  TimePoint LastReceived;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
