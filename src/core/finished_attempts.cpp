#include "hyssopford/core/finished_attempts.hpp"

#include <algorithm>

namespace hyssopford {

namespace {

/// Memory that a reply takes besides its answer, in bytes. Without it,
/// refusals, which have no answer, were bounded by the retention only: 300
/// clients that sent requests ahead made an owner hold 100 MB of them.
constexpr std::size_t ReplyOverhead = 256;

std::size_t heldBytes(const DispatchReply &Reply) {
  return Reply.Answer.size() + ReplyOverhead;
}

} // namespace

void FinishedAttempts::add(const DispatchReply &Reply, TimePoint Now) {
  if (!Replies.emplace(Reply.Attempt, Reply).second) {
    return;
  }
  Order.push_back(EndedRow{Reply.Attempt, Now});
  Bytes += heldBytes(Reply);
  dropExpired(Now);
}

void FinishedAttempts::dropExpired(TimePoint Now) {
  while (!Order.empty() &&
         (Order.front().Ended + Retention <= Now || Bytes > BytesMax)) {
    dropOldest();
  }
}

const DispatchReply *FinishedAttempts::find(const AttemptId &Attempt) const {
  const auto Found = Replies.find(Attempt);
  return Found == Replies.end() ? nullptr : &Found->second;
}

bool FinishedAttempts::mayHaveDropped(const AttemptId &Attempt) const {
  const auto Node = LowWaterMarks.find(Attempt.Ingress.Node);
  if (Node == LowWaterMarks.end()) {
    return false;
  }
  const auto Mark = Node->second.find(Attempt.Ingress.Run.Value);
  return Mark != Node->second.end() && Attempt.Sequence <= Mark->second;
}

void FinishedAttempts::dropOldest() {
  const AttemptId Oldest = Order.front().Attempt;
  Order.pop_front();
  const auto Found = Replies.find(Oldest);
  Bytes -= heldBytes(Found->second);
  Replies.erase(Found);
  std::uint64_t &Mark =
      LowWaterMarks[Oldest.Ingress.Node][Oldest.Ingress.Run.Value];
  Mark = std::max(Mark, Oldest.Sequence);
}

} // namespace hyssopford
