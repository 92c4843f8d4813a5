#include "hyssopford/core/candidate_table.hpp"

#include "smoothing.hpp"

#include "hyssopford/core/subset.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Inverse weight of a new value in the smoothed round trip of a failure
/// domain.
constexpr int RoundTripSmoothing = 16;
/// Weight of a new load report in the means of a service.
constexpr double MeanWeight = 0.05;
/// Weight of a new outcome in the failure share: six consecutive failures raise
/// it above one half.
constexpr double FailureWeight = 0.125;
/// Most doublings of the ejection time; keeps the shift from overflowing.
constexpr std::uint32_t DoublingsMax = 10;
/// Most send times kept for one candidate; further attempts still count as
/// outstanding.
constexpr std::size_t RecentSendsMax = 256;

/// Answers of a route after which its own latency quantile is used.
constexpr std::uint32_t RouteAnswersMin = 20;
/// Most routes of a service with latency quantiles of their own.
constexpr std::size_t RoutesMax = 256;

} // namespace

void ServicePool::recordLatency(const std::string &Route, Duration Latency) {
  HedgeDelay.add(Latency);
  auto Found = RouteLatencies.find(Route);
  if (Found == RouteLatencies.end()) {
    if (RouteLatencies.size() >= RoutesMax) {
      return;
    }
    Found = RouteLatencies.emplace(Route, RouteLatency(HedgeQuantile)).first;
  }
  Found->second.Quantile.add(Latency);
  ++Found->second.Answers;
}

Duration ServicePool::hedgeDelay(const std::string &Route) const {
  const Duration Own = routeLatency(Route);
  return Own > Duration{0} ? Own : HedgeDelay.value();
}

Duration ServicePool::routeLatency(const std::string &Route) const {
  const auto Found = RouteLatencies.find(Route);
  const bool HasOwn =
      Found != RouteLatencies.end() && Found->second.Answers >= RouteAnswersMin;
  return HasOwn ? Found->second.Quantile.value() : Duration{0};
}

CandidateTable::CandidateTable(NodeRun Run, std::string OwnRegion,
                               const RoutingSettings &Chosen,
                               std::string OwnDomain)
    : Self(Run), Region(std::move(OwnRegion)),
      FailureDomain(std::move(OwnDomain)), Settings(Chosen) {}

void CandidateTable::setMemberCount(std::size_t Count) {
  Members = Count;
  for (auto &[Service, Pool] : Pools) {
    Pool.Budget.limitBurst(Members);
  }
}

void CandidateTable::setCandidates(std::vector<Candidate> All) {
  std::unordered_map<NodeId, Incarnation> Latest;
  for (const Candidate &Each : All) {
    Incarnation &Run = Latest[Each.Owner.Node];
    Run = std::max(Run, Each.Owner.Run);
  }
  Known.clear();
  for (Candidate &Each : All) {
    const auto Found = Latest.find(Each.Owner.Node);
    if (Found == Latest.end() || Found->second != Each.Owner.Run) {
      continue;
    }
    // A node has one row, in the pool of one service.
    Latest.erase(Found);
    std::vector<Candidate> &List = Known[Each.Service];
    List.push_back(std::move(Each));
  }
  // All locations go before the first pool is rebuilt: a node may have moved
  // from any pool to any other.
  Locations.clear();
  for (auto &[Service, Pool] : Pools) {
    rebuild(Service, Pool);
  }
  updateNeededPeers();
}

void CandidateTable::linkUp(NodeRun Peer) {
  Links[Peer.Node] = Peer.Run;
  const auto Found = Locations.find(Peer.Node);
  if (Found != Locations.end()) {
    const Location At = Found->second;
    At.Pool->Histories[At.Index].Linked =
        At.Pool->Views[At.Index].Owner.Run == Peer.Run;
    updateUsable(At);
  }
}

void CandidateTable::linkDown(NodeId Peer) {
  Links.erase(Peer);
  const auto Found = Locations.find(Peer);
  if (Found != Locations.end()) {
    const Location At = Found->second;
    At.Pool->Histories[At.Index].Linked = false;
    updateUsable(At);
  }
}

void CandidateTable::dropUnused(TimePoint Now) {
  const std::size_t Before = Pools.size();
  std::erase_if(Pools, [&](const auto &Entry) {
    const ServicePool &Pool = Entry.second;
    if (Pool.LastUse + Settings.ServiceRetention > Now) {
      return false;
    }
    for (const CandidateView &View : Pool.Views) {
      Locations.erase(View.Owner.Node);
    }
    return true;
  });
  if (Pools.size() != Before) {
    updateNeededPeers();
  }
}

