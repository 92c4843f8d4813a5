/// @file
/// @brief Tests of the calls of an ingress to its selection policy.
#include "hyssopford/core/ingress_system.hpp"
#include "support/decisions.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <memory>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

class MockPolicy final : public SelectionPolicy {
public:
  MAKE_MOCK2(choose,
             std::optional<std::size_t>(const Selection &, RandomSource &),
             override);
};

/// An ingress with two candidates whose links are usable.
struct IngressWithMock {
  IngressWithMock() : System(nodeRun(9), Random) {
    auto Owned = std::make_unique<MockPolicy>();
    Policy = Owned.get();
    System.setPolicy(std::move(Owned));
    System.setCandidates({candidate(1), candidate(2)});
    Actions None;
    System.linkUp(nodeRun(1), at(0ms), None);
    System.linkUp(nodeRun(2), at(0ms), None);
  }

  SeededRandomSource Random{1};
  IngressSystem System;
  MockPolicy *Policy = nullptr;
};

} // namespace

// Guards against a retry on the upstream that has just refused the request.
TEST_CASE("a retry excludes the upstreams already tried", "[ingress]") {
  IngressWithMock Case;
  Actions Out;
  trompeloeil::sequence Order;
  REQUIRE_CALL(*Case.Policy, choose(trompeloeil::_, trompeloeil::_))
      .WITH(_1.Excluded.empty() && _1.Candidates.size() == 2)
      .IN_SEQUENCE(Order)
      .RETURN(std::size_t{0});
  REQUIRE_CALL(*Case.Policy, choose(trompeloeil::_, trompeloeil::_))
      .WITH(_1.Excluded.size() == 1 && _1.excluded(0) && !_1.excluded(1))
      .IN_SEQUENCE(Order)
      .RETURN(std::size_t{1});

  Case.System.start(callerRequest(1), seatsRoute(), at(1ms), Out);
  const auto First = messages<Dispatch>(Out);
  REQUIRE(First.size() == 1);
  DispatchReply Refusal;
  Refusal.Attempt = First[0].Message.Attempt;
  Refusal.Result = Outcome::NotRun;
  Refusal.Reason = OutcomeReason::QueueFull;
  Case.System.finishAttempt(NodeRun{First[0].To, First[0].Message.Owner},
                            Refusal, at(2ms), Out);
  REQUIRE(messages<Dispatch>(Out).size() == 2);
}

// Guards against a request that never ends when the policy finds no upstream.
TEST_CASE("a request for which the policy finds no upstream ends as not-run",
          "[ingress]") {
  IngressWithMock Case;
  Actions Out;
  ALLOW_CALL(*Case.Policy, choose(trompeloeil::_, trompeloeil::_))
      .RETURN(std::nullopt);

  Case.System.start(callerRequest(1), seatsRoute(), at(1ms), Out);
  for (TimePoint Now = at(1ms); Now < at(2s); Now += 5ms) {
    Case.System.tick(Now, Out);
  }
  const auto Replies = all<ReplyToCaller>(Out);
  REQUIRE(Replies.size() == 1);
  CHECK(Replies[0].Result == Outcome::NotRun);
  CHECK(Replies[0].Reason == OutcomeReason::NoUpstream);
}
