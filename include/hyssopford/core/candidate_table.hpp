/// @file
/// @brief What an ingress knows of the upstreams it may choose.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/candidate.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/quantile_tracker.hpp"
#include "hyssopford/core/retry_budget.hpp"
#include "hyssopford/core/selection_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief The candidates of one service in use.
class ServicePool {
public:
  /// @param Settings constants of routing
  explicit ServicePool(const RoutingSettings &Settings)
      : Budget(Settings), HedgeDelay(Settings.HedgeQuantile) {}

  /// @return the candidates that may be chosen now
  std::span<const CandidateView> usable() const {
    return std::span(Views).first(UsableCount);
  }

  /// @return the number of candidates with or without a usable link
  std::size_t size() const { return Views.size(); }

  /// Budget of retries and hedges.
  RetryBudget Budget;
  /// Latency after which a request is hedged.
  QuantileTracker HedgeDelay;
  ServiceMean Mean;
  TimePoint LastUse;

private:
  friend class CandidateTable;

  /// State of a candidate that policies do not see.
  struct History {
    bool Linked = false;
    /// The owner said that it takes no new work.
    bool Closed = false;
    /// The candidate gets nothing but trials.
    bool Ejected = false;
    std::uint32_t Ejections = 0;
    TimePoint EjectedUntil;
    /// Send times of attempts that the latest report may not include.
    std::deque<TimePoint> RecentSends;
    /// Sequences of outstanding attempts with their send times.
    std::map<std::uint64_t, TimePoint> Open;
  };

  /// The first UsableCount may be chosen; Histories has the same order.
  std::vector<CandidateView> Views;
  std::vector<History> Histories;
  std::size_t UsableCount = 0;
  /// Outstanding attempts at all candidates.
  std::size_t Outstanding = 0;
  /// Ejected candidates, the earliest trial first.
  std::set<std::pair<TimePoint, NodeId>> Ejected;
};

/// @brief Keeps the candidates of the services in use with their load, links
/// and failures. Its functions for requests take constant time, or logarithmic
/// in the attempts outstanding at one owner.
class CandidateTable {
public:
  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Region region of this node
  /// @param Settings constants of routing
  CandidateTable(NodeRun Self, std::string Region,
                 const RoutingSettings &Settings, std::string OwnDomain = {});
  /// @}

  /// @name Membership and links
  /// @{

  /// @brief Replaces the known candidates. State of candidates that remain
  /// with the same run is kept.
  /// @note Complexity: n log n in the number of candidates.
  void setCandidates(std::vector<Candidate> All);

  /// @brief Notes a usable link.
  void linkUp(NodeRun Peer);

  /// @brief Notes a lost link.
  void linkDown(NodeId Peer);

  /// @brief Drops pools that no request has used for the retention time.
  void dropUnused(TimePoint Now);

  /// @brief Sets the number of nodes that share the budgets of retries.
  void setMembers(std::size_t Count);

  /// @return the number of nodes known, this one included
  std::size_t members() const { return Members; }

  /// @return nodes to which this ingress needs a link
  const std::set<NodeId> &neededPeers() const { return Needed; }

  /// @return a number that grows when neededPeers changes
  std::uint64_t neededRevision() const { return NeededRevision; }
  /// @}

  /// @name Requests
  /// @{

  /// @brief Gives the pool of a service and marks it as used.
  /// @return the pool; nullptr if no upstream of the service is known
  ServicePool *use(const std::string &Service, TimePoint Now);

  /// @brief Finds the pool of a service without marking it as used.
  ServicePool *find(const std::string &Service);

  /// @brief Takes an ejected candidate whose time is over for a trial.
  std::optional<NodeRun> takeTrial(ServicePool &Pool, TimePoint Now);

  /// @brief Notes an attempt sent.
  void sent(NodeId Node, std::uint64_t Sequence, TimePoint Now);

  /// @brief Notes that an attempt is no longer outstanding.
  void ended(NodeId Node, std::uint64_t Sequence);

  /// @brief Takes a load report received on the link to a node.
  void report(NodeId Node, const LoadReport &Load, TimePoint Now);

  /// @brief Takes a measured round trip to a node.
  void roundTrip(NodeId Node, Duration Measured);

  /// @brief Takes an observed outcome; may eject or reinstate the candidate.
  void outcome(NodeId Node, bool Succeeded, TimePoint Now, Actions &Out);

  /// @brief Notes that a node refused new work for good, e.g. as it drains.
  void close(NodeId Node);

  /// @return round trips by failure domain index
  std::span<const Duration> roundTrips() const { return RoundTrips; }
  /// @}

private:
  struct Location {
    ServicePool *Pool = nullptr;
    std::size_t Index = 0;
  };

  void rebuild(const std::string &Service, ServicePool &Pool);
  void refreshNeeded();
  /// Moves a candidate across the boundary of the usable ones if needed.
  void place(Location At);
  /// Takes over a changed number of outstanding attempts.
  static void countOpen(Location At);
  void swapRows(ServicePool &Pool, std::size_t First, std::size_t Second);
  std::size_t domainIndex(const std::string &Domain);
  void eject(Location At, TimePoint Now, Actions &Out);
  void reinstate(Location At, Actions &Out);

  NodeRun Self;
  std::string Region;
  std::string FailureDomain;
  std::size_t Members = 1;
  RoutingSettings Settings;
  std::map<std::string, std::vector<Candidate>> Known;
  std::map<std::string, ServicePool> Pools;
  std::unordered_map<NodeId, Location> Locations;
  std::unordered_map<NodeId, Incarnation> Links;
  std::vector<std::string> Domains;
  std::vector<Duration> RoundTrips;
  std::vector<bool> RoundTripKnown;
  std::set<NodeId> Needed;
  std::uint64_t NeededRevision = 0;
};

} // namespace hyssopford