ServicePool *CandidateTable::usePool(const std::string &Service,
                                     TimePoint Now) {
  ServicePool *Pool = findPool(Service);
  if (Pool == nullptr) {
    if (!Known.contains(Service)) {
      return nullptr;
    }
    Pool = &Pools.try_emplace(Service, Settings).first->second;
    Pool->Budget.limitBurst(Members);
    rebuild(Service, *Pool);
    updateNeededPeers();
  }
  Pool->LastUse = Now;
  return Pool->size() == 0 ? nullptr : Pool;
}

ServicePool *CandidateTable::findPool(const std::string &Service) {
  const auto Found = Pools.find(Service);
  return Found == Pools.end() ? nullptr : &Found->second;
}

const ServicePool *CandidateTable::findPool(const std::string &Service) const {
  const auto Found = Pools.find(Service);
  return Found == Pools.end() ? nullptr : &Found->second;
}

std::optional<NodeRun> CandidateTable::takeTrial(ServicePool &Pool,
                                                 TimePoint Now) {
  if (Pool.Ejected.empty() || Pool.Ejected.begin()->first > Now) {
    return std::nullopt;
  }
  const NodeId Node = Pool.Ejected.begin()->second;
  const Location At = Locations.at(Node);
  ServicePool::History &Past = Pool.Histories[At.Index];
  // The next trial waits for the outcome of this one or, if it is lost, for
  // EjectionTime.
  Pool.Ejected.erase(Pool.Ejected.begin());
  Past.EjectedUntil = Now + Settings.EjectionTime;
  Pool.Ejected.emplace(Past.EjectedUntil, Node);
  if (!Past.Linked || Past.Closed) {
    return std::nullopt;
  }
  return Pool.Views[At.Index].Owner;
}

std::optional<NodeRun>
CandidateTable::chooseOutside(const std::string &Service,
                              std::span<const NodeId> Excluded,
                              RandomSource &Random) const {
  const auto All = Known.find(Service);
  if (All == Known.end()) {
    return std::nullopt;
  }
  std::vector<NodeRun> Local;
  std::vector<NodeRun> Others;
  for (const Candidate &Each : All->second) {
    const auto Link = Links.find(Each.Owner.Node);
    const bool IsLinked = Link != Links.end() && Link->second == Each.Owner.Run;
    const bool IsExcluded = std::find(Excluded.begin(), Excluded.end(),
                                      Each.Owner.Node) != Excluded.end();
    if (IsLinked && !IsExcluded && Each.State != UpstreamState::Draining &&
        !Locations.contains(Each.Owner.Node)) {
      (Each.FailureDomain == FailureDomain ? Local : Others)
          .push_back(Each.Owner);
    }
  }
  const std::vector<NodeRun> &From = Local.empty() ? Others : Local;
  return From.empty() ? std::nullopt
                      : std::optional(From[Random.below(From.size())]);
}

void CandidateTable::attemptSent(NodeId Node, std::uint64_t Sequence,
                                 TimePoint Now) {
  const auto Found = Locations.find(Node);
  if (Found == Locations.end()) {
    return;
  }
  ServicePool::History &Past =
      Found->second.Pool->Histories[Found->second.Index];
  CandidateView &View = Found->second.Pool->Views[Found->second.Index];
  if (Past.OpenAttempts.empty()) {
    View.OldestSent = Now;
  }
  Past.OpenAttempts.emplace(Sequence, Now);
  updateOutstanding(Found->second);
  if (Past.RecentSends.size() < RecentSendsMax) {
    Past.RecentSends.push_back(Now);
  }
  View.SentSince = static_cast<std::uint32_t>(
      std::min(Past.RecentSends.size(), Past.OpenAttempts.size()));
}

void CandidateTable::attemptEnded(NodeId Node, std::uint64_t Sequence) {
  const auto Found = Locations.find(Node);
  if (Found == Locations.end()) {
    return;
  }
  ServicePool::History &Past =
      Found->second.Pool->Histories[Found->second.Index];
  CandidateView &View = Found->second.Pool->Views[Found->second.Index];
  Past.OpenAttempts.erase(Sequence);
  updateOutstanding(Found->second);
  View.SentSince = std::min(View.SentSince, View.Outstanding);
  if (!Past.OpenAttempts.empty()) {
    View.OldestSent = Past.OpenAttempts.begin()->second;
  }
}

bool CandidateTable::isOutstanding(NodeId Node, std::uint64_t Sequence) const {
  const auto Found = Locations.find(Node);
  return Found != Locations.end() &&
         Found->second.Pool->Histories[Found->second.Index]
             .OpenAttempts.contains(Sequence);
}

