#include "hyssopford/telemetry/span_exporter.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <fmt/format.h>

namespace hyssopford {

namespace {

constexpr const char *ExportStep = "spans.export";

} // namespace

SpanExporter::SpanExporter(SpanExporterSettings ExportSettings, SpanOrigin Node,
                           ErrorHandler OnError)
    : Settings(std::move(ExportSettings)), Origin(std::move(Node)),
      ReportError(std::move(OnError)) {
  if (!Settings.Collector.empty()) {
    Thread = std::thread([this] { run(); });
  }
}

SpanExporter::~SpanExporter() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_one();
  if (Thread.joinable()) {
    Thread.join();
  }
}

bool SpanExporter::offer(SpanFinished Span) {
  if (!Span.Trace.Sampled || Settings.Collector.empty()) {
    return true;
  }
  bool BatchComplete = false;
  {
    const std::scoped_lock Lock(Mutex);
    if (Queue.size() >= Settings.QueueSpans) {
      ++DroppedQueueFull;
      return false;
    }
    Queue.push_back(std::move(Span));
    BatchComplete = Queue.size() == Settings.BatchSpans;
  }
  if (BatchComplete) {
    Wake.notify_one();
  }
  return true;
}

bool SpanExporter::flush(std::chrono::milliseconds Limit) {
  std::unique_lock Lock(Mutex);
  Flushing = true;
  Wake.notify_one();
  const bool Done =
      Idle.wait_for(Lock, Limit, [this] { return Queue.empty() && !Sending; });
  Flushing = false;
  return Done;
}

std::size_t SpanExporter::queued() const {
  const std::scoped_lock Lock(Mutex);
  return Queue.size();
}

void SpanExporter::run() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Wake.wait_for(Lock, Settings.Interval, [this] {
      return Stopping || Flushing || Queue.size() >= Settings.BatchSpans;
    });
    const bool IsLastPass = Stopping;
    if (!Queue.empty()) {
      exportBatch(Lock);
    } else if (Flushing && !Stopping) {
      // Nothing is left to send; wait until flush() returns or a span arrives.
      Wake.wait_for(Lock, Settings.Interval,
                    [this] { return Stopping || !Queue.empty() || !Flushing; });
    }
    if (IsLastPass && Queue.empty()) {
      return;
    }
  }
}

/// Sends one batch with the lock released. While stopping, a failure drops the
/// rest of the queue, so that an unreachable collector delays the end by one
/// timeout at most.
void SpanExporter::exportBatch(std::unique_lock<std::mutex> &Lock) {
  const std::size_t Size = std::min(Queue.size(), Settings.BatchSpans);
  std::vector<SpanFinished> Batch(
      std::make_move_iterator(Queue.begin()),
      std::make_move_iterator(Queue.begin() +
                              static_cast<std::ptrdiff_t>(Size)));
  Queue.erase(Queue.begin(), Queue.begin() + static_cast<std::ptrdiff_t>(Size));
  Sending = true;
  Lock.unlock();
  const bool Sent = send(Batch);
  (Sent ? Exported : DroppedExportFailed) += Size;
  Lock.lock();
  Sending = false;
  if (!Sent && Stopping) {
    DroppedExportFailed += Queue.size();
    Queue.clear();
  }
  if (Queue.empty()) {
    Idle.notify_all();
  }
  if (!Sent) {
    Wake.wait_for(Lock, Settings.Backoff, [this] { return Stopping; });
  }
}

bool SpanExporter::send(const std::vector<SpanFinished> &Batch) {
  const auto Fail = [this](ErrorCode Code, std::string Reason) {
    if (ReportError) {
      ReportError(Error{numberOf(Code), ExportStep, Settings.Collector,
                        std::move(Reason)});
    }
    return false;
  };
  try {
    const std::string Body = renderSpans(Batch, Origin);
    Poco::Net::HTTPClientSession Session{
        Poco::Net::SocketAddress(Settings.Collector)};
    Session.setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(Settings.Timeout)
            .count()));
    Poco::Net::HTTPRequest Request(Poco::Net::HTTPRequest::HTTP_POST,
                                   "/v1/traces",
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    // The body is not read, as the connection is not reused.
    Session.receiveResponse(Response);
    const int Status = static_cast<int>(Response.getStatus());
    if (Status / 100 != 2) {
      return Fail(ErrorCode::CollectorRefused,
                  fmt::format("answered with status {}", Status));
    }
    return true;
  } catch (const Poco::Exception &Failure) {
    return Fail(ErrorCode::CollectorUnreachable, Failure.displayText());
  }
}

} // namespace hyssopford
