#include "hyssopford/net/store_client.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
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
const Poco::Timespan IdleLimit(5, 0);
// Values have up to 1 MB, and JSON escapes take up to six bytes a character.
constexpr std::size_t AnswerLimit = 8'000'000;

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

StoreStatus statusOf(HTTPResponse::HTTPStatus Status) {
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

StoreResult readAnswer(const HTTPResponse &Response, const std::string &Text) {
  StoreResult Result;
  Result.Status = statusOf(Response.getStatus());
  const json Body = json::parse(Text.empty() ? "{}" : Text);
  Result.Value = Body.value("value", "");
  Result.Revision = Body.value("revision", std::uint64_t{0});
  Result.Lease = Body.value("lease", std::uint64_t{0});
  Result.Reason = Body.value("reason", "");
  if (Result.Status == StoreStatus::NoAnswer && Result.Reason.empty()) {
    Result.Reason = "HTTP status " + std::to_string(Response.getStatus());
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
    if (Session && Session->connected()) {
      try {
        Session->socket().shutdown();
      } catch (const Poco::Exception &) { // NOLINT(bugprone-empty-catch)
        // The connection is closed already.
      }
    }
  }

private:
  /// A session that connects separately from sending, so that a failure to
  /// connect can be distinguished from a failure after sending.
  struct ConnectableSession final : Poco::Net::HTTPClientSession {
    using HTTPClientSession::HTTPClientSession;
    void open() {
      if (!connected() || mustReconnect() || hasInput()) {
        close();
        connect(Poco::Net::SocketAddress(getHost(), getPort()));
      }
    }

  private:
    /// Returns whether the connection has ended or holds bytes, which belong
    /// to no call.
    bool hasInput() {
      return buffered() > 0 ||
             socket().poll(Poco::Timespan(0),
                           Poco::Net::Socket::SELECT_READ |
                               Poco::Net::Socket::SELECT_ERROR);
    }
  };

  void connect() {
    const Poco::Net::SocketAddress Address(Settings.Address);
    const std::lock_guard<std::mutex> Guard(Lock);
    if (Interrupted) {
      throw Poco::IllegalStateException("the store client is shutting down");
    }
    if (!Session) {
      Session = std::make_unique<ConnectableSession>(Address.host().toString(),
                                                     Address.port());
      Session->setKeepAlive(true);
      Session->setKeepAliveTimeout(IdleLimit);
    }
    Session->setTimeout(timespan(Settings.ConnectTimeout),
                        timespan(Settings.CallTimeout),
                        timespan(Settings.CallTimeout));
    Session->open();
  }

  void reset() {
    const std::lock_guard<std::mutex> Guard(Lock);
    Session->reset();
  }

  StoreResult exchange(const HttpCall &Call) {
    Session->socket().setReceiveTimeout(
        timespan(Settings.CallTimeout + Call.Wait));
    HTTPRequest Request(Call.Method, Call.Target, HTTPRequest::HTTP_1_1);
    if (!Call.Body.empty()) {
      Request.setContentType("application/json");
      Request.setContentLength64(static_cast<Poco::Int64>(Call.Body.size()));
    }
    Session->sendRequest(Request) << Call.Body;
    HTTPResponse Response;
    std::istream &Stream = Session->receiveResponse(Response);
    if (Response.hasContentLength() &&
        static_cast<std::size_t>(Response.getContentLength64()) > AnswerLimit) {
      throw Poco::DataFormatException("response too large");
    }
    std::string Text;
    Poco::StreamCopier::copyToString(Stream, Text);
    return readAnswer(Response, Text);
  }

  const HttpStoreSettings &Settings;
  std::mutex Lock;
  bool Interrupted = false;
  std::unique_ptr<ConnectableSession> Session;
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
