/// @file
/// @brief Constants of routing, admission and probing, and the two profiles.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace hyssopford {

/// @brief Constants of the choice of upstreams, of retries and of hedges.
struct RoutingSettings {
  /// Candidates compared for one choice.
  std::uint32_t Samples = 4;
  /// Age at which a load report has half its weight; 0 disables ageing.
  Duration ReportHalfLife = 10ms;
  /// Weight of the round trip in the score; 0 disables it.
  double LocalityWeight = 1.0;
  /// Expected length of a slow spell that an owner reports.
  Duration SlowSpell = 150ms;
  /// Service times charged for a candidate in a slow spell.
  double SlowWeight = 1.0;
  /// Time charged for a candidate in another failure domain, besides the round
  /// trip; the price of bytes between domains.
  Duration RemoteDomainCost{0};
  /// Round trip assumed for a failure domain before it was measured.
  Duration FirstRoundTrip = 1ms;
  /// Time charged for a failure, in mean latencies; 0 disables the charge.
  double FailureWeight = 1.0;
  /// Age at which an observed failure share has half its weight.
  Duration FailureHalfLife = 1s;
  /// Percentile of the latency after which an idempotent request is hedged;
  /// 1 disables hedging.
  double HedgeQuantile = 0.95;
  /// Hedges are never sent earlier than this.
  Duration HedgeFloor = 1ms;
  /// Retries and hedges per 1,000 original requests. 95 keeps the share below
  /// 10 % although each service starts with ExtraInitial tokens.
  std::uint32_t ExtraPerThousand = 95;
  /// Most retries and hedges in a burst.
  std::uint32_t ExtraBurst = 30;
  /// Retries of a service over all nodes that are allowed in a burst, of which
  /// each node has its share; 0 gives each node ExtraBurst.
  double SiteBurst = 0.0;
  /// Retries that a service may use before its first requests pay for them.
  std::uint32_t ExtraInitial = 5;
  /// Attempts that an owner handed back before its upstream got anything which
  /// do not count as attempts and cost no budget; further ones do.
  std::uint32_t FreeHandBacks = 0;
  /// Whether an idempotent request that an upstream answered with a 5xx is
  /// sent to another, within the budget.
  bool RetryFailedAnswers = false;
  /// Whether the end of a request is reported with the decisions on it.
  bool ReportRequests = false;
  /// Of the requests that their first attempt served, one in this many is
  /// reported; 0 reports none.
  std::uint32_t ReportOneOf = 100;
  /// Shortest time after which the caller of a rejected request may return.
  Duration RetryAfterMin = 50ms;
  /// Longest such time; the actual one is drawn between both, so that rejected
  /// callers do not return together.
  Duration RetryAfterMax = 250ms;
  /// Upstreams of one service in the node's own region that get a link; 0
  /// disables subsets.
  std::size_t SubsetSize = 8;
  /// Upstreams of one service in all other regions that get a link.
  std::size_t RemoteSubsetSize = 4;
  /// Failure share at which an upstream is ejected.
  double EjectionShare = 0.5;
  /// Length of the first ejection; doubles with each further one.
  Duration EjectionTime = 500ms;
  /// Longest ejection.
  Duration EjectionTimeMax = 30s;
  /// Whether a node that knows no other yet lets requests of unknown services
  /// wait as for a link.
  bool WaitWhenAlone = false;
  /// How long a request waits for the first link of its service.
  Duration LinkWait = 250ms;
  /// A service without requests for this long loses its links.
  Duration ServiceRetention = 600s;

  friend bool operator==(const RoutingSettings &,
                         const RoutingSettings &) = default;
};

