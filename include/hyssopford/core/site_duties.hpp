/// @file
/// @brief Duties that a few nodes of each failure domain perform for the site.
#pragma once

#include "hyssopford/core/member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// Nodes with duties in each failure domain; two, so that one may fail.
inline constexpr std::size_t DutyNodesPerDomain = 2;

/// @brief Duties of one node.
struct SiteDuties {
  /// True if it watches the configuration in the store: the first one of each
  /// failure domain.
  bool WatchesConfig = false;
  /// If it does, the nodes of its failure domain, the next in rank first, that
  /// may read the store in its place.
  std::vector<NodeId> Deputies;
  /// Directory slot that it writes, if any.
  std::optional<std::uint32_t> DirectorySlot;
  /// Peer addresses for the directory: its own first, then those of the nodes
  /// with duties.
  std::vector<std::string> Contacts;

  friend bool operator==(const SiteDuties &, const SiteDuties &) = default;
};

/// @brief Derives a node's duties by rendezvous hashing, without election.
/// Nodes whose member tables differ may disagree for a while; each duty
/// tolerates that.
/// @param Members the member table
/// @param Self the node
/// @param Slots number of directory slots
/// @return the duties of @p Self
/// @note Complexity: linear in the number of members.
SiteDuties dutiesOf(const std::map<NodeId, MemberRecord> &Members, NodeId Self,
                    std::uint32_t Slots);

} // namespace hyssopford
