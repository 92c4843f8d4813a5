/// @file
/// @brief Tests of the candidate table where addresses, services and runs are
/// reused.
#include "hyssopford/core/candidate_table.hpp"

#include "support/decisions.hpp"
#include "support/linked_ingress.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>

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

std::set<NodeRun> ownersOf(const ServicePool &Pool) {
  std::set<NodeRun> Owners;
  for (const CandidateView &View : Pool.usable()) {
    Owners.insert(View.Owner);
  }
  return Owners;
}

} // namespace

// Guards against a node that ended with SIGSEGV when another node disappeared
// after an address had gone to a service of an earlier name.
TEST_CASE("a node that moves to another service has its row there",
          "[candidates]") {
  const bool ToEarlier = GENERATE(true, false);
  const std::string From = ToEarlier ? "quotes" : "crews";
  const std::string To = ToEarlier ? "crews" : "quotes";
  CandidateTable Table(nodeRun(9), "r1", RoutingSettings{});
  Table.setCandidates({offer(1, To), offer(2, To), offer(3, From)});
  for (std::uint64_t Node = 1; Node <= 3; ++Node) {
    Table.linkUp(nodeRun(Node));
  }
  ServicePool &New = *Table.usePool(To, at(0ms));
  REQUIRE(Table.usePool(From, at(0ms)) != nullptr);

  Table.setCandidates({offer(1, To), offer(2, To), offer(3, To, 2)});
  Table.linkDown(NodeId{3});
  Table.linkUp(nodeRun(3, 2));
  // Without a location, the row ignores its link and the next move of it
  // creates one without a pool.
  REQUIRE(ownersOf(New) ==
          std::set<NodeRun>{nodeRun(1), nodeRun(2), nodeRun(3, 2)});

  Table.linkDown(NodeId{1});
  Table.setCandidates({offer(2, To), offer(3, To, 2)});
  REQUIRE(ownersOf(New) == std::set<NodeRun>{nodeRun(2), nodeRun(3, 2)});
  Table.attemptSent(NodeId{3}, 7, at(1ms));
  std::uint32_t Outstanding = 0;
  for (const CandidateView &View : New.usable()) {
    Outstanding += View.Outstanding;
  }
  REQUIRE(Outstanding == 1);
}

// Guards against an instance without requests at an address that another
// service had: its links were ignored until the member table changed again.
TEST_CASE("the link to a moved node may come before or after the news",
          "[candidates]") {
  CandidateTable Table(nodeRun(9), "r1", RoutingSettings{});
  Table.setCandidates({offer(1, "quotes"), offer(2, "crews")});
  ServicePool &Crews = *Table.usePool("crews", at(0ms));
  REQUIRE(Table.usePool("quotes", at(0ms)) != nullptr);
  Table.linkUp(nodeRun(1));
  SECTION("link first") {
    Table.linkDown(NodeId{1});
    Table.linkUp(nodeRun(1, 2));
    Table.setCandidates({offer(1, "crews", 2), offer(2, "crews")});
  }
  SECTION("news first") {
    Table.setCandidates({offer(1, "crews", 2), offer(2, "crews")});
    Table.linkDown(NodeId{1});
    Table.linkUp(nodeRun(1, 2));
  }
  REQUIRE(ownersOf(Crews) == std::set<NodeRun>{nodeRun(1, 2)});
}

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

namespace {

const std::vector<std::string> Services{"a", "b", "c"};
constexpr std::uint64_t Nodes = 6;

/// Plays random schedules on a candidate table and on a plain model of it.
class TableSchedule {
public:
  TableSchedule(std::uint64_t Seed, const RoutingSettings &Settings)
      : Random(Seed), Ejects(Settings.EjectionShare < 1.0),
        Table(nodeRun(99), "r1", Settings) {}

  /// Returns whether the table agrees with the model after the step.
  bool step() {
    Now += std::chrono::milliseconds(below(20));
    const std::uint64_t Node = 1 + below(Nodes);
    const NodeId Id{Node};
    switch (below(12)) {
    case 0:
    case 1:
      changeMembers();
      break;
    case 2:
    case 3: {
      const NodeRun Peer = nodeRun(Node, 1 + below(3));
      Table.linkUp(Peer);
      Links[Id] = Peer.Run;
      break;
    }
    case 4:
      Table.linkDown(Id);
      Links.erase(Id);
      break;
    case 5:
      usePool(Services[below(Services.size())]);
      break;
    case 6:
    case 7:
      Table.attemptSent(Id, ++LastSequence, at(Now));
      if (Row *Found = rowOf(Id)) {
        Found->Open.insert(LastSequence);
      }
      break;
    case 8: {
      const std::uint64_t Sequence = below(LastSequence + 1);
      Row *const Found = rowOf(Id);
      if (Table.isOutstanding(Id, Sequence) !=
          (Found != nullptr && Found->Open.contains(Sequence))) {
        return false;
      }
      Table.attemptEnded(Id, Sequence);
      if (Found != nullptr) {
        Found->Open.erase(Sequence);
      }
      break;
    }
    case 9:
      recordLoad(nodeRun(Node, 1 + below(3)));
      break;
    case 10:
      Table.recordRoundTrip(Id, 1ms);
      Table.recordOutcome(Id, below(4) == 0, at(Now), Out);
      break;
    default:
      if (below(8) == 0) {
        Table.dropUnused(at(Now + 24h));
        Rows.clear();
      } else {
        Table.closeCandidate(Id);
        if (Row *Found = rowOf(Id)) {
          Found->Closed = true;
        }
      }
    }
    return agrees();
  }

private:
  struct Row {
    Candidate Offered;
    bool Closed = false;
    std::set<std::uint64_t> Open;
    std::uint64_t Report = 0;
  };

