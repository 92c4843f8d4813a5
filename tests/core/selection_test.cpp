/// @file
/// @brief Tests of selection policies, subsets and the candidate table.
#include "hyssopford/core/baseline_policies.hpp"
#include "hyssopford/core/candidate_table.hpp"
#include "hyssopford/core/estimated_delay_policy.hpp"
#include "hyssopford/core/subset.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

CandidateView view(std::uint64_t Node, std::uint32_t InFlight) {
  CandidateView Result;
  Result.Owner = nodeRun(Node);
  Result.Slots = 4;
  Result.Report = LoadReport{1, InFlight, 0, 4, 10ms, 0ms};
  return Result;
}

} // namespace

TEST_CASE("score", "[selection]") {
  const EstimatedDelayPolicy Policy{RoutingSettings{}};
  std::vector<CandidateView> Views{view(1, 1), view(2, 1)};
  std::vector<Duration> RoundTrips{500us, 3000us};
  Selection Input{Views, {}, RoundTrips, {0.5, 10'000.0, 11'000.0}, at(0ms)};
  const auto FirstWins = [&] {
    return Policy.score(Input, 0) < Policy.score(Input, 1);
  };
  REQUIRE(Policy.score(Input, 0) == Policy.score(Input, 1));

  SECTION("reported load and attempts sent since then count") {
    Views[1].Report.Queued = 6;
    REQUIRE(FirstWins());
    Views[0].SentSince = 9;
    REQUIRE_FALSE(FirstWins());
  }
  SECTION("a distant failure domain costs its round trip") {
    Views[1].Domain = 1;
    REQUIRE(Policy.score(Input, 1) - Policy.score(Input, 0) == 2500.0);
  }
  SECTION("an old report decays towards the mean of the service") {
    Views[1].Report.Queued = 20;
    const double Fresh = Policy.score(Input, 1);
    Input.Now = at(10s);
    REQUIRE(Policy.score(Input, 1) < Fresh / 2);
  }
  SECTION("a fast failure is charged the retry it causes") {
    Views[0].Report.ServiceTime = 100us;
    REQUIRE(Policy.score(Input, 0) == Policy.score(Input, 1));
    Views[0].FailureShare = 0.5;
    REQUIRE(Policy.score(Input, 0) > Policy.score(Input, 1) + 10'000.0);
  }
  SECTION("a clearly longer service time counts, noise does not") {
    Views[1].Report.ServiceTime = 12ms;
    REQUIRE(Policy.score(Input, 0) == Policy.score(Input, 1));
    Views[1].Report.ServiceTime = 30ms;
    REQUIRE(FirstWins());
  }
  SECTION("a missing reply counts before any report shows the stall") {
    Input.Now = at(100ms);
    Views[1].Outstanding = 1;
    REQUIRE(FirstWins());
  }
}

TEST_CASE("policies choose only candidates that are not excluded",
          "[selection]") {
  SeededRandomSource Random{3};
  std::vector<CandidateView> Views;
  for (std::uint64_t Node = 1; Node <= 20; ++Node) {
    Views.push_back(view(Node, 1));
  }
  const std::vector<NodeId> Excluded{NodeId{2}, NodeId{5}};
  const std::vector<Duration> RoundTrips{1ms};
  std::vector<std::unique_ptr<SelectionPolicy>> Policies;
  Policies.push_back(std::make_unique<EstimatedDelayPolicy>(RoutingSettings{}));
  Policies.push_back(std::make_unique<RandomPolicy>());
  Policies.push_back(std::make_unique<RoundRobinPolicy>());
  Policies.push_back(std::make_unique<LeastOutstandingPolicy>());
  Policies.push_back(std::make_unique<LeastReportedPolicy>());
  Policies.push_back(std::make_unique<TwoChoicesPolicy>());
  for (const auto &Policy : Policies) {
    std::set<std::size_t> Chosen;
    Selection Input{Views, Excluded, RoundTrips, {}, at(0ms)};
    for (int Count = 0; Count < 500; ++Count) {
      const std::size_t Index = Policy->choose(Input, Random).value();
      REQUIRE_FALSE(Input.excluded(Index));
      Chosen.insert(Index);
    }
    REQUIRE(Chosen.size() == 18);
    Input.Candidates = Input.Candidates.subspan(1, 1);
    REQUIRE_FALSE(Policy->choose(Input, Random));
    Input.Candidates = {};
    REQUIRE_FALSE(Policy->choose(Input, Random));
  }
}

TEST_CASE("subsets", "[selection]") {
  std::vector<Candidate> All;
  for (std::uint64_t Node = 1; Node <= 1100; ++Node) {
    const std::string Domain = "d" + std::to_string(Node % 4);
    All.push_back(candidate(Node, Domain, Node % 4 < 2 ? "r1" : "r2"));
  }
  const auto Chosen =
      chooseSubset(All, NodeId{5000}, "r1", "d0", RoutingSettings{});
  std::map<std::string, int> PerDomain;
  for (const Candidate &Each : Chosen) {
    ++PerDomain[Each.FailureDomain];
  }
  SECTION("are bounded and spread over failure domains") {
    REQUIRE(PerDomain == std::map<std::string, int>{
                             {"d0", 4}, {"d1", 4}, {"d2", 2}, {"d3", 2}});
  }
  SECTION("prefer the own failure domain where that is set") {
    // Guards against paid traffic between domains: with subsets spread over
    // five domains, four in five requests left their domain on a calm day.
    RoutingSettings Settings;
    Settings.LocalSubsetSize = 5;
    std::map<std::string, int> Counts;
    for (const Candidate &Each :
         chooseSubset(All, NodeId{5000}, "r1", "d0", Settings)) {
      ++Counts[Each.FailureDomain];
    }
    REQUIRE(Counts == std::map<std::string, int>{
                          {"d0", 5}, {"d1", 3}, {"d2", 2}, {"d3", 2}});
  }
  SECTION("fill up from the own failure domain") {
    RoutingSettings Settings;
    Settings.LocalSubsetSize = 5;
    std::vector<Candidate> Local;
    std::copy_if(
        All.begin(), All.end(), std::back_inserter(Local),
        [](const Candidate &Each) { return Each.FailureDomain == "d0"; });
    REQUIRE(chooseSubset(Local, NodeId{5000}, "r1", "d0", Settings).size() ==
            Settings.SubsetSize);
  }
  SECTION("fill up from other failure domains") {
    RoutingSettings Settings;
    Settings.LocalSubsetSize = 5;
    REQUIRE(chooseSubset(All, NodeId{5000}, "r1", "none", Settings).size() ==
            Settings.SubsetSize + Settings.RemoteSubsetSize);
  }
  SECTION("keep their members when another candidate is lost") {
    std::vector<Candidate> Fewer;
    for (const Candidate &Each : All) {
      if (Each != Chosen[0]) {
        Fewer.push_back(Each);
      }
    }
    std::size_t Kept = 0;
    for (const Candidate &Each :
         chooseSubset(Fewer, NodeId{5000}, "r1", "d0", RoutingSettings{})) {
      Kept += static_cast<std::size_t>(
          std::count(Chosen.begin(), Chosen.end(), Each));
    }
    REQUIRE(Kept == Chosen.size() - 1);
  }
  SECTION("load every upstream about equally over all nodes") {
    std::map<NodeId, int> Uses;
    for (std::uint64_t Node = 1; Node <= 1100; ++Node) {
      for (const Candidate &Each :
           chooseSubset(All, NodeId{Node}, "r1", "d0", RoutingSettings{})) {
        ++Uses[Each.Owner.Node];
      }
    }
    for (const auto &[Node, Count] : Uses) {
      REQUIRE(Count < 45);
    }
  }
}

TEST_CASE("candidate table", "[selection]") {
  CandidateTable Table(nodeRun(9), "r1", RoutingSettings{});
  Table.setCandidates({candidate(1), candidate(2, "d2")});
  ServicePool &Pool = *Table.usePool("seats", at(0ms));
  REQUIRE(Pool.usable().empty());
  Table.linkUp(nodeRun(1));
  REQUIRE(Pool.usable().size() == 1);
  Table.recordLoad(nodeRun(1), {5, 3, 1, 4, 10ms, 0ms}, at(1ms));
  const auto View = [&] { return Pool.usable()[0]; };

  SECTION("an older report never replaces a newer one") {
    Table.recordLoad(nodeRun(1), {4, 0, 0, 4, 10ms, 0ms}, at(2ms));
    REQUIRE(View().Report.InFlight == 3);
  }
  SECTION("a new run of the owner starts its own sequence") {
    Candidate Restarted = candidate(1);
    Restarted.Owner.Run = Incarnation{2};
    Table.setCandidates({Restarted});
    REQUIRE(Pool.usable().empty());
    Table.linkUp(nodeRun(1, 2));
    REQUIRE(View().Report.Sequence == 0);
    Table.recordLoad(nodeRun(1, 2), {1, 2, 0, 4, 10ms, 0ms}, at(2ms));
    REQUIRE(View().Report.InFlight == 2);
  }
  SECTION("attempts sent within the last round trip are added to the report") {
    Table.attemptSent(NodeId{1}, 1, at(2ms));
    Table.attemptSent(NodeId{1}, 2, at(9500us));
    REQUIRE(View().SentSince == 2);
    Table.recordLoad(nodeRun(1), {6, 3, 1, 4, 10ms, 0ms}, at(10ms));
    REQUIRE(View().SentSince == 1);
    Table.attemptEnded(NodeId{1}, 2);
    Table.attemptEnded(NodeId{1}, 1);
    REQUIRE(View().SentSince == 0);
  }
  SECTION("round trips are kept per failure domain") {
    Table.recordRoundTrip(NodeId{1}, 400us);
    REQUIRE(Table.roundTrips()[0] == 400us);
    REQUIRE(Table.roundTrips()[1] == RoutingSettings{}.InitialRoundTrip);
  }
  SECTION("a service without requests loses its links") {
    REQUIRE(Table.neededPeers().size() == 2);
    Table.dropUnused(at(599s));
    REQUIRE(Table.neededPeers().size() == 2);
    Table.dropUnused(at(600s));
    REQUIRE(Table.neededPeers().empty());
  }
}
