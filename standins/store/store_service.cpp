#include "store_service.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace hyssopford::standin {

namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Each waiting watch occupies a thread.
constexpr int MaxThreads = 256;
// Bodies are JSON, where escaping takes up to six bytes per character of a
// value.
constexpr std::streamsize MaxBodyBytes = 8'000'000;

constexpr std::string_view KeyPrefix = "/v1/kv/";
constexpr std::string_view LeasePrefix = "/v1/leases";

void sendAnswer(HTTPServerResponse &Response, HTTPResponse::HTTPStatus Status,
                const json &Body) {
  Response.setStatusAndReason(Status);
  const std::string Text =
      Status == HTTPResponse::HTTP_NO_CONTENT ? "" : Body.dump();
  Response.setContentType("application/json");
  Response.sendBuffer(Text.data(), Text.size());
}

HTTPResponse::HTTPStatus statusOf(const StoreResult &Result) {
  switch (Result.Status) {
  case StoreStatus::Done:
    return HTTPResponse::HTTP_OK;
  case StoreStatus::Missing:
    return HTTPResponse::HTTP_NOT_FOUND;
  case StoreStatus::Conflict:
    return HTTPResponse::HTTP_CONFLICT;
  case StoreStatus::Unchanged:
    return HTTPResponse::HTTP_NO_CONTENT;
  case StoreStatus::Refused:
    return Result.Reason == "rate limit"
               ? HTTPResponse::HTTP_TOO_MANY_REQUESTS
               : HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
  case StoreStatus::NoAnswer:
    break;
  }
  return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}

json bodyOf(const StoreResult &Result) {
  json Body = json::object();
  if (!Result.Reason.empty()) {
    Body["reason"] = Result.Reason;
  }
  if (Result.Lease != 0) {
    Body["lease"] = Result.Lease;
  }
  if (Result.Revision != 0 || Result.Status == StoreStatus::Conflict) {
    Body["revision"] = Result.Revision;
    Body["value"] = Result.Value;
  }
  return Body;
}

json countersOf(const StoreCounters &Counters) {
  return {
      {"reads", Counters.Reads},           {"writes", Counters.Writes},
      {"watches", Counters.Watches},       {"leases", Counters.Leases},
      {"conflicts", Counters.Conflicts},   {"refused", Counters.Refused},
      {"unanswered", Counters.Unanswered}, {"peak_reads", Counters.PeakReads},
      {"peak_writes", Counters.PeakWrites}};
}

json faultsOf(const StoreFaults &Faults) {
  return {{"down", Faults.Down},
          {"delay_ms", Faults.Delay / 1ms},
          {"lose_write_answers", Faults.LoseWriteAnswers},
          {"serve_older", Faults.ServeOlder},
          {"write_limit", Faults.WriteLimit},
          {"read_limit", Faults.ReadLimit}};
}

/// Sets the faults that the body names; the others keep their values.
void updateFaults(StoreFaults &Faults, const json &Body) {
  Faults.Down = Body.value("down", Faults.Down);
  Faults.Delay =
      std::chrono::milliseconds(Body.value("delay_ms", Faults.Delay / 1ms));
  Faults.LoseWriteAnswers =
      Body.value("lose_write_answers", Faults.LoseWriteAnswers);
  Faults.ServeOlder = Body.value("serve_older", Faults.ServeOlder);
  Faults.WriteLimit = Body.value("write_limit", Faults.WriteLimit);
  Faults.ReadLimit = Body.value("read_limit", Faults.ReadLimit);
}

class Handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(StoreService &Store) : Service(Store) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    try {
      std::string Body;
      if (Request.hasContentLength() &&
          Request.getContentLength64() > MaxBodyBytes) {
        sendAnswer(Response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                   {{"reason", "body too large"}});
        return;
      }
      Poco::StreamCopier::copyToString(Request.stream(), Body);
      serve(Request, Body.empty() ? json::object() : json::parse(Body),
            Response);
    } catch (const json::exception &Failure) {
      sendAnswer(Response, HTTPResponse::HTTP_BAD_REQUEST,
                 {{"reason", Failure.what()}});
    }
  }

