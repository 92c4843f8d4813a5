#include "handlers.hpp"

#include "hyssopford/core/ids.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace hyssopford {

namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Largest body that is repeated in the JSON answer.
constexpr std::size_t EchoLimit = 4'096;

std::string readBody(HTTPServerRequest &Request) {
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  return Body;
}

void sendText(HTTPServerResponse &Response, const std::string &Text) {
  Response.setContentLength(static_cast<std::streamsize>(Text.size()));
  Response.send() << Text;
}

/// A number that a test sets in a request field.
std::int64_t numberField(const HTTPServerRequest &Request, const char *Name,
                         std::int64_t Default) {
  return Request.has(Name) ? std::atoll(Request.get(Name).c_str()) : Default;
}

class HealthHandler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit HealthHandler(const Behaviour &Settings) : Current(Settings) {}

  void handleRequest(HTTPServerRequest & /*Request*/,
                     HTTPServerResponse &Response) override {
    Response.setContentType("application/json");
    sendText(Response, json{{"running", Current.Running.load()},
                            {"slots", Current.Slots.load()},
                            {"runs", Current.Runs.load()}}
                           .dump());
  }

private:
  const Behaviour &Current;
};

/// Changes the behaviour: {"service_time_us", "slots", "error_per_mille",
/// "drain", "stop", "crash"}, all optional.
class ControlHandler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit ControlHandler(Behaviour &Settings) : Current(Settings) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const json Change = json::parse(readBody(Request), nullptr, false);
    if (!Change.is_object()) {
      Response.setStatus(HTTPServerResponse::HTTP_BAD_REQUEST);
      sendText(Response, "expected a JSON object\n");
      return;
    }
    if (Change.value("crash", false)) {
      std::_Exit(EXIT_FAILURE);
    }
    Current.ServiceTimeUs =
        Change.value("service_time_us", Current.ServiceTimeUs.load());
    Current.Slots = Change.value("slots", Current.Slots.load());
    Current.ErrorPerMille =
        Change.value("error_per_mille", Current.ErrorPerMille.load());
    Current.Draining = Change.value("drain", Current.Draining.load());
    Current.Stopping = Change.value("stop", Current.Stopping.load());
    sendText(Response, "{}\n");
  }

private:
  Behaviour &Current;
};

/// The service. Request fields of tests: X-Service-Time-Us, X-Answer-Bytes
/// (the answer repeats the hash of the request), X-Echo (the answer is the
/// request's body), X-Crash.
class ServiceHandler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit ServiceHandler(Behaviour &Settings) : Current(Settings) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const std::uint64_t Run = ++Current.Runs;
    ++Current.Running;
    const std::string Body = readBody(Request);
    if (Request.has("X-Crash")) {
      std::_Exit(EXIT_FAILURE);
    }
    std::this_thread::sleep_for(std::chrono::microseconds(numberField(
        Request, "X-Service-Time-Us", Current.ServiceTimeUs.load())));
    if (Run % 1'000 < Current.ErrorPerMille) {
      Response.setStatus(HTTPServerResponse::HTTP_INTERNAL_SERVER_ERROR);
    }
    Response.setChunkedTransferEncoding(Request.has("X-Chunked"));
    const std::string Text = answer(Request, Body, Run);
    if (Request.has("X-Chunked")) {
      Response.send() << Text;
    } else {
      sendText(Response, Text);
    }
    --Current.Running;
  }

private:
  std::string answer(const HTTPServerRequest &Request, const std::string &Body,
                     std::uint64_t Run) const {
    const std::string Hash = fmt::format("{:016x}", hashBytes(Body));
    if (Request.has("X-Echo")) {
      return Body;
    }
    const auto Size =
        static_cast<std::size_t>(numberField(Request, "X-Answer-Bytes", 0));
    if (Size > 0) {
      std::string Text;
      while (Text.size() < Size) {
        Text += Hash;
      }
      Text.resize(Size);
      return Text;
    }
    json Result{{"service", Current.Service},
                {"instance", Current.Instance},
                {"method", Request.getMethod()},
                {"target", Request.getURI()},
                {"run", Run},
                {"timeout_ms", Request.get("Hyssopford-Timeout-Ms", "")},
                {"priority", Request.get("Hyssopford-Priority", "")},
                {"traceparent", Request.get("traceparent", "")},
                {"forwarded", Request.get("Forwarded", "")},
                {"body_hash", Hash}};
    if (Body.size() <= EchoLimit) {
      Result["body"] = Body;
    }
    return Result.dump(-1, ' ', false, json::error_handler_t::replace);
  }

  Behaviour &Current;
};

} // namespace

Poco::Net::HTTPRequestHandler *
HandlerFactory::createRequestHandler(const HTTPServerRequest &Request) {
  // POCO takes over the handler.
  if (Request.getURI() == "/health") {
    return new HealthHandler(Current);
  }
  if (Request.getURI() == "/.control") {
    return new ControlHandler(Current);
  }
  return new ServiceHandler(Current);
}

} // namespace hyssopford
