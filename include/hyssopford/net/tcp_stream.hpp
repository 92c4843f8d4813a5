/// @file
/// @brief Non-blocking TCP connection on an event loop.
#pragma once

#include "hyssopford/core/payload.hpp"
#include "hyssopford/net/event_loop.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Receives events of a TcpStream.
class TcpStreamHandler {
public:
  virtual ~TcpStreamHandler() = default;

  /// @brief An outgoing connection is established.
  virtual void onConnected() {}

  /// @brief Bytes arrived.
  /// @param Bytes the bytes; valid only during the call
  virtual void onData(std::string_view Bytes) = 0;

  /// @brief The peer closed the connection, or it failed. The stream is already
  /// closed.
  /// @param Orderly true if the peer ended its stream (FIN) without an error
  /// @param Reason explanation for the log
  virtual void onClosed(bool Orderly, std::string_view Reason) = 0;

  /// @brief All written bytes were handed to the operating system.
  virtual void onWritesFlushed() {}
};

/// @brief One TCP connection. The write queue is unbounded; users limit it by
/// checking pending().
class TcpStream final : public SocketHandler {
public:
  /// Most bytes that are read before the handler is called.
  static constexpr std::size_t MaximumReadSize = 65'536;

  /// @name Construction
  /// @{

  /// @param Loop the loop that serves the connection
  /// @param Handler receives the events; must outlive the stream
  TcpStream(EventLoop &Loop, TcpStreamHandler &Handler);
  ~TcpStream() override;
  TcpStream(const TcpStream &) = delete;
  TcpStream &operator=(const TcpStream &) = delete;

  /// @brief Serves an accepted connection.
  /// @param Accepted the socket
  /// @param UnsentBytes most bytes that the kernel takes before they can be
  /// sent; 0 for its own limit
  void accept(const Poco::Net::StreamSocket &Accepted, int UnsentBytes = 0);

  /// @brief Starts to connect; completes with onConnected() or onClosed().
  /// @param Address "ip:port"
  /// @return whether connecting could be started
  bool connect(const std::string &Address);
  /// @}

  /// @name Input and output
  /// @{

  /// @brief Queues bytes for sending.
  void write(std::string Bytes);

  /// @brief Queues a head and a shared body; the body is not copied.
  /// @param Head bytes sent first
  /// @param Body bytes sent after the head
  /// @param Offset first byte of @p Body to send
  void write(std::string Head, const Payload &Body, std::size_t Offset = 0);

  /// @brief Pauses or resumes reading.
  void setReadingPaused(bool Paused);

  /// @brief Sets the receive buffer in the kernel, in bytes.
  void setReceiveBuffer(int Bytes);

  /// @brief Sets how many bytes are read at most before the handler is called.
  void setReadSize(std::size_t Bytes) { ReadSize = Bytes; }

  /// @brief Reads what has arrived without waiting for the loop.
  void readArrived();

  /// @brief Closes immediately; no handler is called after this.
  void close();

  /// @brief Closes after all queued bytes were sent. Goes on reading for a
  /// short time, since closing with unread input would reset the connection
  /// before the peer has received the bytes.
  void closeAfterWrite();

  /// @brief As above for a peer that is still sending.
  /// @param MoreBytes further bytes that are read and discarded
  /// @param Wait longest time until the peer closes its end
  void closeAfterWrite(std::uint64_t MoreBytes, Duration Wait);

  /// @brief Checks, without consuming input, that the connection is open and no
  /// bytes have arrived, e.g. before reuse from a pool.
  /// @return true if the connection is open and idle
  bool looksIdle();

  /// @return whether bytes have arrived that were not read yet
  bool hasArrived() const;
  /// @}

  /// @name Observers
  /// @{
  bool isOpen() const { return Open; }
  /// @return whether a system call has failed, so that nothing more can be sent
  bool isBroken() const { return Broken; }
  /// @return the number of queued bytes
  std::size_t pending() const { return PendingBytes; }
  /// @return the number of queued bytes that are not charged to a memory budget
  std::size_t pendingUncharged() const { return UnchargedBytes; }
  /// @return the address of the peer, "ip:port"; empty if unknown
  std::string peerAddress() const;
  /// @}

private:
  struct QueuedWrite {
    std::string Bytes;
    Payload Shared;
    std::size_t Offset = 0;

    std::string_view remaining() const;
    bool isCharged() const { return Bytes.empty() && Shared.isCharged(); }
  };

  void onReady(int Modes) override;
  void readAvailable();
  /// Reads what arrived before a write failed, then reports the failure.
  void endBroken(std::string_view Reason);
  void flush();
  void updateModes();
  void fail(std::string_view Reason, bool Orderly = false);
  void shutdownWrite();
  /// Reads one byte without consuming it; returns as recv(2).
  int peek() const;

  EventLoop &Loop;
  TcpStreamHandler &Handler;
  Poco::Net::StreamSocket Socket;
  std::deque<QueuedWrite> Queue;
  std::size_t PendingBytes = 0;
  std::size_t UnchargedBytes = 0;
  std::size_t ReadSize = MaximumReadSize;
  bool Open = false;
  bool Connecting = false;
  bool Paused = false;
  bool Closing = false;
  bool Lingering = false;
  /// True for a connection that this side has opened.
  bool IsOpener = false;
  /// The kernel reports an error once; the reads that follow look like an
  /// orderly end.
  mutable bool Broken = false;
  /// Bytes read since the stream began to close.
  std::uint64_t DiscardedBytes = 0;
  std::uint64_t DiscardLimit = 0;
  Duration LingerWait{0};
  int Modes = 0;
  EventLoop::TimerId LingerTimer = 0;
};

} // namespace hyssopford
