/// @file
/// @brief Tests of the conversion of requests and answers for forwarding.
#include "hyssopford/net/edge_policy.hpp"
#include "hyssopford/net/http_forward.hpp"
#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/telemetry/trace_parent.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

std::string forwarded(const std::string &Bytes, bool Trusted = false) {
  HttpReader Reader(HttpReader::Kind::Request, HttpLimits());
  Reader.feed(Bytes);
  Reader.advance();
  Reader.advance();
  HttpRequest Request{Reader.request(), Reader.facts(), Reader.body(),
                      "192.0.2.7:5000", MemoryCharge()};
  return std::string(
      buildForwardedRequest(std::move(Request), Trusted).bytes());
}

bool hasLine(const std::string &Text, const std::string &Line) {
  return Text.find("\r\n" + Line + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("requests are converted for the upstream", "[http]") {
  const std::string Out = forwarded(
      "POST /a?b HTTP/1.1\r\nHost: a.example:80\r\nConnection: X-Hop, close\r\n"
      "X-Hop: 1\r\nX-Kept: 2\r\nX-Kept: 3\r\nKeep-Alive: 5\r\nTE: trailers\r\n"
      "Upgrade: h2c\r\nProxy-Authorization: x\r\nHyssopford-Extra: 1\r\n"
      "hyssopford-priority: high\r\nX-Forwarded-For: 6.6.6.6\r\n"
      "Forwarded: for=6.6.6.6\r\nExpect: 100-continue\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");

  SECTION("request line, body and length") {
    REQUIRE(Out.starts_with("POST /a?b HTTP/1.1\r\nHost: a.example:80\r\n"));
    REQUIRE(hasLine(Out, "Content-Length: 2"));
    REQUIRE(Out.ends_with("\r\n\r\nhi"));
  }
  SECTION("end-to-end fields are kept, including repeated ones") {
    REQUIRE(hasLine(Out, "X-Kept: 2"));
    REQUIRE(hasLine(Out, "X-Kept: 3"));
  }
  SECTION("hop-by-hop and internal fields are removed") {
    for (const char *Name :
         {"X-Hop", "Connection", "Keep-Alive", "TE", "Upgrade",
          "Proxy-Authorization", "Hyssopford-Extra", "hyssopford-priority",
          "Expect", "Transfer-Encoding", "6.6.6.6"}) {
      INFO(Name);
      REQUIRE(Out.find(Name) == std::string::npos);
    }
  }
  SECTION("Forwarded, X-Forwarded-* and Via are set") {
    REQUIRE(hasLine(
        Out, "Forwarded: for=192.0.2.7;host=\"a.example:80\";proto=http"));
    REQUIRE(hasLine(Out, "X-Forwarded-For: 192.0.2.7"));
    REQUIRE(hasLine(Out, "X-Forwarded-Host: a.example:80"));
    REQUIRE(hasLine(Out, "X-Forwarded-Proto: http"));
    REQUIRE(hasLine(Out, "Via: 1.1 hyssopford"));
  }
  SECTION("X-Forwarded-For of a trusted request is extended") {
    const std::string Chained = forwarded("GET / HTTP/1.1\r\nHost: a\r\n"
                                          "X-Forwarded-For: 6.6.6.6\r\n\r\n",
                                          true);
    REQUIRE(hasLine(Chained, "X-Forwarded-For: 6.6.6.6, 192.0.2.7"));
  }
}

TEST_CASE("deadline, priority and trace context are parsed", "[http]") {
  Poco::Net::HTTPRequest Head;
  Head.set("Hyssopford-Timeout-Ms", "250");
  Head.set("Hyssopford-Priority", "high");
  Head.set("Hyssopford-Extra", "1");

  SECTION("priority and extra mark count only from trusted requests") {
    const RequestContext Public = parseRequestContext(Head, false);
    REQUIRE(Public.Deadline == Duration(250ms));
    REQUIRE_FALSE(Public.Class);
    REQUIRE_FALSE(Public.IsExtra);
    const RequestContext Local = parseRequestContext(Head, true);
    REQUIRE(Local.Class == Priority::High);
    REQUIRE(Local.IsExtra);
  }
  SECTION("malformed deadlines are ignored") {
    for (const char *Value : {"", "-1", "1.5", "1s", "99999999999999999999"}) {
      Head.set("Hyssopford-Timeout-Ms", Value);
      REQUIRE_FALSE(parseRequestContext(Head, false).Deadline);
    }
  }
  SECTION("valid traceparent values are parsed, malformed ones refused") {
    const std::string Good =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto Trace = parseTraceParent(Good);
    REQUIRE(Trace);
    REQUIRE(Trace->Sampled);
    REQUIRE(renderTraceParent(*Trace) == Good);
    REQUIRE_FALSE(parseTraceParent(Good + "-00"));
    REQUIRE_FALSE(parseTraceParent("ff" + Good.substr(2)));
    REQUIRE(parseTraceParent("01" + Good.substr(2) + "-x"));
    REQUIRE_FALSE(parseTraceParent(
        "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
    REQUIRE_FALSE(parseTraceParent(
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01"));
  }
}

TEST_CASE("answers are converted for the caller", "[http]") {
  Poco::Net::HTTPResponse Head(Poco::Net::HTTPResponse::HTTP_OK);
  Head.set("Connection", "X-Hop");
  Head.set("X-Hop", "1");
  Head.set("Hyssopford-Outcome", "not-run");
  Head.set("Content-Length", "9");
  Head.set("X-Kept", "2");
  const std::string Out(buildForwardedAnswer(Head, "body", false).bytes());
  REQUIRE(Out == "HTTP/1.1 200 OK\r\nX-Kept: 2\r\nContent-Length: "
                 "4\r\n\r\nbody");
  // An answer to HEAD keeps the length that a GET would have had.
  const std::string ToHead(buildForwardedAnswer(Head, "", true).bytes());
  REQUIRE(hasLine(ToHead, "Content-Length: 9"));
}

// Guards against an account of the caller's choice and against clients that
// take a refusal for a temporary one.
TEST_CASE("the account of a request in Hyssopford fields", "[http]") {
  ForwardToUpstream Attempt;
  CHECK(renderAttemptFields(Attempt).find("Account") == std::string::npos);
  Attempt.Account = "north";
  CHECK(renderAttemptFields(Attempt).find("Hyssopford-Account: north\r\n") !=
        std::string::npos);
  CHECK(statusOf(Outcome::NotRun, OutcomeReason::UnknownCredential) == 401);
  EdgeRefusal Refused;
  Refused.Code = OutcomeReason::AllotmentExceeded;
  Refused.RetryAfter = 1'200ms;
  const std::string Answer(defaultEdgePolicy().refusal(Refused).bytes());
  CHECK(Answer.starts_with("HTTP/1.1 429"));
  CHECK(Answer.find("Retry-After: 2\r\n") != std::string::npos);
}
