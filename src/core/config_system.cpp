#include "hyssopford/core/config_system.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

// Time after which a call that the client did not end counts as ended.
constexpr Duration ClientMargin = 5s;
// Bounds the times kept of versions that never arrive.
constexpr std::size_t NamedVersionLimit = 64;

bool isAnswer(const StoreResult &Result) {
  return Result.Status != StoreStatus::Refused &&
         Result.Status != StoreStatus::NoAnswer;
}

std::string milliseconds(Duration Value) { return std::to_string(Value / 1ms); }

} // namespace

ConfigSystem::ConfigSystem(const ConfigCodec &Json, RandomSource &Source,
                           const StartSettings &Chosen)
    : Codec(Json), Random(Source), Settings(Chosen), Writer(Json),
      Evidence(Source) {}

void ConfigSystem::submit(const PatchSubmitted &Input, TimePoint Now,
                          Actions &Out) {
  Writer.submit(Input, Now, Out);
}

void ConfigSystem::requestHistory(const HistoryRequested &Input,
                                  TimePoint /*Now*/, Actions &Out) {
  const std::uint64_t Call = storeCallNumber(StoreUser::History, ++LastCall);
  HistoryCalls.emplace(Call, Input);
  Out.emplace_back(StoreCall{
      Call, StoreRead{Input.Archive == 0 ? ConfigHeadKey
                                         : configArchiveKey(Input.Archive)}});
}

void ConfigSystem::receive(NodeRun From, const ConfigDigest &Message,
                           TimePoint Now, Actions &Out) {
  if (!Links.contains(From.Node)) {
    return;
  }
  if (!FirstPeerVersionAt && Message.Version != 0) {
    // A peer without a version may be starting itself, so it does not count.
    FirstPeerVersionAt = Now;
  }
  PeerVersions[From.Node] = Message.Version;
  noteVersion(Message.Version, Now);
  if (Message.NextWithin > Duration{0}) {
    Supervised[From.Node] = Now + Message.NextWithin;
  }
  if (Message.Check && !Watching && NextCheckRead <= Now) {
    NextCheckRead = Now + CheckPeriod;
    CheckRequested = true;
    NextStoreCall = std::min(NextStoreCall, Now);
  }
  fetchFromPeer(Now, Out);
  endStartIfReady(Now, Out);
}

void ConfigSystem::receive(NodeRun From, const ConfigRequest &Message,
                           TimePoint /*Now*/, Actions &Out) {
  if (Version > Message.Version) {
    if (CompressedDocument.size() == 0) {
      CompressedDocument = Payload(Codec.compressDocument(Document.bytes()));
    }
    Out.emplace_back(
        SendToPeer{From.Node, ConfigPush{Version, CompressedDocument}});
  } else {
    Out.emplace_back(SendToPeer{From.Node, ConfigDigest{Version}});
  }
}

void ConfigSystem::receive(NodeRun From, const ConfigPush &Message,
                           TimePoint Now, Actions &Out) {
  if (Links.contains(From.Node)) {
    PeerVersions[From.Node] =
        std::max(PeerVersions[From.Node], Message.Version);
  }
  if (FetchPeer == From.Node) {
    FetchPeer.reset();
  }
  if (Message.Version > Version) {
    if (auto Text = Codec.decompressDocument(Message.Document.bytes())) {
      considerVersion(Candidate{Message.Version, Payload(std::move(*Text)),
                                Origin{"peer", From.Node, 0}},
                      Now, Out);
    } else {
      Out.emplace_back(Notice{"config_unreadable",
                              {{"version", std::to_string(Message.Version)},
                               {"reason", "cannot decompress the document"},
                               {"peer", toString(From.Node)}}});
      PeerVersions.erase(From.Node);
    }
  }
  fetchFromPeer(Now, Out);
}

