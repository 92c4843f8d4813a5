/// @file
/// @brief The share of the limits that a member lends to granters.
#pragma once

#include "hyssopford/core/allotments/allotment_message.hpp"
#include "hyssopford/core/allotments/allotment_slots.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace hyssopford {

/// @brief Lends this node's share of the limits of a slot to one granter at a
/// time. As no share is lent twice, the rates of all granters add up to no more
/// than the limit, whatever they believe about each other.
class ShareLender {
public:
  /// Time for which a share is lent. A granter counts it from the time at which
  /// it sent the request, so its lease ends first however long a message was
  /// delayed. After the loss of a granter nothing is granted for up to this
  /// time.
  static constexpr Duration LeaseTime = 700ms;
  /// Longest such time, on large sites.
  static constexpr Duration LeaseTimeMax = 2s;
  /// Members above which the time grows with their number, so that a granter
  /// has a limited number of messages to handle.
  static constexpr std::uint32_t LeaseTimeMembers = 64;
  /// Time after which a granter may ask again if this node does not lend yet.
  static constexpr Duration UnsettledRetry = 100ms;

  /// @brief Gives the time for which a share is lent.
  /// @param Members the members that the lender counts
  static Duration leaseTime(std::uint32_t Members);

  /// @brief Decides on a request for the share.
  /// @param From the run that asks
  /// @param Members the members that this node counts; 0 if it lends nothing
  /// @return the answer; none for a release
  std::optional<ShareReply> answer(NodeRun From, const ShareRequest &Message,
                                   std::uint32_t Members, TimePoint Now);

private:
  struct Row {
    NodeRun Holder;
    TimePoint Until;
    /// Node that asked while another one had the share, and precedes it.
    std::optional<NodeId> Contender;
    TimePoint ContenderSeen;
  };

  std::array<Row, AllotmentSlots> Rows;
};

} // namespace hyssopford
