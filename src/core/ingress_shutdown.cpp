/// @file
/// @brief Requests at their ingress while the node shuts down.
#include "hyssopford/core/ingress_system.hpp"

#include <algorithm>

namespace hyssopford {

namespace {

/// Expected time until an answer; 0 if it is not known.
Duration expectedLatency(const ServicePool *Pool, const std::string &Route) {
  return Pool == nullptr ? Duration{0} : Pool->routeLatency(Route);
}

} // namespace

void IngressSystem::limitWork(TimePoint AnswerBy) {
  Shutdown.set(AnswerBy);
  for (auto &[Id, Row] : Requests) {
    if (Row.Deadline > AnswerBy) {
      Timers.erase(Timer{Row.Deadline, TimerKind::Deadline, Id});
      Row.Deadline = AnswerBy;
      Timers.insert(Timer{AnswerBy, TimerKind::Deadline, Id});
    }
  }
}

bool IngressSystem::mayStart(const Route &Matched, const std::string &Method,
                             std::optional<Duration> Stated,
                             TimePoint Now) const {
  const bool Idempotent = isIdempotent(Matched, Method);
  const auto Fits = [&](const std::string &Service) {
    return Now <= Shutdown.latestStart(
                      Now + timeLimit(Matched, Stated),
                      expectedLatency(Table.findPool(Service), Matched.Name),
                      Idempotent, Now);
  };
  if (Matched.Split.empty()) {
    return Fits(Matched.Service);
  }
  return std::any_of(Matched.Split.begin(), Matched.Split.end(),
                     [&](const auto &Part) { return Fits(Part.Service); });
}

bool IngressSystem::fitsShutdown(const RequestRow &Row, const ServicePool *Pool,
                                 TimePoint Now) const {
  return !Shutdown.isSet() ||
         Now <= Shutdown.latestStart(Row.FullDeadline,
                                     expectedLatency(Pool, Row.Route),
                                     Row.Idempotent, Now);
}

} // namespace hyssopford