void ConfigSystem::receive(const StoreReplied &Reply, TimePoint Now,
                           Actions &Out) {
  const bool IsCurrentEra = noteEra(Reply.Result, Now, Out);
  if (isCallOf(StoreUser::Evidence, Reply.Call)) {
    Evidence.receive(Reply, Now, Out);
    endStartIfReady(Now, Out);
  } else if (isCallOf(StoreUser::Patch, Reply.Call)) {
    Writer.receive(Reply, Now, Out);
    takeStored(Now, Out);
  } else if (isCallOf(StoreUser::History, Reply.Call)) {
    finishHistory(Reply.Result, Reply.Call, Out);
  } else if (const auto Found = OpenCalls.find(Reply.Call);
             Found != OpenCalls.end()) {
    const OpenCall Call = Found->second;
    OpenCalls.erase(Found);
    const bool WasCurrent = CurrentCall == Reply.Call;
    CurrentCall = WasCurrent ? 0 : CurrentCall;
    if (isAnswer(Reply.Result) && IsCurrentEra) {
      receiveHead(Call, Reply.Result, Now, Out);
    } else if (!IsCurrentEra) {
      // The state that the answer describes is lost.
      NextStoreCall = CurrentCall == 0 ? Now + MinRetry : NextStoreCall;
    } else if (WasCurrent) {
      storeFailed(Call, Reply.Result.Reason, Now, Out);
    }
    return;
  }
  if (Failing && (Watching || standsIn(Now)) && CurrentCall == 0 &&
      isAnswer(Reply.Result)) {
    // Another call shows that the store answers this node again.
    NextStoreCall = std::min(NextStoreCall, Now);
  }
}

void ConfigSystem::linkUp(NodeRun Peer, TimePoint /*Now*/, Actions &Out) {
  Links[Peer.Node] = true;
  Out.emplace_back(SendToPeer{Peer.Node, ConfigDigest{Version}});
}

void ConfigSystem::linkDown(NodeId Peer) {
  Links.erase(Peer);
  PeerVersions.erase(Peer);
  if (FetchPeer == Peer) {
    FetchPeer.reset();
  }
  if (const auto Found = Supervised.find(Peer); Found != Supervised.end()) {
    Found->second = TimePoint{};
  }
  if (isIsolated()) {
    NextStoreCall = std::min(NextStoreCall, LastTick);
  }
}

void ConfigSystem::setWatching(bool Value, std::vector<NodeId> Candidates,
                               TimePoint Now, Actions &Out) {
  Deputies = std::move(Candidates);
  if (Value && !Watching) {
    NextStoreCall = std::min(NextStoreCall, Now);
  }
  if (Value != Watching) {
    Out.emplace_back(
        Notice{Value ? "config_watch_started" : "config_watch_stopped",
               {{"version", std::to_string(Version)}}});
  }
  Watching = Value;
}

void ConfigSystem::tick(TimePoint Now, Actions &Out) {
  LastTick = Now;
  if (!StartBegin) {
    StartBegin = Now;
    NextStoreCall = Now + Settings.PeerConfigWait;
  }
  Writer.tick(Now, Out);
  Evidence.tick(Now, Out);
  takeStored(Now, Out);
  endStartIfReady(Now, Out);
  if (awaitsEvidence()) {
    askPeers(Now, Out);
  }
  fetchFromPeer(Now, Out);
  superviseWatchers(Now, Out);
  endOverdueCalls(Now, Out);
  if (CurrentCall == 0 && NextStoreCall <= Now &&
      OpenCalls.size() < OpenCallLimit) {
    readStore(Now, Out);
  }
}

std::optional<TimePoint> ConfigSystem::nextWakeup() const {
  if (!StartBegin) {
    return TimePoint{};
  }
  std::optional<TimePoint> Next = Writer.nextWakeup();
  const auto Consider = [&](TimePoint Time) {
    Next = Next ? std::min(*Next, Time) : Time;
  };
  if (const auto Time = Evidence.nextWakeup()) {
    Consider(*Time);
  }
  // A time limit of the start that has passed without ending it must not cause
  // another wake-up, which would keep the loop busy.
  const auto ConsiderLater = [&](TimePoint Time) {
    if (Time > LastTick) {
      Consider(Time);
    }
  };
  if (!Started) {
    ConsiderLater(*StartBegin + StartWait);
    ConsiderLater(startLimit());
    if (awaitsEvidence() && !Links.empty()) {
      ConsiderLater(NextAsk);
    }
    if (FirstPeerVersionAt) {
      ConsiderLater(*FirstPeerVersionAt + SettleTime);
    }
  }
  if (FetchPeer) {
    Consider(FetchDeadline);
  }
  if (CurrentCall != 0) {
    Consider(OverdueAt);
  } else if (NextStoreCall != TimePoint::max() &&
             OpenCalls.size() < OpenCallLimit) {
    Consider(NextStoreCall);
  }
  for (const auto &[Number, Call] : OpenCalls) {
    Consider(Call.Deadline);
  }
  if (Watching) {
    Consider(NextDeputyDigest);
  }
  for (const auto &[Peer, Due] : Supervised) {
    Consider(Due);
  }
  return Next;
}

