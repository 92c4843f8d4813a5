/// @file
/// @brief Quarantine of requests that crash upstreams.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/quarantine_message.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief One quarantined fingerprint, for operators.
struct QuarantineEntry {
  std::uint64_t Fingerprint = 0;
  /// Crashes in which it was seen.
  std::size_t Crashes = 0;
  TimePoint Until;

  friend bool operator==(const QuarantineEntry &,
                         const QuarantineEntry &) = default;
};

/// @brief An attempt that waits at its owner until it may be admitted.
struct GatedAttempt {
  NodeRun From;
  Dispatch Attempt;
  /// Reason for which it is refused; None if it may be admitted.
  OutcomeReason Refusal = OutcomeReason::None;
};

/// @brief Runs the table of fingerprints seen in crashes, and the gate before
/// the owner that lets suspects run alone. A fingerprint is suspect after one
/// crash, and quarantined after crashes of two upstreams or after two crashes
/// of which one happened while it ran alone. Crashes that an answer of any
/// upstream refutes do not count.
class QuarantineSystem {
public:
  /// How long a fingerprint stays suspect after a crash.
  static constexpr Duration SuspectTime = 5min;
  /// How long it is quarantined after its last crash.
  static constexpr Duration QuarantineTime = 10min;
  /// Attempts that lost their connection this short before a crash ran in it.
  static constexpr Duration CrashWindow = 2s;
  /// Connections that are lost within this time count as lost together.
  static constexpr Duration ResetWindow = 100ms;
  /// A fingerprint answered this recently is not suspected as long as others
  /// ran beside it.
  static constexpr Duration TrustTime = 60s;
  /// Least time between two searches for answers that have lapsed.
  static constexpr Duration SweepPeriod = 1s;
  /// Time between two gossip rounds, and how long a change is repeated.
  static constexpr Duration GossipPeriod = 250ms;
  static constexpr Duration GossipTime = 5s;
  /// Peers of one gossip round.
  static constexpr std::size_t GossipPeers = 3;
  /// Most fingerprints in the table, crashes of one, attempts in the gate,
  /// remembered answers and sightings in one message.
  static constexpr std::size_t MaxFingerprints = 1'024;
  static constexpr std::size_t MaxCrashes = 16;
  static constexpr std::size_t MaxGated = 256;
  static constexpr std::size_t MaxTrusted = 4'096;
  static constexpr std::size_t MaxSightings = 64;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Random source of the choice of peers
  QuarantineSystem(NodeRun Self, RandomSource &Random);
  /// @}

  /// @name Owner side
  /// @{

  /// @brief Takes an attempt that a peer dispatched to this owner.
  /// @param Refusal reason for which the attempt must not run; None if it may
  void dispatch(NodeRun From, const Dispatch &Attempt, TimePoint Now,
                OutcomeReason Refusal = OutcomeReason::None);

  /// @brief Notes that the owner started an attempt.
  void started(const AttemptId &Attempt);

  /// @brief Notes that the owner ended an attempt, and marks the reply to a
  /// suspect so that its ingress does not retry it.
  void ended(DispatchReply &Reply, TimePoint Now, Actions &Out);

  /// @brief Notes a failed attempt, before the owner does.
  void upstreamFailed(const UpstreamFailed &Failure, TimePoint Now,
                      Actions &Out);

  /// @brief Notes the loss of the upstream, before the owner does.
  void upstreamGone(const UpstreamGone &Gone, TimePoint Now, Actions &Out);

  /// @brief Notes that the upstream is present. After a crash it is a new one,
  /// whose losses belong to another crash.
  void upstreamAnnounced();

  /// @return attempts that may be admitted now or are refused, in order
  std::vector<GatedAttempt> takeGated(TimePoint Now);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Takes sightings from a peer.
  void receive(NodeRun From, const QuarantineNotice &Notice, TimePoint Now,
               Actions &Out);

  /// @brief Notes that a peer can be reached; it gets all that is known.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer cannot be reached.
  void linkDown(NodeId Peer);

  /// @brief Applies the lifts of a configuration.
  void adopt(const RoutingConfig &Config);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return whether requests with this fingerprint are rejected
  bool isQuarantined(std::uint64_t Fingerprint, TimePoint Now) const;

  /// @return whether requests with this fingerprint run alone
  bool isSuspect(std::uint64_t Fingerprint, TimePoint Now) const;

  /// @return the quarantines in force, in order of their fingerprints
  std::vector<QuarantineEntry> list(TimePoint Now) const;

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the number of fingerprints in the table
  std::size_t size() const { return Fingerprints.size(); }
  /// @}

private:
  struct SightingRow {
    TimePoint At;
    std::uint64_t LiftSerial = 0;
    bool Alone = false;
    bool Cleared = false;
  };
  /// Run of the owner and number of the crash there.
  using CrashId = std::pair<NodeRun, std::uint64_t>;
  struct FingerprintRow {
    std::map<CrashId, SightingRow> Crashes;
    TimePoint LastCrash;
    bool Reported = false;
    /// Until when changes are repeated to random peers.
    TimePoint GossipUntil;
  };
  struct AttemptRow {
    std::uint64_t Fingerprint = 0;
    TimePoint Deadline;
    bool Running = false;
    bool RunsAlone = false;
  };
  struct GatedRow {
    NodeRun From;
    Dispatch Attempt;
    TimePoint Arrived;
  };
  struct FailureRow {
    TimePoint At;
    std::uint64_t Fingerprint = 0;
  };

  static bool quarantines(const FingerprintRow &Row);
  bool mayAdmit(const Dispatch &Attempt, TimePoint Now) const;
  void crash(std::vector<std::uint64_t> Running, TimePoint Now, Actions &Out);
  bool learn(const CrashSighting &Sighting, TimePoint Now, Actions &Out);
  /// Clears the sightings that answers of this node's upstream refute.
  bool clear(std::uint64_t Fingerprint, TimePoint Now, Actions &Out);
  /// Notes that a quarantine began or ended.
  static void report(std::uint64_t Fingerprint, FingerprintRow &Row,
                     Actions &Out);
  FingerprintRow *rowFor(std::uint64_t Fingerprint);
  void announce(const std::set<std::uint64_t> &Changed, std::size_t Peers,
                TimePoint Now, Actions &Out);
  QuarantineNotice describe(const std::set<std::uint64_t> &Wanted,
                            TimePoint Now) const;

  NodeRun Self;
  RandomSource &Random;
  std::uint64_t NextCrash = 1;
  std::optional<TimePoint> LastCrashAt;
  std::optional<TimePoint> NextGossip;
  std::map<std::uint64_t, FingerprintRow> Fingerprints;
  std::map<std::uint64_t, std::uint64_t> Lifts;
  std::map<AttemptId, AttemptRow> Attempts;
  std::deque<GatedRow> Gate;
  std::vector<GatedAttempt> Refused;
  std::deque<FailureRow> Failures;
  /// Fingerprints that were answered here, and when.
  std::map<std::uint64_t, TimePoint> Trusted;
  TimePoint NextSweep;
  std::set<NodeId> Links;
};

} // namespace hyssopford
