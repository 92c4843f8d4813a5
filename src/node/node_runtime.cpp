#include "hyssopford/node/node_runtime.hpp"

#include "hyssopford/net/http_forward.hpp"
#include "local_service.hpp"
#include "page_service.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <chrono>
#include <utility>

namespace hyssopford {

namespace {

/// How often a shutdown looks for remaining work.
constexpr Duration ShutdownCheckPeriod = 20ms;
/// Numbers of the servers in request identifiers.
constexpr std::uint8_t CallerNumber = 0;
constexpr std::uint8_t LocalNumber = 1;
constexpr std::uint8_t OperatorNumber = 2;
constexpr std::uint8_t ReadyNumber = 3;
constexpr std::uint8_t MetricsNumber = 4;
constexpr int NumberShift = 56;

/// How often counts of suppressed log lines are written.
constexpr Duration FlushPeriod = 1s;

Duration timeOfDay() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

/// The time of day gives runs of one node rising incarnations.
Incarnation currentRun(Incarnation Least) {
  const auto Run = static_cast<std::uint64_t>(timeOfDay().count());
  return std::max(Incarnation{Run}, Least);
}

/// Returns the port of an address if it has the same IP number as another
/// address, otherwise 0.
std::uint16_t sharedPort(const std::string &Address, const std::string &Other) {
  const Poco::Net::SocketAddress First(Address);
  const Poco::Net::SocketAddress Second(Other);
  return First.host() == Second.host() ? First.port() : std::uint16_t{0};
}

NodeTelemetrySettings telemetrySettings(const NodeRuntimeSettings &Settings,
                                        NodeId Self) {
  NodeTelemetrySettings Result = Settings.Telemetry;
  Result.Origin.Site = Settings.Site;
  Result.Origin.Node = toString(Self);
  Result.Origin.FailureDomain = Settings.FailureDomain;
  Result.Origin.Region = Settings.Region;
  const Duration TimeZero = timeOfDay() - EventLoop::now().time_since_epoch();
  Result.Origin.TimeZero = std::chrono::nanoseconds(TimeZero).count();
  return Result;
}

HttpServerSettings serverSettings(const NodeRuntimeSettings &Settings,
                                  const std::string &Address,
                                  std::uint8_t Number) {
  HttpServerSettings Result = Settings.Http;
  Result.Address = Address;
  Result.Number = Number;
  return Result;
}

} // namespace

NodeRuntime::NodeRuntime(const NodeRuntimeSettings &RuntimeSettings,
                         NodeAdapters Replaced)
    : Settings(RuntimeSettings), Adapters(std::move(Replaced)) {
  PeerLinkSettings LinkSettings;
  LinkSettings.ListenAddress = Settings.PeerAddress;
  LinkSettings.PublicAddress = Settings.PublicPeerAddress;
  LinkSettings.Site = Settings.Site;
  LinkSettings.Key = Settings.SiteKey;
  LinkSettings.Run = currentRun(Settings.MinIncarnation);
  LinkSettings.HandshakeTimeout = Settings.HandshakeTimeout;
  // The bases are private, so std::make_unique could not convert *this.
  PeerLinkHandler &LinkEvents = *this;
  ActionHandler &CoreActions = *this;
  UpstreamClientHandler &UpstreamEvents = *this;
  Links = std::make_unique<PeerLinks>(Loop, LinkEvents, LinkSettings);
  NodeCoreSettings CoreSettings;
  CoreSettings.Address = Links->address();
  CoreSettings.Run = LinkSettings.Run;
  CoreSettings.FailureDomain = Settings.FailureDomain;
  CoreSettings.Region = Settings.Region;
  CoreSettings.Seeds = Settings.Seeds;
  CoreSettings.Seed = LinkSettings.Run.Value;
  CoreSettings.Decisions = Settings.Decisions;
  CoreSettings.Keys = Settings.Keys;
  Telemetry = std::make_unique<NodeTelemetry>(
      telemetrySettings(Settings, nodeIdOf(CoreSettings.Address)),
      Adapters.Log != nullptr ? *Adapters.Log : LogLines);
  if (Settings.Recording) {
    Recorder.emplace(Settings.Recording);
  }
  const ConfigCodec *Codec = Adapters.Codec;
  if (Codec == nullptr && !Settings.StoreAddress.empty()) {
    Codec = &OwnCodec;
  }
  Driver = std::make_unique<CoreDriver>(Loop, CoreSettings, CoreActions, Codec);
  makeStore();
  Upstream = std::make_unique<UpstreamClient>(
      Loop, UpstreamEvents, Settings.Upstream, *Adapters.Edge);
  Upstream->setHealthPath(Settings.HealthPath);
  Registry =
      std::make_unique<UpstreamRegistry>(Loop, *Driver, *Upstream, *Telemetry);
  makeServers();
}

void NodeRuntime::makeStore() {
  const StoreClient::Callback Done = [this](std::uint64_t Call,
                                            StoreResult Result) {
    Loop.post([this, Call, Moved = std::move(Result)] {
      noteStore(Moved);
      Telemetry->storeReplied(Call, Moved.Status);
      Driver->submit(StoreReplied{Call, Moved});
    });
  };
  if (Adapters.MakeStore) {
    Store = Adapters.MakeStore(Loop, Done);
  } else if (!Settings.StoreAddress.empty()) {
    HttpStoreSettings StoreSettings;
    StoreSettings.Address = Settings.StoreAddress;
    StoreSettings.CallTimeout = Settings.StoreCallTimeout;
    Store = std::make_unique<HttpStoreClient>(StoreSettings, Done);
  }
}

void NodeRuntime::noteStore(const StoreResult &Result) {
  const bool Reached = Result.Status != StoreStatus::Refused &&
                       Result.Status != StoreStatus::NoAnswer;
  if (Reached != StoreReached) {
    StoreReached = Reached;
    Telemetry->log(Reached ? LogLevel::Info : LogLevel::Warning,
                   Reached ? "store_regained" : "store_lost",
                   {{"reason", Result.Reason}});
  }
}

void NodeRuntime::makeServers() {
  CallerRequests =
      std::make_unique<CallerService>(*Driver, *Adapters.Edge, false);
  const AnnouncementDecoder &Decoder = Adapters.Announcements != nullptr
                                           ? *Adapters.Announcements
                                           : OwnAnnouncements;
  LocalRequests = std::make_unique<LocalService>(
      *Driver, *Adapters.Edge, *Registry, Decoder, *Telemetry);
  OperatorRequests = std::make_unique<OperatorService>(
      OperatorView{*Driver, *Links, *Upstream, *Registry, *Telemetry, {}},
      Settings.Tokens);
  Callers = std::make_unique<HttpServer>(
      Loop, *CallerRequests,
      serverSettings(Settings, Settings.CallerAddress, CallerNumber));
  Local = std::make_unique<HttpServer>(
      Loop, *LocalRequests,
      serverSettings(Settings, Settings.LocalAddress, LocalNumber));
  CallerRequests->attach(*Callers);
  CallerRequests->setUpstreamHost(Settings.UpstreamHost);
  LocalRequests->attachTo(*Local);
  if (!Settings.OperatorAddress.empty()) {
    Operators = std::make_unique<HttpServer>(
        Loop, *OperatorRequests,
        serverSettings(Settings, Settings.OperatorAddress, OperatorNumber));
    OperatorRequests->attach(*Operators);
    Driver->setOperatorsPort(
        sharedPort(Operators->address(), Links->address()));
  }
  if (!Settings.ReadyAddress.empty()) {
    ReadyRequests =
        std::make_unique<PageService>([this](const HttpRequest & /*Asked*/) {
          return makeHttpAnswer(isReady() ? 200 : 503, "", "");
        });
    Ready = std::make_unique<HttpServer>(
        Loop, *ReadyRequests,
        serverSettings(Settings, Settings.ReadyAddress, ReadyNumber));
    ReadyRequests->attach(*Ready);
  }
  if (!Settings.MetricsAddress.empty()) {
    makeMetrics();
  }
  CallerRequests->observe(*Telemetry);
  LocalRequests->observe(*Telemetry);
  CallerRequests->sample(TraceSampler(Settings.SamplingPpm));
  LocalRequests->sample(TraceSampler(Settings.SamplingPpm));
  flushTelemetry();
}

void NodeRuntime::makeMetrics() {
  MetricsRequests =
      std::make_unique<PageService>([this](const HttpRequest &Asked) {
        const std::string &Method = Asked.Head.getMethod();
        if (pathOf(Asked.Head, Asked.Facts) != "/metrics") {
          return makeHttpAnswer(404, "", "no such path\n");
        }
        if (Method != "GET" && Method != "HEAD") {
          return makeHttpAnswer(405, "Allow: GET, HEAD\r\n", "");
        }
        return makeHttpAnswer(200,
                              "Content-Type: text/plain; version=0.0.4\r\n",
                              Telemetry->render(Driver->core(), Links->usable(),
                                                EventLoop::now()));
      });
  try {
    Metrics = std::make_unique<HttpServer>(
        Loop, *MetricsRequests,
        serverSettings(Settings, Settings.MetricsAddress, MetricsNumber));
    MetricsRequests->attach(*Metrics);
  } catch (const Poco::Exception &Fault) {
    Telemetry->log(LogLevel::Error, "metrics_unavailable",
                   {{"address", Settings.MetricsAddress},
                    {"reason", Fault.displayText()}});
  }
}

bool NodeRuntime::isReady() const {
  const bool HasPeers = !Driver->core().membership().linkedPeers().empty();
  return !ShuttingDown && Driver->core().config().Version != 0 &&
         (HasPeers || EventLoop::now() >= Begin + Settings.ReadyWithoutPeers);
}

void NodeRuntime::applyConfig() {
  const RoutingConfig &Config = Driver->core().config();
  if (Config.Version == LimitsVersion) {
    return;
  }
  LimitsVersion = Config.Version;
  const CallerLimits Limits = Config.Callers.value_or(
      CallerLimits{Settings.Http.Limits.Head, Settings.Http.HeadTimeout,
                   Settings.Http.IdleTimeout});
  for (const ServiceSettings &Each : Config.Services) {
    if (Each.Name == Settings.Service) {
      Upstream->setHealthPath(Each.HealthPath);
      Registry->verify();
    }
  }
  Callers->setLimits(Limits.HeadBytes, Limits.HeadTimeout, Limits.IdleTimeout);
}

void NodeRuntime::flushTelemetry() {
  Telemetry->set(MetricId::CallerConnections, Callers->connections());
  Telemetry->set(MetricId::UpstreamConnections,
                 Upstream->active() + Upstream->idle());
  Telemetry->set(MetricId::RefusedRequests, CallerRequests->refusedRequests());
  Telemetry->flush();
  Loop.after(FlushPeriod, [this] { flushTelemetry(); });
}

NodeRuntime::~NodeRuntime() = default;

bool NodeRuntime::run() {
  Loop.run();
  return Finished;
}

void NodeRuntime::requestShutdown() {
  Loop.post([this] { beginShutdown(); });
}

void NodeRuntime::carryOut(Action &What) {
  std::visit([this](auto &Each) { perform(Each); }, What);
  applyConfig();
}

void NodeRuntime::onLinkUp(NodeRun Peer) { Driver->submit(PeerLinkUp{Peer}); }

void NodeRuntime::onLinkDown(NodeId Peer, const Error &Fault) {
  Telemetry->log(LogLevel::Info, "link_down",
                 {{"peer", toString(Peer)}, {"reason", toString(Fault)}});
  Driver->submit(PeerLinkDown{Peer});
}

void NodeRuntime::onMessage(NodeRun From, PeerMessage Message) {
  Telemetry->frame(Message, true);
  Driver->submit(PeerMessageReceived{From, std::move(Message)});
}

void NodeRuntime::onLinkRefused(const Error &Fault) {
  ++RefusedLinks;
  Telemetry->set(MetricId::RefusedFrames, RefusedLinks);
  Telemetry->log(LogLevel::Warning, "link_refused",
                 {{"reason", toString(Fault)}});
}

void NodeRuntime::onAnswered(UpstreamAnswered Answer) {
  Telemetry->attemptEnded(Answer.Attempt, toString(Outcome::Answered),
                          EventLoop::now());
  if (Recorder) {
    Recorder->answered(Answer.Attempt, EventLoop::now());
  }
  Driver->submit(std::move(Answer));
}

void NodeRuntime::onFailed(const UpstreamFailed &Failure) {
  Telemetry->attemptEnded(Failure.Attempt, toString(Failure.Reason),
                          EventLoop::now());
  if (Recorder) {
    Recorder->dropped(Failure.Attempt);
  }
  Driver->submit(Failure);
}

void NodeRuntime::onProbed(const ProbeFinished &Result) {
  if (Result.Purpose == ProbePurpose::Presence) {
    Registry->verified(Result.Succeeded);
    return;
  }
  Telemetry->probed(Result);
  Driver->submit(Result);
}

void NodeRuntime::onRefusedConnection() {
  // An upstream at its connection limit refuses further ones while it serves
  // the others.
  const std::size_t Running = Driver->core().owner().running().size();
  if (Running <= 1) {
    Registry->withdraw(true, "connection refused");
  } else {
    Telemetry->log(LogLevel::Warning, "upstream_connection_refused",
                   {{"running", Running}});
  }
}

void NodeRuntime::perform(SendToPeer &What) {
  Telemetry->frame(What.Message, false);
  Links->send(What.To, What.Message);
}

void NodeRuntime::perform(OpenLink &What) {
  Links->open(What.Peer, What.Address);
}

void NodeRuntime::perform(CloseLink &What) { Links->close(What.Peer); }

void NodeRuntime::perform(ForwardToUpstream &What) {
  Telemetry->attemptStarted(What.Attempt, EventLoop::now());
  if (Recorder) {
    Recorder->started(Driver->core().owner().service(), What,
                      std::chrono::system_clock::now(), EventLoop::now());
  }
  Upstream->forward(What);
}

void NodeRuntime::perform(CancelUpstream &What) {
  Telemetry->attemptEnded(What.Attempt,
                          toString(OutcomeReason::CancelledByCaller),
                          EventLoop::now());
  if (Recorder) {
    Recorder->dropped(What.Attempt);
  }
  Upstream->cancel(What.Attempt);
}

void NodeRuntime::perform(ReplyToCaller &What) {
  Telemetry->requestEnded(What, EventLoop::now());
  const auto Number = static_cast<std::uint8_t>(What.Id.Value >> NumberShift);
  if (Number == LocalNumber) {
    LocalRequests->answer(What);
  } else {
    CallerRequests->answer(What);
  }
}

void NodeRuntime::perform(ProbeUpstream &What) { Upstream->probe(What); }

void NodeRuntime::perform(StoreCall &What) {
  if (Store) {
    Telemetry->storeCalled(What);
    Store->start(std::move(What));
    return;
  }
  StoreResult Result;
  Result.Reason = "no store is configured";
  Driver->submit(StoreReplied{What.Call, Result});
}

void NodeRuntime::perform(SpanFinished &What) { Telemetry->span(What); }

void NodeRuntime::perform(Notice &What) { Telemetry->notice(What); }

void NodeRuntime::perform(ShutdownComplete & /*What*/) {
  // Without a request to shut down, another run of this node superseded it.
  if (!ShuttingDown) {
    Finished = true;
    Loop.stop();
  }
}

void NodeRuntime::perform(PatchResult &What) {
  Telemetry->patched(What);
  OperatorRequests->finish(What);
}

void NodeRuntime::perform(HistoryResult &What) {
  OperatorRequests->finish(What);
}

void NodeRuntime::beginShutdown() {
  if (ShuttingDown) {
    return;
  }
  ShuttingDown = true;
  ShutdownEnd = EventLoop::now() + Settings.DrainDeadline;
  Telemetry->log(LogLevel::Info, "shutdown_started",
                 {{"in_flight", Driver->core().ingress().inFlight()}});
  if (Settings.DrainDelay == Duration{0}) {
    closePorts();
    return;
  }
  // Until callers have noticed, the node goes on as before.
  Callers->disableKeepAlive();
  Loop.after(Settings.DrainDelay, [this] { closePorts(); });
}

void NodeRuntime::closePorts() {
  Driver->submit(ShutdownRequested{});
  CallerRequests->refuseNew();
  Callers->drain();
  checkShutdown();
}

void NodeRuntime::checkShutdown() {
  const NodeCore &Core = Driver->core();
  // The upstream may call other services for requests that it is still
  // running, so its port closes after them.
  if (Core.owner().inFlight() == 0) {
    LocalRequests->refuseNew();
    Local->drain();
  }
  Finished = Core.owner().inFlight() == 0 && Core.ingress().inFlight() == 0 &&
             Callers->isIdle() && Local->isIdle() && Links->pending() == 0;
  if (Finished || EventLoop::now() >= ShutdownEnd) {
    Loop.stop();
    return;
  }
  Loop.after(ShutdownCheckPeriod, [this] { checkShutdown(); });
}

} // namespace hyssopford
