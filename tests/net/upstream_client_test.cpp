/// @file
/// @brief Tests of the HTTP client for the upstream.
#include "hyssopford/net/upstream_client.hpp"
#include "loop_thread.hpp"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// What the scripted upstream does on one accepted connection.
struct Script {
  /// Answers in order; the connection closes after the last one.
  std::vector<std::string> Answers;
  /// Time between the last answer and the close.
  int CloseAfterMs = 0;
  /// Whether the upstream stops listening before it closes the connection.
  bool Crashes = false;
};

/// An upstream that follows one script for each connection and counts
/// connections and requests.
class ScriptedUpstream {
public:
  explicit ScriptedUpstream(std::vector<Script> Plan)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Runner([this, Plan = std::move(Plan)] {
          for (const Script &Each : Plan) {
            // Without a connection within 2 s, the thread ends.
            if (!Listener.poll(Poco::Timespan(2, 0),
                               Poco::Net::Socket::SELECT_READ)) {
              return;
            }
            Poco::Net::StreamSocket Peer = Listener.acceptConnection();
            ++Accepted;
            Peer.setReceiveTimeout(Poco::Timespan(2, 0));
            serve(Peer, Each);
          }
        }) {}

  std::string address() { return Listener.address().toString(); }

  std::atomic<int> Accepted = 0;
  std::atomic<int> Requests = 0;

private:
  void serve(Poco::Net::StreamSocket &Peer, const Script &Plan) {
    std::array<char, 4'096> Buffer{};
    try {
      for (const std::string &Answer : Plan.Answers) {
        std::string Text;
        while (Text.find("\r\n\r\n") == std::string::npos) {
          const int Received = Peer.receiveBytes(Buffer.data(), Buffer.size());
          if (Received <= 0) {
            return;
          }
          Text.append(Buffer.data(), static_cast<std::size_t>(Received));
        }
        ++Requests;
        Peer.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(Plan.CloseAfterMs));
      if (Plan.Crashes) {
        Listener.close();
      }
    } catch (const Poco::Exception &) {
      // The client closed first.
    }
  }

  Poco::Net::ServerSocket Listener;
  std::jthread Runner;
};

/// Records all results.
class Collector final : public UpstreamClientHandler {
public:
  void onAnswered(UpstreamAnswered Answer) override {
    Answers.push_back(std::move(Answer));
  }
  void onFailed(const UpstreamFailed &Failure) override {
    Failures.push_back(Failure);
  }
  void onProbed(const ProbeFinished &Result) override {
    Probes.push_back(Result);
  }
  void onRefusedConnection() override { ++Refused; }

  std::vector<UpstreamAnswered> Answers;
  std::vector<UpstreamFailed> Failures;
  std::vector<ProbeFinished> Probes;
  int Refused = 0;
};

struct Fixture {
  explicit Fixture(const std::string &Address,
                   UpstreamClientSettings Settings = {}) {
    Thread.call([&] {
      Client = std::make_unique<UpstreamClient>(Thread.Loop, Events, Settings);
      Client->setUpstream(Address, "/health");
      return 0;
    });
  }
  ~Fixture() {
    Thread.call([&] {
      Client.reset();
      return 0;
    });
  }

  /// Sends one attempt and waits for its end.
  void run(bool Idempotent, const std::string &Method = "GET",
           Duration Remaining = 2s) {
    const std::size_t Before = ended();
    Thread.call([&] {
      ForwardToUpstream Attempt;
      Attempt.Attempt.Sequence = ++Sequence;
      Attempt.Idempotent = Idempotent;
      Attempt.Remaining = Remaining;
      Attempt.Request = Payload(Method + " /x HTTP/1.1\r\nHost: a\r\n\r\n");
      Client->forward(Attempt);
      return 0;
    });
    REQUIRE(eventually([&] { return ended() > Before; }));
  }
  std::size_t ended() {
    return Thread.call(
        [&] { return Events.Answers.size() + Events.Failures.size(); });
  }
  UpstreamFailed lastFailure() {
    return Thread.call([&] { return Events.Failures.back(); });
  }

