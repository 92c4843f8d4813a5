/// @file
/// @brief Quarantine of requests that crash upstreams.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/quarantine/quarantine_message.hpp"
#include "hyssopford/core/quarantine/quarantine_store.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief A quarantined fingerprint as shown to operators.
struct QuarantineEntry {
  std::uint64_t Fingerprint = 0;
  /// Number of crashes in which it was seen.
  std::size_t Crashes = 0;
  TimePoint Until;

  friend bool operator==(const QuarantineEntry &,
                         const QuarantineEntry &) = default;
};

/// @brief An attempt that the quarantine releases to the owner.
struct GatedAttempt {
  NodeRun From;
  Dispatch Attempt;
  /// Reason for which it must be refused; None if it may be admitted.
  OutcomeReason Refusal = OutcomeReason::None;
};

/// @brief Keeps the fingerprints seen in crashes of upstreams, and holds back
/// attempts before the owner so that suspects run alone. A fingerprint is
/// suspect after one crash, and quarantined after crashes of two upstreams or
/// after two crashes of which one happened while it ran alone. Crashes that an
/// answer of any upstream refutes do not count. As no quarantined request would
/// be answered, a few run as trials.
class QuarantineSystem {
public:
  /// How long a fingerprint stays suspect after a crash.
  static constexpr Duration SuspectTime = 5min;
  /// How long it is quarantined after its last crash.
  static constexpr Duration QuarantineTime = 10min;
  /// Time from the last crash or trial of a quarantined fingerprint to its
  /// first and to its second trial. There is no third one.
  static constexpr std::array<Duration, 2> TrialDelays{10s, 30s};
  /// Attempts that lost their connection within this time before a crash count
  /// as running when it happened.
  static constexpr Duration CrashWindow = 2s;
  /// How long the upstream may go on with an attempt that was cancelled or
  /// timed out.
  static constexpr Duration CancelWindow = 500ms;
  /// Connections lost within this time of each other count as lost together.
  static constexpr Duration ResetWindow = 100ms;
  /// A fingerprint answered within this time is not suspected if other requests
  /// were running in the crash.
  static constexpr Duration TrustTime = 60s;
  /// Least time between two removals of answers older than TrustTime.
  static constexpr Duration SweepPeriod = 1s;
  /// Time between two gossip rounds, and how long a change is gossiped.
  static constexpr Duration GossipPeriod = 250ms;
  static constexpr Duration GossipTime = 5s;
  /// Number of peers that a gossip round is sent to.
  static constexpr std::size_t GossipPeers = 3;
  /// Most fingerprints in the table, crashes of one fingerprint, attempts held
  /// back, fingerprints with a recent answer, and sightings in one message.
  static constexpr std::size_t MaxFingerprints = 1'024;
  static constexpr std::size_t MaxCrashes = 16;
  static constexpr std::size_t MaxGated = 256;
  static constexpr std::size_t MaxTrusted = 4'096;
  static constexpr std::size_t MaxSightings = 64;
  /// Most fingerprints in the store, and most crashes of one of them.
  static constexpr std::size_t MaxStored = 64;
  static constexpr std::size_t MaxStoredCrashes = 4;
  /// Longest time for which a trial waits for the store.
  static constexpr Duration RecordTimeout = 1s;
  /// Least time between two records of trials of one fingerprint. The owner may
  /// hand a trial back, which withdraws its record.
  static constexpr Duration RecordPeriod = 1s;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Random source of the choice of peers
  /// @param Settings whether sightings are kept in the store
  QuarantineSystem(NodeRun Self, RandomSource &Random,
                   const QuarantineSettings &Settings = {});
  QuarantineSystem(const QuarantineSystem &) = delete;
  QuarantineSystem &operator=(const QuarantineSystem &) = delete;
  /// @}

  /// @name Owner side
  /// @{

