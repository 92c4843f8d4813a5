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

/// @brief Identity of the node in its spans.
struct SpanOrigin {
  std::string Site;
  std::string Node;
  std::string FailureDomain;
  std::string Region;
  /// Nanoseconds since 1970 of the core's time zero.
  std::int64_t TimeZero = 0;

  friend bool operator==(const SpanOrigin &, const SpanOrigin &) = default;
};

/// @brief Renders spans as the body of an OTLP export request.
/// @param Spans the spans
/// @param Origin the node that reports them
/// @return an ExportTraceServiceRequest in JSON
std::string renderSpans(const std::vector<SpanFinished> &Spans,
                        const SpanOrigin &Origin);

/// @brief Settings of a SpanExporter.
struct SpanExporterSettings {
  /// Collector, "ip:port"; empty if spans are not exported.
  std::string Collector;
  /// Spans waiting for export; more are dropped and counted.
  std::size_t QueueSpans = 4'096;
  /// Spans in one export request.
  std::size_t BatchSpans = 512;
  /// Longest wait before an incomplete batch is sent.
  std::chrono::milliseconds Interval{500};
  /// For one export request.
  std::chrono::milliseconds Timeout{2'000};
  /// Pause after a failed export.
  std::chrono::milliseconds Backoff{1'000};
};

/// @brief Sends spans from a bounded queue on a thread of its own. A collector
/// that is slow or absent costs spans, never time of the thread that offers
/// them.
class SpanExporter {
public:
  /// Called on the exporter's thread for each failed export; errors 201 and
  /// 202.
  using ErrorHandler = std::function<void(const Error &)>;

  /// @name Construction
  /// @{
  SpanExporter(SpanExporterSettings Chosen, SpanOrigin Node,
               ErrorHandler OnError = {});
  SpanExporter(const SpanExporter &) = delete;
  SpanExporter &operator=(const SpanExporter &) = delete;

  /// @brief Tries once to send what is queued, then ends the thread.
  ~SpanExporter();
  /// @}

  /// @name Input
  /// @{

  /// @brief Queues a span if its trace is sampled and a collector is set.
  /// @param Span the span
  /// @return false if the queue was full and the span is dropped
  bool offer(SpanFinished Span);

  /// @brief Waits until every span offered so far was sent or dropped.
  /// @param Limit longest wait
  /// @return whether that happened in time
  bool flush(std::chrono::milliseconds Limit);
  /// @}

  /// @name Counters, safe to read from any thread
  /// @{
  std::uint64_t exported() const { return Exported; }
  std::uint64_t droppedQueueFull() const { return DroppedQueueFull; }
  std::uint64_t droppedExportFailed() const { return DroppedExportFailed; }
  std::size_t queued() const;
  /// @}

private:
  void run();
  void takeBatch(std::unique_lock<std::mutex> &Lock);
  bool send(const std::vector<SpanFinished> &Batch);

  SpanExporterSettings Settings;
  SpanOrigin Origin;
  ErrorHandler Report;
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
