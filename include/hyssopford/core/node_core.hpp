/// @file
/// @brief The decision core of one node.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/config_system.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/directory_system.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/ingress_system.hpp"
#include "hyssopford/core/key_system.hpp"
#include "hyssopford/core/membership_system.hpp"
#include "hyssopford/core/owner_system.hpp"
#include "hyssopford/core/probe_system.hpp"
#include "hyssopford/core/quarantine_system.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/traffic_split.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief What a core must know of its node.
struct NodeCoreSettings {
  /// Peer address, "ip:port"; gives the node its identifier.
  std::string Address;
  /// Run of this node, e.g. its start time in µs.
  Incarnation Run;
  std::string FailureDomain;
  std::string Region;
  /// Peer addresses of nodes to contact first.
  std::vector<std::string> Seeds;
  /// Start value of the random source.
  std::uint64_t Seed = 1;
  /// Constants of routing, admission and probing.
  DecisionSettings Decisions;
  /// Limits of idempotency keys.
  KeySettings Keys;

  friend bool operator==(const NodeCoreSettings &,
                         const NodeCoreSettings &) = default;
};

/// @brief Turns events into actions. Has no clock, socket, thread or global:
/// the same settings, events and times give the same actions.
class NodeCore {
public:
  /// A gap between two inputs or ticks that shows that the process was paused;
  /// gossip alone ticks more often.
  static constexpr Duration PauseLimit = 1500ms;
  /// Time after a pause for which frames may be as old as the pause.
  static constexpr Duration PauseGrace = 200ms;

  /// @name Construction
  /// @{

  /// @param Settings what the core must know of its node
  /// @param Codec the JSON form of the configuration; without one the
  /// configuration comes only through adopt
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

  /// @brief Runs every system over its tables.
  /// @param Now the current time, never lower than in an earlier call
  /// @param Out receives the actions
  void tick(TimePoint Now, Actions &Out);

  /// @brief Adopts a configuration if its version is higher than the one in
  /// force.
  /// @param Config the configuration
  /// @return whether it was adopted
  bool adopt(RoutingConfig Config);

  /// @brief Sets the operators' port that other nodes learn. Called before the
  /// first event.
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

  /// @return the configuration in force; version 0 before the first
  const RoutingConfig &config() const { return Config; }

  const IngressSystem &ingress() const { return Ingress; }
  const KeySystem &keys() const { return Keys; }
  const QuarantineSystem &quarantine() const { return Quarantine; }
  const OwnerSystem &owner() const { return Owner; }
  const ProbeSystem &probes() const { return Probes; }
  const MembershipSystem &membership() const { return Membership; }

  /// @return the configuration system, or nullptr without a codec
  const ConfigSystem *configSystem() const {
    return Configs ? &*Configs : nullptr;
  }

  /// @return the incarnation with which the node has to start again after
  /// ShutdownComplete, if a dead run of it had a higher one
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
  /// Takes a message of membership, configuration or idempotency keys.
  template <typename Message>
  void receive(NodeRun From, const Message &Received, TimePoint Now,
               Actions &Out);

  /// Detects that the process was paused.
  void detectPause(TimePoint Now);
  /// Delivers messages that a system addressed to this node itself.
  void deliverLocal(TimePoint Now, Actions &Produced, Actions &Out);
  /// Starts requests whose keys were granted, and passes attempts on to the
  /// owner that the quarantine lets through.
  void startReleased(TimePoint Now, Actions &Out);
  /// Passes news between the systems after each input.
  void connectSystems(TimePoint Now, Actions &Out);
  void refreshCandidates();
  void refreshDuties(TimePoint Now);

  NodeRun Self;
  SeededRandomSource Random;
  RoutingConfig Config;
  TrafficSplit Splits;
  MembershipSystem Membership;
  DirectorySystem Directory;
  std::optional<ConfigSystem> Configs;
  IngressSystem Ingress;
  OwnerSystem Owner;
  ProbeSystem Probes;
  KeySystem Keys;
  QuarantineSystem Quarantine;
  std::uint64_t CandidateRevision = 0;
  std::uint64_t DutyRevision = 0;
  std::optional<TimePoint> LastActive;
  std::optional<TimePoint> RefuseUntil;
  std::uint64_t NeededRevision = 0;
  bool ShuttingDown = false;
  bool ShutdownReported = false;
};

} // namespace hyssopford
