#include "hyssopford/core/finished_attempts.hpp"

#include <algorithm>

namespace hyssopford {

void FinishedAttempts::add(const DispatchReply &Reply, TimePoint Now) {
  if (!Replies.emplace(Reply.Attempt, Reply).second) {
    return;
  }
  Order.push_back(EndedRow{Reply.Attempt, Now});
  Bytes += Reply.Answer.size();
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
  Bytes -= Found->second.Answer.size();
  Replies.erase(Found);
  std::uint64_t &Mark =
      LowWaterMarks[Oldest.Ingress.Node][Oldest.Ingress.Run.Value];
  Mark = std::max(Mark, Oldest.Sequence);
}

} // namespace hyssopford
