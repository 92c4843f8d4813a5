#include "hyssopford/net/store_client.hpp"

#include "hyssopford/net/http_reader.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace hyssopford {

namespace {

using nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// Must be shorter than the keep-alive time of the service: a write on a
// connection that the service closes at that moment would end as NoAnswer
// although the service works.
constexpr Duration IdleLimit = 5s;
// Values have up to 1 MB, and JSON escapes take up to six bytes a character.
constexpr std::size_t AnswerLimit = 8'000'000;
/// Most bytes passed to one system call.
constexpr std::size_t SendSize = 65'536;

struct HttpCall {
  std::string Method;
  std::string Target;
  std::string Body;
  Duration Wait{0};
};

std::string keyTarget(const std::string &Key) {
  std::string Target = "/v1/kv/";
  Poco::URI::encode(Key, "?#%", Target);
  return Target;
}

HttpCall makeHttpCall(const StoreRead &Call) {
  return {HTTPRequest::HTTP_GET, keyTarget(Call.Key), "", Duration{0}};
}

HttpCall makeHttpCall(const StoreWrite &Call) {
  json Body = {{"value", Call.Value},
               {"expected_revision", Call.ExpectedRevision}};
  if (Call.Lease != 0) {
    Body["lease"] = Call.Lease;
  }
  return {HTTPRequest::HTTP_PUT, keyTarget(Call.Key),
          Body.dump(-1, ' ', false, json::error_handler_t::replace),
          Duration{0}};
}

HttpCall makeHttpCall(const StoreWatch &Call) {
  return {HTTPRequest::HTTP_GET,
          keyTarget(Call.Key) + "?after=" + std::to_string(Call.AfterRevision) +
              "&wait_ms=" + std::to_string(Call.Timeout / 1ms),
          "", Call.Timeout};
}

HttpCall makeHttpCall(const StoreLease &Call) {
  const std::string Target = Call.Lease == 0
                                 ? "/v1/leases"
                                 : "/v1/leases/" + std::to_string(Call.Lease);
  return {HTTPRequest::HTTP_POST, Target,
          json{{"ttl_ms", Call.TimeToLive / 1ms}}.dump(), Duration{0}};
}

/// The own store has no such call; see HttpStoreClient::Worker::run().
HttpCall makeHttpCall(const StoreList & /*Call*/) { return {}; }

StoreResult failure(StoreStatus Status, std::string Reason) {
  StoreResult Result;
  Result.Status = Status;
  Result.Reason = std::move(Reason);
  return Result;
}

StoreStatus statusOf(int Status) {
  switch (Status) {
  case HTTPResponse::HTTP_OK:
    return StoreStatus::Done;
  case HTTPResponse::HTTP_NO_CONTENT:
    return StoreStatus::Unchanged;
  case HTTPResponse::HTTP_NOT_FOUND:
    return StoreStatus::Missing;
  case HTTPResponse::HTTP_CONFLICT:
    return StoreStatus::Conflict;
  default:
    // 5xx leaves the effect of a write unknown: a gateway may send it after the
    // service has executed the write.
    return Status >= HTTPResponse::HTTP_BAD_REQUEST &&
                   Status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
               ? StoreStatus::Refused
               : StoreStatus::NoAnswer;
  }
}

StoreResult readAnswer(int Status, const std::string &Text) {
  StoreResult Result;
  Result.Status = statusOf(Status);
  const json Body = json::parse(Text.empty() ? "{}" : Text);
  Result.Value = Body.value("value", "");
  Result.Revision = Body.value("revision", std::uint64_t{0});
  Result.Lease = Body.value("lease", std::uint64_t{0});
  Result.Reason = Body.value("reason", "");
  if (Result.Status == StoreStatus::NoAnswer && Result.Reason.empty()) {
    Result.Reason = "HTTP status " + std::to_string(Status);
  }
  return Result;
}

Poco::Timespan timespan(Duration Value) { return {Value.count()}; }

} // namespace

/// Runs one call at a time on its own connection.
class HttpStoreClient::Worker {
public:
  explicit Worker(const HttpStoreSettings &Values) : Settings(Values) {}