private:
  void serve(HTTPServerRequest &Request, const json &Body,
             HTTPServerResponse &Response) {
    const Poco::URI Target(Request.getURI());
    const std::string &Path = Target.getPath();
    if (Path.starts_with("/admin/")) {
      serveAdmin(Path, Request.getMethod(), Body, Response);
      return;
    }
    std::optional<StoreOperation> Operation;
    if (Path.starts_with(KeyPrefix)) {
      Operation = keyOperation(Path.substr(KeyPrefix.size()), Target,
                               Request.getMethod(), Body);
    } else if (Path.starts_with(LeasePrefix) && Request.getMethod() == "POST") {
      const std::string Rest = Path.substr(LeasePrefix.size());
      Operation =
          StoreLease{Rest.size() < 2 ? 0 : std::stoull(Rest.substr(1)),
                     std::chrono::milliseconds(Body.value("ttl_ms", 0))};
    }
    if (!Operation) {
      sendAnswer(Response, HTTPResponse::HTTP_BAD_REQUEST,
                 {{"reason", "unknown path or method"}});
      return;
    }
    const StoreResult Result = Service.call(*Operation);
    if (Result.Status == StoreStatus::NoAnswer) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .socket()
          .shutdown();
      return;
    }
    sendAnswer(Response, statusOf(Result), bodyOf(Result));
  }

  /// Translates a request for a key.
  /// @return the operation, or nothing if the method is not supported
  static std::optional<StoreOperation> keyOperation(const std::string &Key,
                                                    const Poco::URI &Target,
                                                    const std::string &Method,
                                                    const json &Body) {
    if (Method == "PUT") {
      return StoreWrite{Key, Body.at("value").get<std::string>(),
                        Body.value("expected_revision", std::uint64_t{0}),
                        Body.value("lease", std::uint64_t{0})};
    }
    if (Method != "GET") {
      return std::nullopt;
    }
    std::optional<std::uint64_t> After;
    Duration Wait{0};
    for (const auto &[Name, Value] : Target.getQueryParameters()) {
      if (Name == "after") {
        After = std::stoull(Value);
      } else if (Name == "wait_ms") {
        Wait = std::chrono::milliseconds(std::stoll(Value));
      }
    }
    if (After) {
      return StoreWatch{Key, *After, Wait};
    }
    return StoreRead{Key};
  }

  void serveAdmin(const std::string &Path, const std::string &Method,
                  const json &Body, HTTPServerResponse &Response) {
    const json Result = Service.withTable([&](StoreTable &Table) -> json {
      if (Path == "/admin/counters") {
        return countersOf(Table.counters());
      }
      if (Path == "/admin/faults") {
        if (Method == "PUT") {
          updateFaults(Table.faults(), Body);
        }
        return faultsOf(Table.faults());
      }
      if (Path == "/admin/lapse" && Method == "POST") {
        Table.lapse(Body.value("lease", std::uint64_t{0}));
        return json::object();
      }
      return nullptr;
    });
    sendAnswer(Response,
               Result.is_null() ? HTTPResponse::HTTP_NOT_FOUND
                                : HTTPResponse::HTTP_OK,
               Result);
  }

  StoreService &Service;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(StoreService &Store) : Service(Store) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest & /*Request*/) override {
    return new Handler(Service); // The HTTP server deletes it.
  }

private:
  StoreService &Service;
};

} // namespace

StoreService::StoreService(const std::string &Address)
    : Threads(8, MaxThreads) {
  Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress(Address), 256);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxThreads);
  Params->setKeepAlive(true);
  Server = std::make_unique<Poco::Net::HTTPServer>(new Factory(*this), Threads,
                                                   Socket, Params);
  Server->start();
}

StoreService::~StoreService() {
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Stopping = true;
    Changed.notify_all();
  }
  Server->stopAll(true);
  Threads.joinAll();
}

std::uint16_t StoreService::port() const { return Server->port(); }

StoreResult StoreService::call(const StoreOperation &Operation) {
  std::unique_lock<std::mutex> Guard(Lock);
  StoreResult Result = Table.call(Operation, now());
  if (Result.Status == StoreStatus::Done) {
    Changed.notify_all();
  }
  if (Result.Status == StoreStatus::Unchanged) {
    const auto &Watch = std::get<StoreWatch>(Operation);
    const TimePoint End = now() + Watch.Timeout;
    while (!Stopping && now() < End) {
      Changed.wait_for(Guard, End - now());
      if (const auto Found = Table.changed(Watch, now())) {
        Result = *Found;
        break;
      }
    }
  }
  if (Table.faults().Delay > Duration{0} &&
      !sleepFor(Guard, Table.faults().Delay)) {
    Result.Status = StoreStatus::NoAnswer;
  }
  return Result;
}

TimePoint StoreService::now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

bool StoreService::sleepFor(std::unique_lock<std::mutex> &Guard,
                            Duration Delay) {
  return !Changed.wait_for(Guard, Delay, [&] { return Stopping; });
}

} // namespace hyssopford::standin
