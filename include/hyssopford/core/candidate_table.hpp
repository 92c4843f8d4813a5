/// @file
/// @brief Table of the upstreams that an ingress may choose.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/candidate.hpp"
#include "hyssopford/core/cold/cold_returns.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/quantile_tracker.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/retry_budget.hpp"
#include "hyssopford/core/selection_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief The candidates of one service in use.
class ServicePool {
public:
  /// @param Settings settings of routing
  explicit ServicePool(const RoutingSettings &Settings)
      : Budget(Settings), HedgeQuantile(Settings.HedgeQuantile),
        HedgeDelay(Settings.HedgeQuantile) {}

  /// @return the candidates that may be chosen now: linked, not ejected and
  /// accepting new attempts
  std::span<const CandidateView> usable() const {
    return std::span(Views).first(UsableCount);
  }

  /// @return the number of candidates with or without a usable link
  std::size_t size() const { return Views.size(); }

  /// @brief Records the latency of an attempt.
  /// @param Route name of the route of the request
  void recordLatency(const std::string &Route, Duration Latency);

  /// @return the time after which an attempt of a route is hedged: the latency
  /// quantile of the route, or that of the service while the route has few
  /// answers; 0 before the first answer
  Duration hedgeDelay(const std::string &Route) const;

  /// @return the latency quantile of a route; 0 while it has few answers
  Duration routeLatency(const std::string &Route) const;

  /// Budget of retries and hedges.
  RetryBudget Budget;
  ServiceMean Mean;
  /// Returns of callers that cold upstreams refused.
  ColdReturns Returns;
  TimePoint LastUse;

private:
  friend class CandidateTable;

  struct RouteLatency {
    explicit RouteLatency(double Chosen) : Quantile(Chosen) {}

    QuantileTracker Quantile;
    std::uint32_t Answers = 0;
  };

  /// State of a candidate that is not passed to selection policies.
  struct History {
    bool Linked = false;
    /// The owner refused new attempts permanently, e.g. as it drains.
    bool Closed = false;
    /// The candidate gets only single trial attempts.
    bool Ejected = false;
    std::uint32_t Ejections = 0;
    TimePoint EjectedUntil;
    /// Send times of attempts that the latest load report may not include.
    std::deque<TimePoint> RecentSends;
    /// Sequences of outstanding attempts with their send times.
    std::map<std::uint64_t, TimePoint> OpenAttempts;
  };

  double HedgeQuantile;
  /// Latency quantile of all requests of the service.
  QuantileTracker HedgeDelay;
  /// Latency quantiles by route: requests of one service may differ in length
  /// by a factor of 10 or more.
  std::unordered_map<std::string, RouteLatency> RouteLatencies;
  /// The first UsableCount views are usable; Histories has the same order.
  std::vector<CandidateView> Views;
  std::vector<History> Histories;
  std::size_t UsableCount = 0;
  /// Outstanding attempts at all candidates.
  std::size_t Outstanding = 0;
  /// Ejected candidates by the time of their next trial.
  std::set<std::pair<TimePoint, NodeId>> Ejected;
};

/// @brief Keeps the candidates of the services in use with their load, links
/// and failures. The functions called per request take constant time, or
/// logarithmic in the attempts outstanding at one owner.
class CandidateTable {
public:
  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Region region of this node
  /// @param Settings settings of routing
  /// @param OwnDomain failure domain of this node
  CandidateTable(NodeRun Self, std::string Region,
                 const RoutingSettings &Settings, std::string OwnDomain = {});
  /// @}

  /// @name Membership and links
  /// @{

  /// @brief Replaces the known candidates. The state of those that remain with
  /// the same run and service is kept. A node has one candidate: that of its
  /// highest run, the first one in @p All.
  /// @note Complexity: n log n in the number of candidates.
  void setCandidates(std::vector<Candidate> All);

  /// @brief Records a usable link.
  void linkUp(NodeRun Peer);

  /// @brief Records the loss of a link.
  void linkDown(NodeId Peer);

