/// @file
/// @brief Logs, metrics and spans of one node.
#pragma once

#include "hyssopford/core/node_core.hpp"
#include "hyssopford/telemetry/logger.hpp"
#include "hyssopford/telemetry/metrics.hpp"
#include "hyssopford/telemetry/span_exporter.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief Settings of the telemetry of a node.
struct NodeTelemetrySettings {
  LogLevel Level = LogLevel::Info;
  SpanExporterSettings Export;
  SpanOrigin Origin;
};

/// @brief Records the activity of a node as log lines, metrics and spans. Used
/// only on the thread of the event loop.
class NodeTelemetry {
public:
  /// @name Construction
  /// @{

  /// @param Settings log level, span export and origin
  /// @param Sink receives the log lines; must outlive this object
  NodeTelemetry(const NodeTelemetrySettings &Settings, LogSink &Sink);
  NodeTelemetry(const NodeTelemetry &) = delete;
  NodeTelemetry &operator=(const NodeTelemetry &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Writes a log line.
  void log(LogLevel Level, std::string_view EventName,
           const std::vector<LogField> &Fields = {});

  /// @brief Logs and counts a notice from the core.
  void recordNotice(const Notice &Details);

  /// @brief Queues a span for export.
  void exportSpan(const SpanFinished &Details);

  /// @brief Notes that a caller's request has been received completely.
  void requestStarted(RequestId Id, TimePoint Now);

  /// @brief Counts the end of a caller's request.
  void requestEnded(const ReplyToCaller &Reply, TimePoint Now);

  /// @brief Discards the start time of a request whose caller disconnected.
  void requestDropped(RequestId Id) { RequestStarts.erase(Id); }

  /// @brief Notes that an attempt was forwarded to the upstream.
  void attemptStarted(AttemptId Id, TimePoint Now);

  /// @brief Counts the end of an attempt.
  /// @param Result "answered" or the reason of the failure
  void attemptEnded(AttemptId Id, std::string_view Result, TimePoint Now);

  /// @brief Counts a probe and the time it took.
  void recordProbe(const ProbeFinished &Result);

  /// @brief Notes that a call to the store was started.
  void storeCallStarted(const StoreCall &Call);

  /// @brief Counts the end of a call to the store.
  void storeCallEnded(std::uint64_t Call, StoreStatus Status);

  /// @brief Records by how much timers of the event loop were late at most.
  void recordTimerLateness(Duration Late, TimePoint Now);

  /// @brief Records the delay of a version of the configuration; see
  /// ConfigSystem::applyDelay.
  void recordConfigDelay(Duration Delay, TimePoint Now);

  /// @brief Counts the result of a patch.
  void recordPatch(const PatchResult &Result);

  /// @brief Counts a message to or from a peer.
  void countFrame(const PeerMessage &Message, bool IsIncoming);

  /// @brief Writes the counts of suppressed log lines. To be called about once
  /// a second.
  void flush() { Log.flushSuppressed(); }
  /// @}

  /// @name Output
  /// @{

  /// @brief Sets a gauge, or a counter that is kept elsewhere.
  /// @brief Sets a sample of a metric with labels.
  void set(MetricId Id, const MetricsRegistry::LabelValues &Labels,
           std::size_t Value) {
    Metrics.set(Id, Labels, static_cast<double>(Value));
  }
  void set(MetricId Id, std::size_t Value) {
    Metrics.set(Id, {}, static_cast<double>(Value));
  }

  /// @brief Renders all metrics in the Prometheus text format.
  /// @param Core the core to read gauges from
  /// @param Links number of usable links to peers
  /// @param Now the current time
  /// @return the page
  std::string render(const NodeCore &Core, std::size_t Links, TimePoint Now);

  const MetricsRegistry &metrics() const { return Metrics; }
  /// @}

private:
  Logger Log;
  MetricsRegistry Metrics;
  SpanExporter Exporter;
  std::map<RequestId, TimePoint> RequestStarts;
  std::map<AttemptId, TimePoint> AttemptStarts;
  /// Operation names of store calls in progress, by call number.
  std::map<std::uint64_t, const char *> StoreCalls;
};

} // namespace hyssopford
