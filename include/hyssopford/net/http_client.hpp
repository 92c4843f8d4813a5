/// @file
/// @brief Asynchronous HTTP client for one server.
#pragma once

#include "hyssopford/net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Result of a call.
struct HttpCallResult {
  /// HTTP status of the response; 0 if there was none.
  int Status = 0;
  std::string Body;
  /// True if the server may have received a part of the request.
  bool Sent = false;
  /// Why there was no response; empty otherwise.
  std::string Reason;
  /// Value of the header field HttpClientSettings::KeptField; empty if the
  /// response has none.
  std::string Field{};

  friend bool operator==(const HttpCallResult &,
                         const HttpCallResult &) = default;
};

/// @brief Server address and limits of an HttpClient.
struct HttpClientSettings {
  /// Address of the server, "ip:port".
  std::string Address;
  /// How long an idle connection is kept for the next call.
  Duration IdleTimeout = 5s;
  /// Maximum number of idle connections kept.
  std::size_t PoolSize = 2;
  /// Maximum size of a response body in bytes.
  std::size_t BodyLimit = 4'194'304;
  /// Name of a header field of responses that results contain; empty for none.
  std::string KeptField{};
};

/// @brief Makes calls on an event loop. Each running call has a connection of
/// its own; a connection whose response times out is closed, and with it all
/// idle ones.
class HttpClient {
public:
  using Callback = std::function<void(HttpCallResult)>;

  /// @name Construction
  /// @{

  /// @param Loop the loop that serves the connections
  /// @param Settings server address and limits
  HttpClient(EventLoop &Loop, HttpClientSettings Settings);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  /// @}

  /// @brief Starts a call; it ends with exactly one callback from the loop
  /// unless this object is destroyed first.
  /// @param Method the HTTP method
  /// @param Target path and query
  /// @param Body JSON text, or empty
  /// @param Timeout limit for connecting and receiving the response
  /// @param Done receives the result
  void call(const std::string &Method, const std::string &Target,
            const std::string &Body, Duration Timeout, Callback Done);

  /// @return the number of connections opened so far
  std::size_t opened() const { return Opened; }

private:
  class Exchange;
  friend class Exchange;

  void finish(Exchange &Ended, bool Reusable);
  void closeIdle();

  EventLoop &Loop;
  HttpClientSettings Settings;
  std::unordered_map<const Exchange *, std::shared_ptr<Exchange>> Active;
  std::vector<std::shared_ptr<Exchange>> Idle;
  std::size_t Opened = 0;
};

} // namespace hyssopford
