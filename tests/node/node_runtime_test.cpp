/// @file
/// @brief Tests of complete nodes over loopback connections.
#include "test_site.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

TEST_CASE("a request passes through two nodes", "[node]") {
  TwoNodes Site;
  const std::string Address = Site.Ingress.Node.callerAddress();

  SECTION("the answer carries outcome, attempt count and owner") {
    const std::string Answer = exchange(Address, "POST", "/x?y=z", "", "body");
    REQUIRE(Answer.starts_with("HTTP/1.1 200"));
    REQUIRE(Answer.ends_with(TestUpstream::answerTo("/x?y=z", "body")));
    REQUIRE(Answer.find("Hyssopford-Outcome: answered\r\n") !=
            std::string::npos);
    REQUIRE(Answer.find("Hyssopford-Attempts: 1\r\n") != std::string::npos);
    REQUIRE(Answer.find("Hyssopford-Owner: " +
                        toString(Site.Owner.Node.core().self().Node)) !=
            std::string::npos);
  }
  SECTION(
      "deadline and trace reach the upstream, the caller's priority does not") {
    exchange(Address, "GET", "/x",
             "Hyssopford-Timeout-Ms: 900\r\nHyssopford-Priority: high\r\n"
             "traceparent: "
             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n");
    const Poco::Net::HTTPRequest Head = Site.Upstream.lastHead();
    const int Left = std::stoi(Head.get("Hyssopford-Timeout-Ms"));
    REQUIRE(Left > 500);
    REQUIRE(Left <= 900);
    REQUIRE(Head.get("Hyssopford-Priority") == "normal");
    REQUIRE(Head.get("traceparent").find("0af7651916cd43dd8448eb211c80319c") !=
            std::string::npos);
  }
  SECTION("the local port accepts the priority and extra fields") {
    exchange(Site.Owner.Node.localAddress(), "GET", "/x",
             "Hyssopford-Priority: high\r\nHyssopford-Extra: 1\r\n");
    const Poco::Net::HTTPRequest Head = Site.Upstream.lastHead();
    REQUIRE(Head.get("Hyssopford-Priority") == "high");
    REQUIRE(Head.get("Hyssopford-Extra") == "1");
  }
  SECTION("a deadline ends the request and cancels it at the upstream") {
    const std::string Answer =
        exchange(Address, "GET", "/x",
                 "Hyssopford-Timeout-Ms: 60\r\nX-Delay-Ms: 2000\r\n");
    // The upstream received bytes of the request, so it may have run: 502, not
    // 504.
    REQUIRE(Answer.starts_with("HTTP/1.1 502"));
    REQUIRE(Answer.find("Hyssopford-Outcome: unknown\r\n") !=
            std::string::npos);
    REQUIRE(eventually([&] { return Site.Upstream.Cancelled == 1; }));
  }
  SECTION("a request is cancelled at the upstream if its caller disconnects") {
    RawClient Client(Address);
    Client.send("GET /x HTTP/1.1\r\nHost: a\r\nX-Delay-Ms: 2000\r\n\r\n");
    REQUIRE(eventually([&] { return Site.Upstream.Runs == 1; }));
    Client.close();
    REQUIRE(eventually([&] { return Site.Upstream.Cancelled == 1; }));
  }
  SECTION("an upstream that signed off gets no more requests") {
    exchange(Site.Owner.Node.localAddress(), "DELETE", "/.hyssopford/upstream");
    REQUIRE(eventually([&] {
      return exchange(Address, "GET", "/x").starts_with("HTTP/1.1 503");
    }));
    const std::string Answer = exchange(Address, "GET", "/x");
    REQUIRE(Answer.find("Retry-After: 1\r\n") != std::string::npos);
    REQUIRE(Answer.find("Hyssopford-Outcome: not-run\r\n") !=
            std::string::npos);
  }
  SECTION("the answer to HEAD has no body") {
    const std::string Answer = exchange(Address, "HEAD", "/x");
    REQUIRE(Answer.starts_with("HTTP/1.1 200"));
    REQUIRE(Answer.ends_with("\r\n\r\n"));
    REQUIRE(Answer.find("Content-Length: 19") != std::string::npos);
  }
}

TEST_CASE("the operators' port requires a token", "[node]") {
  TestNode Node(testSettings(), testRouting());

  SECTION("a missing or wrong token") {
    REQUIRE(operatorGet(Node, "/v1/status", "").starts_with("HTTP/1.1 401"));
    REQUIRE(
        operatorGet(Node, "/v1/status", "wron").starts_with("HTTP/1.1 401"));
    REQUIRE(exchange(Node.Node.operatorAddress(), "GET", "/v1/status")
                .starts_with("HTTP/1.1 401"));
  }
  SECTION("both tokens allow reading, only one allows writing") {
    REQUIRE(operatorGet(Node, "/v1/status").starts_with("HTTP/1.1 200"));
    REQUIRE(operatorGet(Node, "/v1/load", "write").starts_with("HTTP/1.1 200"));
    REQUIRE(exchange(Node.Node.operatorAddress(), "POST", "/v1/patches",
                     "Authorization: Bearer read\r\n", "{}")
                .starts_with("HTTP/1.1 403"));
  }
  SECTION("unknown resources and methods") {
    REQUIRE(operatorGet(Node, "/v1/x").starts_with("HTTP/1.1 404"));
    REQUIRE(exchange(Node.Node.operatorAddress(), "POST", "/v1/status",
                     "Authorization: Bearer write\r\n", "{}")
                .starts_with("HTTP/1.1 404"));
  }
}

TEST_CASE("invalid announcements are refused", "[node]") {
  Error Fault;
  const auto Parses = [&](const std::string &Text) {
    return parseAnnouncement(Text, Fault).has_value();
  };
  REQUIRE(Parses(R"({"service":"a","address":"127.0.0.1:80"})"));
  for (const char *Text :
       {"", "[]", R"({"service":"a"})", R"({"address":"127.0.0.1:80"})",
        R"({"service":"","address":"127.0.0.1:80"})",
        R"({"service":"a","address":"192.0.2.1:80"})",
        R"({"service":"a","address":"127.0.0.1"})",
        R"({"service":"a","address":"127.0.0.1:80","slots":0})",
        R"({"service":"a","address":"127.0.0.1:80","state":"x"})",
        R"({"service":"a","address":"127.0.0.1:80","ttl_ms":5})",
        R"({"service":"a","address":"127.0.0.1:80","health_path":"x"})"}) {
    INFO(Text);
    REQUIRE_FALSE(Parses(Text));
    REQUIRE(Fault.Step == "upstream.announce");
  }
}

// Guards against a node that ended while it answered an announcement that is
// not UTF-8: the answer quoted its bytes.
TEST_CASE("a node goes on after announcements that cannot be read", "[node]") {
  TestUpstream Upstream;
  TestNode Node(testSettings(), testRouting());
  for (const std::string &Body :
       {std::string("{\"service\":\"\xff\xfe\"}"), std::string("\xff"),
        std::string(4'000, '['),
        std::string(R"({"service":"a","address":"127.0.0.1:99999"})"),
        std::string(
            R"({"service":"a","address":"127.0.0.1:80","slots":1e999})"),
        std::string(R"({"service":"a","address":"127.0.0.1:80","slots":1.5})"),
        std::string(
            R"({"service":"a","address":"127.0.0.1:80","ttl_ms":1e300})"),
        std::string(
            R"({"service":"a","service":"b","address":"127.0.0.1:80"})")}) {
    REQUIRE(exchange(Node.Node.localAddress(), "POST", "/.hyssopford/upstream",
                     "", Body)
                .starts_with("HTTP/1.1 400"));
  }
  REQUIRE(announce(Node, Upstream.address(), 4));
}

TEST_CASE("an upstream that does not renew its announcement is removed",
          "[node]") {
  TestUpstream Upstream;
  TestNode Node(testSettings(), testRouting());
  REQUIRE(exchange(Node.Node.localAddress(), "POST", "/.hyssopford/upstream",
                   "",
                   fmt::format("{{\"service\":\"service\",\"address\":\"{}\","
                               "\"ttl_ms\":100}}",
                               Upstream.address()))
              .starts_with("HTTP/1.1 200"));
  REQUIRE(exchange(Node.Node.callerAddress(), "GET", "/x")
              .starts_with("HTTP/1.1 200"));
  REQUIRE(eventually([&] {
    return exchange(Node.Node.callerAddress(), "GET", "/x")
        .starts_with("HTTP/1.1 503");
  }));
}

// Guards against requests behind a refused one that were read and never
// answered, because the connection closed over the body of the refused one.
TEST_CASE("requests behind a refused one with a body are answered", "[node]") {
  RoutingConfig Routing = testRouting();
  Routing.Routes.front().PathPrefix = "/known";
  TestUpstream Upstream;
  TestNode Node(testSettings(), Routing);
  REQUIRE(announce(Node, Upstream.address(), 4));
  const std::string Body =
      GENERATE(as<std::string>{}, "Content-Length: 5\r\n\r\n12345",
               "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n");
  RawClient Client(Node.Node.callerAddress());
  Client.send("POST /unknown HTTP/1.1\r\nHost: a\r\n" + Body +
              "GET /known/x HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string Answers =
      Client.receiveUntil(TestUpstream::answerTo("/known/x", ""));
  REQUIRE(Answers.starts_with("HTTP/1.1 404"));
  REQUIRE(Answers.find("HTTP/1.1 200") != std::string::npos);
}
