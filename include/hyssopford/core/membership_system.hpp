/// @file
/// @brief Table of the site's nodes and how they learn of each other.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/member.hpp"
#include "hyssopford/core/random_source.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Runs the table of members.
class MembershipSystem {
public:
  /// Time between two gossip rounds.
  static constexpr Duration GossipPeriod = 500ms;

  /// @name Construction
  /// @{

  /// @param Self the record of this node, without upstream
  /// @param Seeds peer addresses of nodes to contact first
  /// @param Random source of the choice of peers
  MembershipSystem(MemberRecord Self, std::vector<std::string> Seeds,
                   RandomSource &Random);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Publishes a new state of the upstream on this VM.
  void setUpstream(const UpstreamAnnounced &Upstream, TimePoint Now,
                   Actions &Out);

  /// @brief Publishes that this node is leaving.
  void leave(TimePoint Now, Actions &Out);

  /// @brief Takes records from a peer.
  void receive(NodeRun From, const Gossip &Message, TimePoint Now,
               Actions &Out);

  /// @brief Notes that a peer can be reached.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer cannot be reached.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const { return NextRound; }

  /// @return the records of all known nodes, this one included
  const std::map<NodeId, MemberRecord> &members() const { return Members; }

  /// @return a number that grows with each change of a record
  std::uint64_t revision() const { return Revision; }
  /// @}

private:
  bool merge(const MemberRecord &Record);
  void publishSelf(Actions &Out);

  NodeId SelfId;
  std::vector<std::string> Seeds;
  RandomSource &Random;
  std::uint64_t Revision = 1;
  std::optional<TimePoint> NextRound = TimePoint{};
  std::map<NodeId, MemberRecord> Members;
  std::map<NodeId, NodeRun> Links;
};

} // namespace hyssopford
