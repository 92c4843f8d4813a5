/// @file
/// @brief The operators' port.
#pragma once

#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/upstream_registry.hpp"

#include <string>

namespace hyssopford {

/// @brief Bearer tokens of the operators' port. An empty token admits nobody.
struct OperatorTokens {
  std::string Read;
  /// Also admits to everything that Read admits to.
  std::string Write;
};

/// @brief What the operators' port reports on.
struct OperatorView {
  CoreDriver &Driver;
  const PeerLinks &Links;
  const UpstreamClient &Upstream;
  const UpstreamRegistry &Registry;
};

/// @brief Answers the requests of operators with JSON.
class OperatorService final : public HttpServerHandler {
public:
  OperatorService(const OperatorView &View, OperatorTokens Tokens);

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source) { Server = &Source; }

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;
  void onGone(RequestId Id) override;
  Payload refusal(const HttpFault &Fault) override;

private:
  std::string status() const;
  std::string members() const;
  std::string load() const;

  OperatorView View;
  OperatorTokens Tokens;
  HttpServer *Server = nullptr;
};

} // namespace hyssopford
