/// @file
/// @brief HTTP handler for requests of callers and of the upstream on this VM.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/net/edge_policy.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_telemetry.hpp"
#include "hyssopford/telemetry/trace_parent.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <utility>

namespace hyssopford {

/// @brief Converts HTTP requests to events of the decision core, and its
/// replies to HTTP responses.
class CallerService : public HttpServerHandler {
public:
  /// @name Construction
  /// @{

  /// @param Driver receives the request events
  /// @param Edge header fields of the deployment; must outlive this object
  /// @param Trusted true for the port of the upstream on this VM; its internal
  /// header fields are accepted
  CallerService(CoreDriver &Driver, const EdgePolicy &Edge, bool Trusted);
  /// @}

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source) { Server = &Source; }

  /// @brief Sets the sampler for traces that this node starts.
  void setSampler(TraceSampler NewSampler) { Sampler = NewSampler; }

  /// @brief Sets the IP address that only the upstream on this VM sends from.
  /// Its requests get high priority.
  void setUpstreamIp(std::string Host) { UpstreamIp = std::move(Host); }

  /// @brief Sets the receiver of metrics and log lines; must outlive this
  /// object.
  void setTelemetry(NodeTelemetry &Observer) { Telemetry = &Observer; }

  /// @brief Sets the budget that requests are charged to; must outlive this
  /// object.
  void setMemory(MemoryBudget &Budget) { Memory = &Budget; }

  /// @brief Refuses every later request with "shutting-down".
  void refuseNewRequests() { Refusing = true; }

  /// @brief Sends the core's reply to the caller.
  void answer(const ReplyToCaller &Reply);

  /// @return the number of malformed requests refused since the start
  std::uint64_t refusedRequests() const { return RefusedRequests; }

  /// @return the number of requests refused for their credential since the
  /// start
  std::uint64_t credentialRefusals() const { return CredentialRefusals; }

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  bool canServe(const Poco::Net::HTTPRequest &Head,
                const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;
  void onDisconnected(RequestId Id) override;
  void onRefused(const HttpFault &Fault) override;
  Payload refusal(const HttpFault &Fault) override;

private:
  TraceContext newTrace();
  /// Account is the client account of the request, or nullptr.
  Payload refuseHead(const Poco::Net::HTTPRequest &Head, OutcomeReason Reason,
                     const ClientAccount *Account = nullptr);

  CoreDriver &Driver;
  const EdgePolicy &Edge;
  bool Trusted;
  std::string UpstreamIp;
  bool Refusing = false;
  HttpServer *Server = nullptr;
  NodeTelemetry *Telemetry = nullptr;
  MemoryBudget *Memory = nullptr;
  std::uint64_t RefusedRequests = 0;
  std::uint64_t CredentialRefusals = 0;
  TraceSampler Sampler{0};
  std::mt19937_64 TraceSource;
};

} // namespace hyssopford
