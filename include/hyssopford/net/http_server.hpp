/// @file
/// @brief HTTP/1.1 server on the event loop.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/net/client_limits.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/http_head.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Limits and address of one server.
struct HttpServerSettings {
  /// "ip:port"; port 0 lets the system choose.
  std::string Address = "127.0.0.1:0";
  /// Number of the server in the process, below 256; part of its request
  /// identifiers.
  std::uint8_t Number = 0;
  HttpLimits Limits;
  /// A further connection takes the place of the one longest without progress.
  std::size_t MaximumConnections = 8'192;
  /// Most connections of one client address to all servers with the same
  /// Clients; 0 for no limit.
  std::size_t MaximumPerAddress = 0;
  /// Limits over all servers of a node; must outlive the server. Null for
  /// limits of the server alone, without a memory budget.
  ClientLimits *Clients = nullptr;
  /// Receive buffer of a connection in the kernel, in bytes, which bounds what
  /// it holds of a connection that is not read; 0 for the system's.
  int ReceiveBuffer = 16'384;
  /// Receive buffer while a large body is read, so that its sender is not
  /// slowed down.
  int BodyReceiveBuffer = 131'072;
  /// Most unsent bytes of a connection that the kernel takes; 0 for its own
  /// limit.
  int UnsentBytes = 65'536;
  /// Time limit for receiving a head after its first byte.
  Duration HeadTimeout = 10s;
  /// Longest time without progress while receiving a body or sending an
  /// answer.
  Duration StallTimeout = 10s;
  /// Time limit for receiving a whole body.
  Duration BodyTimeout = 60s;
  /// How long a connection may wait for its next request.
  Duration IdleTimeout = 60s;
  /// Most requests of one connection that are passed on before the first of
  /// them is answered; 1 disables pipelining.
  std::size_t PipelineDepth = 16;
  /// Bytes of bodies and of answers held for one connection above which no
  /// further request is read.
  std::size_t PipelineBytes = 1'048'576;
};

/// @brief A complete request; the references are valid only during
/// HttpServerHandler::onRequest.
struct HttpRequest {
  const Poco::Net::HTTPRequest &Head;
  const HttpHeadFacts &Facts;
  std::string Body;
  /// Address of the sender, "ip:port".
  std::string Peer;
  /// Memory charged for the request.
  MemoryCharge Memory = {};
};

/// @brief Decision on a request after its head was read.
struct HeadDecision {
  /// Usual limit of the body of a refused request that is discarded, in bytes.
  static constexpr std::uint64_t DiscardLimit = 1'048'576;

  /// Answer for a request that is refused before its body is read.
  std::optional<Payload> Refusal;
  /// Longest body accepted, or of a refused request discarded, in bytes.
  std::uint64_t BodyLimit = 0;
  /// True if the body of a refused request is read and discarded, so that its
  /// sender receives the refusal; otherwise the connection closes.
  bool DiscardBody = false;
  /// Memory charged for the request.
  MemoryCharge Memory = {};
};

/// @brief Handles the requests of a server.
class HttpServerHandler {
public:
  virtual ~HttpServerHandler() = default;

  /// @brief Decides on a request before its body is read.
  virtual HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                              const HttpHeadFacts &Facts) = 0;

  /// @brief Decides whether a request whose body is still arriving can be
  /// served; see HttpServer::recheckBodies.
  virtual bool canServe(const Poco::Net::HTTPRequest & /*Head*/,
                        const HttpHeadFacts & /*Facts*/) {
    return true;
  }

  /// @brief Handles a complete request, which ends with HttpServer::reply.
  virtual void onRequest(RequestId Id, HttpRequest Request) = 0;

  /// @brief The sender disconnected before the answer; the request needs no
  /// reply.
  virtual void onDisconnected(RequestId Id) = 0;

  /// @brief Called when the server itself refuses a request, e.g. a malformed
  /// one.
  virtual void onRefused(const HttpFault & /*Fault*/) {}

  /// @return the complete answer to a refused request
  virtual Payload refusal(const HttpFault &Fault) = 0;
};

