/// @file
/// @brief Tests of senders whose bytes never end: each exchange ends by a limit
/// of bytes or by its deadline, and the connection closes.
#include "echo_server.hpp"
#include "endless_sender.hpp"
#include "hyssopford/net/upstream_client.hpp"

#include <catch2/catch.hpp>
#include <chrono>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Longest body of an answer in these tests.
constexpr std::size_t BodyLimit = 1'048'576;
/// Bytes that may pass: the chunks below take two bytes for each one of their
/// body, and the socket buffers of both ends hold the rest.
constexpr std::size_t AcceptedMax = 2 * BodyLimit + 12'582'912;

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
