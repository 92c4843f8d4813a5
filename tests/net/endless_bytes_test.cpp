/// @file
/// @brief Tests of senders whose bytes never end: each exchange ends by a limit
/// of bytes or by its deadline, and the connection closes.
#include "echo_server.hpp"
#include "hyssopford/net/upstream_client.hpp"

#include <Poco/Net/ServerSocket.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Bytes after which a sender gives up; far above every limit of the node and
/// the buffers of the sockets.
constexpr std::size_t SenderLimit = 67'108'864;
/// Longest body of an answer in these tests.
constexpr std::size_t BodyLimit = 1'048'576;
/// Bytes that may pass: the chunks below take two bytes for each one of their
/// body, and the socket buffers of both ends hold the rest.
constexpr std::size_t AcceptedMax = 2 * BodyLimit + 12'582'912;

/// Sends a start and then a unit again and again until the peer closes.
/// @return the bytes sent
std::size_t sendWithoutEnd(Poco::Net::StreamSocket &Peer,
                           const std::string &Start, const std::string &Unit,
                           Duration Pause) {
  std::string Block = Unit;
  while (Pause == Duration{0} && Block.size() < 4'096) {
    Block += Unit;
  }
  std::size_t Sent = 0;
  try {
    Sent += static_cast<std::size_t>(
        Peer.sendBytes(Start.data(), static_cast<int>(Start.size())));
    while (Sent < SenderLimit) {
      Sent += static_cast<std::size_t>(
          Peer.sendBytes(Block.data(), static_cast<int>(Block.size())));
      std::this_thread::sleep_for(Pause);
    }
  } catch (const Poco::Exception &) {
    // The receiver closed the connection.
  }
  return Sent;
}

/// An upstream whose only answer never ends.
class EndlessUpstream {
public:
  EndlessUpstream(std::string Start, std::string Unit, Duration Pause)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Runner([this, Start = std::move(Start), Unit = std::move(Unit), Pause] {
          if (!Listener.poll(Poco::Timespan(2, 0),
                             Poco::Net::Socket::SELECT_READ)) {
            return;
          }
          Poco::Net::StreamSocket Peer = Listener.acceptConnection();
          Peer.setSendTimeout(Poco::Timespan(5, 0));
          // Bytes before the request would keep it from being sent.
          std::array<char, 4'096> Request{};
          Peer.receiveBytes(Request.data(), Request.size());
          Sent = sendWithoutEnd(Peer, Start, Unit, Pause);
          Ended = true;
        }) {}

  std::string address() { return Listener.address().toString(); }

  std::atomic<std::size_t> Sent = 0;
  std::atomic<bool> Ended = false;

private:
  Poco::Net::ServerSocket Listener;
  std::jthread Runner;
};

/// Records how the attempt ended.
class EndRecorder final : public UpstreamClientHandler {
public:
  void onAnswered(UpstreamAnswered /*Answer*/) override { ++Answers; }
  void onFailed(const UpstreamFailed &Failure) override {
    Failures.push_back(Failure);
  }
  void onProbed(const ProbeFinished & /*Result*/) override {}
  void onRefusedConnection() override {}

  int Answers = 0;
  std::vector<UpstreamFailed> Failures;
};

struct Shape {
  const char *Name;
  std::string Start;
  std::string Unit;
};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<Shape> shapes() {
  return {{"bytes before a status line", "", "x"},
          {"a status line", "HTTP/1.1 200 O", "K"},
          {"fields one by one", Ok, "A: b\r\n"},
          {"one long field", Ok + "A: ", "b"},
          {"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
          {"a chunk size", Chunked, "0"},
          {"a chunk extension", Chunked + "5;", "x"},
          {"chunks", Chunked, "5\r\nhello\r\n"},
          {"trailers", Chunked + "0\r\n", "A: b\r\n"},
          {"a body of a huge length",
           Ok + "Content-Length: 999999999999\r\n\r\n", "x"},
          {"a body until close", Ok + "\r\n", "x"}};
}

} // namespace

TEST_CASE("an answer without end closes by a limit or the deadline",
          "[upstream][endless]") {
  const Shape Each = GENERATE(from_range(shapes()));
  const Duration Pause = GENERATE(0ms, 2ms);
  INFO(Each.Name);
  EndlessUpstream Upstream(Each.Start, Each.Unit, Pause);
  LoopThread Thread;
  EndRecorder Events;
  std::unique_ptr<UpstreamClient> Client;
  constexpr Duration Deadline = 300ms;
  Thread.call([&] {
    UpstreamClientSettings Settings;
    Settings.AnswerLimits.Body = BodyLimit;
    Client = std::make_unique<UpstreamClient>(Thread.Loop, Events, Settings);
    Client->setUpstream(Upstream.address(), "/health");
    ForwardToUpstream Attempt;
    Attempt.Attempt.Sequence = 1;
    Attempt.Remaining = Deadline;
    Attempt.Request = Payload("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    Client->forward(Attempt);
    return 0;
  });
  const auto Begin = std::chrono::steady_clock::now();
  REQUIRE(eventually(
      [&] { return Thread.call([&] { return !Events.Failures.empty(); }); }));
  CHECK(std::chrono::steady_clock::now() - Begin < 2s);
  CHECK(eventually([&] { return Upstream.Ended.load(); }));
  CHECK(Upstream.Sent <= AcceptedMax);
  Thread.call([&] {
    // The work may have run, so the caller must not be told that it has not.
    CHECK(Events.Failures.front().BytesSent);
    CHECK(Events.Answers == 0);
    Client.reset();
    return 0;
  });
}

TEST_CASE("a request without end closes by a limit", "[http][endless]") {
  const auto [Start, Unit] = GENERATE(
      table<std::string, std::string>({{"", "\r\n"},
                                       {"", "x"},
                                       {"GET / HTTP/1.1\r\n", "A: b\r\n"},
                                       {"GET / HTTP/1.1\r\nA: ", "b"},
                                       {"POST / HTTP/1.1\r\nHost: a\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n",
                                        "1\r\nx\r\n"}}));
  INFO(Start << " | " << Unit);
  Fixture Test;
  Poco::Net::StreamSocket Caller{Poco::Net::SocketAddress(Test.address())};
  Caller.setSendTimeout(Poco::Timespan(5, 0));
  CHECK(sendWithoutEnd(Caller, Start, Unit, Duration{0}) <= AcceptedMax);
  CHECK(Test.requests() == 0);
}
