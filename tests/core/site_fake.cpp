#include "site_fake.hpp"

#include <algorithm>
#include <chrono>

namespace hyssopford {

namespace {

constexpr Duration StoreLatency = 2ms;
constexpr Duration HandshakeTime = 2s;
constexpr Duration CheckPeriod = 50ms;

std::string addressOf(std::size_t Index) {
  return "10.0." + std::to_string(Index / 250) + "." +
         std::to_string(Index % 250 + 1) + ":7101";
}

} // namespace

void SiteFake::addNodes(std::size_t Count, std::size_t Domains,
                        std::size_t SeedCount) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    auto New = std::make_unique<Node>();
    NodeCoreSettings &Settings = New->Settings;
    Settings.Address = addressOf(Index);
    Settings.FailureDomain = "fd" + std::to_string(Index % Domains);
    Settings.Region = "r" + std::to_string(Index % Domains / 2);
    for (std::size_t Each = 0; Each < SeedCount; ++Each) {
      Settings.Seeds.push_back(addressOf(Each));
    }
    Indices[nodeIdOf(Settings.Address)] = Index;
    Nodes.push_back(std::move(New));
  }
}

void SiteFake::start(std::size_t Index) {
  Node &Each = node(Index);
  const Duration Wall = Now.time_since_epoch() + Each.ClockOffset + 1'000'000s;
  Each.Settings.Run = Incarnation{static_cast<std::uint64_t>(Wall / 1us)};
  Each.Settings.Seed = hashPair(Seed, hashPair(Index, Wall.count()));
  Each.Core = std::make_unique<NodeCore>(Each.Settings, &Codec);
  Each.Paused = false;
  Each.Ended = false;
  Each.InForce.clear();
  tick(Index);
}

void SiteFake::startAll() {
  for (std::size_t Index = 0; Index < size(); ++Index) {
    start(Index);
  }
}

void SiteFake::crash(std::size_t Index) {
  node(Index).Core.reset();
  dropLinks(Index);
}

void SiteFake::killVm(std::size_t Index) { node(Index).Core.reset(); }

void SiteFake::pause(std::size_t Index) { node(Index).Paused = true; }

void SiteFake::resume(std::size_t Index) {
  node(Index).Paused = false;
  const std::vector<Event> Inputs = std::exchange(node(Index).Waiting, {});
  for (const Event &Each : Inputs) {
    input(Index, Each);
  }
  tick(Index);
}

void SiteFake::fillTables() {
  SyncReply All;
  for (std::size_t Index = 0; Index < size(); ++Index) {
    All.Records.push_back(
        core(Index).membership().members().at(core(Index).self().Node));
  }
  for (std::size_t Index = 0; Index < size(); ++Index) {
    input(Index, PeerMessageReceived{core(0).self(), All});
  }
}

void SiteFake::run(Duration Time) {
  runUntil([] { return false; }, Time);
}

bool SiteFake::runUntil(const std::function<bool()> &Condition,
                        Duration Limit) {
  const TimePoint End = Now + Limit;
  while (!Condition()) {
    if (NextCheck <= Now) {
      NextCheck = Now + CheckPeriod;
      checkLinks();
      checkWatches();
    }
    TimePoint Next = std::min(End, NextCheck);
    if (!Queue.empty()) {
      Next = std::min(Next, Queue.begin()->first);
    }
    if (!Wakeups.empty()) {
      Next = std::min(Next, Wakeups.begin()->first);
    }
    Now = std::max(Now, Next);
    while (!Queue.empty() && Queue.begin()->first <= Now) {
      const auto Function = std::move(Queue.begin()->second);
      Queue.erase(Queue.begin());
      Function();
    }
    while (!Wakeups.empty() && Wakeups.begin()->first <= Now) {
      const std::size_t Index = Wakeups.begin()->second;
      Wakeups.erase(Wakeups.begin());
      if (usable(Index)) {
        tick(Index);
      }
    }
    if (Now >= End) {
      return Condition();
    }
  }
  return true;
}

void SiteFake::send(std::size_t Index, const Event &Input) {
  input(Index, Input);
}

