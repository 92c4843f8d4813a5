/// @file
/// @brief Tests of the limits on what clients make a node hold.
#include "echo_server.hpp"
#include "hyssopford/net/client_limits.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// A connection that records why it was closed.
struct FakeConnection final : LimitedConnection {
  bool mayBeClosed() const override { return !Runs; }
  bool holdsMemory(MemoryShortage Lacking) const override {
    return Lacking == MemoryShortage::Large
               ? Charge.size() >= MemoryBudget::LargeSize
               : Charge.size() > 0;
  }
  bool hasSent() override { return std::exchange(Sent, false); }
  void closeForLimit(CloseReason Reason) override {
    Closed = Reason;
    Charge.resize(0);
  }

  bool Runs = false;
  bool Sent = false;
  MemoryCharge Charge;
  std::optional<CloseReason> Closed;
};

constexpr TimePoint Begin{100s};
constexpr std::size_t Limit = 1'048'576;

struct LimitsFixture {
  ClientLimits::Handle add(FakeConnection &Added, TimePoint Now = Begin) {
    return Limits.add(Added, this, "192.0.2.1", Now);
  }
  bool makeRoom(TimePoint Now = Begin + 10s) {
    return Limits.makeRoom(this, CloseReason::Connections, Now);
  }

  MemoryBudget Budget{Limit};
  ClientLimits Limits{&Budget};
  FakeConnection First;
  FakeConnection Second;
};

} // namespace

// Guards against closing connections that are served while others hold theirs
// without progress.
TEST_CASE("the connection longest without progress is closed first",
          "[net][limits]") {
  LimitsFixture Test;
  const auto FirstPlace = Test.add(Test.First);
  const auto SecondPlace = Test.add(Test.Second, Begin + 1s);

  SECTION("in the order of their last progress") {
    Test.Limits.reportProgress(FirstPlace, false, Begin + 2s);
    CHECK(Test.makeRoom());
    CHECK(Test.Second.Closed == CloseReason::Connections);
    CHECK_FALSE(Test.First.Closed);
    CHECK(Test.Limits.closed(CloseReason::Connections) == 1);
  }
  SECTION("one that waits for its next request goes after all others") {
    Test.Limits.reportProgress(FirstPlace, true, Begin + 1s);
    Test.Limits.reportProgress(SecondPlace, false, Begin + 2s);
    CHECK(Test.makeRoom());
    CHECK(Test.Second.Closed);
    Test.Limits.remove(SecondPlace);
    CHECK(Test.makeRoom());
    CHECK(Test.First.Closed);
  }
  SECTION("one with a running request is not closed") {
    Test.First.Runs = true;
    Test.Second.Runs = true;
    CHECK_FALSE(Test.makeRoom());
  }
  SECTION("one whose client read an answer is not closed") {
    Test.First.Sent = true;
    CHECK(Test.makeRoom());
    CHECK(Test.Second.Closed);
  }
  SECTION("one of another server is not closed for a server's room") {
    CHECK_FALSE(Test.Limits.makeRoom(&Test.Second, CloseReason::Connections,
                                     Begin + 10s));
    CHECK(Test.Limits.makeRoom(nullptr, CloseReason::Descriptors, Begin + 10s));
  }
  SECTION("connections are counted for each address") {
    CHECK(Test.Limits.connectionsOf("192.0.2.1") == 2);
    Test.Limits.remove(FirstPlace);
    CHECK(Test.Limits.connectionsOf("192.0.2.1") == 1);
    CHECK(Test.Limits.connectionsOf("192.0.2.2") == 0);
  }
}

