/// @file
/// @brief Guards against answers that reach the wrong caller or are lost when
/// many connections send requests and disconnect at the same time.
#include "test_site.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

constexpr int Connections = 250;
constexpr int RequestsEach = 12;
constexpr int MaximumTries = 200;
/// Last bytes of the body of a refusal.
const std::string Refusal = "\"}\n";

struct Tally {
  std::atomic<int> Right = 0;
  std::atomic<int> Wrong = 0;
  std::atomic<int> Abandoned = 0;
  std::atomic<int> Refused = 0;
};

/// Returns whether the answer says that the request did not run.
bool isRefusal(const std::string &Answer) {
  return Answer.starts_with("HTTP/1.1 503") &&
         Answer.find("Hyssopford-Outcome: not-run\r\n") != std::string::npos;
}

/// Sends requests with random body size, delay and answer size on one
/// connection; about one in six disconnects before the answer.
void runCaller(const std::string &Address, int Number, Tally &Sum) {
  std::mt19937_64 Random(static_cast<std::uint64_t>(Number));
  auto Client = std::make_unique<RawClient>(Address);
  for (int Index = 0; Index < RequestsEach; ++Index) {
    const std::string Target = fmt::format("/{}/{}", Number, Index);
    const std::size_t Size =
        Random() % 4 == 0 ? Random() % 60'000 : Random() % 300;
    const std::string Body(Size, static_cast<char>('a' + Random() % 26));
    const std::size_t Pad = Random() % 4 == 0 ? Random() % 60'000 : 0;
    const std::string Expected =
        TestUpstream::answerTo(Target, Body) + std::string(Pad, 'p');
    const std::string Request =
        fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nX-Delay-Ms: {}\r\n"
                    "X-Pad: {}\r\nContent-Length: {}\r\n\r\n{}",
                    Target, Random() % 20, Pad, Size, Body);
    Client->send(Request);
    if (Random() % 6 == 0) {
      Client = std::make_unique<RawClient>(Address);
      ++Sum.Abandoned;
      continue;
    }
    std::string Answer = Client->receiveUntilEither(Expected, Refusal);
    // The owner refuses requests that it cannot serve in time. They did not
    // run, so they are sent again.
    for (int Try = 0; Try < MaximumTries && isRefusal(Answer); ++Try) {
      ++Sum.Refused;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      Client->send(Request);
      Answer = Client->receiveUntilEither(Expected, Refusal);
    }
    const bool IsExpected = Answer.starts_with("HTTP/1.1 200") &&
                            Answer.ends_with("\r\n\r\n" + Expected) &&
                            Answer.find("HTTP/1.1", 1) == std::string::npos;
    ++(IsExpected ? Sum.Right : Sum.Wrong);
  }
}

} // namespace

TEST_CASE("250 connections get only their own answers", "[node]") {
  TwoNodes Site;
  Tally Sum;
  {
    std::vector<std::jthread> Callers;
    Callers.reserve(Connections);
    for (int Number = 0; Number < Connections; ++Number) {
      Callers.emplace_back([&, Number] {
        runCaller(Site.Ingress.Node.callerAddress(), Number, Sum);
      });
    }
  }
  REQUIRE(Sum.Wrong == 0);
  REQUIRE(Sum.Right + Sum.Abandoned == Connections * RequestsEach);
  REQUIRE(Sum.Abandoned > 100);
  // Requests of callers that disconnected are cancelled at the upstream.
  REQUIRE(Site.Upstream.Cancelled > 0);
  REQUIRE(Site.Ingress.stop());
  REQUIRE(Site.Owner.stop());
}
