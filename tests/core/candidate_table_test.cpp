/// @file
/// @brief Tests of the candidate table where addresses, services and runs are
/// reused.
#include "support/decisions.hpp"
#include "support/linked_ingress.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

Candidate offer(std::uint64_t Node, const std::string &Service,
                std::uint64_t Run = 1) {
  Candidate Result = candidate(Node);
  Result.Owner = nodeRun(Node, Run);
  Result.Service = Service;
  return Result;
}

} // namespace

// Guards against an instance that gets no requests because an attempt at the
// instance that had its address before was refused late.
TEST_CASE("a late refusal does not close the next upstream at the address",
          "[candidates]") {
  const bool SameRun = GENERATE(true, false);
  const OutcomeReason Reason =
      GENERATE(OutcomeReason::Draining, OutcomeReason::NoUpstream,
               OutcomeReason::WrongIncarnation);
  LinkedIngress Case;
  Case.Ingress.setCandidates({offer(1, "seats")});
  const auto Old = Case.start(callerRequest(1));
  REQUIRE(Old.To == NodeId{1});

  const std::uint64_t Run = SameRun ? 1 : 2;
  if (SameRun) {
    // The node keeps running; its next upstream offers another service.
    Case.Ingress.setCandidates({offer(1, "other")});
  }
  Case.Ingress.setCandidates({offer(1, "seats", Run)});
  Case.end(Old, Outcome::NotRun, Reason, 1ms);
  Case.Out.clear();
  Case.Ingress.linkUp(nodeRun(1, Run), at(2ms), Case.Out);
  REQUIRE(Case.start(callerRequest(2), 3ms).Message.Owner == Incarnation{Run});
}
