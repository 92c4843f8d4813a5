/// @file
/// @brief Tests of callers that share the address of the upstream on their VM.
#include "hyssopford/core/node_core.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// A node with an upstream of the service "seats" and two routes to it.
struct NodeWithUpstream {
  NodeCore Core;
  Actions Out;
  std::uint64_t LastId = 0;

  NodeWithUpstream() : Core(settings()) {
    RoutingConfig Config;
    Config.Version = 1;
    Route Pages = seatsRoute();
    Pages.Name = "pages";
    Pages.PathPrefix = "/pages/";
    Pages.Class = Priority::Low;
    Route Checks = seatsRoute();
    Checks.Name = "checks";
    Checks.PathPrefix = "/checks/";
    Checks.Class = Priority::Normal;
    Config.Routes = {Pages, Checks};
    Core.adopt(Config);
    Core.handle(UpstreamAnnounced{"seats", 8, UpstreamState::Serving}, at(0ms),
                Out);
  }

  static NodeCoreSettings settings() {
    NodeCoreSettings Result;
    Result.Address = "10.0.0.1:1";
    Result.Run = Incarnation{1};
    return Result;
  }

  /// Sends a request and returns its attempt at the upstream.
  ForwardToUpstream send(const std::string &Path, Duration Now) {
    CallerRequest Request = callerRequest(++LastId);
    Request.Path = Path;
    Request.FromUpstreamAddress = true;
    Out.clear();
    Core.handle(Request, at(Now), Out);
    const auto Forwarded = all<ForwardToUpstream>(Out);
    REQUIRE(Forwarded.size() == 1);
    return Forwarded[0];
  }

  void answer(const ForwardToUpstream &Attempt, Duration Now) {
    UpstreamAnswered Answer;
    Answer.Attempt = Attempt.Attempt;
    Answer.Status = 200;
    Out.clear();
    Core.handle(Answer, at(Now), Out);
  }
};

} // namespace

TEST_CASE("callers on the VM of an upstream are not taken for its calls",
          "[overload]") {
  // Guards against classes and a retry budget that never apply: callers and the
  // upstream have one address, so all requests had the class of nested calls
  // and none of them added to the budget of retries and hedges.
  NodeWithUpstream Test;
  Duration Now = 0ms;
  for (int Count = 0; Count < 5; ++Count, Now += 20ms) {
    const ForwardToUpstream Page = Test.send("/pages/1", Now);
    const ForwardToUpstream Check = Test.send("/checks/1", Now + 5ms);
    Test.answer(Check, Now + 8ms);
    Test.answer(Page, Now + 10ms);
  }
  const ForwardToUpstream Page = Test.send("/pages/1", Now);
  CHECK(Page.Class == Priority::Low);
  // Requests that only ever arrive while the upstream is busy are its calls.
  CHECK(Test.send("/checks/1", Now + 5ms).Class == Priority::High);
}

TEST_CASE("a call of a request that was cancelled does not make its route a "
          "caller's",
          "[overload]") {
  NestedCallDetector Detector;
  for (int Count = 0; Count < 200; ++Count) {
    CHECK(Detector.observe("checks", true));
  }
  CHECK(Detector.observe("checks", false));
  CHECK(Detector.observe("checks", false));
  CHECK(Detector.observe("checks", true));
  for (int Count = 0; Count < 100; ++Count) {
    Detector.observe("pages", Count % 20 != 0);
  }
  CHECK_FALSE(Detector.observe("pages", true));
}
