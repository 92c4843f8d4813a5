#include "hyssopford/core/admission_queue.hpp"

#include <algorithm>
#include <iterator>

namespace hyssopford {

void AdmissionQueue::push(AdmittedAttempt Row) {
  ClassQueue &To = classQueue(Row.Attempt.Class);
  const AttemptId Id = Row.Attempt.Attempt;
  Deadlines.emplace(Row.expiry(), Id);
  To.push_back(std::move(Row));
  Positions.emplace(Id, std::prev(To.end()));
}

std::optional<AdmittedAttempt> AdmissionQueue::pop() {
  std::optional<std::size_t> Chosen;
  for (std::size_t Class = 0; Class < ClassQueues.size(); ++Class) {
    // A class that was passed over for a whole burst goes first.
    if (!ClassQueues[Class].empty() &&
        (!Chosen || PassedOver[Class] >= HighBurst)) {
      Chosen = Class;
    }
  }
  if (!Chosen) {
    return std::nullopt;
  }
  PassedOver[*Chosen] = 0;
  for (std::size_t Class = *Chosen + 1; Class < ClassQueues.size(); ++Class) {
    PassedOver[Class] = ClassQueues[Class].empty() ? 0 : PassedOver[Class] + 1;
  }
  return removeAt(ClassQueues[*Chosen], ClassQueues[*Chosen].begin());
}

std::optional<AdmittedAttempt>
AdmissionQueue::remove(const AttemptId &Attempt) {
  const auto Found = Positions.find(Attempt);
  if (Found == Positions.end()) {
    return std::nullopt;
  }
  return removeAt(classQueue(Found->second->Attempt.Class), Found->second);
}

std::optional<AdmittedAttempt> AdmissionQueue::popExpired(TimePoint Now) {
  if (Deadlines.empty() || Deadlines.begin()->first > Now) {
    return std::nullopt;
  }
  return remove(Deadlines.begin()->second);
}

std::size_t AdmissionQueue::countAhead(Priority Class) const {
  const auto Own = static_cast<std::size_t>(Class);
  std::size_t Urgent = 0;
  for (std::size_t Each = 0; Each < Own; ++Each) {
    Urgent += ClassQueues[Each].size();
  }
  std::size_t Count =
      ClassQueues[Own].size() +
      std::min(Urgent, (ClassQueues[Own].size() + 1) * HighBurst);
  // Each less urgent class starts one attempt per burst of the others.
  for (std::size_t Each = Own + 1; Each < ClassQueues.size(); ++Each) {
    Count += std::min(ClassQueues[Each].size(),
                      Count / std::max<std::size_t>(HighBurst, 1));
  }
  return Count;
}

std::vector<AdmittedAttempt> AdmissionQueue::takeHandBacks() {
  std::vector<AdmittedAttempt> Taken;
  for (ClassQueue &Each : ClassQueues) {
    for (auto At = Each.begin(); At != Each.end();) {
      const auto Next = std::next(At);
      if (At->Attempt.MayHandBack) {
        Taken.push_back(removeAt(Each, At));
      }
      At = Next;
    }
  }
  return Taken;
}

std::optional<TimePoint> AdmissionQueue::nextDeadline() const {
  return Deadlines.empty() ? std::nullopt
                           : std::optional(Deadlines.begin()->first);
}

AdmittedAttempt AdmissionQueue::removeAt(ClassQueue &From,
                                         ClassQueue::iterator At) {
  AdmittedAttempt Row = std::move(*At);
  From.erase(At);
  Positions.erase(Row.Attempt.Attempt);
  Deadlines.erase({Row.expiry(), Row.Attempt.Attempt});
  return Row;
}

} // namespace hyssopford