  StoreResult run(const StoreOperation &Operation) {
    if (std::holds_alternative<StoreList>(Operation)) {
      return failure(StoreStatus::Refused, "the store lists no keys");
    }
    try {
      connect();
    } catch (const Poco::Exception &Reason) {
      // Nothing was sent, so the call had no effect.
      return failure(StoreStatus::Refused, "cannot connect to store " +
                                               Settings.Address + ": " +
                                               Reason.displayText());
    }
    const HttpCall Call = std::visit(
        [](const auto &Each) { return makeHttpCall(Each); }, Operation);
    try {
      return exchange(Call);
    } catch (const Poco::Exception &Reason) {
      reset();
      return failure(StoreStatus::NoAnswer, "no valid response from store " +
                                                Settings.Address + ": " +
                                                Reason.displayText());
    } catch (const json::exception &Reason) {
      reset();
      return failure(StoreStatus::NoAnswer, "malformed response from store " +
                                                Settings.Address + ": " +
                                                Reason.what());
    }
  }

  /// Interrupts the running call. Thread-safe.
  void interrupt() {
    const std::lock_guard<std::mutex> Guard(Lock);
    Interrupted = true;
    if (Connection) {
      try {
        Connection->shutdown();
      } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch)
        // The connection is closed already.
      }
    }
  }

private:
  using Clock = std::chrono::steady_clock;

  /// Connecting is separate from sending, so that a failure to connect can be
  /// told from a failure after sending.
  void connect() {
    const Poco::Net::SocketAddress Address(Settings.Address);
    const std::lock_guard<std::mutex> Guard(Lock);
    if (Interrupted) {
      throw Poco::IllegalStateException("the store client is shutting down");
    }
    if (Connection && Clock::now() < KeptUntil && !hasInput()) {
      return;
    }
    KeptUntil = Clock::time_point();
    Connection.emplace();
    Connection->connect(Address, timespan(Settings.ConnectTimeout));
    Connection->setNoDelay(true);
    Reader.emplace(HttpReader::Kind::Response,
                   HttpLimits{8'192, 65'536, 100, AnswerLimit});
  }

  /// Returns whether the connection has ended or holds bytes, which belong to
  /// no call.
  bool hasInput() {
    return Connection->poll(Poco::Timespan(0),
                            Poco::Net::Socket::SELECT_READ |
                                Poco::Net::Socket::SELECT_ERROR);
  }

  void reset() {
    const std::lock_guard<std::mutex> Guard(Lock);
    Connection.reset();
  }

  StoreResult exchange(const HttpCall &Call) {
    const Clock::time_point Deadline =
        Clock::now() + Settings.CallTimeout + Call.Wait;
    send(render(Call), Deadline);
    receive(Deadline);
    StoreResult Result = readAnswer(Reader->facts().Status, Reader->body());
    if (Reader->facts().KeepAlive && Reader->buffered() == 0) {
      Reader->next();
      KeptUntil = Clock::now() + IdleLimit;
    } else {
      reset();
    }
    return Result;
  }

  std::string render(const HttpCall &Call) const {
    std::string Text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n",
                                   Call.Method, Call.Target, Settings.Address);
    if (!Call.Body.empty()) {
      Text += fmt::format("Content-Type: application/json\r\n"
                          "Content-Length: {}\r\n",
                          Call.Body.size());
    }
    return Text + "\r\n" + Call.Body;
  }

  void send(std::string_view Bytes, Clock::time_point Deadline) {
    while (!Bytes.empty()) {
      Connection->setSendTimeout(timeLeft(Deadline));
      const int Sent = Connection->sendBytes(
          Bytes.data(), static_cast<int>(std::min(Bytes.size(), SendSize)));
      if (Sent <= 0) {
        throw Poco::TimeoutException("the request could not be sent");
      }
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
  }

  /// Reads one answer. The limits of the reader bound its size, the deadline
  /// its time.
  void receive(Clock::time_point Deadline) {
    std::array<char, 16'384> Buffer{};
    while (true) {
      HttpReader::Progress State = Reader->advance();
      while (State == HttpReader::Progress::HeadReady) {
        State = Reader->advance();
      }
      if (State == HttpReader::Progress::Complete) {
        return;
      }
      if (State == HttpReader::Progress::Failed) {
        throw Poco::DataFormatException(Reader->fault().Reason);
      }
      Connection->setReceiveTimeout(timeLeft(Deadline));
      const int Received =
          Connection->receiveBytes(Buffer.data(), Buffer.size());
      if (Received > 0) {
        Reader->feed({Buffer.data(), static_cast<std::size_t>(Received)});
      } else if (Reader->finish() == HttpReader::Progress::Complete) {
        return;
      } else {
        throw Poco::Net::NetException("the connection ended early");
      }
    }
  }

  static Poco::Timespan timeLeft(Clock::time_point Deadline) {
    const auto Left =
        std::chrono::duration_cast<Duration>(Deadline - Clock::now());
    if (Left <= Duration{0}) {
      throw Poco::TimeoutException("no complete answer in time");
    }
    return timespan(Left);
  }

  const HttpStoreSettings &Settings;
  std::mutex Lock;
  bool Interrupted = false;
  std::optional<Poco::Net::StreamSocket> Connection;
  std::optional<HttpReader> Reader;
  /// Time until which an idle connection is used again.
  Clock::time_point KeptUntil;
};

