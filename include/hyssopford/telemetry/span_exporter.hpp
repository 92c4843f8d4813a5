/// @file
/// @brief Export of spans to a collector (OTLP over HTTP with JSON).
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/error.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Identity of the node that its spans carry.
struct SpanOrigin {
  std::string Site;
  std::string Node;
  std::string FailureDomain;
  std::string Region;
  /// Unix time at which the clock of TimePoint reads zero, in nanoseconds.
  std::int64_t ClockEpochNs = 0;

  friend bool operator==(const SpanOrigin &, const SpanOrigin &) = default;
};

/// @brief Renders spans as the body of an OTLP export request.
/// @param Spans the spans
/// @param Origin the node that exports them
/// @return an ExportTraceServiceRequest in JSON
std::string renderSpans(const std::vector<SpanFinished> &Spans,
                        const SpanOrigin &Origin);

/// @brief Settings of a SpanExporter.
struct SpanExporterSettings {
  /// Collector, "ip:port"; empty if spans are not exported.
  std::string Collector;
  /// Most spans waiting for export; further ones are dropped and counted.
  std::size_t QueueSpans = 4'096;
  /// Most spans in one export request.
  std::size_t BatchSpans = 512;
  /// Longest wait before an incomplete batch is sent.
  std::chrono::milliseconds Interval{500};
  /// Limit for one export request.
  std::chrono::milliseconds Timeout{2'000};
  /// Pause after a failed export.
  std::chrono::milliseconds Backoff{1'000};
};

/// @brief Exports spans from a bounded queue on a background thread. A slow or
/// unreachable collector makes spans be dropped; it never blocks the thread
/// that offers them.
class SpanExporter {
public:
  /// Called on the background thread for each failed export, with error 201 or
  /// 202.
  using ErrorHandler = std::function<void(const Error &)>;

  /// @name Construction
  /// @{

  /// @param ExportSettings collector and limits
  /// @param Node identity of the node that exports
  /// @param OnError called for each failed export; may be empty
  SpanExporter(SpanExporterSettings ExportSettings, SpanOrigin Node,
               ErrorHandler OnError = {});
  SpanExporter(const SpanExporter &) = delete;
  SpanExporter &operator=(const SpanExporter &) = delete;

  /// @brief Sends the queued spans, dropping the rest at the first failure, and
  /// joins the thread.
  ~SpanExporter();
  /// @}

  /// @name Input
  /// @{

  /// @brief Queues a span if its trace is sampled and a collector is
  /// configured.
  /// @param Span the span
  /// @return false if the span was dropped because the queue is full
  bool offer(SpanFinished Span);

  /// @brief Waits until every span offered so far has been sent or dropped.
  /// @param Limit longest wait
  /// @return false if the wait timed out
  bool flush(std::chrono::milliseconds Limit);
  /// @}

  /// @name Counters, thread-safe
  /// @{
  std::uint64_t exported() const { return Exported; }
  std::uint64_t droppedQueueFull() const { return DroppedQueueFull; }
  std::uint64_t droppedExportFailed() const { return DroppedExportFailed; }
  std::size_t queued() const;
  /// @}

private:
  void run();
  void exportBatch(std::unique_lock<std::mutex> &Lock);
  bool send(const std::vector<SpanFinished> &Batch);
  /// Sends one request within Settings.Timeout, whatever the collector sends.
  /// @return the status of the answer
  int post(const std::string &Body) const;

  SpanExporterSettings Settings;
  SpanOrigin Origin;
  ErrorHandler ReportError;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::condition_variable Idle;
  std::deque<SpanFinished> Queue;
  bool Sending = false;
  bool Flushing = false;
  bool Stopping = false;
  std::atomic<std::uint64_t> Exported{0};
  std::atomic<std::uint64_t> DroppedQueueFull{0};
  std::atomic<std::uint64_t> DroppedExportFailed{0};
  std::thread Thread;
};

} // namespace hyssopford
