/// @file
/// @brief Log lines of requests at their ingress.
#include "hyssopford/core/ingress_system.hpp"

#include <fmt/format.h>
#include <iterator>
#include <string>

namespace hyssopford {

void IngressSystem::appendStep(RequestRow &Row, const AttemptRow &Attempt,
                               std::uint64_t Sequence, Outcome Result,
                               OutcomeReason Reason, TimePoint Now) {
  if (!Settings.ReportRequests) {
    return;
  }
  if (!Row.Steps.empty()) {
    Row.Steps += ",";
  }
  fmt::format_to(std::back_inserter(Row.Steps), "{}/{}/{}/{}/{}us", Sequence,
                 toString(Attempt.Owner.Node), toString(Result),
                 toString(Reason), (Now - Attempt.Sent).count());
}

void IngressSystem::reportRequest(const RequestRow &Row, Outcome Result,
                                  OutcomeReason Reason, TimePoint Now,
                                  Actions &Out) {
  const bool IsRoutine = Result == Outcome::Answered && Row.Attempts <= 1 &&
                         Row.HandBacks == 0 && !Row.FirstFailure;
  if (!Settings.ReportRequests || (IsRoutine && Settings.ReportOneOf == 0)) {
    return;
  }
  if (IsRoutine) {
    if (++RoutineSinceReport < Settings.ReportOneOf) {
      return;
    }
    RoutineSinceReport = 0;
  }
  const ServicePool *Pool = Table.findPool(Row.Service);
  Out.emplace_back(Notice{
      "request_ended",
      {{"id", Row.Request.CallerRequestId},
       {"route", Row.Route},
       {"service", Row.Service},
       {"account", Row.Request.Account},
       {"outcome", toString(Result)},
       {"reason", toString(Reason)},
       {"fingerprint", fmt::format("{:016x}", Row.Fingerprint)},
       {"config_version", std::to_string(Row.Request.ConfigVersion)},
       {"elapsed_us", std::to_string((Now - Row.Started).count())},
       {"deadline_us", std::to_string((Row.Deadline - Row.Started).count())},
       {"target_us", std::to_string(Row.Target.count())},
       {"call", Row.Request.IsNestedCall ? "yes" : "no"},
       {"attempts", std::to_string(Row.Attempts)},
       {"hand_backs", std::to_string(Row.HandBacks)},
       {"candidates", std::to_string(Pool ? Pool->usable().size() : 0)},
       {"of", std::to_string(Pool ? Pool->size() : 0)},
       {"steps", Row.Steps}}});
}

} // namespace hyssopford
