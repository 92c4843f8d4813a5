/// @file
/// @brief The operators' port.
#pragma once

#include "hyssopford/config/secret.hpp"
#include "hyssopford/core/config_event.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_telemetry.hpp"
#include "hyssopford/node/upstream_registry.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace hyssopford {

/// @brief Bearer tokens of the operators' port. An empty token admits nobody.
struct OperatorTokens {
  Secret Read;
  /// Also admits to everything that Read admits to.
  Secret Write;
};

/// @brief What the operators' port reports on.
struct OperatorView {
  CoreDriver &Driver;
  const PeerLinks &Links;
  const UpstreamClient &Upstream;
  const UpstreamRegistry &Registry;
  NodeTelemetry &Telemetry;
  /// Address of the operators' port itself.
  std::string OperatorAddress;
};

/// @brief Answers the requests of operators as docs/operators-api.md says.
class OperatorService final : public HttpServerHandler {
public:
  OperatorService(OperatorView View, OperatorTokens Tokens);

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source);

  /// @name Results of the core
  /// @{
  void finish(const PatchResult &Result);
  void finish(const HistoryResult &Result);
  /// @}

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;
  void onDisconnected(RequestId Id) override;
  Payload refusal(const HttpFault &Fault) override;

private:
  struct PendingPatch {
    PatchSubmitted Submission;
    /// Version in force when it was submitted.
    std::uint64_t VersionBefore = 0;
  };

  bool read(RequestId Id, const std::string &Path, const std::string &Target);
  void submitPatch(RequestId Id, const std::string &Text);
  void requestHistory(RequestId Id, const std::string &Limit);

  OperatorView View;
  OperatorTokens Tokens;
  HttpServer *Server = nullptr;
  /// Questions that wait for the core, by request.
  std::map<std::uint64_t, PendingPatch> Patches;
  std::map<std::uint64_t, std::size_t> Histories;
};

} // namespace hyssopford