  /// @brief Queues an attempt dispatched to this owner; takeGated releases it.
  /// A trial waits until the store has acknowledged its record.
  /// @param Refusal reason for which the attempt must be refused; None if it
  /// may run
  void dispatch(NodeRun From, const Dispatch &Attempt, TimePoint Now,
                OutcomeReason Refusal = OutcomeReason::None);

  /// @brief Announces the trials among the attempts dispatched since the last
  /// call to the peers and the store. Must follow dispatch().
  void recordTrials(TimePoint Now, Actions &Out);

  /// @brief Records that the owner started an attempt, and announces it to the
  /// peers if it is a trial.
  void attemptStarted(const AttemptId &Attempt, TimePoint Now, Actions &Out);

  /// @brief Records that the owner ended an attempt. Sets the reason of an
  /// unknown outcome of a suspect to Quarantined, so that its ingress does not
  /// retry it.
  void attemptEnded(DispatchReply &Reply, TimePoint Now, Actions &Out);

  /// @brief Records a failed attempt. Must be called before the owner handles
  /// the failure.
  void upstreamFailed(const UpstreamFailed &Failure, TimePoint Now,
                      Actions &Out);

  /// @brief Records the loss of the upstream. Must be called before the owner
  /// handles the loss.
  void upstreamGone(const UpstreamGone &Gone, TimePoint Now, Actions &Out);

  /// @brief Records that the upstream is present. After a crash it is a new
  /// process, whose lost connections belong to another crash.
  void upstreamAnnounced();

  /// @brief Removes the attempts that may be admitted now or must be refused.
  /// @return the attempts, the refused ones first, otherwise in order of
  /// arrival
  std::vector<GatedAttempt> takeGated(TimePoint Now);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Merges the sightings of a peer.
  void receive(NodeRun From, const QuarantineNotice &Notice, TimePoint Now,
               Actions &Out);

  /// @brief Handles the end of a call to the store; calls of other systems are
  /// looked at for the era only.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Handles a new link to a peer; sends it all known sightings.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Handles the loss of a link.
  void linkDown(NodeId Peer);

  /// @brief Applies the quarantine lifts of a configuration.
  void adopt(const RoutingConfig &Config);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return whether requests with this fingerprint are rejected. While the
  /// record of the store is unknown, one crash is enough.
  bool isQuarantined(std::uint64_t Fingerprint, TimePoint Now) const;

  /// @return when a request with this fingerprint may next run as a trial;
  /// empty if it is not quarantined or has had all trials
  std::optional<TimePoint> nextTrial(std::uint64_t Fingerprint) const;

  /// @return when a quarantined fingerprint may run again: the time of its next
  /// trial or the end of its quarantine
  TimePoint nextChance(std::uint64_t Fingerprint) const;

  /// @return whether requests with this fingerprint are rejected and none may
  /// run as a trial now
  bool isBarred(std::uint64_t Fingerprint, TimePoint Now) const;

  /// @return whether requests with this fingerprint must run alone
  bool isSuspect(std::uint64_t Fingerprint, TimePoint Now) const;

  /// @return the quarantined fingerprints in ascending order
  std::vector<QuarantineEntry> list(TimePoint Now) const;

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether the table includes the sightings of the store; true if
  /// there is no record
  bool complete() const { return Store.complete(); }