void CandidateTable::recordLoad(NodeRun From, const LoadReport &Load,
                                TimePoint Now) {
  const auto Found = Locations.find(From.Node);
  if (Found == Locations.end()) {
    return;
  }
  ServicePool &Pool = *Found->second.Pool;
  CandidateView &View = Pool.Views[Found->second.Index];
  const auto Link = Links.find(From.Node);
  if (View.Owner != From || Link == Links.end() || Link->second != From.Run ||
      Load.Sequence <= View.Report.Sequence) {
    return;
  }
  View.Report = Load;
  const Duration RoundTrip = RoundTrips[View.Domain];
  View.ReportedAt = Now - RoundTrip / 2 - Load.Age;
  // Attempts sent less than half a round trip before the report was made, that
  // is a round trip before it arrived, reached the owner after it.
  std::deque<TimePoint> &Sends =
      Pool.Histories[Found->second.Index].RecentSends;
  while (!Sends.empty() && Sends.front() + RoundTrip + Load.Age <= Now) {
    Sends.pop_front();
  }
  View.SentSince =
      std::min(static_cast<std::uint32_t>(Sends.size()), View.Outstanding);
  const double Limit = std::max<std::uint32_t>(Load.Limit, 1);
  smooth(Pool.Mean.Utilisation, (Load.InFlight + Load.Queued) / Limit,
         MeanWeight);
  if (Load.ServiceTime > Duration{0}) {
    smooth(Pool.Mean.ServiceTime, static_cast<double>(Load.ServiceTime.count()),
           MeanWeight);
  }
}

void CandidateTable::recordRoundTrip(NodeId Node, Duration Measured) {
  const auto Found = Locations.find(Node);
  if (Found == Locations.end() || Node == Self.Node || Measured < Duration{0}) {
    return;
  }
  const std::size_t Domain =
      Found->second.Pool->Views[Found->second.Index].Domain;
  Duration &Smoothed = RoundTrips[Domain];
  Smoothed = RoundTripMeasured[Domain]
                 ? Smoothed + (Measured - Smoothed) / RoundTripSmoothing
                 : Measured;
  RoundTripMeasured[Domain] = true;
}

void CandidateTable::recordOutcome(NodeId Node, bool Succeeded, TimePoint Now,
                                   Actions &Out) {
  const auto Found = Locations.find(Node);
  if (Found == Locations.end()) {
    return;
  }
  const Location At = Found->second;
  CandidateView &View = At.Pool->Views[At.Index];
  View.FailureShare +=
      FailureWeight * ((Succeeded ? 0.0 : 1.0) - View.FailureShare);
  if (!Succeeded) {
    View.FailedAt = Now;
  }
  const bool Ejected = At.Pool->Histories[At.Index].Ejected;
  if (Ejected && Succeeded) {
    reinstate(At, Out);
  } else if (!Succeeded &&
             (Ejected || View.FailureShare >= Settings.EjectionShare)) {
    eject(At, Now, Out);
  }
}

void CandidateTable::closeCandidate(NodeId Node) {
  const auto Found = Locations.find(Node);
  if (Found != Locations.end()) {
    const Location At = Found->second;
    At.Pool->Histories[At.Index].Closed = true;
    updateUsable(At);
  }
}

void CandidateTable::rebuild(const std::string &Service, ServicePool &Pool) {
  std::unordered_map<NodeId, std::size_t> Old;
  for (std::size_t Index = 0; Index < Pool.Views.size(); ++Index) {
    Old.emplace(Pool.Views[Index].Owner.Node, Index);
  }
  std::vector<CandidateView> OldViews = std::exchange(Pool.Views, {});
  std::vector<ServicePool::History> OldHistories =
      std::exchange(Pool.Histories, {});
  Pool.UsableCount = 0;
  Pool.Outstanding = 0;
  Pool.Ejected.clear();
  const auto All = Known.find(Service);
  if (All == Known.end()) {
    return;
  }
  for (const Candidate &Each :
       chooseSubset(All->second, Self.Node, Region, FailureDomain, Settings)) {
    CandidateView View;
    ServicePool::History Past;
    const auto Kept = Old.find(Each.Owner.Node);
    const bool SameRun =
        Kept != Old.end() && OldViews[Kept->second].Owner == Each.Owner;
    if (SameRun) {
      View = OldViews[Kept->second];
      Past = std::move(OldHistories[Kept->second]);
      // A changed upstream state may mean that it accepts attempts again.
      Past.Closed = Past.Closed && View.State == Each.State;
    }
    View.Owner = Each.Owner;
    View.Slots = Each.Slots;
    View.State = Each.State;
    View.ColdRate = Each.ColdRate;
    View.Domain = domainIndex(Each.FailureDomain);
    View.IsLocalDomain = Each.FailureDomain == FailureDomain;
    const auto Link = Links.find(Each.Owner.Node);
    Past.Linked = Link != Links.end() && Link->second == Each.Owner.Run;
    if (Past.Ejected) {
      Pool.Ejected.emplace(Past.EjectedUntil, Each.Owner.Node);
    }
    Pool.Outstanding += View.Outstanding;
    Pool.Views.push_back(View);
    Pool.Histories.push_back(std::move(Past));
    const Location At{&Pool, Pool.Views.size() - 1};
    Locations[Each.Owner.Node] = At;
    updateUsable(At);
  }
}

