/// @file
/// @brief Tests of answers whose connection is reset while the request is still
/// being written.
#include "hyssopford/net/http_client.hpp"
#include "hyssopford/net/tcp_stream.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "loop_thread.hpp"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Far above what the kernel's buffers of a connection hold.
constexpr std::size_t UploadSize = 8'388'608;

enum class End : std::uint8_t { Reset, Close, HalfClose };

/// Reads the first bytes of a request, answers and ends the connection.
class EarlyServer {
public:
  EarlyServer(std::string Answer, Duration Pause, End How)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Runner([this, Answer = std::move(Answer), Pause, How] {
          if (!Listener.poll(Poco::Timespan(2, 0),
                             Poco::Net::Socket::SELECT_READ)) {
            return;
          }
          Poco::Net::StreamSocket Peer = Listener.acceptConnection();
          std::array<char, 1'024> Buffer{};
          Peer.receiveBytes(Buffer.data(), Buffer.size());
          Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
          std::this_thread::sleep_for(Pause);
          if (How == End::HalfClose) {
            Peer.shutdownSend();
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
          } else if (How == End::Reset) {
            Peer.setLinger(true, 0);
          }
          // With unread input, an ordinary close is a reset as well.
          Peer.close();
        }) {}

  std::string address() { return Listener.address().toString(); }

private:
  Poco::Net::ServerSocket Listener;
  std::jthread Runner;
};

class Recorder final : public UpstreamClientHandler {
public:
  void onAnswered(UpstreamAnswered Answer) override {
    Answers.push_back(std::move(Answer));
  }
  void onFailed(const UpstreamFailed &Failure) override {
    Failures.push_back(Failure);
  }
  void onProbed(const ProbeFinished & /*Result*/) override {}
  void onRefusedConnection() override {}

  std::vector<UpstreamAnswered> Answers;
  std::vector<UpstreamFailed> Failures;
};

/// Sends an upload to the server and waits for its end.
Recorder upload(EarlyServer &Server) {
  LoopThread Thread;
  Recorder Events;
  std::unique_ptr<UpstreamClient> Client;
  Thread.call([&] {
    Client = std::make_unique<UpstreamClient>(Thread.Loop, Events,
                                              UpstreamClientSettings());
    Client->setUpstream(Server.address(), "/health");
    ForwardToUpstream Attempt;
    Attempt.Attempt.Sequence = 1;
    Attempt.Remaining = 2s;
    Attempt.Request = Payload(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
        std::to_string(UploadSize) + "\r\n\r\n" + std::string(UploadSize, 'u'));
    Client->forward(Attempt);
    return 0;
  });
  REQUIRE(eventually([&] {
    return Thread.call(
        [&] { return Events.Answers.size() + Events.Failures.size() > 0; });
  }));
  return Thread.call([&] {
    Client.reset();
    return Events;
  });
}

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string Part(3'000, 'a');

} // namespace

// Guards against a part of an answer without length that its caller gets as the
// whole, as the error of the write hid the reset from the next read.
TEST_CASE("an answer that is reset during the upload is not complete",
          "[upstream][reset]") {
  const Duration Pause = GENERATE(0ms, 2ms, 50ms);
  const End How = GENERATE(End::Reset, End::Close);
  const int Round = GENERATE(range(0, 5));
  INFO("pause " << Pause.count() << " us, end " << static_cast<int>(How)
                << ", round " << Round);
  EarlyServer Server(Head + "\r\n" + Part, Pause, How);
  const Recorder Events = upload(Server);
  CHECK(Events.Answers.empty());
  REQUIRE(Events.Failures.size() == 1);
  CHECK(Events.Failures[0].BytesSent);
}

// Service must not suffer: what arrived before the reset still counts.
TEST_CASE("a whole answer counts although its connection is reset",
          "[upstream][reset]") {
  const std::size_t Size = GENERATE(3'000U, 400'000U);
  const int Round = GENERATE(range(0, 3));
  INFO("size " << Size << ", round " << Round);
  EarlyServer Server(Head + "Content-Length: " + std::to_string(Size) +
                         "\r\n\r\n" + std::string(Size, 'a'),
                     50ms, End::Reset);
  const Recorder Events = upload(Server);
  REQUIRE(Events.Answers.size() == 1);
  CHECK(Events.Answers[0].Answer.bytes().ends_with(std::string(Size, 'a')));
}

TEST_CASE("an answer without length ends with an orderly close",
          "[upstream][reset]") {
  EarlyServer Server(Head + "\r\n" + Part, 5ms, End::HalfClose);
  const Recorder Events = upload(Server);
  REQUIRE(Events.Answers.size() == 1);
  CHECK(Events.Answers[0].Answer.bytes().ends_with(Part));
}

// The same stream carries the answers of the store.
TEST_CASE("a call that is reset while it is written has no answer",
          "[http][reset]") {
  const Duration Pause = GENERATE(2ms, 50ms);
  EarlyServer Server(Head + "\r\n{}", Pause, End::Reset);
  LoopThread Thread;
  std::unique_ptr<HttpClient> Client;
  std::vector<HttpCallResult> Results;
  Thread.call([&] {
    Client = std::make_unique<HttpClient>(Thread.Loop,
                                          HttpClientSettings{Server.address()});
    Client->call(
        "POST", "/x", std::string(UploadSize, 'u'), 2s,
        [&](HttpCallResult Result) { Results.push_back(std::move(Result)); });
    return 0;
  });
  REQUIRE(eventually(
      [&] { return Thread.call([&] { return !Results.empty(); }); }));
  CHECK(Results[0].Status == 0);
  CHECK(Results[0].Sent);
  Thread.call([&] {
    Client.reset();
    return 0;
  });
}

// Guards against a stream that is checked for input after a reset and then
// never reports its end, as the check has taken the error.
TEST_CASE("a reset is reported although a check for input saw it first",
          "[http][reset]") {
  struct Watcher final : TcpStreamHandler {
    void onData(std::string_view /*Bytes*/) override {}
    void onClosed(bool Orderly, std::string_view /*Reason*/) override {
      Ended = true;
      WasOrderly = Orderly;
    }
    bool Ended = false;
    bool WasOrderly = false;
  };
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  LoopThread Thread;
  Watcher Events;
  std::unique_ptr<TcpStream> Stream;
  Thread.call([&] {
    Stream = std::make_unique<TcpStream>(Thread.Loop, Events);
    return Stream->connect(Listener.address().toString());
  });
  Poco::Net::StreamSocket Peer = Listener.acceptConnection();
  // The loop waits while the reset arrives, so that the check comes first.
  Thread.call([&] {
    Peer.setLinger(true, 0);
    Peer.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Stream->looksIdle();
    Stream->hasArrived();
    return 0;
  });
  CHECK(eventually([&] { return Thread.call([&] { return Events.Ended; }); }));
  CHECK_FALSE(Events.WasOrderly);
  Thread.call([&] {
    Stream.reset();
    return 0;
  });
}
