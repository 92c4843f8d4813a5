#include "collector_service.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace hyssopford::standin {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPResponse;

/// Received spans and the answer to export requests.
struct SpanStore {
  std::mutex Mutex;
  std::vector<std::string> Spans;
  std::uint64_t SpanCount = 0;
  std::uint64_t RequestCount = 0;
  int Status = HTTPResponse::HTTP_OK;
  std::chrono::milliseconds Delay{0};

  /// Adds the spans of an export request.
  /// @param Document the request body
  /// @note Throws Json::exception if the document is malformed; spans before
  /// the malformed part are kept.
  void addSpans(const Json &Document) {
    const std::scoped_lock Lock(Mutex);
    ++RequestCount;
    for (const Json &Resource : Document.at("resourceSpans")) {
      for (const Json &Scope : Resource.at("scopeSpans")) {
        for (const Json &Span : Scope.at("spans")) {
          ++SpanCount;
          if (Spans.size() < CollectorService::MaxStoredSpans) {
            Spans.push_back(Span.dump());
          }
        }
      }
    }
  }

  Json counters() {
    const std::scoped_lock Lock(Mutex);
    return {{"spans", SpanCount},
            {"requests", RequestCount},
            {"stored", Spans.size()}};
  }

  Json storedSpans() {
    const std::scoped_lock Lock(Mutex);
    Json Result = Json::array();
    for (const std::string &Each : Spans) {
      Result.push_back(Json::parse(Each));
    }
    return Result;
  }
};

class Handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(SpanStore &Target) : Store(Target) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const std::string &Path = Request.getURI();
    if (Request.getMethod() == "POST" && Path == "/v1/traces") {
      handleExport(Request, Response);
    } else if (Request.getMethod() == "GET" && Path == "/count") {
      send(Response, Store.counters());
    } else if (Request.getMethod() == "GET" && Path == "/spans") {
      send(Response, Store.storedSpans());
    } else {
      Response.setStatusAndReason(HTTPResponse::HTTP_NOT_FOUND);
      send(Response, Json::object());
    }
  }

private:
  void handleExport(Poco::Net::HTTPServerRequest &Request,
                    Poco::Net::HTTPServerResponse &Response) {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    int Status = HTTPResponse::HTTP_OK;
    std::chrono::milliseconds Delay{0};
    {
      const std::scoped_lock Lock(Store.Mutex);
      Status = Store.Status;
      Delay = Store.Delay;
    }
    std::this_thread::sleep_for(Delay);
    if (Status == HTTPResponse::HTTP_OK) {
      try {
        Store.addSpans(Json::parse(Body));
      } catch (const Json::exception &) {
        Status = HTTPResponse::HTTP_BAD_REQUEST;
      }
    }
    Response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
    send(Response, Json::object());
  }

  static void send(Poco::Net::HTTPServerResponse &Response, const Json &Body) {
    const std::string Text = Body.dump();
    Response.setContentType("application/json");
    Response.sendBuffer(Text.data(), Text.size());
  }

  SpanStore &Store;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(SpanStore &Target) : Store(Target) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(Store);
  }

private:
  SpanStore &Store;
};

} // namespace

struct CollectorService::State {
  explicit State(const std::string &Listen)
      : Socket(Poco::Net::SocketAddress(Listen)),
        Server(new Factory(Store), Socket, new Poco::Net::HTTPServerParams) {}

  SpanStore Store;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Server;
};

CollectorService::CollectorService(const std::string &Listen)
    : Data(std::make_unique<State>(Listen)) {
  Data->Server.start();
}

CollectorService::~CollectorService() { Data->Server.stopAll(true); }

std::uint16_t CollectorService::port() const {
  return Data->Socket.address().port();
}

std::uint64_t CollectorService::spans() const {
  const std::scoped_lock Lock(Data->Store.Mutex);
  return Data->Store.SpanCount;
}

std::vector<std::string> CollectorService::storedSpans() const {
  const std::scoped_lock Lock(Data->Store.Mutex);
  return Data->Store.Spans;
}

void CollectorService::behave(int Status, std::chrono::milliseconds Delay) {
  const std::scoped_lock Lock(Data->Store.Mutex);
  Data->Store.Status = Status;
  Data->Store.Delay = Delay;
}

} // namespace hyssopford::standin
