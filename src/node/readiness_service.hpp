/// @file
/// @brief The port that says whether this node takes callers.
#pragma once

#include "hyssopford/net/http_server.hpp"

#include <functional>

namespace hyssopford {

/// @brief Answers every request with 200 or 503.
class ReadinessService final : public HttpServerHandler {
public:
  /// @param Question says whether the node is ready
  explicit ReadinessService(std::function<bool()> Question)
      : IsReady(std::move(Question)) {}

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source) { Server = &Source; }

  HeadDecision onHead(const Poco::Net::HTTPRequest & /*Head*/,
                      const HttpHeadFacts & /*Facts*/) override {
    return HeadDecision{std::nullopt, 0};
  }
  void onRequest(RequestId Id, HttpRequest /*Request*/) override {
    Server->reply(Id, makeHttpAnswer(IsReady() ? 200 : 503, "", ""));
  }
  void onGone(RequestId /*Id*/) override {}
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

private:
  std::function<bool()> IsReady;
  HttpServer *Server = nullptr;
};

} // namespace hyssopford