void SiteFake::submit(std::size_t Index, std::uint64_t Request,
                      const std::string &Id, std::uint64_t Base,
                      const std::string &Patch, bool DryRun) {
  PatchSubmitted Input;
  Input.Request = Request;
  Input.PatchId = Id;
  Input.Author = "op";
  Input.Base = Base;
  Input.Patch = Patch;
  Input.DryRun = DryRun;
  Input.TimeMs = static_cast<std::uint64_t>(Now.time_since_epoch() / 1ms);
  input(Index, Input);
}

MemberState SiteFake::stateAt(std::size_t Observer, std::size_t Subject) {
  const auto &Members = core(Observer).membership().members();
  const auto Found = Members.find(nodeIdOf(addressOf(Subject)));
  return Found == Members.end() ? MemberState::Dead : Found->second.State;
}

bool SiteFake::allAlive() {
  for (std::size_t Observer = 0; Observer < size(); ++Observer) {
    for (std::size_t Subject = 0; Subject < size(); ++Subject) {
      if (node(Observer).Core && node(Subject).Core) {
        const auto &Members = core(Observer).membership().members();
        const auto Found = Members.find(core(Subject).self().Node);
        if (Found == Members.end() ||
            Found->second.Id != core(Subject).self() ||
            Found->second.State != MemberState::Alive) {
          return false;
        }
      }
    }
  }
  return true;
}

std::uint64_t SiteFake::lowestVersion() {
  std::uint64_t Lowest = UINT64_MAX;
  for (const auto &Each : Nodes) {
    if (Each->Core) {
      Lowest = std::min(Lowest, Each->Core->config().Version);
    }
  }
  return Lowest;
}

bool SiteFake::hasNotice(std::size_t Index, const std::string &Name) {
  const auto &All = node(Index).Notices;
  return std::any_of(All.begin(), All.end(),
                     [&](const Notice &Each) { return Each.Event == Name; });
}

std::size_t SiteFake::linkCount(std::size_t Index) {
  return static_cast<std::size_t>(
      std::count_if(Links.begin(), Links.end(), [&](const auto &Each) {
        return Each.first.first == Index || Each.first.second == Index;
      }));
}

SiteFake::Pair SiteFake::pairOf(std::size_t First, std::size_t Second) {
  return {std::min(First, Second), std::max(First, Second)};
}

bool SiteFake::usable(std::size_t Index) const {
  return Nodes[Index]->Core != nullptr && !Nodes[Index]->Paused;
}

bool SiteFake::connected(std::size_t First, std::size_t Second) const {
  return usable(First) && usable(Second) && !Blocked(First, Second);
}

Duration SiteFake::latency(std::size_t First, std::size_t Second) const {
  const NodeCoreSettings &Left = Nodes[First]->Settings;
  const NodeCoreSettings &Right = Nodes[Second]->Settings;
  if (Left.Region != Right.Region) {
    return 15ms;
  }
  return Left.FailureDomain != Right.FailureDomain ? 750us : 100us;
}

void SiteFake::at(TimePoint Time, std::function<void()> Function) {
  Queue.emplace(Time, std::move(Function));
}

void SiteFake::input(std::size_t Index, const Event &Input) {
  Node &Each = node(Index);
  if (!Each.Core) {
    return;
  }
  if (Each.Paused) {
    Each.Waiting.push_back(Input);
    return;
  }
  Actions Out;
  const auto Begin = std::chrono::steady_clock::now();
  Each.Core->handle(Input, Now, Out);
  CpuNanoseconds += static_cast<std::uint64_t>(
      (std::chrono::steady_clock::now() - Begin).count());
  carryOut(Index, Out);
}

void SiteFake::tick(std::size_t Index) {
  Actions Out;
  const auto Begin = std::chrono::steady_clock::now();
  core(Index).tick(Now, Out);
  CpuNanoseconds += static_cast<std::uint64_t>(
      (std::chrono::steady_clock::now() - Begin).count());
  carryOut(Index, Out);
}

