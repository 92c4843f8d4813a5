#include "hyssopford/core/allotments/share_lender.hpp"

#include <algorithm>

namespace hyssopford {

Duration ShareLender::leaseTime(std::uint32_t Members) {
  return std::clamp(LeaseTime * Members / LeaseTimeMembers, LeaseTime,
                    LeaseTimeMax);
}

std::optional<ShareReply> ShareLender::answer(NodeRun From,
                                              const ShareRequest &Message,
                                              std::uint32_t Members,
                                              TimePoint Now) {
  if (Message.Slot >= AllotmentSlots) {
    return std::nullopt;
  }
  Row &Slot = Rows.at(Message.Slot);
  if (Message.Release) {
    if (Slot.Holder == From) {
      Slot.Until = Now;
    }
    return std::nullopt;
  }
  ShareReply Reply{Message.Slot, Message.Sequence, 0, UnsettledRetry};
  if (Members == 0) {
    return Reply;
  }
  const std::uint32_t Counted = std::max(Members, Message.Members);
  const Duration Lease = leaseTime(Counted);
  // An earlier run of the same node has ended, so its leases have as well.
  const bool IsHolder =
      Slot.Holder.Node == From.Node && Slot.Holder.Run <= From.Run;
  if (Slot.Contender && Slot.ContenderSeen + Lease <= Now) {
    Slot.Contender.reset();
  }
  if (Slot.Until > Now && !IsHolder) {
    if (precedes(Message.Slot, From.Node, Slot.Holder.Node) &&
        (!Slot.Contender ||
         !precedes(Message.Slot, *Slot.Contender, From.Node))) {
      Slot.Contender = From.Node;
      Slot.ContenderSeen = Now;
    }
    Reply.RetryAfter = Slot.Until - Now;
    return Reply;
  }
  if (Slot.Contender && precedes(Message.Slot, *Slot.Contender, From.Node)) {
    Reply.RetryAfter = Lease;
    return Reply;
  }
  Slot.Holder = From;
  Slot.Until = Now + Lease;
  Slot.Contender.reset();
  Reply.Members = Counted;
  Reply.RetryAfter = Duration{0};
  return Reply;
}

} // namespace hyssopford
