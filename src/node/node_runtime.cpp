#include "hyssopford/node/node_runtime.hpp"

#include "local_service.hpp"

#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// How often a shutdown looks for remaining work.
constexpr Duration ShutdownCheckPeriod = 20ms;
/// Numbers of the servers in request identifiers.
constexpr std::uint8_t CallerNumber = 0;
constexpr std::uint8_t LocalNumber = 1;
constexpr std::uint8_t OperatorNumber = 2;
constexpr int NumberShift = 56;

Incarnation currentRun() {
  return Incarnation{static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count())};
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

NodeRuntime::NodeRuntime(const NodeRuntimeSettings &RuntimeSettings)
    : Settings(RuntimeSettings) {
  PeerLinkSettings LinkSettings;
  LinkSettings.ListenAddress = Settings.PeerAddress;
  LinkSettings.Site = Settings.Site;
  LinkSettings.Key = Settings.SiteKey;
  LinkSettings.Run = currentRun();
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
  Driver = std::make_unique<CoreDriver>(Loop, CoreSettings, CoreActions,
                                        Settings.StoreAddress.empty() ? nullptr
                                                                      : &Codec);
  if (!Settings.StoreAddress.empty()) {
    HttpStoreSettings StoreSettings;
    StoreSettings.Address = Settings.StoreAddress;
    Store = std::make_unique<HttpStoreClient>(
        StoreSettings, [this](std::uint64_t Call, StoreResult Result) {
          Loop.post([this, Call, Moved = std::move(Result)] {
            Driver->submit(StoreReplied{Call, Moved});
          });
        });
  }
  Upstream = std::make_unique<UpstreamClient>(Loop, UpstreamEvents);
  Registry = std::make_unique<UpstreamRegistry>(Loop, *Driver, *Upstream);
  CallerRequests = std::make_unique<CallerService>(*Driver, false);
  LocalRequests = std::make_unique<LocalService>(*Driver, *Registry);
  OperatorRequests = std::make_unique<OperatorService>(
      OperatorView{*Driver, *Links, *Upstream, *Registry, {}}, Settings.Tokens);
  Callers = std::make_unique<HttpServer>(
      Loop, *CallerRequests,
      serverSettings(Settings, Settings.CallerAddress, CallerNumber));
  Local = std::make_unique<HttpServer>(
      Loop, *LocalRequests,
      serverSettings(Settings, Settings.LocalAddress, LocalNumber));
  Operators = std::make_unique<HttpServer>(
      Loop, *OperatorRequests,
      serverSettings(Settings, Settings.OperatorAddress, OperatorNumber));
  CallerRequests->attach(*Callers);
  LocalRequests->attachTo(*Local);
  OperatorRequests->attach(*Operators);
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
}

void NodeRuntime::onLinkUp(NodeRun Peer) { Driver->submit(PeerLinkUp{Peer}); }

void NodeRuntime::onLinkDown(NodeId Peer, const Error &Fault) {
  fmt::print(stderr, "event=link_down peer={} reason=\"{}\"\n", toString(Peer),
             toString(Fault));
  Driver->submit(PeerLinkDown{Peer});
}

void NodeRuntime::onMessage(NodeRun From, PeerMessage Message) {
  Driver->submit(PeerMessageReceived{From, std::move(Message)});
}

void NodeRuntime::onLinkRefused(const Error &Fault) {
  fmt::print(stderr, "event=link_refused reason=\"{}\"\n", toString(Fault));
}

void NodeRuntime::onAnswered(UpstreamAnswered Answer) {
  Driver->submit(std::move(Answer));
}

void NodeRuntime::onFailed(const UpstreamFailed &Failure) {
  Driver->submit(Failure);
}

void NodeRuntime::onProbed(const ProbeFinished &Result) {
  Driver->submit(Result);
}

void NodeRuntime::onRefusedConnection() { Registry->withdraw(true); }

void NodeRuntime::perform(SendToPeer &What) {
  Links->send(What.To, What.Message);
}

void NodeRuntime::perform(OpenLink &What) {
  Links->open(What.Peer, What.Address);
}

void NodeRuntime::perform(CloseLink &What) { Links->close(What.Peer); }

void NodeRuntime::perform(ForwardToUpstream &What) { Upstream->forward(What); }

void NodeRuntime::perform(CancelUpstream &What) {
  Upstream->cancel(What.Attempt);
}

void NodeRuntime::perform(ReplyToCaller &What) {
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
    Store->start(std::move(What));
    return;
  }
  StoreResult Result;
  Result.Reason = "no store is configured";
  Driver->submit(StoreReplied{What.Call, Result});
}

void NodeRuntime::perform(SpanFinished & /*What*/) {}

void NodeRuntime::perform(Notice &What) {
  std::string Line = fmt::format("event={}", What.Event);
  for (const auto &[Name, Value] : What.Fields) {
    Line += fmt::format(" {}=\"{}\"", Name, Value);
  }
  fmt::print(stderr, "{}\n", Line);
}

void NodeRuntime::perform(ShutdownComplete & /*What*/) {}

void NodeRuntime::perform(PatchResult &What) { OperatorRequests->finish(What); }

void NodeRuntime::perform(HistoryResult &What) {
  OperatorRequests->finish(What);
}

void NodeRuntime::beginShutdown() {
  if (ShuttingDown) {
    return;
  }
  ShuttingDown = true;
  ShutdownEnd = EventLoop::now() + Settings.DrainDeadline;
  CallerRequests->refuseNew();
  Callers->drain();
  Driver->submit(ShutdownRequested{});
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
             Callers->isQuiet() && Local->isQuiet() && Links->pending() == 0;
  if (Finished || EventLoop::now() >= ShutdownEnd) {
    Loop.stop();
    return;
  }
  Loop.after(ShutdownCheckPeriod, [this] { checkShutdown(); });
}

} // namespace hyssopford
