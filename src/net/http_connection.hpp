/// @file
/// @brief One connection of an HttpServer.
#pragma once

#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Reads one request after the other and writes their answers.
class HttpServer::Connection final : public TcpStreamHandler {
public:
  explicit Connection(HttpServer &Owner);
  ~Connection() override;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// @brief Serves an accepted socket.
  void start(const Poco::Net::StreamSocket &Accepted);

  /// @brief Writes the answer of the request in flight.
  void reply(const Payload &Answer, const std::string &Fields);

  /// @brief Closes the connection if it is idle.
  void drain();

  /// @return whether nothing is being read, answered or sent
  bool isIdle() const;

private:
  void onData(std::string_view Bytes) override;
  void onClosed(bool Orderly, std::string_view Reason) override;
  void onDrained() override;

  void process();
  bool step();
  void takeHead();
  void takeRequest();
  void refuse(const HttpFault &Fault);
  void send(const Payload &Answer, const std::string &Fields, bool Close);
  void checkTimers();
  void armTimer();
  TimePoint deadline() const;
  void finish();

  HttpServer &Server;
  /// Kept apart, as a closed connection may outlive its server.
  EventLoop &Loop;
  TcpStream Stream;
  HttpReader Reader;
  std::string Peer;
  RequestId Current;
  bool InFlight = false;
  bool Processing = false;
  bool Ending = false;
  bool ToHead = false;
  /// Start of the current message, or of the wait for it.
  TimePoint Started;
  TimePoint LastProgress;
  std::size_t LastPending = 0;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
