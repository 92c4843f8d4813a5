/// @file
/// @brief Tests that no field is read otherwise by a node than by the system on
/// the other side.
#include "edge_policy.hpp"
#include "hyssopford/net/http_reader.hpp"
#include "settings.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hyssopford;
using namespace hyssopford::platform;

namespace {

HttpLimits limits(const EdgePolicy &Edge) {
  HttpLimits Result;
  Result.CredentialField = Edge.credentialField();
  Result.UniqueFields = Edge.uniqueFields();
  return Result;
}

AnswerKind classify(const std::string &Fields) {
  const PlatformEdgePolicy Edge("s");
  HttpReader Reader(HttpReader::Kind::Response, HttpLimits());
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + Fields + "\r\n");
  REQUIRE(Reader.advance() == HttpReader::Progress::HeadReady);
  return Edge.classifyResponse(Reader.response(), "t1", true);
}

} // namespace

// Guards against a node and an instance that take different ones of two
// identifiers, deadlines or credentials for that of the request.
TEST_CASE("a request with two values of a field that both sides read is "
          "refused",
          "[platform][fields]") {
  const PlatformEdgePolicy Edge("s");
  const std::string Name =
      GENERATE("X-Attempt-Id", "X-Deadline-Ms", "Authorization");
  const std::string Second =
      GENERATE(as<std::string>(), "same", "lower case", "underscores");
  std::string Other = Name;
  if (Second == "lower case") {
    std::transform(Other.begin(), Other.end(), Other.begin(), ::tolower);
  } else if (Second == "underscores") {
    std::replace(Other.begin(), Other.end(), '-', '_');
  }
  if (Second != "same" && Other == Name) {
    return;
  }
  INFO(Name << ", " << Second);
  HttpReader Reader(HttpReader::Kind::Request, limits(Edge));
  Reader.feed(fmt::format("GET / HTTP/1.1\r\nHost: a\r\n{}: 1\r\n{}: "
                          "2\r\n\r\n",
                          Name, Other));
  CHECK(Reader.advance() == HttpReader::Progress::Failed);
  CHECK(Reader.fault().Status == 400);
}

// Guards against a field of a client that an instance takes for one of the
// node's, as it keeps fields in variables.
TEST_CASE("fields that the node sets are dropped in each spelling",
          "[platform][fields]") {
  const PlatformEdgePolicy Edge("s");
  const std::string Name =
      GENERATE("X-Caller_Service", "x_tenant", "X_Expected-Instance",
               "X_Credential", "Transfer_Encoding", "Content_Length");
  INFO(Name);
  HttpReader Reader(HttpReader::Kind::Request, limits(Edge));
  Reader.feed(fmt::format(
      "GET / HTTP/1.1\r\nHost: a\r\n{}: forged\r\nX-Kept_Field: 1\r\n\r\n",
      Name));
  REQUIRE(Reader.advance() == HttpReader::Progress::HeadReady);
  const std::string Out(
      Edge.forwardedRequest(HttpRequest{Reader.request(), Reader.facts(), "",
                                        "127.0.0.1:1", MemoryCharge()},
                            false)
          .bytes());
  CHECK(Out.find("forged") == std::string::npos);
  CHECK(Out.find("X-Kept_Field: 1\r\n") != std::string::npos);
}

// Guards against a success that is checked with its signature and passed on
// without it, or with a second one.
TEST_CASE("a success counts by the fields that its caller gets",
          "[platform][fields]") {
  const std::string Good = "X-Attempt-Id: t1\r\nX-Server-Signature: s\r\n";
  CHECK(classify(Good) == AnswerKind::Answer);
  CHECK(classify(Good + "Connection: keep-alive\r\n") == AnswerKind::Answer);
  CHECK(classify(Good + "Connection: X-Server-Signature\r\n") ==
        AnswerKind::Invalid);
  CHECK(classify(Good + "Connection: close, x-attempt-id\r\n") ==
        AnswerKind::Invalid);
  CHECK(classify(Good + "X-Attempt-Id: t2\r\n") == AnswerKind::Invalid);
  CHECK(classify(Good + "X-Server-Signature: u\r\n") == AnswerKind::Invalid);
}

// Guards against settings that add lines to each request.
TEST_CASE("the service of the VM is the value of a field",
          "[platform][fields]") {
  const auto Parses = [](const std::string &Service) {
    Error Fault;
    return parseSettings(fmt::format(
                             R"({{"node":"n","failure_domain":"d","region":"r",
                        "service":"{}","upstream_address":"127.0.0.1:1",
                        "caller_address":"127.0.0.1:2",
                        "announcement_address":"127.0.0.1:3",
                        "ready_address":"127.0.0.1:4",
                        "store_address":"127.0.0.1:5","ip":"127.0.0.1",
                        "ports":[6,6]}})",
                             Service),
                         Fault)
        .has_value();
  };
  CHECK(Parses("orders"));
  CHECK_FALSE(Parses("orders\\r\\nX-Tenant: north"));
  CHECK_FALSE(Parses("orders\\u0000"));
  CHECK_FALSE(Parses(""));
}
