/// @file
/// @brief A site of real ingress and owner systems with fake upstreams and
/// links, in virtual time.
#pragma once

#include "event_queue.hpp"
#include "fake_upstream.hpp"
#include "measurement.hpp"
#include "scenario.hpp"

#include "hyssopford/core/ingress_system.hpp"
#include "hyssopford/core/owner_system.hpp"
#include "hyssopford/core/probe_system.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hyssopford::experiment {

/// @brief One node with its systems and, perhaps, an upstream.
struct SiteNode {
  SiteNode(NodeRun Id, std::uint32_t Place, std::uint64_t Seed,
           const DecisionSettings &Settings)
      : Self(Id), Domain(Place), Random(Seed),
        Ingress(Id, Random, Settings.Routing, "r1"),
        Owner(Id, Settings.Admission), Probes(Settings.Probing) {}
  SiteNode(const SiteNode &) = delete;
  SiteNode &operator=(const SiteNode &) = delete;

  NodeRun Self;
  std::uint32_t Domain;
  SeededRandomSource Random;
  IngressSystem Ingress;
  OwnerSystem Owner;
  ProbeSystem Probes;
  std::unique_ptr<FakeUpstream> Upstream;
  UpstreamState State = UpstreamState::None;
  bool Dead = false;
  /// Dispatch frames on their way here.
  std::uint32_t Approaching = 0;
  /// Load reports made so far, if reports are delayed.
  std::deque<std::pair<TimePoint, LoadReport>> Reports;
  /// Ticks scheduled for later; only the earliest one matters.
  TimePoint NextTick = TimePoint::max();
};

/// @brief One request of a caller.
struct Arrival {
  TimePoint At;
  /// Time that it takes on an unloaded upstream, in µs.
  double Work = 0.0;
  bool Idempotent = true;
  Priority Class = Priority::Normal;
  /// Index of the ingress node; wraps around at the number of nodes.
  std::size_t Ingress = 0;

  friend bool operator==(const Arrival &, const Arrival &) = default;
};

/// @brief Drives the nodes of one cell.
class Site {
public:
  /// @param Chosen the cell
  /// @param Seed start value of all random numbers
  Site(const Cell &Chosen, std::uint64_t Seed);
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// @brief Replaces the random arrivals, in order of time.
  void replay(std::vector<Arrival> Recorded) { Trace = std::move(Recorded); }

  /// @brief Runs the cell to its end.
  Measurement run();

  /// @return virtual time
  EventQueue &time() { return Time; }
  /// @return a node by its identifier
  SiteNode &node(NodeId Id) { return *Nodes[Id.Value - 1]; }
  /// @return the node of an index
  SiteNode &nodeAt(std::size_t Index) { return *Nodes[Index]; }
  /// @return the cell
  const Cell &cell() const { return Task; }

  /// @brief Announces the upstream of a node to it and, later, to all others.
  void announce(SiteNode &On, UpstreamState State);

  /// @brief Removes a node without a sign to the others.
  void kill(SiteNode &Lost);

  /// @brief Delays the load reports of all owners.
  void delayReports(Duration Age) { ReportAge = Age; }

private:
  struct Pending {
    TimePoint Arrived;
    bool Measured = false;
    SiteNode *At = nullptr;
  };

  void addNodes(std::uint64_t Seed);
  void scheduleArrival();
  Arrival drawArrival();
  void arrive(const Arrival &Next);
  void handle(SiteNode &On, const std::function<void(Actions &)> &Input);
  void apply(SiteNode &On, const Actions &Produced);
  void send(SiteNode &From, const SendToPeer &Frame);
  void receive(SiteNode &On, NodeId From, const PeerMessage &Message);
  void upstreamEvent(SiteNode &On, const Event &Input);
  void forward(SiteNode &On, const ForwardToUpstream &Request);
  void record(const ReplyToCaller &Reply);
  void scheduleTick(SiteNode &On);
  void spreadCandidates();
  LoadReport delayed(SiteNode &By, const LoadReport &Fresh);
  Duration oneWay(const SiteNode &From, const SiteNode &To) const;

  Cell Task;
  EventQueue Time;
  SeededRandomSource Arrivals;
  Route Matched;
  Duration ReportAge{0};
  std::optional<std::vector<Arrival>> Trace;
  std::size_t NextInTrace = 0;
  double ArrivalGap = 0.0;
  double NextArrival = 0.0;
  std::uint64_t NextRequest = 1;
  std::vector<std::unique_ptr<SiteNode>> Nodes;
  std::unordered_map<std::uint64_t, Pending> InFlight;
  Measurement Result;
};

/// @brief Schedules what the condition of a cell does.
void scheduleCondition(Site &Target);

/// @brief Makes the policy of a cell for one node.
/// @return the policy, or null for the default one
std::unique_ptr<SelectionPolicy> makePolicy(Site &Target, SiteNode &At,
                                            const std::string &Name);

} // namespace hyssopford::experiment
