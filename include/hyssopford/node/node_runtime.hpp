/// @file
/// @brief A complete node: decision core, HTTP servers and peer links on one
/// event loop.
#pragma once

#include "hyssopford/config/config_codec.hpp"
#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/net/store_client.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "hyssopford/node/announcement_decoder.hpp"
#include "hyssopford/node/caller_service.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_supervisor.hpp"
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

/// @brief Parts of a node that a deployment can replace. The objects must
/// outlive the node.
struct NodeAdapters {
  /// Header fields of callers and upstreams.
  const EdgePolicy *Edge = &defaultEdgePolicy();
  /// Format of the configuration in the store; nullptr for JsonConfigCodec.
  const ConfigCodec *Codec = nullptr;
  /// Format of the upstream's announcements; nullptr for
  /// DefaultAnnouncementDecoder.
  const AnnouncementDecoder *Announcements = nullptr;
  /// Creates the store client; empty for HttpStoreClient. The client may call
  /// the callback from any thread.
  std::function<std::unique_ptr<StoreClient>(EventLoop &,
                                             const StoreClient::Callback &)>
      MakeStore;
  /// Destination of log lines; nullptr for standard error.
  LogSink *Log = nullptr;
};

/// @brief Settings of a node. Ports of 0 are chosen by the system.
struct NodeRuntimeSettings {
  std::string Site = "default";
  /// Secret that all nodes of the site share.
  std::string SiteKey;
  std::string FailureDomain = "default";
  std::string Region = "default";
  /// Listen address for callers.
  std::string CallerAddress = "127.0.0.1:0";
  /// Listen address for the upstream on this VM; must be a loopback address.
  std::string LocalAddress = "127.0.0.1:0";
  /// Listen address for other nodes.
  std::string PeerAddress = "127.0.0.1:0";
  /// Address under which peers reach this node; empty for PeerAddress.
  std::string PublicPeerAddress;
  /// Listen address of the operators' port; empty for none.
  std::string OperatorAddress = "127.0.0.1:0";
  /// Service of the upstream on this VM, if it is known before its first
  /// announcement.
  std::string Service;
  /// Path of the upstream's health endpoint until the configuration or an
  /// announcement states it; may be empty.
  std::string HealthPath = "/";
  /// IP address from which only the upstream on this VM sends requests to
  /// CallerAddress; empty if it uses LocalAddress.
  std::string UpstreamIp;
  /// Listen address of the readiness endpoint; empty for none.
  std::string ReadyAddress;
  /// Listen address that serves metrics without a token; empty for none. If it
  /// cannot be bound, the node logs an error and runs without it.
  std::string MetricsAddress;
  /// Peer addresses of nodes to contact first.
  std::vector<std::string> Seeds;
  /// Address of the platform's key-value service; empty for none.
  std::string StoreAddress;
  OperatorTokens Tokens;
  /// Longest wait for requests in flight once shutdown is requested.
  Duration DrainDeadline = 30s;
  /// Time after the start at which a node without peers becomes ready.
  Duration ReadyWithoutPeers{0};
  /// Time between the shutdown request and the start of the drain. New requests
  /// are still served, since callers notice the readiness change with a delay.
  Duration DrainDelay{0};
  HttpServerSettings Http;
  UpstreamClientSettings Upstream;
  /// Most bytes of requests and answers held at a time.
  std::size_t MemoryBytes = 134'217'728;
  /// Most descriptors that the process may open; 0 for its resource limit. The
  /// servers share them (descriptorShares) and never exceed
  /// Http.MaximumConnections.
  std::size_t Descriptors = 0;
  /// Limit for connecting to a peer, including the handshake.
  Duration HandshakeTimeout = 2s;
  /// Limit for one call to the store.
  Duration StoreCallTimeout = 2s;
  /// Constants of routing, admission and probing.
  DecisionSettings Decisions;
  /// Retention and table size of idempotency keys.
  KeySettings Keys;
  /// Log level and span export; the runtime sets the origin.
  NodeTelemetrySettings Telemetry;
  /// Traces started by this node that are sampled, per million.
  std::uint32_t SamplingPpm = 0;
  /// Receives a line for each attempt that the upstream answered; may be empty.
  TraceRecorder::Sink TraceSink;
  /// Lowest incarnation for this start of the node.
  Incarnation MinIncarnation;
};

