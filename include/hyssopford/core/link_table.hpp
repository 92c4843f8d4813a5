/// @file
/// @brief Which links a node keeps.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/member_table.hpp"
#include "hyssopford/core/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Chooses the peers with which a node keeps links for gossip. Up to
/// MeshLimit members these are all; above, the next two on a ring, which keep
/// the site connected, and others by rendezvous hashing with precedence for
/// other failure domains and regions, which keep paths short.
/// @param Table the members
/// @return the peers; at most MeshLimit
/// @note Complexity: linear in the number of members.
std::set<NodeId> gossipPeers(const MemberTable &Table);

/// Most members with which every node keeps a link to every other.
inline constexpr std::size_t MeshLimit = 24;

/// @brief Opens wanted links and closes those that are no longer wanted.
class LinkTable {
public:
  /// A link that this node opened and no longer wants stays open this long
  /// after its last use, as its closing makes attempts on it uncertain.
  static constexpr Duration Linger = 3s;
  /// Time between two attempts to open a link.
  static constexpr Duration RetryPeriod = 1s;

  /// @brief Opens a link unless it is usable or being opened.
  /// @return whether the link is usable
  bool open(NodeId Peer, const std::string &Address, TimePoint Now,
            Actions &Out);

  /// @brief Notes a usable link.
  void up(NodeRun Peer, TimePoint Now);

  /// @brief Notes a lost link.
  /// @return whether the link was usable
  bool down(NodeId Peer, TimePoint Now);

  /// @brief Notes that a link is in use.
  void touch(NodeId Peer, TimePoint Now);

  /// @brief Opens and closes links.
  /// @param Wanted peers with which links are kept
  void reconcile(const std::set<NodeId> &Wanted, const MemberTable &Table,
                 TimePoint Now, Actions &Out);

  /// @return whether a usable link to this run of a peer exists
  bool isUp(NodeRun Peer) const;

  /// @return whether a usable link to any run of a peer exists
  bool isUp(NodeId Peer) const;

  /// @return the peers with usable links
  const std::vector<NodeId> &peers() const { return Usable; }

private:
  struct Row {
    NodeRun Peer;
    bool Up = false;
    bool Opened = false;
    TimePoint LastUse;
    TimePoint RetryAt;
  };

  std::map<NodeId, Row> Rows;
  std::vector<NodeId> Usable;
};

} // namespace hyssopford
