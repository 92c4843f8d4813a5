#include "hyssopford/telemetry/span_exporter.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <string_view>

namespace hyssopford {

namespace {

constexpr const char *ExportStep = "spans.export";
/// Most bytes passed to one system call, and most bytes read of an answer.
constexpr std::size_t SendSize = 65'536;
constexpr std::size_t AnswerLimit = 65'536;
/// Offset and length of the status code in a status line.
constexpr std::size_t StatusOffset = 9;
constexpr std::size_t StatusLength = 3;

/// Finds the status of the first answer that is not an interim one.
/// @return nothing if more bytes are needed
std::optional<int> statusOf(std::string_view Text) {
  while (true) {
    const std::size_t LineEnd = Text.find("\r\n");
    if (LineEnd == std::string_view::npos) {
      return std::nullopt;
    }
    int Status = 0;
    const char *const Code = Text.data() + StatusOffset;
    if (!Text.starts_with("HTTP/1.") || LineEnd < StatusOffset + StatusLength ||
        std::from_chars(Code, Code + StatusLength, Status).ptr !=
            Code + StatusLength) {
      throw Poco::DataFormatException("malformed answer");
    }
    if (Status >= Poco::Net::HTTPResponse::HTTP_OK) {
      return Status;
    }
    const std::size_t HeadEnd = Text.find("\r\n\r\n");
    if (HeadEnd == std::string_view::npos) {
      return std::nullopt;
    }
    Text.remove_prefix(HeadEnd + 4);
  }
}

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

int SpanExporter::post(const std::string &Body) const {
  const auto Deadline = std::chrono::steady_clock::now() + Settings.Timeout;
  const auto TimeLeft = [&] {
    const auto Left = std::chrono::duration_cast<std::chrono::microseconds>(
        Deadline - std::chrono::steady_clock::now());
    if (Left.count() <= 0) {
      throw Poco::TimeoutException("no answer in time");
    }
    return Poco::Timespan(Left.count());
  };
  Poco::Net::StreamSocket Connection;
  Connection.connect(Poco::Net::SocketAddress(Settings.Collector), TimeLeft());
  const std::string Request = fmt::format(
      "POST /v1/traces HTTP/1.1\r\nHost: {}\r\nContent-Type: "
      "application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
      Settings.Collector, Body.size(), Body);
  for (std::string_view Rest = Request; !Rest.empty();) {
    Connection.setSendTimeout(TimeLeft());
    const int Sent = Connection.sendBytes(
        Rest.data(), static_cast<int>(std::min(Rest.size(), SendSize)));
    Rest.remove_prefix(static_cast<std::size_t>(std::max(Sent, 0)));
  }
  // The body of the answer is not read, as the connection is not reused.
  std::string Answer;
  std::array<char, 1'024> Buffer{};
  while (Answer.size() < AnswerLimit) {
    Connection.setReceiveTimeout(TimeLeft());
    const int Received = Connection.receiveBytes(Buffer.data(), Buffer.size());
    if (Received <= 0) {
      break;
    }
    Answer.append(Buffer.data(), static_cast<std::size_t>(Received));
    if (const std::optional<int> Status = statusOf(Answer)) {
      return *Status;
    }
  }
  throw Poco::DataFormatException("malformed answer");
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
    const int Status = post(renderSpans(Batch, Origin));
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
