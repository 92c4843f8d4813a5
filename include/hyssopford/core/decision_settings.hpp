/// @file
/// @brief Settings of routing, admission, probing and start, and the two
/// profiles.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace hyssopford {

/// @brief Settings of the choice of upstreams, of retries and of hedges.
struct RoutingSettings {
  /// Number of candidates compared for one choice.
  std::uint32_t Samples = 4;
  /// Age at which a load report has half its weight; 0 disables ageing.
  Duration ReportHalfLife = 10ms;
  /// Weight of the round trip in the score; 0 disables it.
  double LocalityWeight = 1.0;
  /// Expected length of a slowdown that an owner reports; the charge for it
  /// decays over this time.
  Duration SlowdownDuration = 150ms;
  /// Charge for a candidate that reports a slowdown, in mean service times; 0
  /// disables the charge.
  double SlowdownWeight = 1.0;
  /// Time charged for a candidate in another failure domain in addition to the
  /// round trip; stands for the cost of traffic between domains.
  Duration RemoteDomainCost{0};
  /// Round trip assumed for a failure domain until one is measured.
  Duration InitialRoundTrip = 1ms;
  /// Charge for an expected failure, in mean latencies; 0 disables the charge.
  double FailureWeight = 1.0;
  /// Age at which an observed failure share has half its weight.
  Duration FailureHalfLife = 1s;
  /// Percentile of the latency after which an idempotent request is hedged;
  /// 1 disables hedging.
  double HedgeQuantile = 0.95;
  /// Shortest delay before a hedge.
  Duration HedgeFloor = 1ms;
  /// Retries and hedges allowed per 1,000 original requests. 95 keeps their
  /// share below 10 % although each service starts with ExtraInitial tokens.
  std::uint32_t ExtraPerThousand = 95;
  /// Capacity of a node's budget: most retries and hedges in a burst.
  std::uint32_t ExtraBurst = 30;
  /// Most retries of a service in a burst over all nodes, divided equally among
  /// them; 0 gives each node ExtraBurst.
  double SiteBurst = 0.0;
  /// Tokens for retries with which the budget of a service starts.
  std::uint32_t ExtraInitial = 5;
  /// Number of times that owners of the subset may hand a request back unrun
  /// before one that is busy must queue or refuse it. Hand-backs are not
  /// attempts and use no retry budget; with 0 they are and do.
  std::uint32_t FreeHandBacks = 0;
  /// Upstreams outside of the subset that are asked before that.
  std::uint32_t OutsideHandBacks = 0;
  /// Whether an idempotent request that an upstream answered with a 5xx status
  /// other than 504 is retried on another one, within the budget.
  bool RetryFailedAnswers = false;
  /// Whether ended requests are logged with the attempts made for them.
  bool ReportRequests = false;
  /// One in this many of the requests answered by their first attempt is
  /// logged; 0 logs none of them.
  std::uint32_t ReportOneOf = 100;
  /// Shortest Retry-After time given to the caller of a rejected request.
  Duration RetryAfterMin = 50ms;
  /// Longest such time. The actual one is random between both, so that rejected
  /// callers do not retry at the same time.
  Duration RetryAfterMax = 250ms;
  /// Upstreams of one service in the node's own region that the node links to;
  /// 0 disables subsets.
  std::size_t SubsetSize = 8;
  /// Upstreams of the subset in the node's own failure domain, if the service
  /// has as many there; 0 takes the failure domains in turn.
  std::size_t LocalSubsetSize = 0;
  /// Upstreams of one service in all other regions that the node links to.
  std::size_t RemoteSubsetSize = 4;
  /// Failure share at which an upstream is ejected.
  double EjectionShare = 0.5;
  /// Length of the first ejection; doubled for each further one.
  Duration EjectionTime = 500ms;
  /// Longest ejection.
  Duration EjectionTimeMax = 30s;
  /// Whether a node that knows no other node yet lets requests for unknown
  /// services wait up to LinkWait instead of rejecting them.
  bool WaitWhenAlone = false;
  /// How long a request waits for the first link of its service.
  Duration LinkWait = 250ms;
  /// The links of a service are closed after this time without a request.
  Duration ServiceRetention = 600s;

  friend bool operator==(const RoutingSettings &,
                         const RoutingSettings &) = default;
};

