/// @file
/// @brief Duties that few nodes of each failure domain take over for the site.
#pragma once

#include "hyssopford/core/member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// Nodes of each failure domain with a duty: one may fail.
inline constexpr std::size_t DutyNodes = 2;

/// @brief What one node does for the site.
struct SiteDuties {
  /// It watches the configuration in the store.
  bool WatchesConfig = false;
  /// Slot of the directory that it writes.
  std::optional<std::uint32_t> DirectorySlot;
  /// Addresses for the directory: its own first, then two of each failure
  /// domain.
  std::vector<std::string> Contacts;

  friend bool operator==(const SiteDuties &, const SiteDuties &) = default;
};

/// @brief Derives a node's duties by rendezvous hashing, without election.
/// Nodes with different tables may differ for a while; each duty tolerates
/// that.
/// @param Members the member table
/// @param Self the node
/// @param Slots number of directory slots
/// @note Complexity: linear in the number of members.
SiteDuties dutiesOf(const std::map<NodeId, MemberRecord> &Members, NodeId Self,
                    std::uint32_t Slots);

} // namespace hyssopford
