#include "hyssopford/node/trace_recorder.hpp"

#include <nlohmann/json.hpp>

namespace hyssopford {

void TraceRecorder::started(const std::string &Service,
                            const ForwardToUpstream &Attempt,
                            std::chrono::system_clock::time_point Arrived,
                            TimePoint Now) {
  const auto SinceEpoch =
      std::chrono::duration_cast<Duration>(Arrived.time_since_epoch());
  OpenAttempts[Attempt.Attempt] = OpenAttempt{
      Service, SinceEpoch.count(), Now, Attempt.Class, Attempt.Idempotent};
}

void TraceRecorder::answered(AttemptId Id, TimePoint Now) {
  const auto Found = OpenAttempts.find(Id);
  if (Found == OpenAttempts.end()) {
    return;
  }
  const OpenAttempt &Each = Found->second;
  const nlohmann::ordered_json Line{
      {"at_us", Each.ArrivedUs},
      {"service", Each.Service},
      {"class", Each.Class == Priority::High ? "high" : "normal"},
      {"idempotent", Each.Idempotent},
      {"work_us", (Now - Each.Started).count()},
      {"caller", toString(Id.Ingress.Node)}};
  WriteLine(Line.dump());
  OpenAttempts.erase(Found);
}

} // namespace hyssopford
