/// @file
/// @brief The port that serves this node's metrics.
#pragma once

#include "hyssopford/net/http_server.hpp"

#include <functional>
#include <string>

namespace hyssopford {

/// @brief Answers GET and HEAD of /metrics with the metrics as text.
class MetricsService final : public HttpServerHandler {
public:
  /// @param Source renders the metrics in the Prometheus text format
  explicit MetricsService(std::function<std::string()> Source)
      : Page(std::move(Source)) {}

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source) { Server = &Source; }

  HeadDecision onHead(const Poco::Net::HTTPRequest & /*Head*/,
                      const HttpHeadFacts & /*Facts*/) override {
    return HeadDecision{std::nullopt, 0};
  }
  void onRequest(RequestId Id, HttpRequest Request) override;
  void onGone(RequestId /*Id*/) override {}
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

private:
  std::function<std::string()> Page;
  HttpServer *Server = nullptr;
};

} // namespace hyssopford
