/// @file
/// @brief Tests that malformed requests are refused with the right status,
/// however their bytes are split.
#include "hyssopford/net/http_reader.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

struct BadInput {
  const char *Name;
  int Status;
  std::string Bytes;
};

/// A POST request with a valid request line and Host and the given lines.
std::string with(const std::string &Lines, const std::string &Body = "") {
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + Lines + "\r\n" + Body;
}

std::string chunked(const std::string &Body) {
  return with("Transfer-Encoding: chunked\r\n", Body);
}

std::vector<BadInput> smugglingInputs() {
  return {
      {"length and encoding", 400,
       with("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n")},
      {"encoding and length", 400,
       with("Transfer-Encoding: chunked\r\nContent-Length: 1\r\n", "0\r\n")},
      {"length twice", 400,
       with("Content-Length: 1\r\nContent-Length: 2\r\n", "ab")},
      {"same length twice", 400,
       with("Content-Length: 1\r\nContent-Length: 1\r\n", "a")},
      {"length list", 400, with("Content-Length: 1, 1\r\n", "a")},
      {"length with sign", 400, with("Content-Length: +1\r\n", "a")},
      {"negative length", 400, with("Content-Length: -1\r\n", "a")},
      {"hexadecimal length", 400, with("Content-Length: 0x1\r\n", "a")},
      {"length with space", 400, with("Content-Length: 1 1\r\n", "a")},
      {"empty length", 400, with("Content-Length:\r\n")},
      {"length out of range", 400,
       with("Content-Length: 99999999999999999999\r\n")},
      {"encoding twice", 400,
       with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")},
      {"encoding list", 501, with("Transfer-Encoding: gzip, chunked\r\n")},
      {"chunked not last", 501, with("Transfer-Encoding: chunked, gzip\r\n")},
      {"identity encoding", 501, with("Transfer-Encoding: identity\r\n")},
      {"quoted encoding", 501, with("Transfer-Encoding: \"chunked\"\r\n")},
      {"encoding with vertical tab", 400,
       with("Transfer-Encoding: \vchunked\r\n")},
      {"encoding in HTTP/1.0", 400,
       "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"space before colon", 400, with("Content-Length : 1\r\n", "a")},
      {"tab before colon", 400, with("Content-Length\t: 1\r\n", "a")},
      {"folded line", 400, with("X: a\r\n b\r\n")},
      {"folded line with tab", 400, with("X: a\r\n\tb\r\n")},
      {"folded first line", 400, "GET / HTTP/1.1\r\n Host: a\r\n\r\n"},
      {"bare LF after request line", 400, "GET / HTTP/1.1\nHost: a\r\n\r\n"},
      {"bare LF after field", 400, with("X: a\nY: b\r\n")},
      {"bare LF at the end", 400, "GET / HTTP/1.1\r\nHost: a\r\n\n"},
      {"only bare LFs", 400, "GET / HTTP/1.1\nHost: a\n\n"},
      {"bare CR in value", 400, with("X: a\rb\r\n")},
      {"bare CR in request line", 400, "GET /\r HTTP/1.1\r\nHost: a\r\n\r\n"},
  };
}

std::vector<BadInput> chunkInputs() {
  return {
      {"no chunk size", 400, chunked("\r\n")},
      {"chunk size is a word", 400, chunked("xyz\r\n")},
      {"chunk size with prefix", 400, chunked("0x1\r\na\r\n0\r\n\r\n")},
      {"chunk size with sign", 400, chunked("+1\r\na\r\n0\r\n\r\n")},
      {"negative chunk size", 400, chunked("-1\r\na\r\n0\r\n\r\n")},
      {"space before chunk size", 400, chunked(" 1\r\na\r\n0\r\n\r\n")},
      {"space after chunk size", 400, chunked("1 \r\na\r\n0\r\n\r\n")},
      {"chunk size out of range", 400,
       chunked("ffffffffffffffffff\r\na\r\n0\r\n\r\n")},
      {"largest chunk size", 413, chunked("ffffffffffffffff\r\na")},
      {"chunk size with bare LF", 400, chunked("1\na\r\n0\r\n\r\n")},
      {"chunk longer than its size", 400, chunked("1\r\nab\r\n0\r\n\r\n")},
      {"chunk ends with bare LF", 400, chunked("1\r\na\n0\r\n\r\n")},
      {"control character in extension", 400, chunked("1;\x01\r\na\r\n")},
      {"extension too long", 400,
       chunked("1;" + std::string(400, 'x') + "\r\na\r\n")},
      {"malformed trailer", 400, chunked("0\r\nno colon\r\n\r\n")},
      {"trailer with space before colon", 400, chunked("0\r\nA : b\r\n\r\n")},
      {"trailer ends with bare LF", 400, chunked("0\r\nA: b\n\r\n")},
      {"trailer too long", 400,
       chunked("0\r\nA: " + std::string(9'000, 'x') + "\r\n\r\n")},
      {"second chunk exceeds the limit", 413,
       chunked("3e8\r\n" + std::string(1'000, 'x') + "\r\n1\r\nx\r\n")},
  };
}

std::vector<BadInput> headInputs() {
  return {
      {"no method", 400, " / HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"method with control character", 400,
       "G\x01T / HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"method too long", 400,
       std::string(40, 'M') + " / HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"no target", 400, "GET HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"two spaces", 400, "GET  / HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"space in target", 400, "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"tab instead of space", 400, "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"no version", 400, "GET /\r\nHost: a\r\n\r\n"},
      {"lower-case version", 400, "GET / http/1.1\r\nHost: a\r\n\r\n"},
      {"version without minor", 400, "GET / HTTP/1\r\nHost: a\r\n\r\n"},
      {"HTTP/2", 505, "GET / HTTP/2.0\r\nHost: a\r\n\r\n"},
      {"HTTP/1.2", 505, "GET / HTTP/1.2\r\nHost: a\r\n\r\n"},
      {"CONNECT", 501, "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"relative target", 400, "GET a HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"asterisk with GET", 400, "GET * HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"authority form", 400, "GET a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"absolute form without path", 400,
       "GET http://a HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"absolute form without host", 400,
       "GET http:/// HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"absolute form with user", 400,
       "GET http://u@a/ HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"fragment", 400, "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"backslash", 400, "GET /a\\..\\b HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"dot segment", 400, "GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"encoded dot segment", 400, "GET /a/%2E%2e HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"half encoded dot segment", 400,
       "GET /.%2e/b HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"encoded NUL", 400, "GET /a%00 HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"byte above ASCII in target", 400,
       "GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"no Host", 400, "GET / HTTP/1.1\r\nX: a\r\n\r\n"},
      {"empty Host", 400, "GET / HTTP/1.1\r\nHost:\r\n\r\n"},
      {"Host twice", 400, "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n"},
      {"Host with path", 400, "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n"},
      {"Host with two ports", 400, "GET / HTTP/1.1\r\nHost: a:1:2\r\n\r\n"},
      {"Host with bad port", 400, "GET / HTTP/1.1\r\nHost: a:http\r\n\r\n"},
      {"field without colon", 400, with("X\r\n")},
      {"field without name", 400, with(": a\r\n")},
      {"name with space", 400, with("A B: c\r\n")},
      {"name with parenthesis", 400, with("A(: c\r\n")},
      {"value with NUL", 400, with(std::string("X: a\0b\r\n", 8))},
      {"value with DEL", 400, with("X: a\x7f\r\n")},
      {"unknown expectation", 417, with("Expect: 200-ok\r\n")},
      {"request line too long", 414,
       "GET /" + std::string(9'000, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"request line without end", 414, "GET /" + std::string(9'000, 'a')},
      {"name too long", 431, with(std::string(300, 'A') + ": b\r\n")},
      {"value too long", 431, with("X: " + std::string(8'200, 'b') + "\r\n")},
      {"head too large", 431,
       with("X: " + std::string(8'000, 'b') + "\r\nY: " +
            std::string(8'000, 'b') + "\r\nZ: " + std::string(8'000, 'b') +
            "\r\nA: " + std::string(8'000, 'b') +
            "\r\nB: " + std::string(8'000, 'b') + "\r\n")},
      {"too many fields", 431, with([] {
         std::string Lines;
         for (int Index = 0; Index < 101; ++Index) {
           Lines += "X: a\r\n";
         }
         return Lines;
       }())},
      {"body above the limit", 413,
       with("Content-Length: 1001\r\n", std::string(1'001, 'x'))},
  };
}

/// Feeds a request, Step bytes at a time; returns the status of its refusal or
/// 0 if it is not refused.
int refusalOf(const std::string &Bytes, std::size_t Step) {
  HttpLimits Limits;
  Limits.Body = 1'000;
  HttpReader Reader(HttpReader::Kind::Request, Limits);
  for (std::size_t At = 0; At < Bytes.size(); At += Step) {
    Reader.feed(std::string_view(Bytes).substr(At, Step));
    HttpReader::Progress Result = HttpReader::Progress::HeadReady;
    while (Result == HttpReader::Progress::HeadReady) {
      Result = Reader.advance();
    }
    if (Result == HttpReader::Progress::Failed) {
      return Reader.fault().Status;
    }
    if (Result == HttpReader::Progress::Complete) {
      return 0;
    }
  }
  return 0;
}

} // namespace

TEST_CASE("malformed requests are refused", "[http]") {
  std::size_t Count = 0;
  for (const auto &Table : {smugglingInputs(), chunkInputs(), headInputs()}) {
    for (const BadInput &Each : Table) {
      INFO(Each.Name);
      CHECK(refusalOf(Each.Bytes, Each.Bytes.size()) == Each.Status);
      // The refusal must not depend on how the network splits the bytes.
      CHECK(refusalOf(Each.Bytes, 1) == Each.Status);
      CHECK(refusalOf(Each.Bytes, 7) == Each.Status);
      ++Count;
    }
  }
  REQUIRE(Count >= 60);
}
