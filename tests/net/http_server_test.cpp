/// @file
/// @brief Tests of the HTTP server over real connections.
#include "echo_server.hpp"
#include "hyssopford/net/http_server.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace hyssopford;
using namespace hyssopford::test;

// Guards against two servers that share a port by SO_REUSEPORT, of which each
// would get a part of the connections.
TEST_CASE("an address that is in use is refused", "[net][http]") {
  EventLoop Loop;
  EchoHandler Handler;
  HttpServerSettings Settings;
  Settings.Address = "127.0.0.1:0";
  const HttpServer First(Loop, Handler, Settings);
  Settings.Address = First.address();
  CHECK_THROWS_AS(HttpServer(Loop, Handler, Settings), Poco::Exception);
}

TEST_CASE("HTTP server: answers", "[http]") {
  Fixture Test;
  RawClient Client(Test.address());

  SECTION("pipelined requests are answered in order on one connection") {
    std::string All;
    for (int Index = 0; Index < 50; ++Index) {
      All += get("/" + std::to_string(Index));
    }
    Client.send(All);
    const std::string Text = Client.receiveUntil("/49=");
    std::size_t At = 0;
    for (int Index = 0; Index < 50; ++Index) {
      At = Text.find("\r\n\r\n/" + std::to_string(Index) + "=", At);
      REQUIRE(At != std::string::npos);
    }
    REQUIRE(Text.find("X-Extra: 1\r\n") != std::string::npos);
  }
  SECTION("the answer to HEAD has no body") {
    Client.send("HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    REQUIRE(Client.receiveAll() ==
            "HTTP/1.1 200 OK\r\nX-Extra: 1\r\nConnection: close\r\n"
            "Content-Length: 3\r\n\r\n");
  }
  SECTION("100 Continue is sent only if the body has not arrived yet") {
    Client.send("POST /p HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
    REQUIRE(Client.receiveUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    Client.send("hi");
    REQUIRE(Client.receiveUntil("/p=hi").starts_with("HTTP/1.1 200"));
    Client.send("POST /q HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\nhi");
    REQUIRE(Client.receiveUntil("/q=hi").starts_with("HTTP/1.1 200"));
  }
  SECTION("HTTP/1.0 without keep-alive closes after the answer") {
    Client.send("GET /old HTTP/1.0\r\n\r\n");
    REQUIRE(Client.receiveAll().ends_with("/old="));
  }
  SECTION("a large answer arrives completely before the close") {
    const std::string Body(90'000, 'x');
    Client.send("POST /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                "Content-Length: 90000\r\n\r\n" +
                Body);
    REQUIRE(Client.receiveAll().ends_with("/b=" + Body));
  }
}

TEST_CASE("HTTP server: refused requests do not reach the handler", "[http]") {
  Fixture Test;
  RawClient Client(Test.address());

  SECTION("a refused request without a body keeps the connection") {
    Client.send(get("/none") + get("/x"));
    const std::string Text = Client.receiveUntil("/x=");
    REQUIRE(Text.starts_with("HTTP/1.1 404"));
    REQUIRE(Test.requests() == 1);
  }
  SECTION("a refused request with a body closes the connection") {
    Client.send("POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n" +
                get("/smuggled"));
    REQUIRE(Client.receiveAll().find("404") != std::string::npos);
    REQUIRE(Test.requests() == 0);
  }
  SECTION("a body of a refused request that is discarded keeps it") {
    Client.send("POST /discard HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n"
                "\r\n0123456789");
    REQUIRE(Client.receiveUntil("none").starts_with("HTTP/1.1 404"));
    Client.send("01234567890123456789" + get("/x"));
    REQUIRE(Client.receiveUntil("/x=").starts_with("HTTP/1.1 200"));
    Client.send("POST /discard HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n4\r\nab");
    REQUIRE(Client.receiveUntil("none").starts_with("HTTP/1.1 404"));
    Client.send("cd\r\n0\r\n\r\n" + get("/y"));
    REQUIRE(Client.receiveUntil("/y=").starts_with("HTTP/1.1 200"));
    REQUIRE(Test.requests() == 2);
  }
  SECTION("a discarded body that cannot be read ends the connection") {
    const std::string Chunk = "c350\r\n" + std::string(50'000, 'x') + "\r\n";
    Client.send("POST /discard HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                GENERATE_COPY(Chunk + Chunk + Chunk, std::string("z\r\n")) +
                get("/x"));
    const std::string Text = Client.receiveAll();
    REQUIRE(Text.starts_with("HTTP/1.1 404"));
    REQUIRE(Text.find("HTTP/1.1", 8) == std::string::npos);
    REQUIRE(Test.requests() == 0);
  }
  SECTION("a body above the route's limit is refused before it is read") {
    Client.send("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n"
                "Expect: 100-continue\r\n\r\n");
    REQUIRE(Client.receiveAll().starts_with("HTTP/1.1 413"));
    REQUIRE(Test.requests() == 0);
  }
  SECTION("nothing after a malformed request is read") {
    Client.send("GET / HTTP/1.1\r\nHost : a\r\n\r\n" + get("/x"));
    const std::string Text = Client.receiveAll();
    REQUIRE(Text.starts_with("HTTP/1.1 400"));
    REQUIRE(Text.find("HTTP/1.1", 8) == std::string::npos);
    REQUIRE(Test.requests() == 0);
  }
}

TEST_CASE("HTTP server: slow and disconnecting callers", "[http]") {
  Fixture Test;
  RawClient Client(Test.address());

  SECTION("a slow head ends with 408") {
    Client.send("GET / HTTP/1.1\r\n");
    REQUIRE(Client.receiveAll().starts_with("HTTP/1.1 408"));
  }
  SECTION("a slow body ends with 408") {
    Client.send("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\n");
    for (int Index = 0; Index < 8; ++Index) {
      Client.send("x");
      std::this_thread::sleep_for(std::chrono::milliseconds(60));
    }
    REQUIRE(Client.receiveAll().starts_with("HTTP/1.1 408"));
    REQUIRE(Test.requests() == 0);
  }
  SECTION("an idle connection is closed without an answer") {
    Client.send(get("/x"));
    Client.receiveUntil("/x=");
    REQUIRE(Client.receiveAll().empty());
  }
  SECTION("a disconnected caller is reported and its answer discarded") {
    Test.Thread.call([&] { return Test.Handler.Hold = true; });
    Client.send(get("/x"));
    REQUIRE(eventually([&] { return Test.requests() == 1; }));
    Client.close();
    REQUIRE(eventually([&] {
      return Test.Thread.call([&] { return Test.Handler.Disconnects; }) == 1;
    }));
    Test.Thread.call([&] {
      Test.Server->reply(Test.Handler.Held[0].first,
                         makeHttpAnswer(200, "", "late"));
      return 0;
    });
    RawClient Next(Test.address());
    Test.Thread.call([&] { return Test.Handler.Hold = false; });
    Next.send(get("/y"));
    REQUIRE(Next.receiveUntil("/y=").find("late") == std::string::npos);
  }
}

TEST_CASE("HTTP server: drain", "[http][shutdown]") {
  Fixture Test;
  Test.Thread.call([&] { return Test.Handler.Hold = true; });
  RawClient Busy(Test.address());
  RawClient Idle(Test.address());
  RawClient Slow(Test.address());
  Busy.send(get("/busy") + get("/next"));
  REQUIRE(eventually([&] { return Test.requests() == 2; }));
  Slow.send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  REQUIRE(eventually([&] {
    return Test.requests() == 2 &&
           Test.Thread.call([&] { return Test.Server->connections(); }) == 3;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  Test.Thread.call([&] {
    Test.Server->drain();
    return 0;
  });

  // Idle connections are closed; requests in flight or being received are
  // completed.
  REQUIRE(Idle.receiveAll().empty());
  REQUIRE_FALSE(Test.Thread.call([&] { return Test.Server->isIdle(); }));
  // Requests behind others are not passed on any more, and told so.
  Busy.send(get("/behind"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  Slow.send("cd");
  REQUIRE(eventually([&] { return Test.requests() == 3; }));
  Test.Thread.call([&] {
    for (const auto &[Id, Text] : Test.Handler.Held) {
      Test.Server->reply(Id, makeHttpAnswer(200, "", Text));
    }
    return 0;
  });
  const std::string Answer = Busy.receiveAll();
  const std::size_t Next = Answer.rfind("HTTP/1.1 200");
  const std::size_t Refused = Answer.find("HTTP/1.1 503");
  REQUIRE(Answer.find("/busy=") < Next);
  REQUIRE(Answer.find("/next=") < Refused);
  REQUIRE(Answer.find("Connection: close") > Refused);
  REQUIRE(Answer.find("Connection: close") != std::string::npos);
  REQUIRE(Answer.ends_with("shutting down"));
  REQUIRE(Test.requests() == 3);
  REQUIRE(Slow.receiveAll().ends_with("/slow=abcd"));
  REQUIRE(eventually(
      [&] { return Test.Thread.call([&] { return Test.Server->isIdle(); }); }));
}

// Guards against a process that ends before its last answer has arrived.
TEST_CASE("HTTP server: the last answer arrives although the caller sends more",
          "[http][shutdown]") {
  Fixture Test;
  Test.Thread.call([&] { return Test.Handler.Hold = true; });
  RawClient Client(Test.address());
  Client.send(get("/a"));
  REQUIRE(eventually([&] { return Test.requests() == 1; }));
  const std::string Body(1'000'000, 'x');
  Test.Thread.call([&] {
    Test.Server->reply(Test.Handler.Held.front().first,
                       makeHttpAnswer(200, "", Body));
    Test.Server->drain();
    return 0;
  });
  std::string Answer;
  std::thread Reader([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    Client.send(get("/b"));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    Answer = Client.receiveAll();
    Client.close();
  });
  REQUIRE(eventually([&] {
    return Test.Thread.call([&] {
      if (Test.Server->isIdle()) {
        Test.Server.reset();
      }
      return Test.Server == nullptr;
    });
  }));
  Reader.join();
  REQUIRE(Answer.size() > Body.size());
  REQUIRE(Answer.ends_with(Body));
}