void CandidateTable::updateNeededPeers() {
  std::set<NodeId> Wanted;
  for (const auto &[Service, Pool] : Pools) {
    for (const CandidateView &View : Pool.Views) {
      if (View.Owner.Node != Self.Node) {
        Wanted.insert(View.Owner.Node);
      }
    }
  }
  if (Wanted != NeededPeers) {
    NeededPeers = std::move(Wanted);
    ++NeededRevision;
  }
}

void CandidateTable::updateUsable(Location At) {
  ServicePool &Pool = *At.Pool;
  const ServicePool::History &Past = Pool.Histories[At.Index];
  const bool Usable = Past.Linked && !Past.Closed && !Past.Ejected &&
                      Pool.Views[At.Index].State != UpstreamState::Draining;
  if (Usable && At.Index >= Pool.UsableCount) {
    swapRows(Pool, At.Index, Pool.UsableCount++);
  } else if (!Usable && At.Index < Pool.UsableCount) {
    swapRows(Pool, At.Index, --Pool.UsableCount);
  }
}

void CandidateTable::updateOutstanding(Location At) {
  ServicePool &Pool = *At.Pool;
  CandidateView &View = Pool.Views[At.Index];
  const std::size_t Count = Pool.Histories[At.Index].OpenAttempts.size();
  Pool.Outstanding = Pool.Outstanding - View.Outstanding + Count;
  View.Outstanding = static_cast<std::uint32_t>(Count);
  Pool.Mean.Outstanding = static_cast<double>(Pool.Outstanding) /
                          static_cast<double>(Pool.Views.size());
}

void CandidateTable::swapRows(ServicePool &Pool, std::size_t First,
                              std::size_t Second) {
  std::swap(Pool.Views[First], Pool.Views[Second]);
  std::swap(Pool.Histories[First], Pool.Histories[Second]);
  Locations.at(Pool.Views[First].Owner.Node).Index = First;
  Locations.at(Pool.Views[Second].Owner.Node).Index = Second;
}

std::size_t CandidateTable::domainIndex(const std::string &Domain) {
  const auto Found = std::find(Domains.begin(), Domains.end(), Domain);
  if (Found != Domains.end()) {
    return static_cast<std::size_t>(Found - Domains.begin());
  }
  Domains.push_back(Domain);
  RoundTrips.push_back(Settings.InitialRoundTrip);
  RoundTripMeasured.push_back(false);
  return Domains.size() - 1;
}

void CandidateTable::eject(Location At, TimePoint Now, Actions &Out) {
  ServicePool &Pool = *At.Pool;
  ServicePool::History &Past = Pool.Histories[At.Index];
  const NodeId Node = Pool.Views[At.Index].Owner.Node;
  // At most half of the candidates of a service are ejected: simultaneous
  // failures of all upstreams have a common cause, and ejections would only
  // overload the rest.
  if (!Past.Ejected && 2 * (Pool.Ejected.size() + 1) > Pool.Views.size()) {
    return;
  }
  Pool.Ejected.erase({Past.EjectedUntil, Node});
  const auto Doublings = std::min(Past.Ejections, DoublingsMax);
  const Duration Length = std::min(Settings.EjectionTime * (1U << Doublings),
                                   Settings.EjectionTimeMax);
  Past.Ejected = true;
  ++Past.Ejections;
  Past.EjectedUntil = Now + Length;
  Pool.Ejected.emplace(Past.EjectedUntil, Node);
  Out.emplace_back(Notice{"upstream_ejected",
                          {{"peer", toString(Node)},
                           {"duration_us", std::to_string(Length.count())},
                           {"ejections", std::to_string(Past.Ejections)}}});
  updateUsable(At);
}

void CandidateTable::reinstate(Location At, Actions &Out) {
  ServicePool &Pool = *At.Pool;
  ServicePool::History &Past = Pool.Histories[At.Index];
  CandidateView &View = Pool.Views[At.Index];
  Pool.Ejected.erase({Past.EjectedUntil, View.Owner.Node});
  Past.Ejected = false;
  // Slightly below the ejection share: two more failures eject the candidate
  // again.
  View.FailureShare = std::min(View.FailureShare, Settings.EjectionShare * 0.8);
  Out.emplace_back(
      Notice{"upstream_reinstated", {{"peer", toString(View.Owner.Node)}}});
  updateUsable(At);
}

} // namespace hyssopford
