#include "hyssopford/core/admission_queue.hpp"

#include <algorithm>
#include <iterator>

namespace hyssopford {

void AdmissionQueue::push(AdmittedAttempt Row) {
  Line &To = lineOf(Row.Attempt.Class);
  const AttemptId Id = Row.Attempt.Attempt;
  Deadlines.emplace(Row.Deadline, Id);
  To.push_back(std::move(Row));
  Positions.emplace(Id, std::prev(To.end()));
}

std::optional<AdmittedAttempt> AdmissionQueue::pop() {
  Line &High = lineOf(Priority::High);
  Line &Normal = lineOf(Priority::Normal);
  if (High.empty() && Normal.empty()) {
    return std::nullopt;
  }
  const bool NormalsTurn = !Normal.empty() && HighStarts >= HighBurst;
  if (High.empty() || NormalsTurn) {
    HighStarts = 0;
    return take(Normal, Normal.begin());
  }
  HighStarts = Normal.empty() ? 0 : HighStarts + 1;
  return take(High, High.begin());
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
  const std::size_t High = lineOf(Priority::High).size();
  const std::size_t Normal = lineOf(Priority::Normal).size();
  if (Class == Priority::High) {
    return High + std::min(Normal, High / std::max<std::size_t>(HighBurst, 1));
  }
  return Normal + std::min(High, (Normal + 1) * HighBurst);
}

std::optional<TimePoint> AdmissionQueue::nextDeadline() const {
  return Deadlines.empty() ? std::nullopt
                           : std::optional(Deadlines.begin()->first);
}

AdmittedAttempt AdmissionQueue::take(Line &From, Line::iterator At) {
  AdmittedAttempt Row = std::move(*At);
  From.erase(At);
  Positions.erase(Row.Attempt.Attempt);
  Deadlines.erase({Row.Deadline, Row.Attempt.Attempt});
  return Row;
}

} // namespace hyssopford
