/// @file
/// @brief Tests of the clients for HTTP calls and for the store against bytes
/// that belong to no call.
#include "hyssopford/net/http_client.hpp"
#include "hyssopford/net/store_client.hpp"
#include "loop_thread.hpp"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Time in which bytes that were written arrive at the client.
constexpr auto ArrivalTime = std::chrono::milliseconds(20);

std::string answerWith(const std::string &Value) {
  const std::string Body =
      fmt::format("{{\"value\":\"{}\",\"revision\":1}}", Value);
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Connection: Keep-Alive\r\nContent-Length: {}\r\n\r\n{}",
                     Body.size(), Body);
}

/// A server that answers its calls with the values 1, 2 and so on. Behind the
/// first answer it sends additional bytes, at once or later.
class SurplusServer {
public:
  SurplusServer(std::string Surplus, bool AtOnce)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Acceptor([this, Surplus = std::move(Surplus),
                  AtOnce](const std::stop_token &Stop) {
          while (!Stop.stop_requested()) {
            if (Listener.poll(Poco::Timespan(0, 5'000),
                              Poco::Net::Socket::SELECT_READ)) {
              Poco::Net::StreamSocket Peer = Listener.acceptConnection();
              Peer.setReceiveTimeout(Poco::Timespan(5, 0));
              Lines.emplace_back([this, Peer, Surplus, AtOnce]() mutable {
                try {
                  serve(Peer, Surplus, AtOnce);
                } catch (const Poco::Exception &) {
                  // The client closed first.
                }
              });
            }
          }
        }) {}

  std::string address() { return Listener.address().toString(); }

private:
  void serve(Poco::Net::StreamSocket &Peer, const std::string &Surplus,
             bool AtOnce) {
    std::array<char, 4'096> Buffer{};
    while (true) {
      std::string Text;
      while (Text.find("\r\n\r\n") == std::string::npos) {
        const int Received = Peer.receiveBytes(Buffer.data(), Buffer.size());
        if (Received <= 0) {
          return;
        }
        Text.append(Buffer.data(), static_cast<std::size_t>(Received));
      }
      const int Number = ++Calls;
      const bool WithSurplus = Number == 1;
      std::string Bytes = answerWith(std::to_string(Number));
      if (WithSurplus && AtOnce) {
        Bytes += Surplus;
      }
      Peer.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
      if (WithSurplus && !AtOnce) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        Peer.sendBytes(Surplus.data(), static_cast<int>(Surplus.size()));
      }
    }
  }

  Poco::Net::ServerSocket Listener;
  std::atomic<int> Calls = 0;
  std::vector<std::jthread> Lines;
  std::jthread Acceptor;
};

std::vector<std::string> surplus() {
  const std::string Missing = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
  const std::string Foreign = answerWith("foreign");
  return {Foreign,
          Foreign.substr(0, Foreign.size() - 3),
          Foreign.substr(0, 20),
          Foreign + Foreign,
          Missing,
          "x",
          "\r\n"};
}

} // namespace

// A call got bytes that had arrived on its idle connection as its answer.
TEST_CASE("an HTTP call is never answered by bytes behind an earlier answer",
          "[surplus]") {
  const std::string Bytes = GENERATE(from_range(surplus()));
  const bool AtOnce = GENERATE(false, true);
  INFO(Bytes << ", at once " << AtOnce);
  SurplusServer Server(Bytes, AtOnce);
  LoopThread Thread;
  std::unique_ptr<HttpClient> Client;
  std::vector<HttpCallResult> Results;
  for (std::size_t Count = 1; Count <= 3; ++Count) {
    Thread.call([&] {
      if (!Client) {
        Client = std::make_unique<HttpClient>(
            Thread.Loop, HttpClientSettings{Server.address()});
      }
      Client->call("POST", "/x", "{}", 500ms, [&](HttpCallResult Result) {
        Results.push_back(std::move(Result));
      });
      return 0;
    });
    REQUIRE(eventually(
        [&] { return Thread.call([&] { return Results.size(); }) == Count; }));
    CHECK(Results.back().Status == 200);
    CHECK(Results.back().Body ==
          fmt::format("{{\"value\":\"{}\",\"revision\":1}}", Count));
    std::this_thread::sleep_for(ArrivalTime);
  }
  Thread.call([&] {
    Client.reset();
    return 0;
  });
}

// A call of the store got the bytes behind the answer before as its own.
TEST_CASE("a store call is never answered by bytes behind an earlier answer",
          "[surplus][store]") {
  const std::string Bytes = GENERATE(from_range(surplus()));
  const bool AtOnce = GENERATE(false, true);
  INFO(Bytes << ", at once " << AtOnce);
  SurplusServer Server(Bytes, AtOnce);
  std::mutex Lock;
  std::vector<StoreResult> Results;
  HttpStoreSettings Settings;
  Settings.Address = Server.address();
  Settings.CallTimeout = 500ms;
  HttpStoreClient Client(Settings, [&](std::uint64_t, StoreResult Result) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Results.push_back(std::move(Result));
  });
  const auto Last = [&] {
    const std::lock_guard<std::mutex> Guard(Lock);
    return Results.back();
  };
  for (std::size_t Count = 1; Count <= 3; ++Count) {
    Client.start(StoreCall{Count, StoreRead{"k"}});
    REQUIRE(eventually([&] {
      const std::lock_guard<std::mutex> Guard(Lock);
      return Results.size() == Count;
    }));
    CHECK(Last().Status == StoreStatus::Done);
    CHECK(Last().Value == std::to_string(Count));
    std::this_thread::sleep_for(ArrivalTime);
  }
}