/// @brief Constants of admission at the owner.
struct AdmissionSettings {
  /// Whether the limit follows the measured latency.
  bool AdaptiveLimit = true;
  /// Longest expected wait in the queue.
  Duration QueueDelayMax = 30ms;
  /// Whether refused and failed attempts are reported.
  bool ReportAttempts = false;
  /// Time before its deadline at which a waiting attempt is refused.
  Duration ExpiryMargin{0};
  /// Share of the announced slots that is used. Upstreams that share their
  /// machine slow down before all slots are busy.
  double SlotShare = 1.0;
  /// Expected wait at which an attempt that has other candidates is handed
  /// back.
  Duration HandBackWait = 15ms;
  /// Reported slowness, as a multiple of the usual, that counts as a slow
  /// spell; 1 disables the check.
  double SlowdownThreshold = 1.0;
  /// Age up to which a report of the speed is relied on.
  Duration SpeedFresh = 8ms;
  /// Time between two probes of the speed while attempts wait for it.
  Duration SpeedRecheck = 15ms;
  /// Timeout of a probe of the speed. An upstream that does not answer by then
  /// is given work as if it ran as usual.
  Duration SpeedTimeout = 30ms;
  /// Window over which the usual speed is the best one reported.
  Duration SpeedWindow = 3s;
  /// Most attempts in the queue, which bounds its memory.
  std::size_t QueueLengthMax = 1024;
  /// High-priority starts after which a waiting normal attempt is started.
  std::uint32_t HighBurst = 4;
  /// Time over which the limit of a cold upstream grows to its slots.
  Duration ColdRamp = 2s;
  /// Answers that make one latency measurement. Fewer make the limit follow
  /// the noise of the service time.
  std::uint32_t LatencyWindow = 40;
  /// The limit shrinks when the latency exceeds the baseline by this factor.
  double LatencyTolerance = 1.6;
  /// Factor by which the limit shrinks at most in one window.
  double ShrinkMin = 0.7;
  /// Bytes of finished answers kept; the oldest are forgotten first.
  std::size_t FinishedBytesMax = 33'554'432;

  friend bool operator==(const AdmissionSettings &,
                         const AdmissionSettings &) = default;
};

/// @brief Constants of probing.
struct ProbeSettings {
  /// Probe time per time of all slots, in parts per million. The objective of
  /// deployment A is 1 %.
  std::uint32_t BudgetPpm = 9'000;
  /// Longest probe; reserved in full before a probe starts.
  Duration Timeout = 30ms;
  /// An upstream without an observed outcome for this long is probed.
  Duration IdleAfter = 1s;
  /// Least time between two probes of a cold or suspected upstream.
  Duration Interval = 100ms;
  /// Failures in a row that make an upstream suspected.
  std::uint32_t SuspectAfter = 3;

  friend bool operator==(const ProbeSettings &,
                         const ProbeSettings &) = default;
};

/// @brief Constants of the start of a node.
struct StartSettings {
  /// Time for peers to offer a configuration before the store is read.
  Duration PeerConfigWait = 500ms;
  /// Time between reads while the store holds no configuration; doubled at
  /// random.
  Duration MissingConfigPeriod = 5s;
  /// Whether what the store answers ends the wait for newer offers. True for
  /// stores whose reads are never stale.
  bool StoreIsAuthoritative = false;
  /// Time without a peer after which the directory is read; doubled at random.
  Duration DirectoryDelay = 1s;
  /// Time between reads of two slots of the directory.
  Duration DirectoryInterval = 200ms;
  /// Slots of the directory that are read in one round.
  std::uint32_t DirectoryReads = 8;
  /// First and longest time between two rounds.
  Duration DirectoryBackoff = 1s;
  Duration DirectoryBackoffMax = 16s;
  /// Longest delay of the first write of a slot, drawn at random so that nodes
  /// whose tables change together do not write together.
  Duration DirectoryWriteJitter = 2s;
  /// How long members that left or died are contacted often, as they may
  /// restart at the same address; 0 disables this.
  Duration RejoinWindow{0};
  /// Time between two such contacts.
  Duration RejoinPeriod = 400ms;

  friend bool operator==(const StartSettings &,
                         const StartSettings &) = default;
};

/// @brief All constants of the decisions on requests.
struct DecisionSettings {
  RoutingSettings Routing;
  AdmissionSettings Admission;
  ProbeSettings Probing;
  StartSettings Start;

  friend bool operator==(const DecisionSettings &,
                         const DecisionSettings &) = default;
};

/// @brief Profile for deployments that weigh the tail of the latency most.
/// @return the settings of deployment A
inline DecisionSettings tailProfile() { return {}; }

/// @brief Profile for deployments that weigh the cost of measurement most.
/// @return the settings of deployment B
inline DecisionSettings costProfile() {
  DecisionSettings Settings;
  Settings.Routing.Samples = 3;
  Settings.Routing.HedgeQuantile = 0.98;
  Settings.Routing.ExtraPerThousand = 45;
  Settings.Admission.QueueDelayMax = 60ms;
  Settings.Probing.BudgetPpm = 2'700;
  Settings.Probing.IdleAfter = 5s;
  return Settings;
}

} // namespace hyssopford
