/// @file
/// @brief Tests of requests that follow each other on one connection without
/// waiting for answers (RFC 9112, section 9.3.2).
#include "echo_server.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <thread>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

constexpr std::size_t Depth = 4;

HttpServerSettings pipelining(std::size_t Requests = Depth) {
  HttpServerSettings Settings;
  Settings.PipelineDepth = Requests;
  return Settings;
}

std::string post(const std::string &Target, const std::string &Body) {
  return "POST " + Target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string postInChunks(const std::string &Target, const std::string &Body) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::to_string(Body.size()) + "\r\n" + Body + "\r\n0\r\n\r\n";
}

/// A server that holds all requests until the test answers them.
struct HoldingServer : Fixture {
  explicit HoldingServer(const HttpServerSettings &Settings = pipelining())
      : Fixture(Settings) {
    Handler.Hold = true;
  }

  bool waitForRequests(int Count) {
    return eventually([&] { return requests() == Count; });
  }
  /// Answers the request that was passed on as number Index.
  void answer(std::size_t Index) {
    Thread.call([&] {
      const auto &[Id, Text] = Handler.Held.at(Index);
      Server->reply(Id, makeHttpAnswer(200, "", Text));
      return 0;
    });
  }
  int disconnects() {
    return Thread.call([&] { return Handler.Disconnects; });
  }
  void drain() {
    Thread.call([&] {
      Server->drain();
      return 0;
    });
  }
};

/// Returns the targets of the answers in the order in which they arrived.
std::vector<std::string> targets(const std::string &Answers) {
  std::vector<std::string> Found;
  for (std::size_t At = Answers.find("\r\n\r\n"); At != std::string::npos;
       At = Answers.find("\r\n\r\n", At + 1)) {
    const std::size_t Begin = At + 4;
    const std::size_t End = Answers.find('=', Begin);
    if (End != std::string::npos && Answers[Begin] == '/') {
      Found.push_back(Answers.substr(Begin, End - Begin));
    }
  }
  return Found;
}

} // namespace

