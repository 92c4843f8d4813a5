/// @file
/// @brief A port whose answers are made at once from the request alone.
#pragma once

#include "hyssopford/net/http_server.hpp"

#include <functional>
#include <utility>

namespace hyssopford {

/// @brief Answers every request with what a function makes of it. Requests with
/// a body are refused.
class PageService final : public HttpServerHandler {
public:
  using Function = std::function<Payload(const HttpRequest &)>;

  /// @param Source makes the answer
  explicit PageService(Function Source) : Answer(std::move(Source)) {}

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source) { Server = &Source; }

  HeadDecision onHead(const Poco::Net::HTTPRequest & /*Head*/,
                      const HttpHeadFacts & /*Facts*/) override {
    return HeadDecision{std::nullopt, 0};
  }
  void onRequest(RequestId Id, HttpRequest Request) override {
    Server->reply(Id, Answer(Request));
  }
  void onDisconnected(RequestId /*Id*/) override {}
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

private:
  Function Answer;
  HttpServer *Server = nullptr;
};

} // namespace hyssopford
