/// @file
/// @brief Tests that fields reach the other side byte for byte as they were
/// checked.
#include "hyssopford/net/http_forward.hpp"
#include "hyssopford/net/http_reader.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

using namespace hyssopford;

namespace {

std::string forwardedRequest(const std::string &Field) {
  HttpReader Reader(HttpReader::Kind::Request, HttpLimits());
  Reader.feed("GET /a HTTP/1.1\r\nHost: a\r\n" + Field + "\r\n\r\n");
  REQUIRE(Reader.advance() == HttpReader::Progress::HeadReady);
  REQUIRE(Reader.advance() == HttpReader::Progress::Complete);
  return std::string(renderForwardedRequest(
                         HttpRequest{Reader.request(), Reader.facts(), "",
                                     "192.0.2.7:5000", MemoryCharge()},
                         [](std::string_view) { return false; }, "")
                         .bytes());
}

std::string forwardedAnswer(const std::string &Reason,
                            const std::string &Field) {
  HttpReader Reader(HttpReader::Kind::Response, HttpLimits());
  Reader.feed("HTTP/1.1 200 " + Reason + "\r\nContent-Length: 4\r\n" + Field +
              "\r\n\r\nbody");
  REQUIRE(Reader.advance() == HttpReader::Progress::HeadReady);
  REQUIRE(Reader.advance() == HttpReader::Progress::Complete);
  return std::string(
      buildForwardedAnswer(Reader.response(), Reader.body(), false).bytes());
}

/// Values that a decoder of another layer would change.
std::vector<std::string> values() {
  return {"=?UTF-8?Q?a=0D=0A=0D=0APUT_/b_HTTP/1.1=0D=0AX:_y?=",
          "=?utf-8?b?YQ0KDQpCOiBj?=",
          "=?ISO-8859-1?q?=41=00?=",
          "=?UTF-8?Q?Caf=C3=A9?= =?UTF-8?Q?_Central?=",
          "=?UTF-8?X?unknown?=",
          "=?UTF-8?Q?open",
          "\"a\\\r\"",
          "%0d%0aX: y",
          "a\\r\\nb",
          "caf\xc3\xa9 \xff\x80",
          "a\tb  c",
          "\"quoted, \\\"pair\\\"\"; x=\"=?UTF-8?Q?=0A?=\"",
          "UTF-8''%E2%82%AC%0A",
          ""};
}

/// Returns a value of octets that a field may have, with parts that decoders
/// look for.
std::string randomValue(std::mt19937_64 &Source) {
  static const std::vector<std::string> Parts{
      "=?", "?=", "?Q?", "?b?", "=0D", "=0A", "UTF-8", "%0a", "\\", "\"", ";"};
  std::string Result = "v";
  for (auto Left = Source() % 24; Left > 0; --Left) {
    if (Source() % 2 == 0) {
      Result += Parts[Source() % Parts.size()];
    } else {
      const auto Octet = static_cast<char>(0x20 + Source() % 0xe0);
      Result += Octet == 0x7f ? '\t' : Octet;
    }
  }
  return Result + "v";
}

} // namespace

// Guards against a field of a client that becomes further lines of the request
// for an upstream.
TEST_CASE("fields of a request are forwarded byte for byte", "[http][fields]") {
  for (const std::string &Value : values()) {
    if (Value.find('\r') != std::string::npos) {
      continue;
    }
    INFO(Value);
    CHECK(forwardedRequest("X-Title: " + Value) ==
          "GET /a HTTP/1.1\r\nHost: a\r\nX-Title: " + Value + "\r\n\r\n");
  }
  std::mt19937_64 Source(43);
  for (int Round = 0; Round < 5'000; ++Round) {
    const std::string Value = randomValue(Source);
    INFO(Round << ": " << Value);
    REQUIRE(forwardedRequest("X-Title: " + Value) ==
            "GET /a HTTP/1.1\r\nHost: a\r\nX-Title: " + Value + "\r\n\r\n");
  }
}

// Guards against a field of an upstream's answer that gives the caller other
// fields and another body.
TEST_CASE("fields of an answer are forwarded byte for byte", "[http][fields]") {
  for (const std::string &Value : values()) {
    if (Value.find('\r') != std::string::npos) {
      continue;
    }
    INFO(Value);
    CHECK(forwardedAnswer("OK", "X-Title: " + Value) ==
          "HTTP/1.1 200 OK\r\nX-Title: " + Value +
              "\r\nContent-Length: 4\r\n\r\nbody");
  }
  std::mt19937_64 Source(44);
  for (int Round = 0; Round < 5'000; ++Round) {
    const std::string Value = randomValue(Source);
    const std::string Reason = randomValue(Source);
    const std::string Expected =
        fmt::format("HTTP/1.1 200 {}\r\nX-Title: {}\r\nContent-Length: "
                    "4\r\n\r\nbody",
                    Reason, Value);
    INFO(Round << ": " << Value << ", " << Reason);
    REQUIRE(forwardedAnswer(Reason, "X-Title: " + Value) == Expected);
  }
}
