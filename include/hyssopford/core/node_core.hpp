/// @file
/// @brief The decision core of one node.
#pragma once

#include "hyssopford/core/accounts/account_index.hpp"
#include "hyssopford/core/accounts/authorization.hpp"
#include "hyssopford/core/action.hpp"
#include "hyssopford/core/allotments/allotment_system.hpp"
#include "hyssopford/core/config_system.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/directory_system.hpp"
#include "hyssopford/core/evacuation/evacuation_system.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/freshness/freshness_system.hpp"
#include "hyssopford/core/ingress_system.hpp"
#include "hyssopford/core/key_system.hpp"
#include "hyssopford/core/membership_system.hpp"
#include "hyssopford/core/nested_call_detector.hpp"
#include "hyssopford/core/owner_system.hpp"
#include "hyssopford/core/probe_system.hpp"
#include "hyssopford/core/quarantine/quarantine_system.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/traffic_split.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Settings of the decision core of one node.
struct NodeCoreSettings {
  /// Peer address, "ip:port"; the node's identifier is derived from it.
  std::string Address;
  /// Run of this node, e.g. its start time in µs.
  Incarnation Run;
  std::string FailureDomain;
  std::string Region;
  /// Peer addresses of nodes to contact first.
  std::vector<std::string> Seeds;
  /// Seed of the random source.
  std::uint64_t Seed = 1;
  /// Settings of routing, admission, probing and start.
  DecisionSettings Decisions;
  /// Limits of idempotency keys.
  KeySettings Keys;

  friend bool operator==(const NodeCoreSettings &,
                         const NodeCoreSettings &) = default;
};

/// @brief Turns events into actions. Uses no clock, socket, thread or global
/// variable: the same settings, events and times give the same actions.
class NodeCore {
public:
  /// A longer gap between two calls shows that the process was paused, as
  /// gossip alone causes more frequent ticks.
  static constexpr Duration PauseLimit = 1500ms;
  /// Time after a pause in which dispatches of peers are refused, as they may
  /// have waited as long as the pause.
  static constexpr Duration PauseGrace = 200ms;

  /// @name Construction
  /// @{

