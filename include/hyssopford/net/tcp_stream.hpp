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

/// @brief Receives what happens on a TcpStream.
class TcpStreamHandler {
public:
  virtual ~TcpStreamHandler() = default;

  /// @brief An outgoing connection is established.
  virtual void onConnected() {}

  /// @brief Bytes arrived; valid only during the call.
  virtual void onData(std::string_view Bytes) = 0;

  /// @brief The peer closed its side, or the connection failed. The stream is
  /// closed already.
  /// @param Orderly true if the peer closed after its last byte
  /// @param Reason explanation for the log
  virtual void onClosed(bool Orderly, std::string_view Reason) = 0;

  /// @brief All written bytes were handed to the operating system.
  virtual void onDrained() {}
};

/// @brief One TCP connection. Writes are queued without bound; callers limit
/// them with pending().
class TcpStream final : public SocketHandler {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop that serves the connection
  /// @param Handler receives the events; must outlive the stream
  TcpStream(EventLoop &Loop, TcpStreamHandler &Handler);
  ~TcpStream() override;
  TcpStream(const TcpStream &) = delete;
  TcpStream &operator=(const TcpStream &) = delete;

  /// @brief Serves an accepted connection.
  void accept(const Poco::Net::StreamSocket &Accepted);

  /// @brief Starts to connect; ends with onConnected() or onClosed().
  /// @param Address "ip:port"
  /// @return whether the attempt could be started
  bool connect(const std::string &Address);
  /// @}

  /// @name Input and output
  /// @{

  /// @brief Sends bytes after those already queued.
  void write(std::string Bytes);

  /// @brief Sends a head and shared bytes without copying the latter.
  /// @param Head bytes sent first
  /// @param Body keeps the bytes alive
  /// @param Offset first byte of @p Body to send
  void write(std::string Head, const Payload &Body, std::size_t Offset = 0);

  /// @brief Stops or resumes reading.
  void pauseReading(bool Paused);

  /// @brief Closes at once; no handler is called after this.
  void close();

  /// @brief Closes after all queued bytes were sent and read input, up to a
  /// short time limit, so that the peer gets them before a reset.
  void closeAfterWrite();

  /// @brief Looks for an end of the connection or unexpected bytes without
  /// consuming them, e.g. before reuse from a pool.
  /// @return true if the connection looks idle and open
  bool looksIdle();
  /// @}

  /// @name Observers
  /// @{
  bool isOpen() const { return Open; }
  std::size_t pending() const { return PendingBytes; }
  std::string peerAddress() const;
  /// @}

private:
  struct Piece {
    std::string Bytes;
    Payload Shared;
    std::size_t Offset = 0;

    std::string_view rest() const;
  };

  void onReady(int Modes) override;
  void readAvailable();
  void flush();
  void updateModes();
  void fail(std::string_view Reason, bool Orderly = false);
  void shutdownWrite();

  EventLoop &Loop;
  TcpStreamHandler &Handler;
  Poco::Net::StreamSocket Socket;
  std::deque<Piece> Queue;
  std::size_t PendingBytes = 0;
  bool Open = false;
  bool Connecting = false;
  bool Paused = false;
  bool Closing = false;
  bool Lingering = false;
  int Modes = 0;
  EventLoop::TimerId LingerTimer = 0;
};

} // namespace hyssopford