std::optional<RoutingConfig> ConfigSystem::takeAdopted() {
  return std::exchange(Adopted, std::nullopt);
}

void ConfigSystem::takeStored(TimePoint Now, Actions &Out) {
  if (const auto Stored = Writer.takeStored()) {
    considerVersion(Candidate{Stored->Version, Payload(Stored->Document),
                              Origin{"store-write", std::nullopt, 0}},
                    Now, Out);
  }
}

void ConfigSystem::noteVersion(std::uint64_t Named, TimePoint Now) {
  Evidence.noteVersion(Named);
  if (Named > Version && NamedAt.size() < NamedVersionLimit) {
    NamedAt.try_emplace(Named, Now);
  }
}

std::uint64_t ConfigSystem::heldVersion() const {
  return std::max(Version, Pending ? Pending->Version : 0);
}

void ConfigSystem::considerVersion(Candidate Offered, TimePoint Now,
                                   Actions &Out) {
  noteVersion(Offered.Version, Now);
  if (Offered.Version <= heldVersion()) {
    return;
  }
  if (UnreadableDocument &&
      *UnreadableDocument == hashBytes(Offered.Document.bytes())) {
    if (Offered.From.Peer) {
      PeerVersions.erase(*Offered.From.Peer);
    }
    return;
  }
  if (Started) {
    putInForce(Offered, Now, Out);
    return;
  }
  Pending = std::move(Offered);
  endStartIfReady(Now, Out);
}

void ConfigSystem::putInForce(const Candidate &Next, TimePoint Now,
                              Actions &Out) {
  std::vector<Error> Errors;
  std::optional<RoutingConfig> Config =
      Codec.parseConfig(Next.Document.bytes(), Next.Version, Errors);
  if (!Config) {
    // Written by a node of another release, or invalid. The current version
    // stays in force, and lower versions than this one may still follow.
    UnreadableDocument = hashBytes(Next.Document.bytes());
    if (Next.From.Peer) {
      PeerVersions.erase(*Next.From.Peer);
    }
    Out.emplace_back(
        Notice{"config_unreadable",
               {{"version", std::to_string(Next.Version)},
                {"reason", Errors.empty() ? "" : toString(Errors.front())}}});
    return;
  }
  Version = Next.Version;
  Document = Next.Document;
  CompressedDocument = Payload();
  Adopted = std::move(Config);
  Writer.setVersion(Version);
  Evidence.noteInForce(Version, Now, Out);
  reportInForce(Next.From, Now, Out);
  if (Watching && CurrentCall == 0) {
    // A watching node that found no value need not wait to look again.
    NextStoreCall = std::min(NextStoreCall, Now);
  }
  for (const auto &[Peer, Up] : Links) {
    const auto Known = PeerVersions.find(Peer);
    if (Known == PeerVersions.end() || Known->second < Version) {
      Out.emplace_back(SendToPeer{Peer, ConfigDigest{Version}});
    }
  }
}

void ConfigSystem::reportInForce(const Origin &From, TimePoint Now,
                                 Actions &Out) {
  const auto Named = NamedAt.find(Version);
  ApplyDelay = Named == NamedAt.end() ? Duration{0} : Now - Named->second;
  NamedAt.erase(NamedAt.begin(), NamedAt.upper_bound(Version));
  Out.emplace_back(
      Notice{"config_in_force",
             {{"version", std::to_string(Version)},
              {"source", From.Source},
              {"peer", From.Peer ? toString(*From.Peer) : "-"},
              {"revision", std::to_string(From.Revision)},
              {"store_age_ms",
               StoreAnsweredAt ? milliseconds(Now - *StoreAnsweredAt) : "-"},
              {"delay_ms", milliseconds(ApplyDelay)}}});
}

void ConfigSystem::endStartIfReady(TimePoint Now, Actions &Out) {
  if (Started || !StartBegin || !Pending) {
    return;
  }
  const bool IsComplete = Pending->Version >= Evidence.leastVersion();
  const bool HasWaited = startLimit() <= Now;
  if (!HasWaited && !(IsComplete && hasStartEvidence(Now))) {
    return;
  }
  if (!IsComplete) {
    Out.emplace_back(
        Notice{"config_start_incomplete",
               {{"version", std::to_string(Pending->Version)},
                {"least_version", std::to_string(Evidence.leastVersion())},
                {"waited_ms", milliseconds(Now - *StartBegin)}}});
  }
  Started = true;
  putInForce(*std::exchange(Pending, std::nullopt), Now, Out);
}