void SiteFake::carryOut(std::size_t Index, Actions &Out) {
  Node &Each = node(Index);
  for (const Action &Step : Out) {
    if (const auto *Message = std::get_if<SendToPeer>(&Step)) {
      deliver(Index, Indices.at(Message->To), Message->Message);
    } else if (const auto *Open = std::get_if<OpenLink>(&Step)) {
      openLink(Index, Open->Peer);
    } else if (const auto *Close = std::get_if<CloseLink>(&Step)) {
      at(Now, [this, Link = pairOf(Index, Indices.at(Close->Peer))] {
        dropLink(Link);
      });
    } else if (const auto *Call = std::get_if<StoreCall>(&Step)) {
      callStore(Index, *Call);
    } else if (const auto *Report = std::get_if<Notice>(&Step)) {
      Each.Notices.push_back(*Report);
    } else if (const auto *Result = std::get_if<PatchResult>(&Step)) {
      Each.Results[Result->Request] = *Result;
    } else if (const auto *History = std::get_if<HistoryResult>(&Step)) {
      Each.Histories[History->Request] = *History;
    } else if (std::holds_alternative<ShutdownComplete>(Step)) {
      Each.Ended = true;
    }
  }
  if (Each.Core->config().Version != 0) {
    Each.InForce.try_emplace(Each.Core->config().Version, Now);
  }
  Wakeups.erase({Each.Wakeup, Index});
  // Timers of a node process have a resolution of 1 ms.
  Each.Wakeup = std::max(Each.Core->nextWakeup().value_or(Now + 1s), Now + 1ms);
  Wakeups.emplace(Each.Wakeup, Index);
}

void SiteFake::openLink(std::size_t From, NodeId To) {
  const auto Found = Indices.find(To);
  if (Found == Indices.end()) {
    return;
  }
  const std::size_t Target = Found->second;
  const Pair Link = pairOf(From, Target);
  if (Links.contains(Link)) {
    return;
  }
  ++node(From).LinksOpened;
  const bool Refused = node(Target).Core == nullptr && !Blocked(From, Target);
  const bool Opens = connected(From, Target);
  const Duration Delay =
      Opens || Refused ? 3 * latency(From, Target) : Duration(HandshakeTime);
  at(Now + Delay, [=, this] {
    if (!Opens || !connected(From, Target)) {
      // As PeerLinks, which does not report a failed attempt to open a link if
      // the peer has opened one meanwhile.
      if (!Links.contains(Link)) {
        input(From, PeerLinkDown{To});
      }
    } else if (Links.emplace(Link, Now).second) {
      input(From, PeerLinkUp{core(Target).self()});
      input(Target, PeerLinkUp{core(From).self()});
    }
  });
}

void SiteFake::dropLink(Pair Link) {
  if (Links.erase(Link) > 0) {
    input(Link.first, PeerLinkDown{nodeIdOf(addressOf(Link.second))});
    input(Link.second, PeerLinkDown{nodeIdOf(addressOf(Link.first))});
  }
}

void SiteFake::dropLinks(std::size_t Index) {
  std::vector<Pair> Lost;
  for (const auto &[Link, Last] : Links) {
    if (Link.first == Index || Link.second == Index) {
      Lost.push_back(Link);
    }
  }
  for (const Pair &Link : Lost) {
    dropLink(Link);
  }
}

void SiteFake::checkLinks() {
  std::vector<Pair> Lost;
  for (auto &[Link, Last] : Links) {
    if (connected(Link.first, Link.second)) {
      Last = Now;
    } else if (Last + LinkTimeout <= Now) {
      Lost.push_back(Link);
    }
  }
  for (const Pair &Link : Lost) {
    dropLink(Link);
  }
}

void SiteFake::deliver(std::size_t From, std::size_t To,
                       const PeerMessage &Message) {
  if (!Links.contains(pairOf(From, To))) {
    return;
  }
  node(From).BytesSent += SizeOf(Message);
  const NodeRun Sender = core(From).self();
  at(Now + latency(From, To), [=, this] {
    if (!Blocked(From, To) && Links.contains(pairOf(From, To))) {
      input(To, PeerMessageReceived{Sender, Message});
    }
  });
}

void SiteFake::silenceStore(bool Silent) {
  StoreSilences += Silent && !StoreSilent ? 1 : 0;
  StoreSilent = Silent;
}

void SiteFake::cutWatches() {
  for (const Watch &Each : std::exchange(Watches, {})) {
    StoreResult Cut;
    Cut.Reason = "closed by peer";
    answerStore(Each.Pending, Cut, StoreLatency);
  }
}