/// @brief Connects the decision core to the network and runs the event loop.
class NodeRuntime final : public NodeRunner,
                          ActionHandler,
                          PeerLinkHandler,
                          UpstreamClientHandler {
public:
  /// @name Construction
  /// @{

  /// @brief Opens all listening sockets.
  /// @throws Poco::Exception if an address other than MetricsAddress cannot be
  /// bound
  explicit NodeRuntime(const NodeRuntimeSettings &Settings,
                       NodeAdapters Adapters = {});
  ~NodeRuntime() override;
  NodeRuntime(const NodeRuntime &) = delete;
  NodeRuntime &operator=(const NodeRuntime &) = delete;
  /// @}

  /// @name Control
  /// @{

  /// @brief Adopts a configuration. Must be called before run().
  /// @return whether its version is higher than the one in force
  bool adopt(RoutingConfig Config) { return Driver->adopt(std::move(Config)); }

  /// @brief Runs until shutdown.
  /// @return whether all requests in flight ended before the drain deadline
  /// with their own outcome
  bool run() override;

  /// @brief Starts a graceful shutdown. May be called from any thread.
  void requestShutdown() override;
  /// @}

  /// @name Observers
  /// Addresses are "ip:port" with the port in use; empty if there is no such
  /// server.
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
  const MemoryBudget &memory() const { return Memory; }

  /// @return the incarnation with which the node must restart, if its peers
  /// know a newer one
  std::optional<Incarnation> requiredIncarnation() const override {
    return Driver->core().requiredIncarnation();
  }
  /// @}

private:
  class LocalService;

  void execute(Action &Next) override;
  void onLinkUp(NodeRun Peer) override;
  void onLinkDown(NodeId Peer, const Error &Fault) override;
  void onMessage(NodeRun From, PeerMessage Message) override;
  void onAttemptRefused(NodeRun From, const AttemptId &Attempt) override;
  void onLinkRefused(const Error &Fault) override;
  void onAnswered(UpstreamAnswered Answer) override;
  void onFailed(const UpstreamFailed &Failure) override;
  void onProbed(const ProbeFinished &Result) override;
  void onRefusedConnection() override;
  void onForeignBytes(std::string_view Reason) override;

  void execute(SendToPeer &Details);
  void execute(OpenLink &Details);
  void execute(CloseLink &Details);
  void execute(ForwardToUpstream &Details);
  void execute(CancelUpstream &Details);
  void execute(ReplyToCaller &Details);
  void execute(ProbeUpstream &Details);
  void execute(StoreCall &Details);
  void execute(SpanFinished &Details);
  void execute(Notice &Details);
  void execute(ShutdownComplete &Details);
  void execute(PatchResult &Details);
  void execute(HistoryResult &Details);

  void createStoreClient();
  void logStoreReachability(const StoreResult &Result);
  void createServers();
  void createMetricsServer();
  /// Settings of a server whose connections have a share of the descriptors.
  HttpServerSettings serverSettings(const std::string &Address,
                                    std::uint8_t Number, std::size_t Share);
  /// Records and logs the connections that limits have closed.
  void reportClosedConnections();
  void flushTelemetry();
  void beginShutdown();
  /// Refuses requests whose body arrives too late, again and again.
  void recheckBodies();
  void closePorts();
  void closeCallersPort();
  void checkShutdown();
  void applyConfig();
  bool isReady() const;

  NodeRuntimeSettings Settings;
  /// Declared before Loop, whose callbacks may hold charged memory.
  MemoryBudget Memory;
  /// Shared by all servers, which it outlives.
  ClientLimits Clients{&Memory};
  DescriptorShares Shares;
  std::uint64_t ReportedClosed = 0;
  EventLoop Loop;
  NodeAdapters Adapters;
  StandardErrorSink DefaultLog;
  std::unique_ptr<NodeTelemetry> Telemetry;
  std::optional<TraceRecorder> Recorder;
  JsonConfigCodec DefaultCodec;
  DefaultAnnouncementDecoder DefaultAnnouncements;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<CoreDriver> Driver;
  /// Declared after Loop: its destructor joins the threads that post to it.
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
  /// Times that an upstream sent bytes that belong to no request.
  std::size_t ForeignBytes = 0;
  std::uint64_t AppliedVersion = 0;
  bool StoreReachable = true;
  bool ShuttingDown = false;
  bool Finished = false;
  TimePoint StartTime = EventLoop::now();
  TimePoint ShutdownEnd;
};

} // namespace hyssopford
