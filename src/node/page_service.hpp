/// @file
/// @brief HTTP handler that answers each request with the result of a function.
#pragma once

#include "hyssopford/net/http_server.hpp"

#include <functional>
#include <utility>

namespace hyssopford {

/// @brief Answers each request at once with the result of a function. Requests
/// with a body are refused.
class PageService final : public HttpServerHandler {
public:
  using AnswerFunction = std::function<Payload(const HttpRequest &)>;

  /// @param Source computes the answer to a request
  explicit PageService(AnswerFunction Source) : Answer(std::move(Source)) {}

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
  AnswerFunction Answer;
  HttpServer *Server = nullptr;
};

} // namespace hyssopford
