/// @file
/// @brief Gossip membership: the table of the site's nodes and its upkeep.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/byte_budget.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/failure_detector.hpp"
#include "hyssopford/core/link_table.hpp"
#include "hyssopford/core/member_table.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/table_sync.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Maintains the table of members by gossip (SWIM: Das, Gupta, Motivala
/// 2002). docs/membership.md describes the protocol.
class MembershipSystem {
public:
  /// Time between two rounds of gossip while updates are queued.
  static constexpr Duration GossipPeriod = 200ms;
  /// Peers that receive updates in one round.
  static constexpr std::size_t GossipFanout = 3;
  /// Time in which a suspected member can refute the suspicion. An update
  /// reaches 1,100 members in about 2 s.
  static constexpr Duration SuspicionTimeout = 5s;
  /// Time after which a dead member is removed from the table.
  static constexpr Duration DeadRetention = std::chrono::hours(1);
  /// Mean time between two contacts with a dead member or an unknown seed,
  /// which reunite the parts of a site after a partition.
  static constexpr Duration RecontactPeriod = 5s;
  /// Minimum time between two contacts with seeds while no link is usable.
  static constexpr Duration SeedPeriod = 500ms;
  /// A gap of this length between two inputs means that the process was
  /// paused, because the timers of this system are at most 1 s apart.
  static constexpr Duration PauseLimit = 3s;
  /// Rate and burst of the records that are sent as updates.
  static constexpr std::int64_t BytesPerSecond = 1'536;
  static constexpr std::int64_t BurstBytes = 8'192;
  /// Records of other members that a peer receives with the first link of its
  /// run, so that it can link to them and compare tables with them.
  static constexpr std::size_t Introductions = 8;
  /// Upper limit of the bytes of records in one message.
  static constexpr std::int64_t MessageBytes = 1'024;

  /// @name Construction
  /// @{

  /// @param Self the record of this node, without upstream
  /// @param Seeds peer addresses of nodes to contact first
  /// @param Random source of jitter and of the choice of peers
  /// @param Chosen constants of the start
  MembershipSystem(const MemberRecord &Self, std::vector<std::string> Seeds,
                   RandomSource &Random, const StartSettings &Chosen = {});
  MembershipSystem(const MembershipSystem &) = delete;
  MembershipSystem &operator=(const MembershipSystem &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Publishes a new state of the upstream on this VM.
  void setUpstream(const UpstreamAnnounced &Upstream, TimePoint Now,
                   Actions &Out);

  /// @brief Publishes that this node is leaving.
  void leave(TimePoint Now, Actions &Out);

  /// @brief Handles a message from a peer.
  /// @param From the run that sent the message
  void receive(NodeRun From, const Gossip &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const Ping &Message, TimePoint Now, Actions &Out);
  void receive(NodeRun From, const PingRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const Ack &Message, TimePoint Now, Actions &Out);
  void receive(NodeRun From, const SyncRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const SyncReply &Message, TimePoint Now,
               Actions &Out);

  /// @brief Records that a link to a peer has become usable.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Records that a link to a peer was lost or could not be opened.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Records that another system uses the link to a peer, so that it is
  /// not closed as idle.
  void touchLink(NodeId Peer, TimePoint Now) { Links.touch(Peer, Now); }

  /// @brief Sets the peers to which other systems need links.
  void setNeededPeers(std::set<NodeId> Peers);

  /// @brief Adds peer addresses to contact while no link is usable.
  void addContacts(const std::vector<std::string> &Addresses);

  /// @brief Sets the operators' port of this node. Called before the first
  /// link is usable, because it does not publish the change.
  void setOperatorsPort(std::uint16_t Port);

  /// @brief Sets the configuration version that pings and acknowledgements
  /// carry.
  void setConfigVersion(std::uint64_t Version) {
    Detector.ConfigVersion = Version;
  }

  /// @brief Detects a pause of the process, after which pending pings and
  /// suspicions are stale. Called with each input.
  /// @return whether the process was paused
  bool detectPause(TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the records of all known nodes, this one included
  const std::map<NodeId, MemberRecord> &members() const {
    return Table.records();
  }

  /// @return a number that grows with each change of a record
  std::uint64_t revision() const { return Table.revision(); }

  /// @return the peers with usable links
  const std::vector<NodeId> &linkedPeers() const { return Links.peers(); }

  /// @return whether the table of another node has been fetched completely
  bool joined() const { return Sync.joined(); }

  /// @return whether the table no longer grows quickly, so that duties can be
  /// derived from it
  bool settled() const { return Sync.settled(); }

  /// @return whether a run with a higher incarnation uses this node's address;
  /// this run must then stop serving
  bool superseded() const { return SupersededBy.has_value(); }

  /// @return the incarnation with which this node must restart, because a dead
  /// run of it had a higher one (its clock was ahead)
  std::optional<Incarnation> requiredIncarnation() const {
    return RequiredIncarnation;
  }
  /// @}

private:
  bool mergeRecord(const MemberRecord &Record, TimePoint Now, Actions &Out);
  void mergeSelf(const MemberRecord &Record, TimePoint Now, Actions &Out);
  /// @return the number of records that replaced or added one
  std::size_t mergeRecords(NodeRun From,
                           const std::vector<MemberRecord> &Records,
                           TimePoint Now, Actions &Out);
  void storeRecord(const MemberRecord &Record, TimePoint Now, Actions &Out);
  void setMemberState(NodeRun Member, MemberState State, TimePoint Now,
                      Actions &Out);
  void publishSelf(TimePoint Now, Actions &Out);
  void sendRecords(NodeId Peer, std::vector<MemberRecord> Records,
                   TimePoint Now, Actions &Out);
  /// Appends a random sample of the alive members to records for a new peer.
  void appendIntroductions(NodeId Peer, std::vector<MemberRecord> &To);
  void sendGossip(TimePoint Now, Actions &Out);
  void expireSuspicions(TimePoint Now, Actions &Out);
  void contactSeeds(TimePoint Now, Actions &Out);
  void contactDeadOrUnknown(TimePoint Now, Actions &Out);
  void contactRecentlyDead(TimePoint Now, Actions &Out);
  void forgetDead(TimePoint Now);
  void planLinks(TimePoint Now, Actions &Out);
  std::vector<MemberRecord> piggyback(TimePoint Now);

  NodeRun SelfRun;
  std::vector<std::string> Seeds;
  RandomSource &Random;
  StartSettings Settings;
  MemberTable Table;
  GossipQueue PendingUpdates;
  LinkTable Links;
  ByteBudget Budget;
  FailureDetector Detector;
  TableSync Sync;
  std::set<NodeId> NeededPeers;
  std::set<NodeId> WantedPeers;
  std::uint64_t PlannedRevision = 0;
  /// When each suspected member is declared dead.
  std::map<NodeId, TimePoint> SuspectUntil;
  /// When each dead member was declared dead.
  std::map<NodeId, TimePoint> DeadSince;
  /// True while records from a table comparison are merged.
  bool FromSync = false;
  std::optional<TimePoint> LastInput;
  TimePoint NextGossip;
  TimePoint NextPlan;
  TimePoint NextSeed;
  TimePoint NextRecontact;
  /// Next contact with recently dead members, which may have restarted.
  std::optional<TimePoint> NextRejoin;
  std::optional<Incarnation> SupersededBy;
  std::optional<Incarnation> RequiredIncarnation;
};

} // namespace hyssopford
