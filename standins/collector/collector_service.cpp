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

struct Store {
  std::mutex Mutex;
  std::vector<std::string> Spans;
  std::uint64_t SpanCount = 0;
  std::uint64_t RequestCount = 0;
  int Status = HTTPResponse::HTTP_OK;
  std::chrono::milliseconds Delay{0};

  void take(const Json &Document) {
    const std::scoped_lock Lock(Mutex);
    ++RequestCount;
    for (const Json &Resource : Document.at("resourceSpans")) {
      for (const Json &Scope : Resource.at("scopeSpans")) {
        for (const Json &Span : Scope.at("spans")) {
          ++SpanCount;
          if (Spans.size() < CollectorService::MaxStored) {
            Spans.push_back(Span.dump());
          }
        }
      }
    }
  }

  Json counts() {
    const std::scoped_lock Lock(Mutex);
    return {{"spans", SpanCount},
            {"requests", RequestCount},
            {"stored", Spans.size()}};
  }

  Json all() {
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
  explicit Handler(Store &Target) : Data(Target) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const std::string &Path = Request.getURI();
    if (Request.getMethod() == "POST" && Path == "/v1/traces") {
      collect(Request, Response);
    } else if (Request.getMethod() == "GET" && Path == "/count") {
      send(Response, Data.counts());
    } else if (Request.getMethod() == "GET" && Path == "/spans") {
      send(Response, Data.all());
    } else {
      Response.setStatusAndReason(HTTPResponse::HTTP_NOT_FOUND);
      send(Response, Json::object());
    }
  }

private:
  void collect(Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response) {
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    int Status = HTTPResponse::HTTP_OK;
    std::chrono::milliseconds Delay{0};
    {
      const std::scoped_lock Lock(Data.Mutex);
      Status = Data.Status;
      Delay = Data.Delay;
    }
    std::this_thread::sleep_for(Delay);
    if (Status == HTTPResponse::HTTP_OK) {
      try {
        Data.take(Json::parse(Body));
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

  Store &Data;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(Store &Target) : Data(Target) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(Data);
  }

private:
  Store &Data;
};

} // namespace

struct CollectorService::State {
  explicit State(const std::string &Listen)
      : Socket(Poco::Net::SocketAddress(Listen)),
        Server(new Factory(Content), Socket, new Poco::Net::HTTPServerParams) {}

  Store Content;
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
  const std::scoped_lock Lock(Data->Content.Mutex);
  return Data->Content.SpanCount;
}

std::vector<std::string> CollectorService::stored() const {
  const std::scoped_lock Lock(Data->Content.Mutex);
  return Data->Content.Spans;
}

void CollectorService::behave(int Status, std::chrono::milliseconds Delay) {
  const std::scoped_lock Lock(Data->Content.Mutex);
  Data->Content.Status = Status;
  Data->Content.Delay = Delay;
}

} // namespace hyssopford::standin