  /// @brief Drops pools of services without a request for the retention time.
  void dropUnused(TimePoint Now);

  /// @brief Sets the number of nodes that share the retry budgets.
  void setMemberCount(std::size_t Count);

  /// @return the number of known nodes, including this one
  std::size_t memberCount() const { return Members; }

  /// @return nodes that this ingress needs links to
  const std::set<NodeId> &neededPeers() const { return NeededPeers; }

  /// @return a number that grows when neededPeers changes
  std::uint64_t neededRevision() const { return NeededRevision; }
  /// @}

  /// @name Requests
  /// @{

  /// @brief Finds or creates the pool of a service and marks it as used.
  /// @return the pool; nullptr if no upstream of the service is known
  ServicePool *usePool(const std::string &Service, TimePoint Now);

  /// @return the number of known upstreams of a service, also outside the
  /// subset of this ingress
  std::size_t knownCount(const std::string &Service) const {
    const auto Found = Known.find(Service);
    return Found == Known.end() ? 0 : Found->second.size();
  }

  /// @brief Finds the pool of a service without marking it as used.
  ServicePool *findPool(const std::string &Service);
  /// @copydoc findPool
  const ServicePool *findPool(const std::string &Service) const;

  /// @brief Chooses an ejected candidate whose ejection is over for a trial.
  /// @return its owner; empty if no trial is due
  std::optional<NodeRun> takeTrial(ServicePool &Pool, TimePoint Now);

  /// @brief Chooses an upstream of a service outside of the subset at random,
  /// in the own failure domain if possible.
  /// @param Service the service
  /// @param Excluded nodes that must not be chosen
  /// @param Random source of random numbers
  /// @return its owner; empty if there is none with a link
  /// @note Complexity: linear in the number of upstreams of the service.
  std::optional<NodeRun> chooseOutside(const std::string &Service,
                                       std::span<const NodeId> Excluded,
                                       RandomSource &Random) const;

  /// @brief Records that an attempt was sent.
  void attemptSent(NodeId Node, std::uint64_t Sequence, TimePoint Now);

  /// @brief Records that an attempt is no longer outstanding.
  void attemptEnded(NodeId Node, std::uint64_t Sequence);

  /// @return whether an attempt is outstanding at the candidate that the node
  /// is now; false if the node has another run or service since it was sent
  bool isOutstanding(NodeId Node, std::uint64_t Sequence) const;

  /// @brief Records a load report received on the link to a run of a node.
  void recordLoad(NodeRun From, const LoadReport &Load, TimePoint Now);

  /// @brief Records a measured round trip to a node.
  void recordRoundTrip(NodeId Node, Duration Measured);

  /// @brief Records the outcome of an attempt; may eject or reinstate the
  /// candidate.
  void recordOutcome(NodeId Node, bool Succeeded, TimePoint Now, Actions &Out);

  /// @brief Excludes a candidate that refused new attempts permanently, e.g. as
  /// it drains.
  void closeCandidate(NodeId Node);

  /// @return round trips by failure domain index
  std::span<const Duration> roundTrips() const { return RoundTrips; }
  /// @}

private:
  struct Location {
    ServicePool *Pool = nullptr;
    std::size_t Index = 0;
  };

  void rebuild(const std::string &Service, ServicePool &Pool);
  void updateNeededPeers();
  /// Moves a candidate into or out of the usable part of its pool if needed.
  void updateUsable(Location At);
  /// Updates the counts after the open attempts of a candidate changed.
  static void updateOutstanding(Location At);
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
  /// The row of each node with one; the only index that outlives a call.
  std::unordered_map<NodeId, Location> Locations;
  std::unordered_map<NodeId, Incarnation> Links;
  std::vector<std::string> Domains;
  std::vector<Duration> RoundTrips;
  std::vector<bool> RoundTripMeasured;
  std::set<NodeId> NeededPeers;
  std::uint64_t NeededRevision = 0;
};

} // namespace hyssopford