TEST_CASE("pipelined requests do not wait for the answers before them",
          "[http][pipelining]") {
  // Guards against callers whose later requests spend their deadline behind the
  // first one.
  HoldingServer Test;
  RawClient Client(Test.address());
  Client.send(get("/a") + post("/b", "body") + get("/c"));
  REQUIRE(Test.waitForRequests(3));

  SECTION("an answer that is ready waits for those before it") {
    Test.answer(2);
    Test.answer(1);
    Test.answer(0);
    CHECK(targets(Client.receiveUntil("/c=")) ==
          std::vector<std::string>{"/a", "/b", "/c"});
  }
  SECTION("a caller that leaves cancels each request that is not answered") {
    Test.answer(1);
    Client.close();
    CHECK(eventually([&] { return Test.disconnects() == 2; }));
  }
  SECTION("a stop answers what was passed on and closes with the last one") {
    Test.drain();
    Client.send(get("/late"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Test.answer(1);
    Test.answer(0);
    Test.answer(2);
    const std::string Text = Client.receiveAll();
    const std::size_t Refused = Text.find("HTTP/1.1 503");
    CHECK(targets(Text.substr(0, Refused)) ==
          std::vector<std::string>{"/a", "/b", "/c"});
    CHECK(Text.find("Connection: close") > Refused);
    CHECK(Text.find("Connection: close") != std::string::npos);
    CHECK(Test.requests() == 3);
  }
  // Guards against requests that were read before a stop and never answered.
  SECTION("a request behind others is served while a stop is announced") {
    Test.Thread.call([&] {
      Test.Server->disableKeepAlive();
      return 0;
    });
    Client.send(get("/late"));
    REQUIRE(Test.waitForRequests(4));
    for (const std::size_t Index : {0, 1, 2, 3}) {
      Test.answer(Index);
    }
    const std::string Text = Client.receiveAll();
    CHECK(targets(Text) == std::vector<std::string>{"/a", "/b", "/c", "/late"});
    CHECK(Text.find("Connection: close") > Text.find("/c="));
    CHECK(Text.find("Connection: close") != std::string::npos);
  }
}

TEST_CASE("the requests of one connection in flight are bounded",
          "[http][pipelining]") {
  SECTION("by their number") {
    HoldingServer Test;
    RawClient Client(Test.address());
    std::string All;
    for (std::size_t Index = 0; Index < 2 * Depth; ++Index) {
      All += get("/" + std::to_string(Index));
    }
    Client.send(All);
    REQUIRE(Test.waitForRequests(Depth));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(Test.requests() == Depth);
    Test.answer(0);
    CHECK(Test.waitForRequests(Depth + 1));
  }
  SECTION("by the bytes of their bodies") {
    HttpServerSettings Settings = pipelining();
    Settings.PipelineBytes = 1'000;
    HoldingServer Test(Settings);
    RawClient Client(Test.address());
    Client.send(post("/a", std::string(1'000, 'x')) + get("/b"));
    REQUIRE(Test.waitForRequests(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(Test.requests() == 1);
    Test.answer(0);
    CHECK(Test.waitForRequests(2));
  }
}

TEST_CASE("the end of a pipeline", "[http][pipelining]") {
  HoldingServer Test;
  RawClient Client(Test.address());

  SECTION("a refusal waits for the answers before it") {
    Client.send(get("/a") + get("/none") + get("/b"));
    REQUIRE(Test.waitForRequests(2));
    Test.answer(1);
    Test.answer(0);
    const std::string Text = Client.receiveUntil("/b=");
    CHECK(Text.find("/a=") < Text.find("HTTP/1.1 404"));
    CHECK(Text.find("HTTP/1.1 404") < Text.find("/b="));
  }
  SECTION("nothing behind a malformed request is passed on") {
    Client.send(get("/a") + "GET / HTTP/1.1\r\nHost : a\r\n\r\n" + get("/b"));
    REQUIRE(Test.waitForRequests(1));
    Test.answer(0);
    const std::string Text = Client.receiveAll();
    CHECK(Text.find("/a=") < Text.find("HTTP/1.1 400"));
    CHECK(Text.find("HTTP/1.1 400") != std::string::npos);
    CHECK(Test.requests() == 1);
  }
  SECTION("nothing behind Connection: close is passed on") {
    Client.send(get("/a") + get("/b", "Connection: close\r\n") + get("/c"));
    REQUIRE(Test.waitForRequests(2));
    Test.answer(1);
    Test.answer(0);
    const std::string Text = Client.receiveAll();
    CHECK(targets(Text) == std::vector<std::string>{"/a", "/b"});
    CHECK(Test.requests() == 2);
  }
  SECTION("the answer to HEAD in the middle has no body") {
    Client.send(get("/a") + "HEAD /h HTTP/1.1\r\nHost: a\r\n\r\n" + get("/b"));
    REQUIRE(Test.waitForRequests(3));
    Test.answer(2);
    Test.answer(1);
    Test.answer(0);
    CHECK(targets(Client.receiveUntil("/b=")) ==
          std::vector<std::string>{"/a", "/b"});
  }
  SECTION("100 Continue waits for the answers before it") {
    Client.send(get("/a") +
                "POST /p HTTP/1.1\r\nHost: a\r\n"
                "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(Test.waitForRequests(1));
    Test.answer(0);
    const std::string Text = Client.receiveUntil("100 Continue");
    CHECK(Text.find("/a=") < Text.find("HTTP/1.1 100 Continue"));
    Client.send("hi");
    REQUIRE(Test.waitForRequests(2));
    Test.answer(1);
    CHECK(Client.receiveUntil("/p=hi").ends_with("/p=hi"));
  }
}

TEST_CASE("a planned stop answers requests that were not read yet",
          "[http][shutdown]") {
  // Guards against a stop that resets connections in the listen queue and
  // closes connections whose request has arrived but was not read.
  HoldingServer Test;
  constexpr int Waiting = 24;
  std::vector<std::unique_ptr<RawClient>> Clients;
  Test.Thread.call([&] {
    // The loop is busy here, so it neither accepts nor reads.
    for (int Index = 0; Index < Waiting; ++Index) {
      Clients.push_back(std::make_unique<RawClient>(Test.address()));
      Clients.back()->send(get("/" + std::to_string(Index)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Test.Server->drain();
    return 0;
  });
  REQUIRE(Test.waitForRequests(Waiting));
  for (std::size_t Index = 0; Index < Waiting; ++Index) {
    Test.answer(Index);
  }
  for (const auto &Each : Clients) {
    CHECK(Each->receiveAll().starts_with("HTTP/1.1 200"));
  }
}

// Guards against a request that arrives while the last answer of a connection
// is sent, and that is read and dropped.
TEST_CASE("a stop answers a request that crosses the last answer",
          "[http][shutdown]") {
  const bool Drains = GENERATE(false, true);
  const bool IsComplete = GENERATE(false, true);
  HoldingServer Test;
  RawClient Client(Test.address());
  Client.send(get("/a"));
  REQUIRE(Test.waitForRequests(1));
  const std::string Crossing = post("/b", "body");
  Test.Thread.call([&] {
    if (Drains) {
      Test.Server->drain();
    } else {
      Test.Server->disableKeepAlive();
    }
    // The loop is busy here, so it does not read.
    Client.send(IsComplete ? Crossing
                           : Crossing.substr(0, Crossing.size() - 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Test.Server->reply(Test.Handler.Held.at(0).first,
                       makeHttpAnswer(200, "", "/a="));
    return 0;
  });
  if (!IsComplete) {
    Client.send("dy");
  }
  REQUIRE(Test.waitForRequests(2));
  Test.answer(1);
  const std::string Text = Client.receiveAll();
  CHECK(targets(Text) == std::vector<std::string>{"/a", "/b"});
  CHECK(Text.find("Connection: close") > Text.find("/a="));
  CHECK(Text.find("Connection: close") != std::string::npos);
}

TEST_CASE("random pipelines agree with a model of the connection",
          "[http][pipelining]") {
  const unsigned Seed = GENERATE(range(1U, 21U));
  std::mt19937 Random(Seed);
  const auto Below = [&](std::size_t Limit) {
    return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
  };
  HoldingServer Test(pipelining(1 + Below(6)));
  RawClient Client(Test.address());
  // The model: requests are passed on in order until one closes the
  // connection, and the answers have the order of the requests.
  std::string All;
  std::vector<std::string> Expected;
  std::size_t PassedOn = 0;
  const std::size_t Count = 1 + Below(20);
  bool Closed = false;
  for (std::size_t Index = 0; Index < Count && !Closed; ++Index) {
    const std::string Target = "/" + std::to_string(Index);
    const std::string Body(1 + Below(9), 'x');
    switch (Below(12)) {
    case 0:
      All += get("/none");
      continue;
    case 5:
      All += Below(2) == 0 ? post("/discard", Body)
                           : postInChunks("/discard", Body);
      continue;
    case 1:
      All += get(Target, "Connection: close\r\n");
      Closed = true;
      break;
    case 2:
    case 3:
      All += post(Target, Body);
      break;
    case 4:
      All += postInChunks(Target, Body);
      break;
    default:
      All += get(Target);
      break;
    }
    Expected.push_back(Target);
    ++PassedOn;
  }
  if (!Closed) {
    All += get("/end", "Connection: close\r\n");
    Expected.emplace_back("/end");
    ++PassedOn;
  }
  All += get("/behind");
  std::thread Sender([&] {
    for (std::size_t At = 0; At < All.size();) {
      const std::size_t Part = std::min(1 + At % 97, All.size() - At);
      Client.send(All.substr(At, Part));
      At += Part;
    }
  });
  std::vector<std::size_t> Open;
  std::size_t Seen = 0;
  std::size_t Answered = 0;
  while (Answered < PassedOn) {
    REQUIRE(eventually([&] {
      const auto Now = static_cast<std::size_t>(Test.requests());
      for (; Seen < Now; ++Seen) {
        Open.push_back(Seen);
      }
      return !Open.empty();
    }));
    const std::size_t Pick = Below(Open.size());
    Test.answer(Open[Pick]);
    Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(Pick));
    ++Answered;
  }
  const std::string Text = Client.receiveAll();
  Sender.join();
  CHECK(targets(Text) == Expected);
  CHECK(Test.requests() == static_cast<int>(PassedOn));
}
