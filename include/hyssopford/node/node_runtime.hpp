/// @file
/// @brief A complete node: core, ports and links on one event loop.
#pragma once

#include "hyssopford/config/config_codec.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/net/store_client.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "hyssopford/node/announcement_decoder.hpp"
#include "hyssopford/node/caller_service.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_telemetry.hpp"
#include "hyssopford/node/operator_service.hpp"
#include "hyssopford/node/trace_recorder.hpp"
#include "hyssopford/node/upstream_registry.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

class PageService;

/// @brief The parts of a node that a deployment replaces. Objects that are
/// pointed to must outlive the node.
struct NodeAdapters {
  /// Header fields of callers and upstreams.
  const EdgePolicy *Edge = &defaultEdgePolicy();
  /// Form of the configuration in the store; nullptr for the own form.
  const ConfigCodec *Codec = nullptr;
  /// Announcements of the upstream; nullptr for the own form.
  const AnnouncementDecoder *Announcements = nullptr;
  /// Makes the access to the store; empty for the own protocol. The callback
  /// may be called from any thread.
  std::function<std::unique_ptr<StoreClient>(EventLoop &,
                                             const StoreClient::Callback &)>
      MakeStore;
  /// Takes the log lines; nullptr for standard error.
  LogSink *Log = nullptr;
};

/// @brief Settings of a node. Ports of 0 are chosen by the system.
struct NodeRuntimeSettings {
  std::string Site = "default";
  /// Secret that all nodes of the site share.
  std::string SiteKey;
  std::string FailureDomain = "default";
  std::string Region = "default";
  /// Port of the callers.
  std::string CallerAddress = "127.0.0.1:0";
  /// Port of the upstream on this VM; must be a loopback address.
  std::string LocalAddress = "127.0.0.1:0";
  std::string PeerAddress = "127.0.0.1:0";
  /// Address that peers use; empty for PeerAddress.
  std::string PublicPeerAddress;
  /// Empty for none.
  std::string OperatorAddress = "127.0.0.1:0";
  /// Service of the upstream on this VM, if it is known before its first
  /// announcement.
  std::string Service;
  /// Path of the upstream's health endpoint until the configuration or an
  /// announcement states it; may be empty.
  std::string HealthPath = "/";
  /// IP number from which only the upstream on this VM sends requests to
  /// CallerAddress; empty if it uses LocalAddress.
  std::string UpstreamHost;
  /// Address that says whether the node takes callers; empty for none.
  std::string ReadyAddress;
  /// Address that serves the metrics without a token; empty for none. The node
  /// runs without them if it cannot be bound.
  std::string MetricsAddress;
  std::vector<std::string> Seeds;
  /// Address of the platform's key-value service; empty for none.
  std::string StoreAddress;
  OperatorTokens Tokens;
  /// Time for requests in flight after a request to end.
  Duration DrainDeadline = 30s;
  /// Time after the start from which a node without peers counts as ready.
  Duration ReadyWithoutPeers{0};
  /// Time after the request to shut down in which new callers are still
  /// served, as they learn from the readiness only later.
  Duration DrainDelay{0};
  HttpServerSettings Http;
  UpstreamClientSettings Upstream;
  /// Time for connecting to a peer and the handshake.
  Duration HandshakeTimeout = 2s;
  /// Time for a call to the store.
  Duration StoreCallTimeout = 2s;
  /// Constants of routing, admission and probing.
  DecisionSettings Decisions;
  /// Limits of idempotency keys.
  KeySettings Keys;
  /// Level and export; the origin is filled in by the runtime.
  NodeTelemetrySettings Telemetry;
  /// Traces started by this node that are sampled, per million.
  std::uint32_t SamplingPpm = 0;
  /// Takes a line for each request that the upstream answered; may be empty.
  TraceRecorder::Sink Recording;
  /// Lowest incarnation that this run may have.
  Incarnation MinIncarnation;
};