/// @brief Settings of admission at the owner.
struct AdmissionSettings {
  /// Whether the concurrency limit follows the measured latency.
  bool AdaptiveLimit = true;
  /// Longest expected wait in the queue for an attempt to be admitted.
  Duration QueueDelayMax = 30ms;
  /// Whether refused and failed attempts are logged.
  bool ReportAttempts = false;
  /// Time before its deadline at which a queued attempt is refused, so that the
  /// ingress can still tell the caller that it did not run.
  Duration ExpiryMargin{0};
  /// Share of the announced slots that is used. Upstreams on a shared machine
  /// slow down before all slots are busy.
  double SlotShare = 1.0;
  /// Expected wait above which an attempt that has other candidates is handed
  /// back.
  Duration HandBackWait = 15ms;
  /// Reported slowness, as a multiple of the normal one, above which the
  /// upstream counts as slowed down; 1 disables the check.
  double SlowdownThreshold = 1.0;
  /// Age up to which a speed report is used.
  Duration SpeedReportAgeMax = 8ms;
  /// Time between two speed probes while attempts wait for the end of a
  /// slowdown.
  Duration SpeedProbeInterval = 15ms;
  /// Timeout of a speed probe. An upstream that does not answer in time gets
  /// work as if it ran at its normal speed.
  Duration SpeedProbeTimeout = 30ms;
  /// The normal speed is the best one reported in a window of this length.
  Duration SpeedWindow = 3s;
  /// Most attempts in the queue; bounds its memory.
  std::size_t QueueLengthMax = 1024;
  /// Starts of more urgent attempts after which an attempt of a waiting class
  /// is started.
  std::uint32_t HighBurst = 4;
  /// Time over which the limit of a cold upstream grows to its slots; 0 for
  /// upstreams that are slow at first but bear their usual concurrency.
  Duration ColdRamp = 2s;
  /// Answers averaged into one latency measurement. With fewer, the limit
  /// follows the noise of the service time.
  std::uint32_t LatencyWindow = 40;
  /// The limit shrinks when the mean latency exceeds the baseline by this
  /// factor.
  double LatencyTolerance = 1.6;
  /// Smallest factor applied to the limit when it shrinks after one window.
  double ShrinkFactorMin = 0.7;
  /// Most bytes of finished answers kept; the oldest are dropped first.
  std::size_t FinishedBytesMax = 33'554'432;

  friend bool operator==(const AdmissionSettings &,
                         const AdmissionSettings &) = default;
};

/// @brief Settings of probing.
struct ProbeSettings {
  /// Share of the time of all slots that probes may take, in parts per million.
  /// Below the objective of 1 % of deployment A.
  std::uint32_t BudgetPpm = 9'000;
  /// Timeout of a probe; this time is reserved in the budget before it starts.
  Duration Timeout = 30ms;
  /// An upstream is probed after this time without an observed outcome.
  Duration IdleAfter = 1s;
  /// Least time between two probes of a cold or suspected upstream.
  Duration Interval = 100ms;
  /// Consecutive failures after which an upstream is suspected.
  std::uint32_t SuspectAfter = 3;

  friend bool operator==(const ProbeSettings &,
                         const ProbeSettings &) = default;
};

/// @brief Settings of the start of a node.
struct StartSettings {
  /// Time to wait for a configuration from peers before the store is read.
  Duration PeerConfigWait = 500ms;
  /// Least time between reads of the store while it holds no configuration; up
  /// to the same time is added at random.
  Duration MissingConfigPeriod = 5s;
  /// Whether an answer of the store ends the wait for a newer configuration
  /// from peers. Only for stores whose reads are never stale.
  bool StoreIsAuthoritative = false;
  /// Time without a peer after which the directory is read; up to the same time
  /// is added at random.
  Duration DirectoryDelay = 1s;
  /// Time between reads of two slots of the directory.
  Duration DirectoryInterval = 200ms;
  /// Number of directory slots read in one round.
  std::uint32_t DirectoryReads = 8;
  /// First and longest time between two rounds of directory reads.
  Duration DirectoryBackoff = 1s;
  Duration DirectoryBackoffMax = 16s;
  /// Longest random delay before the first write of a slot. It keeps nodes
  /// whose member tables change together from writing together.
  Duration DirectoryWriteJitter = 2s;
  /// How long members that left or died are contacted at RejoinPeriod, as they
  /// may restart at the same address; 0 disables this.
  Duration RejoinWindow{0};
  /// Time between two such contacts of a member.
  Duration RejoinPeriod = 400ms;

  friend bool operator==(const StartSettings &,
                         const StartSettings &) = default;
};

/// @brief Settings of the proof that a configuration is recent.
struct FreshnessSettings {
  /// Age of the proof above which credentials are refused; 0 accepts them
  /// without a proof.
  Duration Limit{0};
  /// Reserve below the limit for the time between the check and the start of a
  /// request.
  Duration Margin = 500ms;

  friend bool operator==(const FreshnessSettings &,
                         const FreshnessSettings &) = default;
};

/// @brief Settings of the allotments of client accounts.
struct AllotmentSettings {
  bool Enabled = false;

  friend bool operator==(const AllotmentSettings &,
                         const AllotmentSettings &) = default;
};

/// @brief Settings of the limits of cold upstreams.
struct ColdSettings {
  bool Enabled = false;

  friend bool operator==(const ColdSettings &, const ColdSettings &) = default;
};

/// @brief Settings of the evacuation of failure domains.
struct EvacuationSettings {
  bool Enabled = false;

  friend bool operator==(const EvacuationSettings &,
                         const EvacuationSettings &) = default;
};

/// @brief Settings of the quarantine of requests that crash upstreams.
struct QuarantineSettings {
  /// Whether crash sightings are kept in the store, so that they outlast all
  /// nodes.
  bool Stored = false;

  friend bool operator==(const QuarantineSettings &,
                         const QuarantineSettings &) = default;
};

/// @brief All settings of the decision core.
struct DecisionSettings {
  RoutingSettings Routing;
  AdmissionSettings Admission;
  ProbeSettings Probing;
  StartSettings Start;
  FreshnessSettings Freshness;
  AllotmentSettings Allotments;
  ColdSettings Cold;
  EvacuationSettings Evacuation;
  QuarantineSettings Quarantine;

  friend bool operator==(const DecisionSettings &,
                         const DecisionSettings &) = default;
};

/// @brief Profile for deployments where tail latency matters most.
/// @return the settings of deployment A
inline DecisionSettings tailProfile() { return {}; }

/// @brief Profile for deployments where the cost of probes, retries and hedges
/// matters most.
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
