/// @file
/// @brief Number of members among which the limits are divided.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/member.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <map>

namespace hyssopford {

/// @brief Counts the members that may have a share of the limits. A dead member
/// may be cut off and still grant, so it is counted for a while.
class MemberCount {
public:
  /// Time for which a member counts after it was last seen alive.
  static constexpr Duration DeadTime = 30s;

  /// @brief Records the states of the members.
  /// @param Members the member table
  void observe(const std::map<NodeId, MemberRecord> &Members, TimePoint Now);

  /// @brief Counts the members. Members that left are not counted. A node that
  /// sees no majority keeps counting dead members, as it is probably cut off
  /// from them.
  /// @return the number of members, this node included
  std::uint32_t count(TimePoint Now) const;

private:
  struct Row {
    bool IsAlive = false;
    TimePoint LastAlive;
  };

  /// Members that did not leave.
  std::map<NodeId, Row> Rows;
};

} // namespace hyssopford