  /// @param Settings settings of the node
  /// @param Codec converts configurations from and to JSON; without one the
  /// configuration is set by adopt only
  explicit NodeCore(const NodeCoreSettings &Settings,
                    const ConfigCodec *Codec = nullptr);
  NodeCore(const NodeCore &) = delete;
  NodeCore &operator=(const NodeCore &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Handles one event.
  /// @param Input the event
  /// @param Now the current time, never lower than in an earlier call
  /// @param Out receives the actions
  void handle(const Event &Input, TimePoint Now, Actions &Out);

  /// @brief Runs the timers of all systems.
  /// @param Now the current time, never lower than in an earlier call
  /// @param Out receives the actions
  void tick(TimePoint Now, Actions &Out);

  /// @brief Applies a configuration if its version is higher than that of the
  /// current one.
  /// @param Config the configuration
  /// @return whether it was applied
  bool adopt(RoutingConfig Config);

  /// @brief Sets the operators' port that is announced to other nodes. Must be
  /// called before the first event.
  /// @param Port the port number
  void setOperatorsPort(std::uint16_t Port) {
    Membership.setOperatorsPort(Port);
  }
  /// @}

  /// @name Observers
  /// @{

  /// @return the time at which tick is due next, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return this run of this node
  NodeRun self() const { return Self; }

  /// @return the current configuration; version 0 before the first
  const RoutingConfig &config() const { return Config; }

  /// @return the client accounts of the current configuration
  const AccountIndex &accounts() const { return Accounts; }

  /// @brief Decides whether a request may be served on its key.
  /// @param Matched route of the request in the current configuration
  /// @param Key digest of the key that the request carries, if any
  /// @return the decision; its account is valid until the next input
  Authorization authorize(const Route &Matched,
                          const std::optional<KeyDigest> &Key) const {
    return hyssopford::authorize(Config, Accounts, Matched, Key);
  }

  /// @return the system of the requests for which this node is the ingress
  const IngressSystem &ingress() const { return Ingress; }
  /// @return the system of idempotency keys
  const KeySystem &keys() const { return Keys; }
  /// @return the system of the allotments of client accounts
  const AllotmentSystem &allotments() const { return Allotments; }
  /// @return the system of fingerprints seen in crashes
  const QuarantineSystem &quarantine() const { return Quarantine; }
  /// @return the system of attempts at the upstream on this VM
  const OwnerSystem &owner() const { return Owner; }
  /// @return the system of probes of the upstream on this VM
  const ProbeSystem &probes() const { return Probes; }
  /// @return the system of the members of the site
  const MembershipSystem &membership() const { return Membership; }

  /// @return the system that decides whether credentials are accepted
  const FreshnessSystem &freshness() const { return Freshness; }

  /// @return the system of evacuated failure domains
  const EvacuationSystem &evacuations() const { return Evacuations; }

  /// @return the configuration system, or nullptr without a codec
  const ConfigSystem *configSystem() const {
    return Configs ? &*Configs : nullptr;
  }

  /// @return the incarnation with which the node must restart after
  /// ShutdownComplete, if an earlier run of it had a higher one
  std::optional<Incarnation> requiredIncarnation() const {
    return Membership.requiredIncarnation();
  }
  /// @}

private:
  void on(const CallerRequest &Input, TimePoint Now, Actions &Out);
  void on(const CallerGone &Input, TimePoint Now, Actions &Out);
  void on(const PeerLinkUp &Input, TimePoint Now, Actions &Out);
  void on(const PeerLinkDown &Input, TimePoint Now, Actions &Out);
  void on(const PeerMessageReceived &Input, TimePoint Now, Actions &Out);
  void on(const UpstreamAnswered &Input, TimePoint Now, Actions &Out);
  void on(const UpstreamFailed &Input, TimePoint Now, Actions &Out);
  void on(const UpstreamAnnounced &Input, TimePoint Now, Actions &Out);
  void on(const UpstreamGone &Input, TimePoint Now, Actions &Out);
  void on(const ProbeFinished &Input, TimePoint Now, Actions &Out);
  void on(const StoreReplied &Input, TimePoint Now, Actions &Out);
  void on(const ShutdownScheduled &Input, TimePoint Now, Actions &Out);
  void on(const ShutdownRequested &Input, TimePoint Now, Actions &Out);
  void on(const PatchSubmitted &Input, TimePoint Now, Actions &Out);
  void on(const HistoryRequested &Input, TimePoint Now, Actions &Out);

  void receive(NodeRun From, const Dispatch &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const DispatchReply &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const Cancel &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const StatusQuery &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const StatusReply &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const QuarantineNotice &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ConfigDigest &Message, TimePoint Now,
               Actions &Out);
  /// Handles the version that a message of a peer states.
  void receiveDigest(NodeRun From, const ConfigDigest &Message, TimePoint Now,
                     Actions &Out);
  void receive(NodeRun From, const EvacuationNotice &Message, TimePoint Now,
               Actions &Out);
  /// Checks that the sender of a message is the ingress of its attempt; reports
  /// others.
  static bool isFromIngress(NodeRun From, const AttemptId &Attempt,
                            Actions &Out);
  /// Passes a message to the system of membership, keys or configuration.
  template <typename Message>
  void receive(NodeRun From, const Message &Received, TimePoint Now,
               Actions &Out);

  /// Refusal of a quarantined request; states when it may run again.
  ReplyToCaller quarantineRefusal(RequestId Id, std::uint64_t Fingerprint,
                                  TimePoint Now) const;
  /// Owner that runs the trials of a fingerprint, if this node has a link to
  /// it.
  std::optional<NodeId> trialOwner(std::uint64_t Fingerprint,
                                   const std::string &Service) const;
  /// Limits a request with a client account to the time for which its
  /// credential may be relied on.
  /// @return false if the request was refused
  bool limitCredential(CallerRequest &Call, TimePoint Now, Actions &Out);
  void startRequest(const CallerRequest &Input, const Route &Matched,
                    TimePoint Now, Actions &Out);
  /// Starts a request that needs no further token.
  void claimAndStart(const CallerRequest &Input, const Route &Matched,
                     TimePoint Now, Actions &Out);
  /// Refuses dispatches of peers for a while if the process was paused.
  void detectPause(TimePoint Now);
  /// Whether messages may have waited while the process was paused.
  bool mayBeOld(TimePoint Now) const {
    return RefuseFramesUntil && Now < *RefuseFramesUntil;
  }
  /// Passes the produced actions on to Out; messages to this node itself are
  /// handled at once.
  void deliverLocal(TimePoint Now, Actions &Produced, Actions &Out);
  /// Starts requests that got a token or whose idempotency keys were granted,
  /// and passes attempts that the quarantine releases to the owner.
  void startReleased(TimePoint Now, Actions &Out);
  /// Passes changes between the systems after each input.
  void syncSystems(TimePoint Now, Actions &Out);
  /// Starts a second that the upstream of a member gets because its record
  /// states that it is cold; 0 for no limit.
  double coldRateOf(const MemberRecord &Record) const;
  void updateCandidates();
  void updateDuties(TimePoint Now, Actions &Out);

  NodeRun Self;
  SeededRandomSource Random;
  RoutingConfig Config;
  AccountIndex Accounts;
  TrafficSplit Splits;
  NestedCallDetector NestedCalls;
  MembershipSystem Membership;
  DirectorySystem Directory;
  std::optional<ConfigSystem> Configs;
  FreshnessSystem Freshness;
  IngressSystem Ingress;
  OwnerSystem Owner;
  ProbeSystem Probes;
  AllotmentSystem Allotments;
  KeySystem Keys;
  QuarantineSystem Quarantine;
  ColdSettings Cold;
  EvacuationSystem Evacuations;
  /// EvacuationSystem::changes() at which the candidates were derived.
  std::uint64_t EvacuationChanges = 0;
  std::uint64_t CandidateRevision = 0;
  std::uint64_t DutyRevision = 0;
  /// Whether the duties were derived from the table at DutyRevision.
  bool DutiesKnown = false;
  std::optional<TimePoint> LastActive;
  std::optional<TimePoint> RefuseFramesUntil;
  std::uint64_t NeededRevision = 0;
  std::uint64_t NeededGrantersRevision = 0;
  std::optional<NodeId> NeededDeputy;
  bool ShuttingDown = false;
  bool ShutdownReported = false;
};

} // namespace hyssopford
