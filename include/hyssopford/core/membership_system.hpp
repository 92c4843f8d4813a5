/// @file
/// @brief Table of the site's nodes and how they learn of each other.
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

/// @brief Runs the table of members by gossip (SWIM: Das, Gupta, Motivala
/// 2002). docs/membership.md describes the protocol.
class MembershipSystem {
public:
  /// Time between two rounds of gossip while there is news.
  static constexpr Duration GossipPeriod = 200ms;
  /// Peers that get news in one round.
  static constexpr std::size_t GossipFanout = 3;
  /// Time in which a suspected member can refute. News reaches 1,100 members
  /// in about 2 s.
  static constexpr Duration SuspicionTime = 5s;
  /// Time after which a dead member is forgotten.
  static constexpr Duration DeadRetention = std::chrono::hours(1);
  /// Time between two contacts with a dead member or an unknown seed, which
  /// join the parts of a site after a partition.
  static constexpr Duration RecontactPeriod = 5s;
  /// Time between two contacts with seeds while no link is usable.
  static constexpr Duration SeedPeriod = 500ms;
  /// A gap of this length between two inputs means that the process was
  /// paused: the timers of this system are never further apart than 1 s.
  static constexpr Duration PauseLimit = 3s;
  /// Rate and burst of records that are sent as news.
  static constexpr std::int64_t BytesPerSecond = 1'536;
  static constexpr std::int64_t BurstBytes = 8'192;
  /// Most bytes of records in one message.
  static constexpr std::int64_t MessageBytes = 1'024;

  /// @name Construction
  /// @{

  /// @param Self the record of this node, without upstream
  /// @param Seeds peer addresses of nodes to contact first
  /// @param Random source of the choice of peers
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

  /// @brief Takes a message from a peer.
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

  /// @brief Notes that a peer can be reached.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer cannot be reached.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Notes traffic of other systems with a peer, so that its link stays.
  void touchLink(NodeId Peer, TimePoint Now) { Links.touch(Peer, Now); }

  /// @brief Sets the peers with which other systems need links.
  void setNeededPeers(std::set<NodeId> Peers);

  /// @brief Adds addresses to contact while no link is usable.
  void addContacts(const std::vector<std::string> &Addresses);

  /// @brief Sets the configuration version that pings state.
  /// @brief Sets the operators' port of this node. Called before the first
  /// link.
  void setOperatorsPort(std::uint16_t Port);

  void setConfigVersion(std::uint64_t Version) {
    Detector.ConfigVersion = Version;
  }

  /// @brief Detects a pause of the process. Called with each input.
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

  /// @return whether the table of another node has been fetched
  bool joined() const { return Sync.joined(); }

  /// @return whether another run of this node with a higher incarnation is
  /// known; this one must not serve
  bool superseded() const { return SupersededBy.has_value(); }

  /// @return the incarnation with which this node has to start again, because
  /// a dead run of it had a higher one (its clock was ahead)
  std::optional<Incarnation> requiredIncarnation() const {
    return RequiredIncarnation;
  }
  /// @}

private:
  bool merge(const MemberRecord &Record, TimePoint Now, Actions &Out);
  void mergeSelf(const MemberRecord &Record, TimePoint Now, Actions &Out);
  void mergeAll(NodeRun From, const std::vector<MemberRecord> &Records,
                TimePoint Now, Actions &Out);
  void adopt(const MemberRecord &Record, TimePoint Now, Actions &Out);
  void declare(NodeRun Member, MemberState State, TimePoint Now, Actions &Out);
  void publishSelf(TimePoint Now, Actions &Out);
  void sendRecords(NodeId Peer, std::vector<MemberRecord> Records,
                   TimePoint Now, Actions &Out);
  void gossip(TimePoint Now, Actions &Out);
  void endSuspicions(TimePoint Now, Actions &Out);
  void contactSeeds(TimePoint Now, Actions &Out);
  void recontact(TimePoint Now, Actions &Out);
  void rejoin(TimePoint Now, Actions &Out);
  void forgetDead(TimePoint Now);
  void planLinks(TimePoint Now, Actions &Out);
  std::vector<MemberRecord> piggyback(TimePoint Now);

  NodeRun SelfRun;
  std::vector<std::string> Seeds;
  RandomSource &Random;
  StartSettings Settings;
  MemberTable Table;
  GossipQueue News;
  LinkTable Links;
  ByteBudget Budget;
  FailureDetector Detector;
  TableSync Sync;
  std::set<NodeId> Needed;
  std::set<NodeId> Wanted;
  std::uint64_t PlannedRevision = 0;
  /// End of each suspicion, and time of each death.
  std::map<NodeId, TimePoint> SuspectUntil;
  std::map<NodeId, TimePoint> DeadSince;
  /// True while records from a table comparison are merged.
  bool FromSync = false;
  std::optional<TimePoint> LastInput;
  TimePoint NextGossip;
  TimePoint NextPlan;
  TimePoint NextSeed;
  TimePoint NextRecontact;
  /// Set while members that ended lately may restart.
  std::optional<TimePoint> NextRejoin;
  std::optional<Incarnation> SupersededBy;
  std::optional<Incarnation> RequiredIncarnation;
};

} // namespace hyssopford