bool ConfigSystem::hasStartEvidence(TimePoint Now) const {
  const bool IsSettled = FirstPeerVersionAt &&
                         *FirstPeerVersionAt + SettleTime <= Now &&
                         !PeerVersions.empty();
  if (!Evidence.isProven()) {
    // A peer that has more than the store ever showed has seen what was lost;
    // one that has the same may have missed it.
    return IsSettled && Pending->From.Peer && Pending->Version > StoredVersion;
  }
  return (Settings.StoreIsAuthoritative && StoreAnsweredAt) || IsSettled ||
         *StartBegin + StartWait <= Now;
}

TimePoint ConfigSystem::startLimit() const {
  const bool IsLost = Evidence.era() > StoreEvidence::FirstEra && Pending &&
                      Pending->Version < Evidence.leastVersion();
  return std::max(*StartBegin, Evidence.unprovenSince().value_or(TimePoint{})) +
         (IsLost ? LostVersionTimeout : StartTimeout);
}

std::uint64_t ConfigSystem::highestPeerVersion() const {
  std::uint64_t Highest = 0;
  for (const auto &[Peer, Offered] : PeerVersions) {
    Highest = std::max(Highest, Offered);
  }
  return Highest;
}

void ConfigSystem::fetchFromPeer(TimePoint Now, Actions &Out) {
  const std::uint64_t Held = heldVersion();
  if (FetchPeer && FetchDeadline > Now) {
    return;
  }
  if (FetchPeer && highestPeerVersion() > Held) {
    Out.emplace_back(Notice{"config_fetch_failed",
                            {{"peer", toString(*FetchPeer)},
                             {"version", std::to_string(highestPeerVersion())},
                             {"reason", "no answer before the deadline"},
                             {"elapsed_ms", milliseconds(Now - FetchStart)}}});
  }
  std::vector<NodeId> Sources;
  for (const auto &[Peer, Offered] : PeerVersions) {
    // A peer that failed to answer is asked again only if no other has more.
    if (Offered > Held && Peer != FetchPeer) {
      Sources.push_back(Peer);
    }
  }
  if (Sources.empty() && FetchPeer && PeerVersions.contains(*FetchPeer) &&
      PeerVersions.at(*FetchPeer) > Held) {
    Sources.push_back(*FetchPeer);
  }
  FetchPeer.reset();
  if (Sources.empty()) {
    return;
  }
  FetchPeer = Sources[Random.below(Sources.size())];
  FetchStart = Now;
  FetchDeadline = Now + fetchTimeout();
  Out.emplace_back(SendToPeer{*FetchPeer, ConfigRequest{Held}});
}

Duration ConfigSystem::fetchTimeout() const {
  return std::clamp(MinFetchTimeout + Duration(Document.size()),
                    MinFetchTimeout, MaxFetchTimeout);
}

void ConfigSystem::standIn(TimePoint Now) {
  if (!Watching) {
    StandInUntil = Now + StandInTime;
    NextStoreCall = std::min(NextStoreCall, Now);
  }
}

void ConfigSystem::superviseWatchers(TimePoint Now, Actions &Out) {
  const auto Lost = std::erase_if(
      Supervised, [&](const auto &Each) { return Each.second <= Now; });
  if (Lost > 0) {
    standIn(Now);
  }
  if (!Watching || NextDeputyDigest > Now) {
    return;
  }
  NextDeputyDigest = Now + DeputyPeriod;
  const auto Chosen =
      std::find_if(Deputies.begin(), Deputies.end(),
                   [&](NodeId Each) { return Links.contains(Each); });
  if (Chosen != Deputies.end() || !Links.empty()) {
    Out.emplace_back(
        SendToPeer{Chosen != Deputies.end() ? *Chosen : Links.begin()->first,
                   ConfigDigest{Version, DeputyTimeout, false}});
  }
}

void ConfigSystem::askPeers(TimePoint Now, Actions &Out) {
  if (Links.empty() || NextAsk > Now) {
    return;
  }
  NextAsk = Now + CheckPeriod;
  for (std::size_t Count = std::min(AskedPeers, Links.size()); Count > 0;
       --Count) {
    auto Next = Links.upper_bound(LastAsked);
    Next = Next == Links.end() ? Links.begin() : Next;
    LastAsked = Next->first;
    Out.emplace_back(
        SendToPeer{LastAsked, ConfigDigest{Version, Duration{0}, true}});
  }
}

