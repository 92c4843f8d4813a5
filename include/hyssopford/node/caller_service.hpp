/// @file
/// @brief Requests of callers and of the upstream on this VM.
#pragma once

#include "hyssopford/core/action.hpp"
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

/// @brief Turns HTTP requests into events of the core and its answers into
/// HTTP answers.
class CallerService : public HttpServerHandler {
public:
  /// @name Construction
  /// @{

  /// @param Driver takes the requests
  /// @param Edge the header fields of the deployment; must outlive this object
  /// @param Trusted true for the port of the upstream on this VM, whose
  /// internal fields are accepted
  CallerService(CoreDriver &Driver, const EdgePolicy &Edge, bool Trusted);
  /// @}

  /// @brief Sets the server that the requests come from.
  void attach(HttpServer &Source) { Server = &Source; }

  /// @brief Sets which of the traces that start here are sampled.
  void sample(TraceSampler Chosen) { Sampler = Chosen; }

  /// @brief Sets the IP number from which only the upstream on this VM calls.
  void setUpstreamHost(std::string Host) { UpstreamHost = std::move(Host); }

  /// @brief Sets what counts the requests; must outlive this object.
  void observe(NodeTelemetry &Observer) { Telemetry = &Observer; }

  /// @brief Refuses new requests from now on.
  void refuseNew() { Refusing = true; }

  /// @brief Answers a caller.
  void answer(const ReplyToCaller &Reply);

  /// @return the number of malformed requests refused
  std::uint64_t refusedRequests() const { return RefusedRequests; }

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;
  void onDisconnected(RequestId Id) override;
  void onRefused(const HttpFault &Fault) override;
  Payload refusal(const HttpFault &Fault) override;

private:
  TraceContext newTrace();
  Payload refuseHead(const Poco::Net::HTTPRequest &Head, OutcomeReason Reason);

  CoreDriver &Driver;
  const EdgePolicy &Edge;
  bool Trusted;
  std::string UpstreamHost;
  bool Refusing = false;
  HttpServer *Server = nullptr;
  NodeTelemetry *Telemetry = nullptr;
  std::uint64_t RefusedRequests = 0;
  TraceSampler Sampler{0};
  std::mt19937_64 TraceSource;
};

} // namespace hyssopford