  /// @return the number of fingerprints in the table
  std::size_t size() const { return Fingerprints.size(); }
  /// @}

private:
  struct SightingRow {
    TimePoint At;
    std::uint64_t LiftSerial = 0;
    bool Alone = false;
    bool Cleared = false;
    bool Trial = false;
  };
  /// Run of the owner and number of the crash there.
  using CrashId = std::pair<NodeRun, std::uint64_t>;
  struct FingerprintRow {
    std::map<CrashId, SightingRow> Crashes;
    TimePoint LastCrash;
    bool Reported = false;
    /// When a trial may next be recorded by this node.
    TimePoint NextRecord;
    /// End of the time in which changes are gossiped to random peers.
    TimePoint GossipUntil;
  };
  struct AttemptRow {
    std::uint64_t Fingerprint = 0;
    TimePoint Deadline;
    bool Running = false;
    bool RunsAlone = false;
    /// Number of the sighting that announced the trial; 0 for none.
    std::uint64_t Trial = 0;
  };
  struct GatedRow {
    NodeRun From;
    Dispatch Attempt;
    TimePoint Arrived;
    /// Number of the sighting that announced the trial; 0 for none.
    std::uint64_t Trial = 0;
  };
  /// A trial that waits for the store.
  struct UnrecordedRow {
    GatedRow Gated;
    /// Number of the change that the store must acknowledge.
    std::uint64_t Change = 0;
  };
  struct FailureRow {
    TimePoint At;
    std::uint64_t Fingerprint = 0;
    /// Whether the upstream closed the connection; otherwise the node did.
    bool ByUpstream = true;
  };

  /// Announces an attempt as a trial.
  /// @return the number of its sighting
  std::uint64_t recordTrial(std::uint64_t Fingerprint, TimePoint Now,
                            Actions &Out);
  /// Passes trials on that the store has acknowledged and refuses those that
  /// waited too long.
  void releaseRecorded(TimePoint Now);
  /// Lets the reply to a refused trial withdraw it.
  void expectWithdrawal(const Dispatch &Attempt, std::uint64_t Trial,
                        TimePoint Now);
  /// Withdraws a trial that did not reach the upstream.
  void withdrawTrial(const AttemptRow &Row, TimePoint Now, Actions &Out);
  /// Number of crashes in which a fingerprint was seen, refuted ones included.
  static std::size_t crashCount(const FingerprintRow &Row);
  /// Whether the crashes of a fingerprint suffice for a quarantine.
  static bool meetsQuarantineRule(const FingerprintRow &Row);
  bool mayAdmit(const Dispatch &Attempt, TimePoint Now) const;
  bool mustRunAlone(std::uint64_t Fingerprint, TimePoint Now) const;
  void recordCrash(std::vector<std::uint64_t> Running, TimePoint Now,
                   Actions &Out);
  /// @return whether the sighting is new or clears a known one
  bool mergeSighting(const CrashSighting &Sighting, TimePoint Now,
                     Actions &Out);
  /// Clears the sightings that answers of this node's upstream refute.
  /// @return whether one was cleared
  bool clearRefuted(std::uint64_t Fingerprint, TimePoint Now, Actions &Out);
  /// Passes sightings of the store on to all peers.
  void takeStored(TimePoint Now, Actions &Out);
  /// Sends all sightings to a peer; the last message states whether they
  /// include those of the store.
  void sendAll(NodeId Peer, TimePoint Now, Actions &Out) const;
  /// @return the sightings that the store is to hold
  std::vector<CrashSighting> storedSightings(TimePoint Now) const;
  static bool hasUncleared(const FingerprintRow &Row);
  /// Reports the start or the end of a quarantine.
  static void reportChange(std::uint64_t Fingerprint, FingerprintRow &Row,
                           Actions &Out);
  /// @return the row; nullptr if the table is full of quarantined fingerprints
  FingerprintRow *findOrAddRow(std::uint64_t Fingerprint);
  void gossip(const std::set<std::uint64_t> &Changed, std::size_t Peers,
              TimePoint Now, Actions &Out);
  QuarantineNotice sightingsOf(const std::set<std::uint64_t> &Wanted,
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
  /// Trials that are not yet announced.
  std::vector<GatedRow> NewTrials;
  std::vector<UnrecordedRow> Unrecorded;
  std::vector<GatedAttempt> Refused;
  std::deque<FailureRow> Failures;
  /// Fingerprints that this node's upstream answered, and when.
  std::map<std::uint64_t, TimePoint> Trusted;
  TimePoint NextSweep;
  std::set<NodeId> Links;
  /// Peers whose tables include the sightings of the store.
  std::set<NodeId> CompletePeers;
  bool WasComplete = false;
  QuarantineStore Store;
};

} // namespace hyssopford