void ConfigSystem::callStore(StoreOperation Operation, TimePoint Now,
                             Duration Wait, Actions &Out) {
  CurrentCall = storeCallNumber(StoreUser::Config, ++LastCall);
  OpenCalls[CurrentCall] =
      OpenCall{Now, Now + Wait + ReadTimeout + ClientMargin,
               std::holds_alternative<StoreWatch>(Operation), Evidence.era()};
  OverdueAt = Now + Wait + AnswerTime;
  NextStoreCall = TimePoint::max();
  Out.emplace_back(StoreCall{CurrentCall, std::move(Operation), ReadTimeout});
}

void ConfigSystem::endOverdueCalls(TimePoint Now, Actions &Out) {
  if (CurrentCall != 0 && OverdueAt <= Now) {
    const OpenCall Call = OpenCalls.at(std::exchange(CurrentCall, 0));
    storeFailed(Call, "no answer in time", Now, Out);
  }
  std::erase_if(OpenCalls,
                [&](const auto &Each) { return Each.second.Deadline <= Now; });
}

void ConfigSystem::readStore(TimePoint Now, Actions &Out) {
  if (Watching && Revision != 0 && !Failing && Now < NextPlainRead) {
    const Duration Wait = WatchTime - WatchJitter +
                          Duration(Random.below(2 * WatchJitter.count()));
    callStore(StoreWatch{ConfigHeadKey, Revision, Wait}, Now, Wait, Out);
    return;
  }
  // Nodes that do not watch read the store only until they know of a version.
  // Once a peer is linked they leave retries to the watching nodes, so that the
  // calls per second do not grow with the site.
  const bool Knows = Version != 0 || Pending || highestPeerVersion() != 0;
  const bool LeaveToWatchers =
      !awaitsEvidence() && (Knows || (StoreTried && !Links.empty()));
  const bool Asked = std::exchange(CheckRequested, false) || standsIn(Now);
  if (!Watching && LeaveToWatchers && !Asked) {
    NextStoreCall = TimePoint::max();
    return;
  }
  NextPlainRead = Now + PlainReadPeriod +
                  Duration(Random.below(PlainReadPeriod.count() / 2));
  callStore(StoreRead{ConfigHeadKey}, Now, Duration{0}, Out);
}

void ConfigSystem::receiveHead(const OpenCall &Call, const StoreResult &Result,
                               TimePoint Now, Actions &Out) {
  StoreTried = true;
  StoreAnsweredAt = Now;
  Backoff = MinBackoff;
  Failing = false;
  const bool MayCall = CurrentCall == 0;
  const auto Next = [&](TimePoint Time) {
    if (MayCall) {
      NextStoreCall = Time;
    }
  };
  Next(Watching ? Now : standsIn(Now) ? Now + StandInPeriod : TimePoint::max());
  if (Result.Status == StoreStatus::Missing) {
    const Duration Jitter(Random.below(Settings.MissingConfigPeriod.count()));
    // A store that lost the configuration is read as often as it was watched.
    Next(Watching && Version != 0
             ? Now + WatchTime
             : Now + Settings.MissingConfigPeriod + Jitter);
    return;
  }
  if (Result.Status != StoreStatus::Done) {
    if (Call.IsWatch && startedAtVersionInForce(Call)) {
      recordProof(Call);
    }
    return;
  }
  Error LastError;
  const std::optional<ConfigHead> Head =
      Codec.parseHead(Result.Value, LastError);
  if (!Head || Head->Version < Version) {
    Next(Watching ? Now + WatchTime : TimePoint::max());
    rejectHead(Call, Result, Head ? Head->Version : 0, LastError.Reason, Now,
               Out);
    return;
  }
  if (Result.Revision >= Revision) {
    Revision = Result.Revision;
    StoredVersion = Head->Version;
  }
  considerVersion(Candidate{Head->Version, Payload(Head->Document),
                            Origin{Call.IsWatch ? "store-watch" : "store-read",
                                   std::nullopt, Result.Revision}},
                  Now, Out);
  if (awaitsEvidence()) {
    Next(Now + StartReadPeriod +
         Duration(Random.below(StartReadPeriod.count() / 2)));
  }
  if (Started && Version != 0) {
    // A higher version that is still not in force is invalid and counts as not
    // written: the last good one goes on.
    recordProof(Call);
  }
}

