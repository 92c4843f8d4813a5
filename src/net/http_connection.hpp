/// @file
/// @brief One connection of an HttpServer.
#pragma once

#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Reads the requests of a connection one by one and writes their
/// answers.
class HttpServer::Connection final : public TcpStreamHandler {
public:
  explicit Connection(HttpServer &Parent);
  ~Connection() override;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// @brief Serves an accepted socket.
  void start(const Poco::Net::StreamSocket &Accepted);

  /// @brief Writes the answer of the request in flight.
  void reply(const Payload &Answer, const std::string &Fields);

  /// @brief Closes an idle connection and refuses a request whose head is
  /// incomplete; a request being received or answered is completed.
  void drain();

  /// @return whether nothing is being received, answered or sent
  bool isIdle() const;

private:
  void onData(std::string_view Bytes) override;
  void onClosed(bool Orderly, std::string_view Reason) override;
  void onWritesFlushed() override;

  void process();
  bool advanceReader();
  void handleHead();
  void handleRequest();
  void refuse(const HttpFault &Fault);
  void send(const Payload &Answer, const std::string &Fields, bool Close);
  void checkTimers();
  void armTimer();
  TimePoint deadline() const;
  void reportClosed();

  HttpServer &Server;
  /// Not read from Server, as a closed connection may outlive its server.
  EventLoop &Loop;
  TcpStream Stream;
  HttpReader Reader;
  std::string Peer;
  RequestId Current;
  bool InFlight = false;
  bool Processing = false;
  bool Closing = false;
  bool IsHeadRequest = false;
  /// When the current message, or the wait for it, started.
  TimePoint Started;
  TimePoint LastProgress;
  std::size_t LastPending = 0;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
