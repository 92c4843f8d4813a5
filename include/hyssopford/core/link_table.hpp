/// @file
/// @brief Choice, opening and closing of a node's links.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/member_table.hpp"
#include "hyssopford/core/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Chooses the peers to which a node keeps links for gossip. With up to
/// MeshLimit members these are all. Above that, they are the next two on a
/// ring, which keep the site connected, and others by rendezvous hashing that
/// prefers other failure domains and regions, which keep paths short.
/// @param Table the members
/// @return the peers, at most MeshLimit
/// @note Complexity: linear in the number of members.
std::set<NodeId> gossipPeers(const MemberTable &Table);

/// Largest number of members with which every node links to every other.
inline constexpr std::size_t MeshLimit = 24;

/// @brief Opens wanted links and closes those no longer wanted.
class LinkTable {
public:
  /// Time for which an unwanted link stays open after its last use, because
  /// closing it leaves the result of attempts on it unknown.
  static constexpr Duration Linger = 3s;
  /// Time after which a link that failed to open is tried again.
  static constexpr Duration RetryPeriod = 1s;

  /// @brief Opens a link unless it is usable or being opened.
  /// @return whether the link is usable
  bool open(NodeId Peer, const std::string &Address, TimePoint Now,
            Actions &Out);

  /// @brief Records that a link is usable.
  void markUp(NodeRun Peer, TimePoint Now);

  /// @brief Records that a link is lost or could not be opened.
  /// @return whether the link was usable
  bool markDown(NodeId Peer, TimePoint Now);

  /// @brief Records the use of a link, which delays its closing.
  void touch(NodeId Peer, TimePoint Now);

  /// @brief Opens and closes links.
  /// @param Wanted peers to which links are kept
  /// @param Table the member table, which has their addresses
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
    /// True if this node opened the link or is opening it.
    bool Opened = false;
    TimePoint LastUse;
    TimePoint RetryAt;
  };

  std::map<NodeId, Row> Rows;
  std::vector<NodeId> Usable;
};

} // namespace hyssopford