// Guards against a budget that senders of incomplete bodies use up.
TEST_CASE("memory is reclaimed from connections without progress",
          "[net][limits]") {
  LimitsFixture Test;
  const auto FirstPlace = Test.add(Test.First);
  Test.add(Test.Second);
  const TimePoint Late = Begin + ClientLimits::Grace;

  SECTION("not before the grace has passed") {
    Test.First.Charge = Test.Budget.charge(1, MemoryUse::Connection);
    CHECK_FALSE(Test.Limits.reclaimMemory(MemoryShortage::Any, Late - 1ms));
    CHECK(Test.Limits.reclaimMemory(MemoryShortage::Any, Late));
  }
  SECTION("only from those that hold what is lacking") {
    Test.First.Charge = Test.Budget.charge(60'000, MemoryUse::Request);
    Test.Second.Charge = Test.Budget.charge(70'000, MemoryUse::Request);
    CHECK(Test.Limits.reclaimMemory(MemoryShortage::Large, Late));
    CHECK(Test.Second.Closed == CloseReason::Memory);
    CHECK_FALSE(Test.First.Closed);
  }
  SECTION("until a reservation fits") {
    // The reclaimer uses the present time, which is past these.
    Test.First.Charge = Test.Budget.charge(Limit / 4, MemoryUse::Connection);
    Test.Second.Charge = Test.Budget.charge(Limit / 2, MemoryUse::Request);
    Test.Limits.reportProgress(FirstPlace, false, Begin);
    CHECK(Test.Budget.reserve(Limit / 2, MemoryUse::Request).has_value());
    CHECK(Test.Second.Closed);
    CHECK_FALSE(Test.First.Closed);
  }
}

// Guards against heads or bodies that keep out requests without a body.
TEST_CASE("shares of the memory budget", "[net][limits]") {
  MemoryBudget Budget(Limit);
  SECTION("buffers of connections use a quarter at most") {
    MemoryCharge Held = Budget.charge(0, MemoryUse::Connection);
    CHECK(Held.tryResize(Limit / 4));
    CHECK_FALSE(Held.tryResize(Limit / 4 + 1));
    CHECK(Budget.connectionBytes() == Limit / 4);
  }
  SECTION("requests with a body leave the last eighth") {
    const auto Bodies = Budget.charge(Limit / 8 * 7 - 1, MemoryUse::Answer);
    CHECK_FALSE(Budget.reserve(MemoryBudget::BodySize, MemoryUse::Request));
    CHECK(Budget.reserve(MemoryBudget::BodySize - 1, MemoryUse::Request));
    CHECK(Budget.refusals() == 1);
  }
}

// Guards against servers that together exceed the descriptors of the process,
// as the listening sockets then accept nothing.
TEST_CASE("descriptors are divided among the servers", "[net][limits]") {
  for (const std::size_t Descriptors : {64UL, 300UL, 3'900UL, 7'992UL}) {
    const DescriptorShares Shares = descriptorShares(Descriptors);
    const std::size_t Sum = Shares.Callers + Shares.Local + Shares.Ready +
                            Shares.Metrics + Shares.Operators;
    INFO(Descriptors);
    CHECK(Sum + 32 <= Descriptors);
    CHECK(Shares.Callers >= 4);
  }
  CHECK(descriptorShares(3'900).Callers > 2'000);
}

namespace {

/// A server with limits whose timeouts do not end a connection in a test.
struct LimitedServer {
  explicit LimitedServer(HttpServerSettings Settings = {}) {
    Settings.Clients = &Limits;
    Thread.call([&] {
      Server = std::make_unique<HttpServer>(Thread.Loop, Handler, Settings);
      Handler.Server = Server.get();
      return 0;
    });
  }
  ~LimitedServer() {
    Thread.call([&] {
      Server.reset();
      return 0;
    });
  }
  template <typename Condition> bool waitFor(Condition What) {
    return eventually([&] { return Thread.call(What); });
  }

  MemoryBudget Budget{Limit};
  ClientLimits Limits{&Budget};
  LoopThread Thread;
  EchoHandler Handler;
  std::unique_ptr<HttpServer> Server;
};

HttpServerSettings connections(std::size_t Most, std::size_t PerAddress = 0) {
  HttpServerSettings Settings;
  Settings.MaximumConnections = Most;
  Settings.MaximumPerAddress = PerAddress;
  return Settings;
}

} // namespace

// Guards against clients that take all connections and send nothing or stop
// half-way.
TEST_CASE("a full server admits further connections", "[net][limits]") {
  LimitedServer Test(connections(2));
  RawClient HalfWay(Test.Server->address());
  HalfWay.send("GET /x HTTP/1.1\r\nHo");
  RawClient Silent(Test.Server->address());
  REQUIRE(Test.waitFor([&] { return Test.Server->connections() == 2; }));
  RawClient Ordinary(Test.Server->address());
  Ordinary.send(get("/y"));
  CHECK(Ordinary.receiveUntil("/y=").starts_with("HTTP/1.1 200"));
  // A request that was not passed on is refused truthfully.
  CHECK(HalfWay.receiveAll().starts_with("HTTP/1.1 503"));
  CHECK(Test.waitFor([&] {
    return Test.Limits.closed(CloseReason::Connections) == 1 &&
           Test.Server->connections() == 2;
  }));
}

TEST_CASE("a client address has a bound of its own", "[net][limits]") {
  LimitedServer Test(connections(100, 1));
  RawClient First(Test.Server->address());
  First.send(get("/x"));
  CHECK(First.receiveUntil("/x=").starts_with("HTTP/1.1 200"));
  RawClient Second(Test.Server->address());
  CHECK(Test.waitFor(
      [&] { return Test.Limits.closed(CloseReason::Address) == 1; }));
  First.send(get("/y"));
  CHECK(First.receiveUntil("/y=").starts_with("HTTP/1.1 200"));
}

// Guards against bytes that a client makes the node hold beyond its budget.
TEST_CASE("what a connection holds is charged", "[net][limits]") {
  LimitedServer Test;
  const auto Used = [&] { return Test.Budget.connectionBytes(); };

  SECTION("an incomplete head, until the connection ends") {
    RawClient Client(Test.Server->address());
    Client.send("GET /x HTTP/1.1\r\nA: " + std::string(8'000, 'x'));
    CHECK(Test.waitFor([&] { return Used() > 12'000; }));
    Client.close();
    CHECK(Test.waitFor([&] { return Used() == 0; }));
  }
  SECTION("requests behind unread answers, which are not passed on") {
    RawClient Client(Test.Server->address());
    const std::string Body(50'000, 'x');
    // Fewer than a client can send without reading.
    constexpr int Requests = 200;
    std::thread Sender([&] {
      for (int Index = 1; Index < Requests; ++Index) {
        Client.send("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n"
                    "\r\n" +
                    Body);
      }
      Client.send(get("/last"));
    });
    // What is read ahead and what the kernel holds.
    CHECK(Test.waitFor([&] { return Used() > 16'384 + 32'768; }));
    CHECK(Test.Thread.call([&] { return Test.Handler.Requests; }) < Requests);
    CHECK(Used() < Limit / 4 + 65'536);
    CHECK(Client.receiveUntil("/last=").ends_with("/last="));
    Sender.join();
    CHECK(Test.Thread.call([&] { return Test.Handler.Requests; }) == Requests);
  }
}

// Guards against heads whose fields cost more than their bytes.
TEST_CASE("an incomplete head of too many fields is refused", "[net][limits]") {
  LimitedServer Test;
  RawClient Client(Test.Server->address());
  std::string Head = "GET /x HTTP/1.1\r\nHost: a\r\n";
  for (int Index = 0; Index < 100; ++Index) {
    Head += "a:\r\n";
  }
  Client.send(Head);
  CHECK(Client.receiveAll().starts_with("HTTP/1.1 431"));
}
