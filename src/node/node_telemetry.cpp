#include "hyssopford/node/node_telemetry.hpp"

#include <array>
#include <chrono>
#include <variant>

namespace hyssopford {

namespace {

constexpr std::array<const char *, std::variant_size_v<StoreOperation>>
    StoreOperations{"read", "write", "watch", "lease", "list"};

constexpr std::array<const char *, 6> StoreStatuses{
    "done", "missing", "conflict", "unchanged", "refused", "no-answer"};

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

NodeTelemetry::NodeTelemetry(const NodeTelemetrySettings &Settings,
                             LogSink &Sink)
    : Log(Settings.Level, Sink),
      Exporter(Settings.Export, Settings.Origin, [this](const Error &Fault) {
        // The logger is safe to use from the exporter's thread.
        Log.log(LogLevel::Warning, "span_export_failed",
                {{"step", Fault.Step},
                 {"peer", Fault.Peer},
                 {"reason", Fault.Reason}});
      }) {
  Metrics.set(MetricId::BuildInfo, {"0.1.0"}, 1);
}

void NodeTelemetry::log(LogLevel Level, std::string_view EventName,
                        const std::vector<LogField> &Fields) {
  Log.log(Level, EventName, Fields);
}

void NodeTelemetry::recordNotice(const Notice &Details) {
  std::vector<LogField> Fields;
  Fields.reserve(Details.Fields.size());
  for (const auto &[Name, Value] : Details.Fields) {
    Fields.emplace_back(Name, Value);
  }
  Log.log(LogLevel::Info, Details.Event, Fields);
  Metrics.add(MetricId::Notices, {Details.Event});
}

void NodeTelemetry::exportSpan(const SpanFinished &Details) {
  Exporter.offer(Details);
}

void NodeTelemetry::requestStarted(RequestId Id, TimePoint Now) {
  RequestStarts[Id] = Now;
}

void NodeTelemetry::requestEnded(const ReplyToCaller &Reply, TimePoint Now) {
  Metrics.add(MetricId::Requests,
              {toString(Reply.Result), toString(Reply.Reason)});
  Metrics.add(MetricId::RequestAttempts, {}, Reply.Attempts);
  const auto Started = RequestStarts.find(Reply.Id);
  if (Started != RequestStarts.end()) {
    Metrics.observe(MetricId::RequestSeconds, {toString(Reply.Result)},
                    seconds(Now - Started->second), Now);
    RequestStarts.erase(Started);
  }
}

void NodeTelemetry::attemptStarted(AttemptId Id, TimePoint Now) {
  AttemptStarts[Id] = Now;
}

void NodeTelemetry::attemptEnded(AttemptId Id, std::string_view Result,
                                 TimePoint Now) {
  const auto Started = AttemptStarts.find(Id);
  if (Started == AttemptStarts.end()) {
    return;
  }
  Metrics.add(MetricId::UpstreamCalls, {std::string(Result)});
  if (Result == toString(Outcome::Answered)) {
    Metrics.observe(MetricId::UpstreamSeconds, {},
                    seconds(Now - Started->second), Now);
  }
  AttemptStarts.erase(Started);
}

void NodeTelemetry::recordProbe(const ProbeFinished &Result) {
  Metrics.add(MetricId::Probes, {Result.Succeeded ? "succeeded" : "failed"});
  Metrics.add(MetricId::ProbeSeconds, {}, seconds(Result.Elapsed));
}

void NodeTelemetry::storeCallStarted(const StoreCall &Call) {
  StoreCalls[Call.Call] = StoreOperations.at(Call.Operation.index());
}

void NodeTelemetry::storeCallEnded(std::uint64_t Call, StoreStatus Status) {
  const auto Found = StoreCalls.find(Call);
  if (Found == StoreCalls.end()) {
    return;
  }
  Metrics.add(
      MetricId::StoreCalls,
      {Found->second, StoreStatuses.at(static_cast<std::size_t>(Status))});
  StoreCalls.erase(Found);
}

void NodeTelemetry::recordTimerLateness(Duration Late, TimePoint Now) {
  Metrics.observe(MetricId::TimerLateness, {}, seconds(Late), Now);
}

void NodeTelemetry::recordConfigDelay(Duration Delay, TimePoint Now) {
  Metrics.observe(MetricId::ConfigDelay, {}, seconds(Delay), Now);
}

void NodeTelemetry::recordPatch(const PatchResult &Result) {
  const std::string Label = Result.Errors.empty()
                                ? "accepted"
                                : std::to_string(Result.Errors.front().Code);
  Metrics.add(MetricId::Patches, {Label});
}

void NodeTelemetry::countFrame(const PeerMessage &Message, bool IsIncoming) {
  const bool IsData = std::holds_alternative<Dispatch>(Message) ||
                      std::holds_alternative<DispatchReply>(Message) ||
                      std::holds_alternative<Cancel>(Message) ||
                      std::holds_alternative<StatusQuery>(Message) ||
                      std::holds_alternative<StatusReply>(Message);
  Metrics.add(MetricId::PeerFrames,
              {IsIncoming ? "in" : "out", IsData ? "data" : "control"});
}

std::string NodeTelemetry::render(const NodeCore &Core, std::size_t Links,
                                  TimePoint Now) {
  collectCoreMetrics(Core, Metrics);
  collectProcessMetrics(Metrics);
  if (Core.configSystem() != nullptr &&
      Core.configSystem()->storeAnsweredAt().has_value()) {
    Metrics.set(MetricId::ConfigStoreAge, {},
                seconds(Now - *Core.configSystem()->storeAnsweredAt()));
  }
  if (const std::optional<Duration> Age = Core.freshness().age(Now)) {
    Metrics.set(MetricId::ProofAge, {}, seconds(*Age));
  }
  set(MetricId::Quarantined, Core.quarantine().list(Now).size());
  Metrics.set(MetricId::PeerLinks, {}, static_cast<double>(Links));
  Metrics.set(MetricId::SpansExported, {},
              static_cast<double>(Exporter.exported()));
  Metrics.set(MetricId::SpansDropped, {"queue-full"},
              static_cast<double>(Exporter.droppedQueueFull()));
  Metrics.set(MetricId::SpansDropped, {"export-failed"},
              static_cast<double>(Exporter.droppedExportFailed()));
  Metrics.set(MetricId::SpansQueued, {},
              static_cast<double>(Exporter.queued()));
  Metrics.set(MetricId::LogLinesSuppressed, {},
              static_cast<double>(Log.suppressed()));
  return Metrics.render(Now);
}

} // namespace hyssopford