  std::uint64_t below(std::uint64_t Limit) { return Random() % Limit; }

  Row *rowOf(NodeId Node) {
    for (auto &[Service, Each] : Rows) {
      const auto Found = Each.find(Node);
      if (Found != Each.end()) {
        return &Found->second;
      }
    }
    return nullptr;
  }

  void changeMembers() {
    for (std::uint64_t Count = 1 + below(3); Count > 0; --Count) {
      const std::uint64_t Node = 1 + below(Nodes);
      if (below(4) == 0) {
        Members.erase(NodeId{Node});
        continue;
      }
      Candidate New = offer(Node, Services[below(3)], 1 + below(3));
      New.State =
          below(4) == 0 ? UpstreamState::Draining : UpstreamState::Serving;
      Members[NodeId{Node}] = New;
    }
    std::vector<Candidate> All;
    for (const auto &[Node, Each] : Members) {
      All.push_back(Each);
    }
    std::shuffle(All.begin(), All.end(), Random);
    Table.setCandidates(All);
    for (auto &[Service, Each] : Rows) {
      rebuild(Service, Each);
    }
  }

  void rebuild(const std::string &Service, std::map<NodeId, Row> &Each) {
    std::map<NodeId, Row> Old = std::exchange(Each, {});
    for (const auto &[Node, Offered] : Members) {
      if (Offered.Service != Service) {
        continue;
      }
      Row New;
      const auto Kept = Old.find(Node);
      if (Kept != Old.end() && Kept->second.Offered.Owner == Offered.Owner) {
        New = Kept->second;
        New.Closed = New.Closed && New.Offered.State == Offered.State;
      }
      New.Offered = Offered;
      Each[Node] = New;
    }
  }

  void usePool(const std::string &Service) {
    ServicePool *const Pool = Table.usePool(Service, at(Now));
    const bool Known =
        std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
          return Entry.second.Service == Service;
        });
    if (!Rows.contains(Service) && Known) {
      rebuild(Service, Rows[Service]);
    }
    if (Pool != nullptr && Ejects) {
      Table.takeTrial(*Pool, at(Now));
    }
  }

  void recordLoad(NodeRun From) {
    LoadReport Load;
    Load.Sequence = 1 + below(50);
    Table.recordLoad(From, Load, at(Now));
    Row *const Found = rowOf(From.Node);
    const auto Link = Links.find(From.Node);
    if (Found != nullptr && Found->Offered.Owner == From &&
        Link != Links.end() && Link->second == From.Run) {
      Found->Report = std::max(Found->Report, Load.Sequence);
    }
  }

  bool agrees() {
    for (const std::string &Service : Services) {
      ServicePool *const Pool = Table.findPool(Service);
      if ((Pool != nullptr) != Rows.contains(Service)) {
        return false;
      }
      if (Pool != nullptr && !agrees(*Pool, Rows[Service])) {
        return false;
      }
    }
    return true;
  }

  bool agrees(const ServicePool &Pool, const std::map<NodeId, Row> &Expected) {
    if (Pool.size() != Expected.size()) {
      return false;
    }
    std::size_t Usable = 0;
    for (const auto &[Node, Each] : Expected) {
      Usable += isUsable(Each) ? 1 : 0;
    }
    for (const CandidateView &View : Pool.usable()) {
      const auto Found = Expected.find(View.Owner.Node);
      if (Found == Expected.end() || !isUsable(Found->second) ||
          Found->second.Offered.Owner != View.Owner ||
          Found->second.Open.size() != View.Outstanding ||
          Found->second.Report != View.Report.Sequence) {
        return false;
      }
    }
    return Ejects ? Pool.usable().size() <= Usable
                  : Pool.usable().size() == Usable;
  }

  bool isUsable(const Row &Each) const {
    const auto Link = Links.find(Each.Offered.Owner.Node);
    return Link != Links.end() && Link->second == Each.Offered.Owner.Run &&
           !Each.Closed && Each.Offered.State != UpstreamState::Draining;
  }

  std::mt19937_64 Random;
  bool Ejects;
  CandidateTable Table;
  Actions Out;
  Duration Now{0};
  std::uint64_t LastSequence = 0;
  std::map<NodeId, Candidate> Members;
  std::map<NodeId, Incarnation> Links;
  std::map<std::string, std::map<NodeId, Row>> Rows;
};

} // namespace

// Guards against rows, locations and counts that disagree after addresses,
// services and runs were reused in an order that no single test names.
TEST_CASE("the candidate table agrees with a model in random schedules",
          "[candidates]") {
  RoutingSettings Settings;
  Settings.EjectionShare = GENERATE(2.0, 0.5);
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    TableSchedule Schedule(Seed, Settings);
    for (int Step = 1; Step <= 500; ++Step) {
      if (!Schedule.step()) {
        FAIL("seed " << Seed << ", step " << Step);
      }
    }
  }
}
