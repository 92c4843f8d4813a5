#include "hyssopford/net/http_server.hpp"

#include "http_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <fmt/format.h>
#include <new>
#include <utility>

namespace hyssopford {

namespace {

/// Time after which accepting is retried when it failed, e.g. for lack of file
/// descriptors.
constexpr Duration AcceptRetry = 100ms;
/// Maximum number of connections accepted in one iteration of the loop.
constexpr int AcceptBatch = 32;
constexpr int Backlog = 1'024;
/// Bit position of the server's number in a request identifier.
constexpr int NumberShift = 56;

} // namespace

HttpServer::HttpServer(EventLoop &EventSource, HttpServerHandler &Receiver,
                       HttpServerSettings ServerSettings)
    : Loop(EventSource), Handler(Receiver), Settings(std::move(ServerSettings)),
      OwnClients(Settings.Clients == nullptr ? std::make_unique<ClientLimits>()
                                             : nullptr),
      Clients(OwnClients ? *OwnClients : *Settings.Clients) {
  // Without SO_REUSEPORT, so that a second server on the port fails to bind.
  Socket.bind(Poco::Net::SocketAddress(Settings.Address), true, false);
  if (Settings.ReceiveBuffer > 0) {
    // Inherited by accepted sockets; set before, so that it holds for
    // connections that wait to be accepted.
    Socket.setReceiveBufferSize(Settings.ReceiveBuffer);
  }
  Socket.listen(Backlog);
  Socket.setBlocking(false);
  Loop.add(Socket, Poco::Net::PollSet::POLL_READ, *this);
  Listening = true;
}

HttpServer::~HttpServer() {
  stopListening();
  Loop.cancel(RetryTimer);
}

void HttpServer::reply(RequestId Id, const Payload &Answer,
                       const std::string &Fields) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end()) {
    return;
  }
  Connection &Target = *Found->second;
  InFlight.erase(Found);
  Target.reply(Id, Answer, Fields);
}

void HttpServer::drain() {
  if (Draining) {
    return;
  }
  // Closing the socket would reset connections that are still in the backlog.
  try {
    while (acceptNext()) {
    }
  } catch (const Poco::Exception &) {
    // Connections that cannot be accepted, e.g. for lack of file descriptors,
    // are reset; no request of them has been read.
  }
  Draining = true;
  stopListening();
  for (const auto &Each : currentConnections()) {
    Each->drain();
  }
}

void HttpServer::recheckBodies() {
  for (const auto &Each : currentConnections()) {
    Each->recheckBody();
  }
}

std::vector<std::shared_ptr<HttpServer::Connection>>
HttpServer::currentConnections() const {
  std::vector<std::shared_ptr<Connection>> Current;
  Current.reserve(Connections.size());
  for (const auto &Entry : Connections) {
    Current.push_back(Entry.second);
  }
  return Current;
}

bool HttpServer::isIdle() const {
  return std::all_of(Connections.begin(), Connections.end(),
                     [](const auto &Entry) { return Entry.second->isIdle(); });
}

void HttpServer::onReady(int /*Modes*/) {
  try {
    for (int Count = 0; Count < AcceptBatch && acceptNext(); ++Count) {
    }
  } catch (const Poco::Exception &) {
    if (Clients.makeRoom(nullptr, CloseReason::Descriptors, EventLoop::now())) {
      return;
    }
    Loop.remove(Socket);
    RetryTimer = Loop.after(AcceptRetry, [this] {
      if (Listening) {
        Loop.add(Socket, Poco::Net::PollSet::POLL_READ, *this);
      }
    });
  }
}

bool HttpServer::acceptNext() {
  if (!Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    return false;
  }
  admit(Socket.acceptConnection());
  return true;
}

void HttpServer::admit(const Poco::Net::StreamSocket &Accepted) {
  if (Settings.MaximumPerAddress > 0 &&
      Clients.connectionsOf(Accepted.peerAddress().host().toString()) >=
          Settings.MaximumPerAddress) {
    Clients.countClosed(CloseReason::Address);
    return;
  }
  if (Connections.size() >= Settings.MaximumConnections &&
      !Clients.makeRoom(this, CloseReason::Connections, EventLoop::now())) {
    Clients.countClosed(CloseReason::Connections);
    return;
  }
  std::shared_ptr<Connection> New;
  try {
    New = std::make_shared<Connection>(*this);
    Connections.emplace(New.get(), New);
    New->start(Accepted);
  } catch (const std::bad_alloc &) {
    Clients.countClosed(CloseReason::Memory);
    Connections.erase(New.get());
  } catch (const Poco::Exception &) {
    // E.g. the client has reset the connection, or the event loop cannot watch
    // a further socket.
    Connections.erase(New.get());
  }
}

void HttpServer::stopListening() {
  if (Listening) {
    Listening = false;
    Loop.remove(Socket);
    Socket.close();
  }
}

RequestId HttpServer::assignRequestId(Connection &Source) {
  const RequestId Id{(std::uint64_t{Settings.Number} << NumberShift) |
                     ++LastRequest};
  InFlight.emplace(Id, &Source);
  return Id;
}

void HttpServer::removeConnection(Connection &Closed) {
  const auto Found = Connections.find(&Closed);
  if (Found != Connections.end()) {
    // Destroyed later, as its handler may be running.
    Loop.defer([Kept = std::move(Found->second)] {});
    Connections.erase(Found);
  }
}

Payload makeHttpAnswer(int Status, const std::string &Fields,
                       const std::string &Body) {
  const auto Code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status);
  return Payload(fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}",
                             Status,
                             Poco::Net::HTTPResponse::getReasonForStatus(Code),
                             Fields, Body.size(), Body));
}

} // namespace hyssopford