/// @brief Connects the actions of the core with the network.
class NodeRuntime final : ActionHandler,
                          PeerLinkHandler,
                          UpstreamClientHandler {
public:
  /// @name Construction
  /// @{

  /// @brief Opens all ports.
  /// @throws Poco::Exception if an address cannot be bound
  explicit NodeRuntime(const NodeRuntimeSettings &Settings,
                       NodeAdapters Adapters = {});
  ~NodeRuntime() override;
  NodeRuntime(const NodeRuntime &) = delete;
  NodeRuntime &operator=(const NodeRuntime &) = delete;
  /// @}

  /// @name Control
  /// @{

  /// @brief Adopts a configuration; to be called before run().
  bool adopt(RoutingConfig Config) { return Driver->adopt(std::move(Config)); }

  /// @brief Runs until a shutdown is complete.
  /// @return true if everything in flight was finished in time
  bool run();

  /// @brief Starts a graceful shutdown. May be called by any thread.
  void requestShutdown();
  /// @}

  /// @name Observers
  /// @{
  std::string callerAddress() const { return Callers->address(); }
  std::string localAddress() const { return Local->address(); }
  std::string operatorAddress() const {
    return Operators ? Operators->address() : std::string();
  }
  std::string readyAddress() const {
    return Ready ? Ready->address() : std::string();
  }
  std::string metricsAddress() const {
    return Metrics ? Metrics->address() : std::string();
  }
  const std::string &peerAddress() const { return Links->address(); }
  const NodeCore &core() const { return Driver->core(); }

  /// @return the incarnation with which the node must start again, if another
  /// run of it was known to be newer
  std::optional<Incarnation> requiredIncarnation() const {
    return Driver->core().requiredIncarnation();
  }
  /// @}

private:
  class LocalService;

  void carryOut(Action &What) override;
  void onLinkUp(NodeRun Peer) override;
  void onLinkDown(NodeId Peer, const Error &Fault) override;
  void onMessage(NodeRun From, PeerMessage Message) override;
  void onLinkRefused(const Error &Fault) override;
  void onAnswered(UpstreamAnswered Answer) override;
  void onFailed(const UpstreamFailed &Failure) override;
  void onProbed(const ProbeFinished &Result) override;
  void onRefusedConnection() override;

  void perform(SendToPeer &What);
  void perform(OpenLink &What);
  void perform(CloseLink &What);
  void perform(ForwardToUpstream &What);
  void perform(CancelUpstream &What);
  void perform(ReplyToCaller &What);
  void perform(ProbeUpstream &What);
  void perform(StoreCall &What);
  void perform(SpanFinished &What);
  void perform(Notice &What);
  void perform(ShutdownComplete &What);
  void perform(PatchResult &What);
  void perform(HistoryResult &What);

  void makeStore();
  void noteStore(const StoreResult &Result);
  void makeServers();
  void makeMetrics();
  void flushTelemetry();
  void beginShutdown();
  void closePorts();
  void checkShutdown();
  void applyConfig();
  bool isReady() const;

  NodeRuntimeSettings Settings;
  EventLoop Loop;
  NodeAdapters Adapters;
  StandardErrorSink LogLines;
  std::unique_ptr<NodeTelemetry> Telemetry;
  std::optional<TraceRecorder> Recorder;
  JsonConfigCodec OwnCodec;
  OwnAnnouncementDecoder OwnAnnouncements;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<CoreDriver> Driver;
  /// Joins its threads, which post to the loop, before the loop ends.
  std::unique_ptr<StoreClient> Store;
  std::unique_ptr<UpstreamClient> Upstream;
  std::unique_ptr<UpstreamRegistry> Registry;
  std::unique_ptr<CallerService> CallerRequests;
  std::unique_ptr<LocalService> LocalRequests;
  std::unique_ptr<OperatorService> OperatorRequests;
  std::unique_ptr<PageService> ReadyRequests;
  std::unique_ptr<PageService> MetricsRequests;
  std::unique_ptr<HttpServer> Callers;
  std::unique_ptr<HttpServer> Local;
  std::unique_ptr<HttpServer> Operators;
  std::unique_ptr<HttpServer> Ready;
  std::unique_ptr<HttpServer> Metrics;
  std::size_t RefusedLinks = 0;
  std::uint64_t LimitsVersion = 0;
  bool StoreReached = true;
  bool ShuttingDown = false;
  bool Finished = false;
  TimePoint Begin = EventLoop::now();
  TimePoint ShutdownEnd;
};

} // namespace hyssopford