/// A queue of calls and the threads that run them, started on demand.
class HttpStoreClient::Pool {
public:
  Pool(HttpStoreSettings Values, std::size_t ThreadLimit,
       std::size_t LongestQueue, Callback Receiver)
      : Settings(std::move(Values)), Threads(ThreadLimit),
        QueueLimit(LongestQueue), Done(std::move(Receiver)) {}

  ~Pool() {
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      Stopping = true;
      Queue.clear();
      Wakeup.notify_all();
    }
    for (const std::unique_ptr<Worker> &Each : Workers) {
      Each->interrupt();
    }
    for (std::thread &Each : Running) {
      Each.join();
    }
  }

  void start(StoreCall Call) {
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      if (Queue.size() < QueueLimit) {
        Queue.push_back(std::move(Call));
        if (Queue.size() > Idle && Running.size() < Threads) {
          Workers.push_back(std::make_unique<Worker>(Settings));
          Running.emplace_back(&Pool::serve, this, Workers.back().get());
        }
        Wakeup.notify_one();
        return;
      }
    }
    Done(Call.Call, failure(StoreStatus::Refused,
                            "queue of store calls is full; call dropped"));
  }

private:
  void serve(Worker *Assigned) {
    std::unique_lock<std::mutex> Guard(Lock);
    while (true) {
      ++Idle;
      Wakeup.wait(Guard, [&] { return Stopping || !Queue.empty(); });
      --Idle;
      if (Stopping) {
        return;
      }
      const StoreCall Next = std::move(Queue.front());
      Queue.pop_front();
      Guard.unlock();
      StoreResult Result = Assigned->run(Next.Operation);
      Guard.lock();
      if (!Stopping) {
        Guard.unlock();
        Done(Next.Call, std::move(Result));
        Guard.lock();
      }
    }
  }

  const HttpStoreSettings Settings;
  const std::size_t Threads;
  const std::size_t QueueLimit;
  const Callback Done;
  std::mutex Lock;
  std::condition_variable Wakeup;
  bool Stopping = false;
  std::size_t Idle = 0;
  std::deque<StoreCall> Queue;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::thread> Running;
};

HttpStoreClient::HttpStoreClient(const HttpStoreSettings &Settings,
                                 const Callback &Done)
    : Calls(std::make_unique<Pool>(Settings, 1, Settings.QueueLimit, Done)),
      Watches(std::make_unique<Pool>(Settings, Settings.WatchLimit,
                                     Settings.QueueLimit, Done)) {}

HttpStoreClient::~HttpStoreClient() = default;

void HttpStoreClient::start(StoreCall Call) {
  const bool IsWatch = std::holds_alternative<StoreWatch>(Call.Operation);
  (IsWatch ? Watches : Calls)->start(std::move(Call));
}

} // namespace hyssopford
