/// @file
/// @brief Guards against answers whose status no client can read, such as 000.
#include "edge_policy.hpp"

#include "hyssopford/net/http_reader.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace hyssopford;
using namespace hyssopford::platform;

TEST_CASE("every refusal has a status of the client or server error class",
          "[platform][status]") {
  const PlatformEdgePolicy Edge("seats");
  for (int Reason = 0; Reason <= static_cast<int>(LastOutcomeReason);
       ++Reason) {
    for (const Outcome Result : {Outcome::NotRun, Outcome::Unknown}) {
      EdgeRefusal Refused;
      Refused.Result = Result;
      Refused.Code = static_cast<OutcomeReason>(Reason);
      Refused.Reason = toString(Refused.Code);
      const std::string Answer(Edge.refusal(Refused).bytes());
      INFO(Answer);
      const int Status = std::stoi(Answer.substr(9, 3));
      CHECK(Status >= 400);
      CHECK(Status <= 504);
      // 408, 421, 429 and 503 promise that the request has not run.
      const bool IsPromise =
          Status == 408 || Status == 421 || Status == 429 || Status == 503;
      CHECK((!IsPromise || Result == Outcome::NotRun));
    }
  }
}

TEST_CASE("an answer with an unusable status is not passed on",
          "[platform][status]") {
  for (const char *Line :
       {"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 600 High",
        "HTTP/1.1 999 High", "HTTP/1.1 2x0 Odd", "HTTP/1.1 20 Short",
        "HTTP/1.1 2000 Long", "HTTP/1.1 -20 Negative", "HTTP/1.1  OK"}) {
    HttpReader Reader(HttpReader::Kind::Response, HttpLimits{});
    Reader.feed(std::string(Line) + "\r\nContent-Length: 0\r\n\r\n");
    INFO(Line);
    REQUIRE(Reader.advance() == HttpReader::Progress::Failed);
    CHECK(Reader.fault().Status == 502);
  }
}