void ConfigSystem::rejectHead(const OpenCall &Call, const StoreResult &Result,
                              std::uint64_t HeadVersion,
                              const std::string &Reason, TimePoint Now,
                              Actions &Out) {
  if (HeadVersion != 0) {
    // A watch from the revision of a higher version would hang.
    Revision = 0;
    StoredVersion = HeadVersion;
  } else if (startedAtVersionInForce(Call) && Result.Revision > Revision) {
    // An unreadable value that follows the version in force counts as an
    // invalid version.
    recordProof(Call);
  }
  if (!NextOlderNotice || *NextOlderNotice <= Now) {
    NextOlderNotice = Now + OlderNoticePeriod;
    Out.emplace_back(Notice{HeadVersion != 0 ? "config_store_older"
                                             : "config_store_unreadable",
                            {{"store_version", std::to_string(HeadVersion)},
                             {"in_force", std::to_string(Version)},
                             {"reason", Reason}}});
  }
}

bool ConfigSystem::noteEra(const StoreResult &Result, TimePoint Now,
                           Actions &Out) {
  const std::uint64_t Before = Evidence.era();
  const StoreEvidence::EraChange Change = Evidence.noteEra(Result, Now, Out);
  if (Change != StoreEvidence::EraChange::Risen) {
    return Change == StoreEvidence::EraChange::None;
  }
  if (Before != 0) {
    Out.emplace_back(Notice{"store_lost_history",
                            {{"era", std::to_string(Result.Era)},
                             {"version", std::to_string(Version)},
                             {"revision", std::to_string(Revision)}}});
  }
  Revision = 0;
  Writer.forgetRevisions();
  if (Started && !Evidence.isProven()) {
    standIn(Now);
  }
  return true;
}

void ConfigSystem::storeFailed(const OpenCall &Call, const std::string &Reason,
                               TimePoint Now, Actions &Out) {
  const bool First = !std::exchange(Failing, true);
  if (Watching || standsIn(Now)) {
    const bool Overdue = Now - Call.Start >= AnswerTime;
    const Duration Least = First || Overdue ? Duration{0} : MinRetry;
    const Duration Most = First || Overdue ? MinRetry : MaxRetry;
    NextStoreCall =
        Now + Least + Duration(Random.below((Most - Least).count()));
    askPeers(Now, Out);
  } else {
    // There are many nodes that do not watch, so they wait longer.
    NextStoreCall = Now + Backoff + Duration(Random.below(Backoff.count()));
    Backoff = std::min(Backoff * 2, MaxBackoff * 8);
  }
  StoreTried = !Watching && !Links.empty();
  Out.emplace_back(Notice{"config_call_failed",
                          {{"kind", Call.IsWatch ? "watch" : "read"},
                           {"reason", Reason},
                           {"elapsed_ms", milliseconds(Now - Call.Start)},
                           {"next_ms", milliseconds(NextStoreCall - Now)}}});
}

void ConfigSystem::finishHistory(const StoreResult &Result, std::uint64_t Call,
                                 Actions &Out) {
  const auto Found = HistoryCalls.find(Call);
  if (Found == HistoryCalls.end()) {
    return;
  }
  const HistoryRequested Input = Found->second;
  HistoryCalls.erase(Found);
  HistoryResult Answer;
  Answer.Request = Input.Request;
  Error LastError{numberOf(ErrorCode::StoreUnavailable), "config.history",
                  "store", "the store is not available: " + Result.Reason};
  if (Result.Status == StoreStatus::Missing) {
    LastError.Reason = "there is no such archive";
    if (Input.Archive == 0) {
      Out.emplace_back(std::move(Answer));
      return;
    }
  } else if (Result.Status == StoreStatus::Done && Input.Archive == 0) {
    LastError.Code = numberOf(ErrorCode::HeadUnreadable);
    if (std::optional<ConfigHead> Head =
            Codec.parseHead(Result.Value, LastError)) {
      Answer.Changes = std::move(Head->History);
      Answer.Archives = std::move(Head->Archives);
      Out.emplace_back(std::move(Answer));
      return;
    }
  } else if (Result.Status == StoreStatus::Done) {
    LastError.Code = numberOf(ErrorCode::HeadUnreadable);
    if (auto Changes = Codec.parseArchive(Result.Value, LastError)) {
      Answer.Changes = std::move(*Changes);
      Out.emplace_back(std::move(Answer));
      return;
    }
  }
  Answer.Errors.push_back(LastError);
  Out.emplace_back(std::move(Answer));
}

} // namespace hyssopford