/// @brief HTTP server. Passes pipelined requests on at once and answers them in
/// the order in which they arrived.
class HttpServer final : public SocketHandler {
public:
  /// @name Construction
  /// @{

  /// @brief Starts to listen.
  /// @param Loop the loop that serves the connections
  /// @param Handler handles the requests; must outlive the server
  /// @param Settings address and limits
  /// @throws Poco::Exception if the address cannot be bound
  HttpServer(EventLoop &Loop, HttpServerHandler &Handler,
             HttpServerSettings Settings);
  ~HttpServer() override;
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  /// @}

  /// @name Answers
  /// @{

  /// @brief Answers a request. Does nothing if its sender has disconnected.
  /// @param Id the request
  /// @param Answer status line, fields and body
  /// @param Fields further field lines, each with its line end
  void reply(RequestId Id, const Payload &Answer,
             const std::string &Fields = {});
  /// @}

  /// @name Shutdown
  /// @{

  /// @brief Closes each connection once the requests passed on are answered;
  /// new connections are still accepted.
  void disableKeepAlive() { KeepAliveDisabled = true; }

  /// @brief Refuses the requests whose body is still arriving and that the
  /// handler cannot serve any more.
  void recheckBodies();

  /// @brief Accepts the connections in the backlog, stops listening, closes
  /// idle connections and closes the others once the requests passed on are
  /// answered.
  void drain();

  /// @return whether no request is being received or answered and all answers
  /// were handed to the operating system
  bool isIdle() const;
  /// @}

  /// @brief Changes the limits of heads and idle connections.
  /// @param HeadBytes longest head in bytes
  /// @param HeadTimeout time limit for receiving a head after its first byte
  /// @param IdleTimeout how long a connection may wait for its next request
  void setLimits(std::size_t HeadBytes, Duration HeadTimeout,
                 Duration IdleTimeout) {
    Settings.Limits.Head = HeadBytes;
    Settings.HeadTimeout = HeadTimeout;
    Settings.IdleTimeout = IdleTimeout;
  }

  /// @name Observers
  /// @{

  /// @return the address listened on, "ip:port"
  std::string address() const { return Socket.address().toString(); }
  std::size_t connections() const { return Connections.size(); }
  /// @return the limits that the server's connections belong to
  const ClientLimits &clients() const { return Clients; }
  bool isDraining() const { return Draining; }
  /// @}

private:
  class Connection;
  friend class Connection;

  void onReady(int Modes) override;
  /// @return whether a connection was waiting
  bool acceptNext();
  /// Serves a connection if the limits allow it.
  void admit(const Poco::Net::StreamSocket &Accepted);
  void stopListening();
  /// Connections by value, as a call on one may close and remove it.
  std::vector<std::shared_ptr<Connection>> currentConnections() const;
  RequestId assignRequestId(Connection &Source);
  void removeRequest(RequestId Id) { InFlight.erase(Id); }
  void removeConnection(Connection &Closed);

  EventLoop &Loop;
  HttpServerHandler &Handler;
  HttpServerSettings Settings;
  std::unique_ptr<ClientLimits> OwnClients;
  ClientLimits &Clients;
  Poco::Net::ServerSocket Socket;
  bool Listening = false;
  bool Draining = false;
  bool KeepAliveDisabled = false;
  std::uint64_t LastRequest = 0;
  std::unordered_map<const Connection *, std::shared_ptr<Connection>>
      Connections;
  std::unordered_map<RequestId, Connection *> InFlight;
  EventLoop::TimerId RetryTimer = 0;
};

/// @brief Builds a complete HTTP/1.1 response.
/// @param Status the status code
/// @param Fields further field lines, each with its line end
/// @param Body the body; Content-Length is set from it
/// @return status line, fields and body
Payload makeHttpAnswer(int Status, const std::string &Fields,
                       const std::string &Body);

} // namespace hyssopford
