#include "hyssopford/node/node_runtime.hpp"

#include "hyssopford/net/http_forward.hpp"
#include "local_service.hpp"
#include "page_service.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <limits>
#include <sys/resource.h>
#include <utility>

namespace hyssopford {

namespace {

/// Interval at which a shutdown checks for remaining work.
constexpr Duration ShutdownCheckPeriod = 20ms;
/// Time between the last answers and the drain deadline, in which callers
/// receive them, and its share of a short drain time as a divisor.
constexpr Duration AnswerReserve = 200ms;
constexpr int AnswerReserveShare = 4;
/// Server numbers; they are the highest byte of a RequestId.
constexpr std::uint8_t CallerServerNumber = 0;
constexpr std::uint8_t LocalServerNumber = 1;
constexpr std::uint8_t OperatorServerNumber = 2;
constexpr std::uint8_t ReadyServerNumber = 3;
constexpr std::uint8_t MetricsServerNumber = 4;
constexpr int ServerNumberShift = 56;

/// Part of the memory that replies of finished attempts may use, as a divisor.
constexpr std::size_t FinishedShare = 8;

/// Interval for gauges of connections and counts of suppressed log lines.
constexpr Duration FlushPeriod = 1s;
/// Lateness of timers that is logged.
constexpr Duration LateTimerLimit = 100ms;

Duration timeOfDay() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

/// Derives the incarnation from the wall clock in µs, so that it increases with
/// each start.
Incarnation newIncarnation(Incarnation Least) {
  const auto Run = static_cast<std::uint64_t>(timeOfDay().count());
  return std::max(Incarnation{Run}, Least);
}

/// Returns the port of an address if both addresses have the same IP address,
/// otherwise 0.
std::uint16_t portOnSameIp(const std::string &Address,
                           const std::string &Other) {
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
  const Duration ClockEpoch = timeOfDay() - EventLoop::now().time_since_epoch();
  Result.Origin.ClockEpochNs = std::chrono::nanoseconds(ClockEpoch).count();
  return Result;
}

/// Bytes that the kernel takes in each direction for a connection to a server
/// that needs no more than short requests and answers.
constexpr int SmallBuffer = 16'384;

/// Returns the most descriptors that the process may open.
std::size_t descriptorLimit() {
  rlimit Limit{};
  const bool IsKnown = ::getrlimit(RLIMIT_NOFILE, &Limit) == 0;
  return IsKnown && Limit.rlim_cur != RLIM_INFINITY
             ? static_cast<std::size_t>(Limit.rlim_cur)
             : std::numeric_limits<std::int32_t>::max();
}

} // namespace

HttpServerSettings NodeRuntime::serverSettings(const std::string &Address,
                                               std::uint8_t Number,
                                               std::size_t Share) {
  HttpServerSettings Result = Settings.Http;
  Result.Address = Address;
  Result.Number = Number;
  Result.MaximumConnections = std::min(Result.MaximumConnections, Share);
  Result.Clients = &Clients;
  if (Number == CallerServerNumber || Number == LocalServerNumber) {
    Result.Limits.CredentialField = Adapters.Edge->credentialField();
    Result.Limits.UniqueFields = Adapters.Edge->uniqueFields();
  }
  if (Number == ReadyServerNumber || Number == MetricsServerNumber) {
    Result.ReceiveBuffer = SmallBuffer;
    Result.UnsentBytes = SmallBuffer;
  }
  return Result;
}

NodeRuntime::NodeRuntime(const NodeRuntimeSettings &RuntimeSettings,
                         NodeAdapters Custom)
    : Settings(RuntimeSettings), Memory(Settings.MemoryBytes),
      Adapters(std::move(Custom)) {
  PeerLinkSettings LinkSettings;
  LinkSettings.ListenAddress = Settings.PeerAddress;
  LinkSettings.PublicAddress = Settings.PublicPeerAddress;
  LinkSettings.Site = Settings.Site;
  LinkSettings.Key = Settings.SiteKey;
  LinkSettings.Run = newIncarnation(Settings.MinIncarnation);
  LinkSettings.HandshakeTimeout = Settings.HandshakeTimeout;
  LinkSettings.Memory = &Memory;
  // The bases are private, so std::make_unique cannot convert *this.
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
  CoreSettings.Decisions.Admission.FinishedBytesMax =
      std::min(CoreSettings.Decisions.Admission.FinishedBytesMax,
               Settings.MemoryBytes / FinishedShare);
  CoreSettings.Decisions.Quarantine.Stored =
      Adapters.MakeStore || !Settings.StoreAddress.empty();
  CoreSettings.Keys = Settings.Keys;
  Telemetry = std::make_unique<NodeTelemetry>(
      telemetrySettings(Settings, nodeIdOf(CoreSettings.Address)),
      Adapters.Log != nullptr ? *Adapters.Log : DefaultLog);
  if (Settings.TraceSink) {
    Recorder.emplace(Settings.TraceSink);
  }
  const ConfigCodec *Codec = Adapters.Codec;
  if (Codec == nullptr && !Settings.StoreAddress.empty()) {
    Codec = &DefaultCodec;
  }
  Driver = std::make_unique<CoreDriver>(Loop, CoreSettings, CoreActions, Codec);
  createStoreClient();
  UpstreamClientSettings UpstreamSettings = Settings.Upstream;
  UpstreamSettings.Memory = &Memory;
  Upstream = std::make_unique<UpstreamClient>(Loop, UpstreamEvents,
                                              UpstreamSettings, *Adapters.Edge);
  Upstream->setHealthPath(Settings.HealthPath);
  Registry = std::make_unique<UpstreamRegistry>(Loop, *Driver, *Upstream,
                                                *Telemetry, Settings.Service);
  Shares =
      descriptorShares(Settings.Descriptors == 0
                           ? descriptorLimit()
                           : std::min(Settings.Descriptors, descriptorLimit()));
  createServers();
}

void NodeRuntime::createStoreClient() {
  const StoreClient::Callback Done = [this](std::uint64_t Call,
                                            StoreResult Result) {
    Loop.post([this, Call, Moved = std::move(Result)] {
      logStoreReachability(Moved);
      Telemetry->storeCallEnded(Call, Moved.Status);
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

void NodeRuntime::logStoreReachability(const StoreResult &Result) {
  const bool Reached = Result.Status != StoreStatus::Refused &&
                       Result.Status != StoreStatus::NoAnswer;
  if (Reached != StoreReachable) {
    StoreReachable = Reached;
    Telemetry->log(Reached ? LogLevel::Info : LogLevel::Warning,
                   Reached ? "store_regained" : "store_lost",
                   {{"reason", Result.Reason}});
  }
}

void NodeRuntime::createServers() {
  CallerRequests =
      std::make_unique<CallerService>(*Driver, *Adapters.Edge, false);
  const AnnouncementDecoder &Decoder = Adapters.Announcements != nullptr
                                           ? *Adapters.Announcements
                                           : DefaultAnnouncements;
  LocalRequests = std::make_unique<LocalService>(
      *Driver, *Adapters.Edge, *Registry, Decoder, *Telemetry);
  OperatorRequests = std::make_unique<OperatorService>(
      OperatorContext{*Driver, *Links, *Upstream, *Registry, *Telemetry, {}},
      Settings.Tokens);
  Callers = std::make_unique<HttpServer>(Loop, *CallerRequests,
                                         serverSettings(Settings.CallerAddress,
                                                        CallerServerNumber,
                                                        Shares.Callers));
  Local = std::make_unique<HttpServer>(
      Loop, *LocalRequests,
      serverSettings(Settings.LocalAddress, LocalServerNumber, Shares.Local));
  CallerRequests->setMemory(Memory);
  LocalRequests->setMemory(Memory);
  CallerRequests->attach(*Callers);
  CallerRequests->setUpstreamIp(Settings.UpstreamIp);
  LocalRequests->attachServer(*Local);
  if (!Settings.OperatorAddress.empty()) {
    Operators = std::make_unique<HttpServer>(
        Loop, *OperatorRequests,
        serverSettings(Settings.OperatorAddress, OperatorServerNumber,
                       Shares.Operators));
    OperatorRequests->attach(*Operators);
    Driver->setOperatorsPort(
        portOnSameIp(Operators->address(), Links->address()));
  }
  if (!Settings.ReadyAddress.empty()) {
    ReadyRequests =
        std::make_unique<PageService>([this](const HttpRequest & /*Request*/) {
          return makeHttpAnswer(isReady() ? 200 : 503, "", "");
        });
    Ready = std::make_unique<HttpServer>(
        Loop, *ReadyRequests,
        serverSettings(Settings.ReadyAddress, ReadyServerNumber, Shares.Ready));
    ReadyRequests->attach(*Ready);
  }
  if (!Settings.MetricsAddress.empty()) {
    createMetricsServer();
  }
  CallerRequests->setTelemetry(*Telemetry);
  LocalRequests->setTelemetry(*Telemetry);
  CallerRequests->setSampler(TraceSampler(Settings.SamplingPpm));
  LocalRequests->setSampler(TraceSampler(Settings.SamplingPpm));
  flushTelemetry();
}

void NodeRuntime::createMetricsServer() {
  MetricsRequests =
      std::make_unique<PageService>([this](const HttpRequest &Request) {
        const std::string &Method = Request.Head.getMethod();
        if (pathOf(Request.Head, Request.Facts) != "/metrics") {
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
        serverSettings(Settings.MetricsAddress, MetricsServerNumber,
                       Shares.Metrics));
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
         (HasPeers ||
          EventLoop::now() >= StartTime + Settings.ReadyWithoutPeers);
}

void NodeRuntime::applyConfig() {
  const RoutingConfig &Config = Driver->core().config();
  if (Config.Version == AppliedVersion) {
    return;
  }
  AppliedVersion = Config.Version;
  if (const ConfigSystem *Configs = Driver->core().configSystem()) {
    Telemetry->recordConfigDelay(Configs->applyDelay(), EventLoop::now());
  }
  const CallerLimits Limits = Config.Callers.value_or(
      CallerLimits{Settings.Http.Limits.Head, Settings.Http.HeadTimeout,
                   Settings.Http.IdleTimeout});
  for (const ServiceSettings &Each : Config.Services) {
    if (Each.Name == Settings.Service) {
      Upstream->setHealthPath(Each.HealthPath);
      Registry->probePresence();
    }
  }
  Callers->setLimits(Limits.HeadBytes, Limits.HeadTimeout, Limits.IdleTimeout);
}

void NodeRuntime::flushTelemetry() {
  Telemetry->set(MetricId::CallerConnections, Callers->connections());
  Telemetry->set(MetricId::UpstreamConnections,
                 Upstream->active() + Upstream->idle());
  Telemetry->set(MetricId::RefusedRequests, CallerRequests->refusedRequests());
  Telemetry->set(MetricId::CredentialRefusals,
                 CallerRequests->credentialRefusals() +
                     LocalRequests->credentialRefusals());
  Telemetry->set(MetricId::MemoryUsed, Memory.used());
  Telemetry->set(MetricId::MemoryPeak, Memory.peak());
  Telemetry->set(MetricId::MemoryLimit, Memory.limit());
  Telemetry->set(MetricId::MemoryRefusals, Memory.refusals());
  Telemetry->set(MetricId::ConnectionBytes, Memory.connectionBytes());
  reportClosedConnections();
  const Duration Late = Loop.takeTimerLateness();
  Telemetry->recordTimerLateness(Late, EventLoop::now());
  if (Late >= LateTimerLimit) {
    Telemetry->log(LogLevel::Warning, "timers_late",
                   {{"late_ms", std::to_string(Late / 1ms)}});
  }
  Telemetry->flush();
  Loop.after(FlushPeriod, [this] { flushTelemetry(); });
}

void NodeRuntime::reportClosedConnections() {
  std::uint64_t Total = 0;
  std::vector<LogField> Fields;
  for (std::size_t Index = 0; Index < CloseReasonCount; ++Index) {
    const auto Reason = static_cast<CloseReason>(Index);
    const std::uint64_t Count = Clients.closed(Reason);
    Total += Count;
    Telemetry->set(MetricId::ClosedConnections, {toString(Reason)}, Count);
    Fields.emplace_back(toString(Reason), Count);
  }
  if (Total != ReportedClosed) {
    ReportedClosed = Total;
    Telemetry->log(LogLevel::Warning, "connections_closed", Fields);
  }
}

NodeRuntime::~NodeRuntime() = default;

bool NodeRuntime::run() {
  Loop.run();
  return Finished;
}

void NodeRuntime::requestShutdown() {
  Loop.post([this] { beginShutdown(); });
}

void NodeRuntime::execute(Action &Next) {
  std::visit([this](auto &Each) { execute(Each); }, Next);
  applyConfig();
}

void NodeRuntime::onLinkUp(NodeRun Peer) { Driver->submit(PeerLinkUp{Peer}); }

void NodeRuntime::onLinkDown(NodeId Peer, const Error &Fault) {
  Telemetry->log(LogLevel::Info, "link_down",
                 {{"peer", toString(Peer)}, {"reason", toString(Fault)}});
  Driver->submit(PeerLinkDown{Peer});
}

void NodeRuntime::onMessage(NodeRun From, PeerMessage Message) {
  Telemetry->countFrame(Message, true);
  Driver->submit(PeerMessageReceived{From, std::move(Message)});
}

void NodeRuntime::onAttemptRefused(NodeRun From, const AttemptId &Attempt) {
  Telemetry->log(
      LogLevel::Info, "attempt_discarded",
      {{"attempt", fmt::format("{}/{}/{}", toString(Attempt.Ingress.Node),
                               Attempt.Ingress.Run.Value, Attempt.Sequence)},
       {"reason", toString(OutcomeReason::NoMemory)}});
  DispatchReply Reply;
  Reply.Attempt = Attempt;
  Reply.Result = Outcome::NotRun;
  // The ingress then tries another owner.
  Reply.Reason = OutcomeReason::QueueFull;
  Links->send(From.Node, Reply);
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
    Registry->presenceProbed(Result);
    return;
  }
  Telemetry->recordProbe(Result);
  Driver->submit(Result);
}

void NodeRuntime::onRefusedConnection() {
  // An upstream at its connection limit refuses further connections but still
  // serves the existing ones, so it is not gone.
  const std::size_t Running = Upstream->sentAttempts();
  if (Running == 0) {
    Registry->removeUpstream(true, "connection refused");
  } else {
    Telemetry->log(LogLevel::Warning, "upstream_connection_refused",
                   {{"running", Running}});
  }
}

void NodeRuntime::onForeignBytes(std::string_view Reason) {
  Telemetry->log(LogLevel::Warning, "upstream_foreign_bytes",
                 {{"count", ++ForeignBytes}, {"reason", Reason}});
}

void NodeRuntime::execute(SendToPeer &Details) {
  Telemetry->countFrame(Details.Message, false);
  Links->send(Details.To, Details.Message);
}

void NodeRuntime::execute(OpenLink &Details) {
  Links->open(Details.Peer, Details.Address);
}

void NodeRuntime::execute(CloseLink &Details) { Links->close(Details.Peer); }

void NodeRuntime::execute(ForwardToUpstream &Details) {
  Telemetry->attemptStarted(Details.Attempt, EventLoop::now());
  if (Recorder) {
    Recorder->started(Driver->core().owner().service(), Details,
                      std::chrono::system_clock::now(), EventLoop::now());
  }
  Upstream->forward(Details);
}

void NodeRuntime::execute(CancelUpstream &Details) {
  Telemetry->attemptEnded(Details.Attempt,
                          toString(OutcomeReason::CancelledByCaller),
                          EventLoop::now());
  if (Recorder) {
    Recorder->dropped(Details.Attempt);
  }
  Upstream->cancel(Details.Attempt);
}

void NodeRuntime::execute(ReplyToCaller &Details) {
  Telemetry->requestEnded(Details, EventLoop::now());
  const auto Number =
      static_cast<std::uint8_t>(Details.Id.Value >> ServerNumberShift);
  if (Number == LocalServerNumber) {
    LocalRequests->answer(Details);
  } else {
    CallerRequests->answer(Details);
  }
}

void NodeRuntime::execute(ProbeUpstream &Details) { Upstream->probe(Details); }

void NodeRuntime::execute(StoreCall &Details) {
  if (Store) {
    Telemetry->storeCallStarted(Details);
    Store->start(std::move(Details));
    return;
  }
  StoreResult Result;
  Result.Reason = "no store is configured";
  Driver->submit(StoreReplied{Details.Call, Result});
}

void NodeRuntime::execute(SpanFinished &Details) {
  Telemetry->exportSpan(Details);
}

void NodeRuntime::execute(Notice &Details) { Telemetry->recordNotice(Details); }

void NodeRuntime::execute(ShutdownComplete & /*Details*/) {
  // Without a shutdown request, a newer incarnation of this node has superseded
  // this one.
  if (!ShuttingDown) {
    Finished = true;
    Loop.stop();
  }
}

void NodeRuntime::execute(PatchResult &Details) {
  Telemetry->recordPatch(Details);
  OperatorRequests->onResult(Details);
}

void NodeRuntime::execute(HistoryResult &Details) {
  OperatorRequests->onResult(Details);
}

void NodeRuntime::beginShutdown() {
  if (ShuttingDown) {
    return;
  }
  ShuttingDown = true;
  ShutdownEnd = EventLoop::now() + Settings.DrainDeadline;
  Telemetry->log(LogLevel::Info, "shutdown_started",
                 {{"in_flight", Driver->core().ingress().inFlight()}});
  Driver->submit(ShutdownScheduled{
      ShutdownEnd -
      std::min(AnswerReserve, Settings.DrainDeadline / AnswerReserveShare)});
  recheckBodies();
  if (Settings.DrainDelay == Duration{0}) {
    closePorts();
    return;
  }
  // New requests are still served until callers notice the readiness change.
  Callers->disableKeepAlive();
  Loop.after(Settings.DrainDelay, [this] { closePorts(); });
}

void NodeRuntime::recheckBodies() {
  Callers->recheckBodies();
  Local->recheckBodies();
  Loop.after(ShutdownCheckPeriod, [this] { recheckBodies(); });
}

void NodeRuntime::closePorts() {
  Driver->submit(ShutdownRequested{});
  if (Settings.UpstreamIp.empty()) {
    closeCallersPort();
  }
  checkShutdown();
}

void NodeRuntime::closeCallersPort() {
  CallerRequests->refuseNewRequests();
  Callers->drain();
}

void NodeRuntime::checkShutdown() {
  const NodeCore &Core = Driver->core();
  // Requests still running on the upstream may call other services, so the port
  // that it uses closes after them.
  if (Core.owner().inFlight() == 0) {
    closeCallersPort();
    LocalRequests->refuseNewRequests();
    Local->drain();
  }
  Finished = Core.owner().inFlight() == 0 && Core.ingress().inFlight() == 0 &&
             Callers->isIdle() && Local->isIdle() && Links->pending() == 0;
  if (Finished || EventLoop::now() >= ShutdownEnd) {
    Finished = Finished && Core.owner().interrupted() == 0 &&
               Core.ingress().counters().Interrupted == 0;
    Loop.stop();
    return;
  }
  Loop.after(ShutdownCheckPeriod, [this] { checkShutdown(); });
}

} // namespace hyssopford
