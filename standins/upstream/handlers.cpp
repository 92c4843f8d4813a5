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

/// Largest request body in bytes that the JSON answer includes.
constexpr std::size_t MaxIncludedBodyBytes = 4'096;

std::string readBody(HTTPServerRequest &Request) {
  std::string Body;
  Poco::StreamCopier::copyToString(Request.stream(), Body);
  return Body;
}

void sendText(HTTPServerResponse &Response, const std::string &Text) {
  Response.setContentLength(static_cast<std::streamsize>(Text.size()));
  Response.send() << Text;
}

/// Reads a header field as an integer.
/// @return its value, or the default if the field is absent
std::int64_t integerHeader(const HTTPServerRequest &Request, const char *Name,
                           std::int64_t Default) {
  return Request.has(Name) ? std::atoll(Request.get(Name).c_str()) : Default;
}

/// Answers health checks with the requests in flight, the slots and the number
/// of requests so far.
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

/// Changes the behaviour. The body is a JSON object with the optional fields
/// service_time_us, slots, error_per_mille, drain, stop and crash; crash ends
/// the process at once without an answer.
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

/// Serves requests of all other paths. Header fields of the request select the
/// behaviour: X-Service-Time-Us (time to serve it), X-Answer-Bytes (an answer
/// of this size that repeats the hash of the request body), X-Echo (the answer
/// is the request body), X-Chunked (chunked transfer encoding) and X-Crash (the
/// process ends without an answer).
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
    std::this_thread::sleep_for(std::chrono::microseconds(integerHeader(
        Request, "X-Service-Time-Us", Current.ServiceTimeUs.load())));
    if (Run % 1'000 < Current.ErrorPerMille) {
      Response.setStatus(HTTPServerResponse::HTTP_INTERNAL_SERVER_ERROR);
    }
    Response.setChunkedTransferEncoding(Request.has("X-Chunked"));
    const std::string Text = answerBody(Request, Body, Run);
    if (Request.has("X-Chunked")) {
      Response.send() << Text;
    } else {
      sendText(Response, Text);
    }
    --Current.Running;
  }

private:
  std::string answerBody(const HTTPServerRequest &Request,
                         const std::string &Body, std::uint64_t Run) const {
    const std::string Hash = fmt::format("{:016x}", hashBytes(Body));
    if (Request.has("X-Echo")) {
      return Body;
    }
    const auto Size =
        static_cast<std::size_t>(integerHeader(Request, "X-Answer-Bytes", 0));
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
    if (Body.size() <= MaxIncludedBodyBytes) {
      Result["body"] = Body;
    }
    return Result.dump(-1, ' ', false, json::error_handler_t::replace);
  }

  Behaviour &Current;
};

} // namespace

Poco::Net::HTTPRequestHandler *
HandlerFactory::createRequestHandler(const HTTPServerRequest &Request) {
  // The HTTP server deletes the handler.
  if (Request.getURI() == "/health") {
    return new HealthHandler(Current);
  }
  if (Request.getURI() == "/.control") {
    return new ControlHandler(Current);
  }
  return new ServiceHandler(Current);
}

} // namespace hyssopford
