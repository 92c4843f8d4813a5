/// @file
/// @brief HTTP handler of the operators' port.
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

/// @brief Bearer tokens of the operators' port. An empty token never matches.
struct OperatorTokens {
  /// Allows GET and HEAD.
  Secret Read;
  /// Allows changes, and all that Read allows.
  Secret Write;
};

/// @brief Parts of the node that the operators' port reads and controls.
struct OperatorContext {
  CoreDriver &Driver;
  const PeerLinks &Links;
  const UpstreamClient &Upstream;
  const UpstreamRegistry &Registry;
  NodeTelemetry &Telemetry;
  /// Address of the operators' port itself.
  std::string OperatorAddress;
};

/// @brief Serves the operators' API (docs/operators-api.md).
class OperatorService final : public HttpServerHandler {
public:
  /// @param Context parts of the node; the references must outlive this object
  /// @param Tokens accepted bearer tokens
  OperatorService(OperatorContext Context, OperatorTokens Tokens);

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source);

  /// @name Results of the core
  /// Each answers the HTTP request that is waiting for it, if it still is.
  /// @{
  void onResult(const PatchResult &Result);
  void onResult(const HistoryResult &Result);
  /// @}

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;
  void onDisconnected(RequestId Id) override;
  Payload refusal(const HttpFault &Fault) override;

private:
  struct PendingPatch {
    PatchSubmitted Submission;
    /// Configuration version in force when the patch was submitted.
    std::uint64_t VersionBefore = 0;
  };

  bool answerGet(RequestId Id, const std::string &Path,
                 const std::string &Target);
  void submitPatch(RequestId Id, const std::string &Text);
  void requestHistory(RequestId Id, const std::string &Limit);

  OperatorContext Context;
  OperatorTokens Tokens;
  HttpServer *Server = nullptr;
  /// Submitted patches that await a result of the core, by request.
  std::map<std::uint64_t, PendingPatch> PendingPatches;
  /// Most entries to return for each history request that awaits a result of
  /// the core, by request.
  std::map<std::uint64_t, std::size_t> HistoryLimits;
};

} // namespace hyssopford