  LoopThread Thread;
  Collector Events;
  std::unique_ptr<UpstreamClient> Client;
  std::uint64_t Sequence = 0;
};

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("upstream connections are reused only when it is safe",
          "[upstream]") {
  SECTION("a recently used connection carries the next request") {
    ScriptedUpstream Upstream({{{Ok, Ok, Ok}, 50}});
    Fixture Test(Upstream.address());
    Test.run(false);
    Test.run(true);
    Test.run(false);
    REQUIRE(Upstream.Accepted == 1);
    REQUIRE(Test.Events.Answers.size() == 3);
  }
  SECTION("a connection that the upstream closed is not reused") {
    ScriptedUpstream Upstream({{{Ok}, 0}, {{Ok}, 0}});
    Fixture Test(Upstream.address());
    Test.run(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    Test.run(false);
    REQUIRE(Upstream.Accepted == 2);
    REQUIRE(Test.Events.Answers.size() == 2);
  }
  SECTION("a longer idle connection carries only idempotent requests") {
    ScriptedUpstream Upstream({{{Ok, Ok}, 300}, {{Ok}, 0}});
    UpstreamClientSettings Settings;
    Settings.NonIdempotentReuseLimit = 20ms;
    Fixture Test(Upstream.address(), Settings);
    Test.run(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Test.run(true);
    REQUIRE(Upstream.Accepted == 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Test.run(false);
    REQUIRE(Upstream.Accepted == 2);
  }
  SECTION("a connection with bytes after the answer is not reused") {
    ScriptedUpstream Upstream({{{Ok + "surplus"}, 50}, {{Ok}, 0}});
    Fixture Test(Upstream.address());
    Test.run(true);
    Test.run(true);
    REQUIRE(Upstream.Accepted == 2);
  }
  SECTION("an idempotent request is sent once if a reused connection closes") {
    // The upstream reads the second request and closes without an answer.
    ScriptedUpstream Upstream({{{Ok, ""}, 0}, {{Ok}, 0}});
    Fixture Test(Upstream.address());
    Test.run(true);
    Test.run(true);
    REQUIRE(Test.lastFailure().Reason == OutcomeReason::UpstreamClosed);
    REQUIRE(Test.lastFailure().BytesSent);
    REQUIRE(Test.Events.Refused == 0);
    REQUIRE(Upstream.Requests == 2);
    // The connection that showed that the upstream listens carries the next
    // request.
    Test.run(true);
    REQUIRE(Test.Events.Answers.size() == 2);
    REQUIRE(Upstream.Accepted == 2);
    REQUIRE(Upstream.Requests == 3);
  }
  SECTION("a non-idempotent request is not retried") {
    ScriptedUpstream Upstream({{{Ok, ""}, 0}});
    Fixture Test(Upstream.address());
    Test.run(false);
    Test.run(false);
    REQUIRE(Test.lastFailure().Reason == OutcomeReason::UpstreamClosed);
    REQUIRE(Test.lastFailure().BytesSent);
    REQUIRE(Upstream.Requests == 2);
  }
}

TEST_CASE("upstream failures report whether bytes were sent", "[upstream]") {
  SECTION("nothing listens") {
    std::string Address;
    {
      const Poco::Net::ServerSocket Closed(
          Poco::Net::SocketAddress("127.0.0.1", 0));
      Address = Closed.address().toString();
    }
    Fixture Test(Address);
    Test.run(false);
    REQUIRE(Test.lastFailure().Reason == OutcomeReason::ConnectFailed);
    REQUIRE_FALSE(Test.lastFailure().BytesSent);
    REQUIRE(Test.Events.Refused == 1);
  }
  SECTION("no answer within the deadline") {
    ScriptedUpstream Upstream({{{""}, 300}});
    Fixture Test(Upstream.address());
    Test.run(false, "POST", 50ms);
    REQUIRE(Test.lastFailure().Reason == OutcomeReason::UpstreamTimeout);
    REQUIRE(Test.lastFailure().BytesSent);
  }
  SECTION("a truncated answer is a failure") {
    ScriptedUpstream Upstream(
        {{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}, 0}});
    Fixture Test(Upstream.address());
    Test.run(false);
    REQUIRE(Test.lastFailure().Reason == OutcomeReason::UpstreamClosed);
  }
  SECTION("an answer above the limit") {
    ScriptedUpstream Upstream(
        {{{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"}, 50}});
    UpstreamClientSettings Settings;
    Settings.AnswerLimits.Body = 98;
    Fixture Test(Upstream.address(), Settings);
    Test.run(false);
    REQUIRE(Test.lastFailure().Reason == OutcomeReason::AnswerTooLarge);
  }
}

TEST_CASE("upstream answers, cancelled attempts and probes", "[upstream]") {
  SECTION("chunked, HEAD and without a length") {
    ScriptedUpstream Upstream(
        {{{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
           "HTTP/1.1 201 Created\r\n\r\nto the end"},
          0}});
    Fixture Test(Upstream.address());
    Test.run(true);
    Test.run(true, "HEAD");
    Test.run(true);
    REQUIRE(Upstream.Accepted == 1);
    REQUIRE(Test.Events.Answers[0].Answer.bytes().ends_with(
        "Content-Length: 3\r\n\r\nabc"));
    REQUIRE(Test.Events.Answers[1].Answer.bytes().ends_with(
        "Content-Length: 7\r\n\r\n"));
    REQUIRE(Test.Events.Answers[2].Status == 201);
    REQUIRE(Test.Events.Answers[2].Answer.bytes().ends_with("to the end"));
  }
  SECTION("a cancelled attempt closes its connection without an event") {
    ScriptedUpstream Upstream({{{""}, 200}});
    Fixture Test(Upstream.address());
    Test.Thread.call([&] {
      ForwardToUpstream Attempt;
      Attempt.Attempt.Sequence = 7;
      Attempt.Remaining = 1s;
      Attempt.Request = Payload("GET / HTTP/1.1\r\n\r\n");
      Test.Client->forward(Attempt);
      return 0;
    });
    REQUIRE(eventually([&] { return Upstream.Requests == 1; }));
    Test.Thread.call([&] {
      Test.Client->cancel(AttemptId{{}, 7});
      return 0;
    });
    REQUIRE(Test.Thread.call([&] { return Test.Client->active(); }) == 0);
    REQUIRE(Test.ended() == 0);
  }
  SECTION("probes report the status of the health endpoint") {
    ScriptedUpstream Upstream(
        {{{Ok, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, 0}});
    Fixture Test(Upstream.address());
    for (std::size_t Count = 1; Count <= 2; ++Count) {
      Test.Thread.call([&] {
        Test.Client->probe(ProbeUpstream{1s});
        return 0;
      });
      REQUIRE(eventually([&] {
        return Test.Thread.call([&] { return Test.Events.Probes.size(); }) ==
               Count;
      }));
    }
    REQUIRE(Test.Events.Probes[0].Succeeded);
    REQUIRE_FALSE(Test.Events.Probes[1].Succeeded);
  }
}

// Guards against a request that is reported as not sent, and so is passed on to
// other upstreams without limit, after it crashed the upstream.
TEST_CASE("a request that crashes the upstream on a kept connection was sent",
          "[upstream]") {
  // The upstream reads the second request and ends.
  ScriptedUpstream Upstream({{{Ok, ""}, 20, true}});
  Fixture Test(Upstream.address());
  Test.run(true);
  Test.run(true);
  REQUIRE(Upstream.Requests == 2);
  CHECK(Test.lastFailure().BytesSent);
  CHECK(Test.lastFailure().Reason == OutcomeReason::UpstreamClosed);
  CHECK(Test.Events.Refused == 1);
}
