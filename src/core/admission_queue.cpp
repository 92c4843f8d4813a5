#include "hyssopford/core/admission_queue.hpp"

#include <algorithm>
#include <iterator>

namespace hyssopford {

void AdmissionQueue::push(AdmittedAttempt Row) {
  Line &To = lineOf(Row.Attempt.Class);
  const AttemptId Id = Row.Attempt.Attempt;
  Deadlines.emplace(Row.expiry(), Id);
  To.push_back(std::move(Row));
  Positions.emplace(Id, std::prev(To.end()));
}

std::optional<AdmittedAttempt> AdmissionQueue::pop() {
  std::optional<std::size_t> Chosen;
  for (std::size_t Class = 0; Class < Lines.size(); ++Class) {
    // A class that more urgent ones have passed too often has its turn.
    if (!Lines[Class].empty() && (!Chosen || Passed[Class] >= HighBurst)) {
      Chosen = Class;
    }
  }
  if (!Chosen) {
    return std::nullopt;
  }
  Passed[*Chosen] = 0;
  for (std::size_t Class = *Chosen + 1; Class < Lines.size(); ++Class) {
    Passed[Class] = Lines[Class].empty() ? 0 : Passed[Class] + 1;
  }
  return take(Lines[*Chosen], Lines[*Chosen].begin());
}

std::optional<AdmittedAttempt>
AdmissionQueue::remove(const AttemptId &Attempt) {
  const auto Found = Positions.find(Attempt);
  if (Found == Positions.end()) {
    return std::nullopt;
  }
  return take(lineOf(Found->second->Attempt.Class), Found->second);
}

std::optional<AdmittedAttempt> AdmissionQueue::popExpired(TimePoint Now) {
  if (Deadlines.empty() || Deadlines.begin()->first > Now) {
    return std::nullopt;
  }
  return remove(Deadlines.begin()->second);
}

std::size_t AdmissionQueue::ahead(Priority Class) const {
  const auto Own = static_cast<std::size_t>(Class);
  std::size_t Urgent = 0;
  for (std::size_t Each = 0; Each < Own; ++Each) {
    Urgent += Lines[Each].size();
  }
  std::size_t Count =
      Lines[Own].size() + std::min(Urgent, (Lines[Own].size() + 1) * HighBurst);
  // Each less urgent class gets one start for a burst of others.
  for (std::size_t Each = Own + 1; Each < Lines.size(); ++Each) {
    Count += std::min(Lines[Each].size(),
                      Count / std::max<std::size_t>(HighBurst, 1));
  }
  return Count;
}

std::vector<AdmittedAttempt> AdmissionQueue::takeHandBacks() {
  std::vector<AdmittedAttempt> Taken;
  for (Line &Each : Lines) {
    for (auto At = Each.begin(); At != Each.end();) {
      const auto Next = std::next(At);
      if (At->Attempt.MayHandBack) {
        Taken.push_back(take(Each, At));
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

AdmittedAttempt AdmissionQueue::take(Line &From, Line::iterator At) {
  AdmittedAttempt Row = std::move(*At);
  From.erase(At);
  Positions.erase(Row.Attempt.Attempt);
  Deadlines.erase({Row.expiry(), Row.Attempt.Attempt});
  return Row;
}

} // namespace hyssopford