std::uint64_t SiteFake::writeVersion(const std::string &Document) {
  const StoreResult Stored = Store.call(StoreRead{ConfigHeadKey}, Now);
  Error LastError;
  ConfigHead Head =
      Codec.parseHead(Stored.Value, LastError).value_or(ConfigHead{});
  ++Head.Version;
  Head.Document = Document;
  Store.call(
      StoreWrite{ConfigHeadKey, Codec.renderHead(Head), Stored.Revision, 0},
      Now);
  checkWatches();
  return Head.Version;
}

void SiteFake::callStore(std::size_t Index, const StoreCall &Call) {
  ++StoreCalls;
  ConfigCalls += isCallOf(StoreUser::Config, Call.Call) ? 1 : 0;
  QuarantineCalls += isCallOf(StoreUser::Quarantine, Call.Call) ? 1 : 0;
  const auto Pending = std::make_shared<PendingCall>();
  *Pending = {Index, node(Index).Core.get(), Call.Call, StoreSilences, false};
  const auto *IsWatch = std::get_if<StoreWatch>(&Call.Operation);
  const Duration Wait = IsWatch != nullptr ? IsWatch->Timeout : Duration{0};
  at(Now + Wait + Call.Timeout, [this, Pending] {
    StoreResult TimedOut;
    TimedOut.Reason = "timed out waiting for the response";
    endCall(*Pending, TimedOut);
  });
  const StoreAccess Access = AccessOf(Index);
  if (StoreSilent || Access == StoreAccess::Silent) {
    return;
  }
  if (Access == StoreAccess::Refused) {
    StoreResult Refused;
    Refused.Status = StoreStatus::Refused;
    Refused.Reason = "HTTP status 503";
    answerStore(Pending, Refused, StoreLatency);
    return;
  }
  StoreOperation Operation = Call.Operation;
  if (auto *Changed = std::get_if<StoreWatch>(&Operation)) {
    Changed->AfterRevision =
        std::max(Changed->AfterRevision, KnownRevisions[Index]);
  }
  StoreResult Result = Store.call(Operation, Now);
  if (auto *Changed = std::get_if<StoreWatch>(&Operation)) {
    if (Result.Status != StoreStatus::NoAnswer &&
        Result.Status != StoreStatus::Refused) {
      Watches.push_back({Pending, *Changed, Now + Wait});
      checkWatches();
      return;
    }
  }
  answerStore(Pending, Result, StoreLatency + Store.faults().Delay);
  checkWatches();
}

void SiteFake::answerStore(const std::shared_ptr<PendingCall> &Pending,
                           const StoreResult &Result, Duration Delay) {
  at(Now + Delay, [=, this] {
    if (!StoreSilent && Pending->Silences == StoreSilences) {
      StoreResult Stated = Result;
      Stated.Era = StoreEra;
      endCall(*Pending, Stated);
    }
  });
}

void SiteFake::endCall(PendingCall &Pending, const StoreResult &Result) {
  if (!Pending.Ended && node(Pending.Index).Core.get() == Pending.Caller) {
    input(Pending.Index, StoreReplied{Pending.Call, Result});
  }
  Pending.Ended = true;
}

std::optional<StoreResult> SiteFake::resultOfWatch(const Watch &Each) {
  std::optional<StoreResult> Result = Store.changed(Each.Operation, Now);
  if (Result && HideChanges) {
    Result.reset();
  }
  if (Result && TooLargeSince != 0 &&
      Result->Revision >= Each.Operation.AfterRevision + TooLargeSince) {
    *Result = StoreResult();
    Result->Reason = "malformed response: body too large";
  }
  if (!Result && Each.End <= Now) {
    Result.emplace();
    Result->Status = StoreStatus::Unchanged;
    if (HideChanges) {
      KnownRevisions[Each.Pending->Index] =
          Store.call(StoreRead{Each.Operation.Key}, Now).Revision;
    }
  }
  return Result;
}

void SiteFake::checkWatches() {
  std::vector<Watch> Waiting = std::exchange(Watches, {});
  for (const Watch &Each : Waiting) {
    const PendingCall &Pending = *Each.Pending;
    // Calls that a silence has caught get no answer even after its end.
    if (Pending.Ended || node(Pending.Index).Core.get() != Pending.Caller ||
        Pending.Silences != StoreSilences) {
      continue;
    }
    if (const auto Result = resultOfWatch(Each)) {
      answerStore(Each.Pending, *Result, StoreLatency + Store.faults().Delay);
    } else {
      Watches.push_back(Each);
    }
  }
}

} // namespace hyssopford
