/// @file
/// @brief Evidence of how many members a site has.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <optional>

namespace hyssopford {

/// @brief What a node has seen, since its start, of the number of members.
///
/// A table of members proves nothing after a start: in a cut it has the nodes
/// on this side only. The directory in the store names the others; a member
/// that has this evidence passes it on.
class MemberCensus {
public:
  /// Time after which the directory is read again while it names more members
  /// than the node knows.
  static constexpr Duration RereadPeriod = 5s;
  /// Time after which a failed read is repeated; doubled for each failure, up
  /// to RereadPeriod.
  static constexpr Duration RetryPeriod = 250ms;
  /// Time after which a call counts as lost.
  static constexpr Duration CallTimeout = 5s;

  /// @param Own the node
  explicit MemberCensus(NodeId Own) : Self(Own) {}

  /// @name Inputs
  /// @{

  /// @brief Sets whether this node needs evidence of its own.
  void setNeeded(bool Value) { Needed = Value; }

  /// @brief Sets whether answers of the store count. The directory of one that
  /// has lost its leases names nobody.
  void setStoreProven(bool Value) { StoreProven = Value; }

  /// @brief Takes over the count of a member that has evidence, unless this
  /// node has it already.
  void learn(std::uint32_t Members, TimePoint Now);

  /// @brief Records that the node knows all members of the evidence. From then
  /// on its table alone shows their number.
  void confirm() { Named = 0; }

  /// @brief Handles the result of a store call; others are ignored.
  /// @return whether it was the one of a read
  bool receive(const StoreReplied &Reply, TimePoint Now);

  /// @brief Reads the directory if that is due.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return whether the node has evidence of the number of members
  bool isProven() const { return Proven; }

  /// @brief Gives the least number of members that the evidence shows.
  /// @param Known members that the node knows
  /// @return at least @p Known
  std::uint32_t atLeast(std::uint32_t Known, TimePoint Now) const;

  /// @return the time of the next read or time limit, if any
  std::optional<TimePoint> nextWakeup() const;
  /// @}

private:
  NodeId Self;
  bool Needed = false;
  bool StoreProven = true;
  bool Proven = false;
  /// Members that the evidence shows; 0 once the node knows them all.
  std::uint32_t Named = 0;
  /// End of a count that another member stated.
  std::optional<TimePoint> LearnedUntil;
  std::uint64_t LastCall = 0;
  std::uint64_t OpenCall = 0;
  TimePoint CallStart;
  TimePoint NextRead;
  Duration Retry = RetryPeriod;
};

} // namespace hyssopford
