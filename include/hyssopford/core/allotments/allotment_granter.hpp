/// @file
/// @brief The granting side of allotments.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/allotments/allotment_message.hpp"
#include "hyssopford/core/allotments/allotment_slots.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/member.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hyssopford {

/// @brief Collects the shares of the members for the slots that this node
/// grants, and holds the token buckets of their accounts. Rate and capacity of
/// a bucket are the limits of its account times the sum of the shares.
class AllotmentGranter {
public:
  /// Most time between two requests to a member that does not lend its share.
  /// One that does is asked twice in the time of a lease, and a bit more often.
  static constexpr Duration RenewPeriod = 300ms;
  /// Time in which the members answer the first requests for their shares.
  static constexpr Duration CollectTime = 20ms;
  /// Least time between two requests to a member that does not.
  static constexpr Duration RetryPeriod = 50ms;
  /// Time after the last request of an ingress for which a node that is not
  /// first in rank collects shares.
  static constexpr Duration ActiveTime = 2s;
  /// Longest queue of refused requests that the stated time accounts for.
  static constexpr Duration QueueTime = 1s;

  /// @param Run this run of this node
  explicit AllotmentGranter(NodeRun Run) : Self(Run) {}

  /// @name Inputs
  /// @{

  /// @brief Applies the limits of a configuration. Buckets keep at most their
  /// new capacity.
  void adopt(const std::vector<ClientAccount> &Configured, TimePoint Now);

  /// @brief Sets the members that can lend shares.
  /// @param Members the member table
  void setMembers(const std::map<NodeId, MemberRecord> &Members);

  /// @brief Sets the number of members of which this node has evidence.
  /// @param Count the members; 0 without evidence
  void setMemberCount(std::uint32_t Count);

  /// @brief States whether this node is first in rank for a slot.
  void setFirst(std::uint32_t Slot, bool IsFirst, TimePoint Now, Actions &Out);

  void linkUp(NodeId Peer, TimePoint Now);
  void linkDown(NodeId Peer) { Links.erase(Peer); }

  /// @brief Grants tokens.
  /// @return the answer
  AllotmentGrant grant(const AllotmentRequest &Message, TimePoint Now);

  /// @brief Records the answer of a member.
  void receive(NodeRun From, const ShareReply &Message, TimePoint Now,
               Actions &Out);

  /// @brief Returns all shares and stops granting, because the node shuts down.
  void leave(Actions &Out);

  /// @brief Asks for shares that are due.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the sum of the shares lent to this node, 0 to 1
  double share(std::uint32_t Slot, TimePoint Now) const;

  /// @return tokens granted since the start
  std::uint64_t granted() const { return Granted; }
  /// @}

private:
  struct Lender {
    /// Members that the lender counts; 0 if it does not lend.
    std::uint32_t Members = 0;
    /// End of the lease.
    TimePoint Until;
    /// Time at which the share may be lent, as the lender stated.
    TimePoint FreeAt;
    TimePoint NextRequest;
    std::uint64_t Sequence = 0;
    TimePoint Sent;
  };

  struct Slot {
    bool First = false;
    TimePoint ActiveUntil;
    /// Since when shares are collected; empty while they are not.
    std::optional<TimePoint> Since;
    std::map<NodeId, Lender> Lenders;
    TimePoint NextRequest;
  };

  struct Bucket {
    std::uint32_t Slot = 0;
    double Rate = 0.0;
    double Burst = 0.0;
    double Level = 0.0;
    TimePoint Updated;
    /// Time up to which coming tokens were announced to refused requests.
    TimePoint Announced;
  };

  /// Members that the node itself and the lenders of a slot count.
  std::uint32_t membersOf(const Slot &Row) const;
  bool isActive(const Slot &Row, TimePoint Now) const {
    return !Left && (Row.First || Row.ActiveUntil > Now);
  }
  void release(std::uint32_t Number, Actions &Out);
  void settle(Bucket &Row, TimePoint Now) const;
  /// Adds the tokens of the time before a change of the shares of a slot.
  void settleSlot(std::uint32_t Number, TimePoint Now);
  /// Time until the next token.
  /// @param IsPartial whether some tokens were granted with it
  Duration retryAfter(Bucket &Row, bool IsPartial, TimePoint Now) const;
  void requestShares(std::uint32_t Number, TimePoint Now, Actions &Out);

  NodeRun Self;
  bool Left = false;
  std::uint64_t NextSequence = 1;
  std::uint64_t Granted = 0;
  std::array<Slot, AllotmentSlots> Slots;
  std::map<std::string, Bucket, std::less<>> Buckets;
  std::set<NodeId> Members;
  std::uint32_t MemberCount = 0;
  std::set<NodeId> Links;
};

} // namespace hyssopford
