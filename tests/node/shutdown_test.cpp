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
