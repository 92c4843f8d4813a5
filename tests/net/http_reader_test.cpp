/// @file
/// @brief Tests of the HTTP reader with valid messages.
#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/key_digest.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

using Progress = HttpReader::Progress;

/// Advances to the end of the message or of the available bytes.
Progress readMessage(HttpReader &Reader) {
  Progress Result = Progress::HeadReady;
  while (Result == Progress::HeadReady) {
    Result = Reader.advance();
  }
  return Result;
}

} // namespace

TEST_CASE("HTTP requests are parsed", "[http]") {
  HttpReader Reader(HttpReader::Kind::Request, HttpLimits());

  SECTION("pipelined requests, fed in parts of different sizes") {
    const std::string Bytes =
        "POST /a?b=c HTTP/1.1\r\nHost: A.example:80\r\nContent-Length: "
        "3\r\n\r\nxyz"
        "\r\nGET /b HTTP/1.1\r\nHost: b\r\n\r\n"
        "POST /c HTTP/1.1\r\nHost: c\r\ntransfer-encoding: Chunked\r\n\r\n"
        "2;ext=1\r\nab\r\n03\r\ncde\r\n0\r\nTrailer: x\r\n\r\n";
    for (std::size_t Step = 1; Step < Bytes.size(); Step += 3) {
      HttpReader Each(HttpReader::Kind::Request, HttpLimits());
      std::vector<std::string> Seen;
      for (std::size_t At = 0; At < Bytes.size(); At += Step) {
        Each.feed(std::string_view(Bytes).substr(At, Step));
        while (readMessage(Each) == Progress::Complete) {
          Seen.push_back(Each.request().getMethod() + " " +
                         Each.request().getURI() + " " + Each.facts().Host +
                         " " + Each.body());
          Each.next();
        }
      }
      REQUIRE(Seen == std::vector<std::string>{"POST /a?b=c a.example xyz",
                                               "GET /b b ", "POST /c c abcde"});
    }
  }
  SECTION("the authority of an absolute-form target replaces Host") {
    Reader.feed("GET http://B.example:81/x HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(readMessage(Reader) == Progress::Complete);
    REQUIRE(Reader.facts().Host == "b.example");
    REQUIRE(Reader.request().getURI().substr(Reader.facts().TargetOffset) ==
            "/x");
  }
  SECTION("keep-alive depends on version and Connection") {
    const auto KeepsAlive = [](const std::string &Line,
                               const std::string &Field) {
      HttpReader Each(HttpReader::Kind::Request, HttpLimits());
      Each.feed("GET / " + Line + "\r\nHost: a\r\n" + Field + "\r\n");
      readMessage(Each);
      return Each.facts().KeepAlive;
    };
    REQUIRE(KeepsAlive("HTTP/1.1", ""));
    REQUIRE_FALSE(KeepsAlive("HTTP/1.1", "Connection: x, Close\r\n"));
    REQUIRE_FALSE(KeepsAlive("HTTP/1.0", ""));
    REQUIRE(KeepsAlive("HTTP/1.0", "Connection: Keep-Alive\r\n"));
  }
  SECTION("segments that only resemble dot segments are accepted") {
    Reader.feed("GET /.../a..b/..c?../.. HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(readMessage(Reader) == Progress::Complete);
  }
}

TEST_CASE("HTTP responses are parsed", "[http]") {
  HttpReader Reader(HttpReader::Kind::Response, HttpLimits());

  SECTION("interim responses are skipped") {
    Reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 2\r\n\r\nab");
    REQUIRE(readMessage(Reader) == Progress::Complete);
    REQUIRE(Reader.facts().Status == 200);
    REQUIRE(Reader.body() == "ab");
  }
  SECTION("a response to HEAD has no body") {
    Reader.expectHeadResponse(true);
    Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    REQUIRE(readMessage(Reader) == Progress::Complete);
    REQUIRE(Reader.body().empty());
  }
  SECTION("204 and 304 have no body") {
    Reader.feed("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n");
    REQUIRE(readMessage(Reader) == Progress::Complete);
  }
  SECTION("without a length the body ends when the connection closes") {
    Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    REQUIRE(readMessage(Reader) == Progress::NeedMore);
    REQUIRE(Reader.finish() == Progress::Complete);
    REQUIRE(Reader.body() == "abc");
    REQUIRE_FALSE(Reader.facts().KeepAlive);
  }
  SECTION("a truncated body is not complete") {
    Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    REQUIRE(readMessage(Reader) == Progress::NeedMore);
    REQUIRE(Reader.finish() == Progress::Failed);
  }
  SECTION("an unrequested upgrade is refused") {
    Reader.feed("HTTP/1.1 101 Switching Protocols\r\n\r\n");
    REQUIRE(readMessage(Reader) == Progress::Failed);
  }
}

// Guards against keys that reach the forwarded request, and against refusals
// that depend on what a wrong key looks like.
TEST_CASE("the credential field is replaced by its digest", "[http]") {
  HttpLimits Limits;
  Limits.CredentialField = "X-Key";
  const auto Read = [&](const std::string &Fields, HttpReader &Reader) {
    Reader.feed("GET / HTTP/1.1\r\nHost: a\r\n" + Fields + "A: b\r\n\r\n");
    REQUIRE(readMessage(Reader) == Progress::Complete);
    CHECK_FALSE(Reader.request().has("X-Key"));
    CHECK(Reader.request().get("A") == "b");
    return Reader.facts().Credential;
  };
  const auto Credential = [&](const std::string &Fields) {
    HttpReader Reader(HttpReader::Kind::Request, Limits);
    return Read(Fields, Reader);
  };
  CHECK(Credential("x-KEY:  k 1\t\r\n") == digestOfKey("k 1"));
  const std::string Odd =
      std::string("\0\x01\x7f\xff", 4) + std::string(20'000, 'k');
  CHECK(Credential("X-Key:" + Odd + "\r\n") == digestOfKey(Odd));
  CHECK_FALSE(Credential("").has_value());
  CHECK_FALSE(Credential("X-Key: \r\n").has_value());
  CHECK_FALSE(Credential("X-Key: k\r\nX-Key: k\r\n").has_value());
  CHECK_FALSE(Credential("X-Keys: k\r\n").has_value());

  // The key of a request does not stay for the next one.
  HttpReader Reader(HttpReader::Kind::Request, Limits);
  CHECK(Read("X-Key: k\r\n", Reader).has_value());
  Reader.next();
  CHECK_FALSE(Read("", Reader).has_value());

  HttpReader Long(HttpReader::Kind::Request, Limits);
  Long.feed("GET / HTTP/1.1\r\nHost: a\r\nX-Key: " + std::string(40'000, 'k') +
            "\r\n\r\n");
  CHECK(readMessage(Long) == Progress::Failed);
  CHECK(Long.fault().Status == 431);
}
