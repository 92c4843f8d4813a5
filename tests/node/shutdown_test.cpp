/// @file
/// @brief Guards against a graceful shutdown that interrupts requests in flight
/// or accepts new ones.
#include "test_site.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

std::string slowRequest(int DelayMs) {
  return fmt::format("GET /slow HTTP/1.1\r\nHost: a\r\nX-Delay-Ms: {}\r\n\r\n",
                     DelayMs);
}

} // namespace

TEST_CASE("shutdown of an ingress", "[node][shutdown]") {
  TwoNodes Site;
  const std::string Address = Site.Ingress.Node.callerAddress();

  SECTION("a request in flight is answered, new ones are refused") {
    RawClient Client(Address);
    Client.send(slowRequest(400));
    REQUIRE(eventually([&] { return Site.Upstream.Runs == 1; }));
    Site.Ingress.Node.requestShutdown();
    REQUIRE(eventually([&] {
      try {
        // The connection ends without an answer.
        return exchange(Address, "GET", "/x").find("200 OK") ==
               std::string::npos;
      } catch (const Poco::Exception &) {
        return true;
      }
    }));
    // No request may reach the upstream from here on.
    const int Runs = Site.Upstream.Runs;
    const std::string Answer = Client.receiveAll();
    REQUIRE(Answer.starts_with("HTTP/1.1 200"));
    REQUIRE(Answer.find("Connection: close\r\n") != std::string::npos);
    REQUIRE(Site.Ingress.stop());
    REQUIRE(Site.Upstream.Runs == Runs);
  }
  SECTION("a request whose body is still arriving is served") {
    RawClient Client(Address);
    Client.send(
        "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Site.Ingress.Node.requestShutdown();
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    Client.send("cd");
    REQUIRE(
        Client.receiveAll().ends_with(TestUpstream::answerTo("/body", "abcd")));
    REQUIRE(Site.Ingress.stop());
  }
  SECTION("an idle node stops at once") {
    const TimePoint Start = EventLoop::now();
    REQUIRE(Site.Ingress.stop());
    REQUIRE(EventLoop::now() - Start < 2s);
  }
}

TEST_CASE("shutdown of an owner", "[node][shutdown]") {
  TwoNodes Site;
  const std::string Address = Site.Ingress.Node.callerAddress();
  RawClient Client(Address);
  Client.send(slowRequest(500));
  REQUIRE(eventually([&] { return Site.Upstream.Runs == 1; }));
  Site.Owner.Node.requestShutdown();
  // New requests are refused as not run; the one in flight is answered.
  REQUIRE(eventually([&] {
    const std::string Answer = exchange(Address, "GET", "/new");
    return Answer.starts_with("HTTP/1.1 503") &&
           Answer.find("Hyssopford-Outcome: not-run") != std::string::npos;
  }));
  REQUIRE(Client.receiveUntil("/slow").starts_with("HTTP/1.1 200"));
  REQUIRE(Site.Owner.stop());
}

TEST_CASE("a shutdown ends at the drain deadline", "[node][shutdown]") {
  TestUpstream Upstream;
  NodeRuntimeSettings Settings = testSettings();
  Settings.DrainDeadline = 150ms;
  TestNode Node(Settings, testRouting());
  REQUIRE(announce(Node, Upstream.address(), 4));
  RawClient Client(Node.Node.callerAddress());
  Client.send(slowRequest(3'000));
  REQUIRE(eventually([&] { return Upstream.Runs == 1; }));
  REQUIRE_FALSE(Node.stop());
}

TEST_CASE("work that arrives late in a shutdown is refused and does not run",
          "[node][shutdown]") {
  // The route allows 5 s, more than the whole drain time.
  TwoNodes Site(300, [](std::vector<std::string> Seeds) {
    NodeRuntimeSettings Settings = testSettings(std::move(Seeds));
    Settings.DrainDeadline = 2s;
    Settings.DrainDelay = 1s;
    // A probe would count as a run.
    Settings.Decisions.Probing.IdleAfter = 60s;
    return Settings;
  });
  const std::string Address = Site.Ingress.Node.callerAddress();
  int ExpectedRuns = 0;
  const std::string LateBody =
      "POST /late HTTP/1.1\r\nHost: a\r\nX-Delay-Ms: 4000\r\n"
      "Content-Length: 4\r\n\r\n";

  SECTION("a request whose body arrives") {
    RawClient Client(Address);
    Client.send(LateBody + "ab");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Site.Ingress.Node.requestShutdown();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
    Client.send("cd");
    const std::string Answer = Client.receiveAll();
    REQUIRE(Answer.starts_with("HTTP/1.1 503"));
    REQUIRE(Answer.find("Hyssopford-Outcome: not-run") != std::string::npos);
  }
  SECTION("a request behind one that is answered") {
    RawClient Client(Address);
    Client.send(slowRequest(300) + LateBody + "ab");
    REQUIRE(eventually([&] { return Site.Upstream.Runs == 1; }));
    Site.Ingress.Node.requestShutdown();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    Client.send("cd");
    const std::string Answers = Client.receiveAll();
    REQUIRE(Answers.starts_with("HTTP/1.1 200"));
    REQUIRE(Answers.find("HTTP/1.1 503") != std::string::npos);
    ExpectedRuns = 1;
  }
  SECTION("a new request") {
    RawClient Client(Address);
    Site.Ingress.Node.requestShutdown();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    Client.send(slowRequest(4'000));
    REQUIRE(Client.receiveAll().starts_with("HTTP/1.1 503"));
  }
  REQUIRE(Site.Ingress.stop());
  REQUIRE(Site.Upstream.Runs == ExpectedRuns);
}

TEST_CASE("each request in flight is answered before a shutdown ends",
          "[node][shutdown]") {
  TwoNodes Site(300, [](std::vector<std::string> Seeds) {
    NodeRuntimeSettings Settings = testSettings(std::move(Seeds));
    Settings.DrainDeadline = 1s;
    return Settings;
  });
  RawClient Client(Site.Ingress.Node.callerAddress());
  Client.send(slowRequest(3'000) + slowRequest(3'000));
  REQUIRE(eventually([&] { return Site.Upstream.Runs == 2; }));
  const TimePoint Start = EventLoop::now();

  SECTION("by the ingress that shuts down, in their order") {
    REQUIRE_FALSE(Site.Ingress.stop());
    const std::string Answers = Client.receiveAll();
    const std::size_t Second = Answers.find("HTTP/1.1", 1);
    REQUIRE(Second != std::string::npos);
    REQUIRE(Answers.find("Hyssopford-Outcome: unknown") < Second);
    REQUIRE(Answers.find("Hyssopford-Outcome: unknown", Second) !=
            std::string::npos);
  }
  SECTION("after the owner that shuts down has ended their attempts") {
    REQUIRE_FALSE(Site.Owner.stop());
    const std::string Answers = Client.receiveUntil("unknown");
    REQUIRE(Answers.find("Hyssopford-Outcome: unknown") != std::string::npos);
  }
  REQUIRE(EventLoop::now() - Start < 1'500ms);
}

// Guards against a request that fails because a call that its upstream makes
// finds the port closed.
TEST_CASE("an upstream that uses the callers' port can call until it has ended "
          "its requests",
          "[node][shutdown]") {
  TwoNodes Site(300, [](std::vector<std::string> Seeds) {
    NodeRuntimeSettings Settings = testSettings(std::move(Seeds));
    Settings.UpstreamIp = "127.0.0.1";
    return Settings;
  });
  // Serves the call while the owner does not take it any more.
  TestUpstream Other;
  REQUIRE(announce(Site.Ingress, Other.address(), 300));
  const std::string Address = Site.Owner.Node.callerAddress();
  REQUIRE(eventually([&] {
    exchange(Address, "GET", "/x");
    return Other.Runs > 0;
  }));
  Site.Upstream.Runs = 0;
  std::vector<std::unique_ptr<RawClient>> Clients;
  REQUIRE(eventually([&] {
    Clients.push_back(std::make_unique<RawClient>(Address));
    Clients.back()->send(slowRequest(600));
    return Site.Upstream.Runs > 0;
  }));
  Site.Owner.Node.requestShutdown();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  REQUIRE(exchange(Address, "GET", "/nested").starts_with("HTTP/1.1 200"));
  REQUIRE(Site.Owner.stop());
  REQUIRE_THROWS_AS(RawClient(Address), Poco::Exception);
}
