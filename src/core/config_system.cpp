#include "hyssopford/core/config_system.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

constexpr Duration CallMargin = 5s;
constexpr Duration ReadTimeout = 5s;

} // namespace

ConfigSystem::ConfigSystem(const ConfigCodec &Json, RandomSource &Source,
                           const StartSettings &Chosen)
    : Codec(Json), Random(Source), Settings(Chosen), Writer(Json) {}

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
  if (!FirstOffer && Message.Version != 0) {
    // A peer without a version may itself be starting, so it does not count.
    FirstOffer = Now;
  }
  Offers[From.Node] = Message.Version;
  fetch(Now, Out);
  endStart(Now, Out);
}

void ConfigSystem::receive(NodeRun From, const ConfigRequest &Message,
                           TimePoint /*Now*/, Actions &Out) {
  if (Version > Message.Version) {
    if (Packed.size() == 0) {
      Packed = Payload(Codec.compressDocument(Document.bytes()));
    }
    Out.emplace_back(SendToPeer{From.Node, ConfigPush{Version, Packed}});
  } else {
    Out.emplace_back(SendToPeer{From.Node, ConfigDigest{Version}});
  }
}

void ConfigSystem::receive(NodeRun From, const ConfigPush &Message,
                           TimePoint Now, Actions &Out) {
  if (Links.contains(From.Node)) {
    Offers[From.Node] = std::max(Offers[From.Node], Message.Version);
  }
  if (Asked == From.Node) {
    Asked.reset();
  }
  if (Message.Version > Version) {
    if (auto Text = Codec.decompressDocument(Message.Document.bytes())) {
      offer(Message.Version, Payload(std::move(*Text)), Now, Out);
    } else {
      Out.emplace_back(Notice{"config_unreadable",
                              {{"version", std::to_string(Message.Version)},
                               {"reason", "the document is damaged"},
                               {"peer", toString(From.Node)}}});
      Offers.erase(From.Node);
    }
  }
  fetch(Now, Out);
}

void ConfigSystem::receive(const StoreReplied &Reply, TimePoint Now,
                           Actions &Out) {
  if (isCallOf(StoreUser::Patch, Reply.Call)) {
    Writer.receive(Reply, Now, Out);
    if (const auto Stored = Writer.takeStored()) {
      offer(Stored->Version, Payload(Stored->Document), Now, Out);
    }
  } else if (isCallOf(StoreUser::History, Reply.Call)) {
    finishHistory(Reply.Result, Reply.Call, Out);
  } else if (Reply.Call == OpenCall && OpenCall != 0) {
    OpenCall = 0;
    takeStored(Reply.Result, Now, Out);
  }
}

void ConfigSystem::linkUp(NodeRun Peer, TimePoint /*Now*/, Actions &Out) {
  Links[Peer.Node] = true;
  Out.emplace_back(SendToPeer{Peer.Node, ConfigDigest{Version}});
}

void ConfigSystem::linkDown(NodeId Peer) {
  Links.erase(Peer);
  Offers.erase(Peer);
  if (Asked == Peer) {
    Asked.reset();
  }
}

void ConfigSystem::setWatching(bool Value, TimePoint Now) {
  if (Value && !Watching) {
    NextStoreCall = std::min(NextStoreCall, Now);
  }
  Watching = Value;
}

void ConfigSystem::tick(TimePoint Now, Actions &Out) {
  LastTick = Now;
  if (!Begin) {
    Begin = Now;
    NextStoreCall = Now + Settings.PeerConfigWait;
  }
  Writer.tick(Now, Out);
  if (const auto Stored = Writer.takeStored()) {
    offer(Stored->Version, Payload(Stored->Document), Now, Out);
  }
  endStart(Now, Out);
  fetch(Now, Out);
  if (OpenCall != 0 && CallEnd <= Now) {
    OpenCall = 0;
    storeFailed(Now);
  }
  if (OpenCall == 0 && NextStoreCall <= Now) {
    readStore(Now, Out);
  }
}

std::optional<TimePoint> ConfigSystem::nextWakeup() const {
  if (!Begin) {
    return TimePoint{};
  }
  std::optional<TimePoint> Next = Writer.nextWakeup();
  const auto Consider = [&](TimePoint Time) {
    Next = Next ? std::min(*Next, Time) : Time;
  };
  // A limit of the start that has passed without ending it is over; asking for
  // it again would keep the loop busy.
  const auto ConsiderLater = [&](TimePoint Time) {
    if (Time > LastTick) {
      Consider(Time);
    }
  };
  if (!Started) {
    ConsiderLater(*Begin + StartTime);
    ConsiderLater(*Begin + StartLimit);
    if (FirstOffer) {
      ConsiderLater(*FirstOffer + SettleTime);
    }
  }
  if (Asked) {
    Consider(AskEnd);
  }
  if (OpenCall != 0) {
    Consider(CallEnd);
  } else if (NextStoreCall != TimePoint::max()) {
    Consider(NextStoreCall);
  }
  return Next;
}

std::optional<RoutingConfig> ConfigSystem::takeAdopted() {
  return std::exchange(Adopted, std::nullopt);
}

void ConfigSystem::offer(std::uint64_t Offered, const Payload &Text,
                         TimePoint Now, Actions &Out) {
  const std::uint64_t Best =
      std::max({Version, Unreadable, Pending ? Pending->Version : 0});
  if (Offered <= Best) {
    return;
  }
  if (Started) {
    putInForce(Candidate{Offered, Text}, Out);
    return;
  }
  Pending = Candidate{Offered, Text};
  endStart(Now, Out);
}

void ConfigSystem::putInForce(const Candidate &Next, Actions &Out) {
  std::vector<Error> Errors;
  std::optional<RoutingConfig> Config =
      Codec.parseConfig(Next.Document.bytes(), Next.Version, Errors);
  if (!Config) {
    // Written by a node of another release. The version in force stays.
    Unreadable = std::max(Unreadable, Next.Version);
    Out.emplace_back(
        Notice{"config_unreadable",
               {{"version", std::to_string(Next.Version)},
                {"reason", Errors.empty() ? "" : toString(Errors.front())}}});
    return;
  }
  Version = Next.Version;
  Document = Next.Document;
  Packed = Payload();
  Adopted = std::move(Config);
  Writer.setVersion(Version);
  Out.emplace_back(
      Notice{"config_in_force", {{"version", std::to_string(Version)}}});
  for (const auto &[Peer, Up] : Links) {
    const auto Known = Offers.find(Peer);
    if (Known == Offers.end() || Known->second < Version) {
      Out.emplace_back(SendToPeer{Peer, ConfigDigest{Version}});
    }
  }
}

void ConfigSystem::endStart(TimePoint Now, Actions &Out) {
  if (Started || !Begin) {
    return;
  }
  const std::uint64_t Held = Pending ? Pending->Version : 0;
  const bool Complete = Held >= highestOffer();
  const bool Settled = FirstOffer && *FirstOffer + SettleTime <= Now &&
                       !Offers.empty() && Pending.has_value();
  const bool Waited = *Begin + StartTime <= Now;
  if ((Complete && (Settled || Waited)) || *Begin + StartLimit <= Now) {
    Started = true;
    if (Pending) {
      putInForce(*std::exchange(Pending, std::nullopt), Out);
    }
  }
}

std::uint64_t ConfigSystem::highestOffer() const {
  std::uint64_t Highest = 0;
  for (const auto &[Peer, Offered] : Offers) {
    Highest = std::max(Highest, Offered);
  }
  return Highest;
}

void ConfigSystem::fetch(TimePoint Now, Actions &Out) {
  const std::uint64_t Held =
      std::max({Version, Unreadable, Pending ? Pending->Version : 0});
  if (Asked && AskEnd > Now) {
    return;
  }
  std::vector<NodeId> Sources;
  for (const auto &[Peer, Offered] : Offers) {
    // A peer that has just failed to answer is asked only if it is the last.
    if (Offered > Held && Peer != Asked) {
      Sources.push_back(Peer);
    }
  }
  if (Sources.empty() && Asked && Offers.contains(*Asked) &&
      Offers.at(*Asked) > Held) {
    Sources.push_back(*Asked);
  }
  Asked.reset();
  if (Sources.empty()) {
    return;
  }
  Asked = Sources[Random.below(Sources.size())];
  AskEnd = Now + FetchTimeout;
  Out.emplace_back(SendToPeer{*Asked, ConfigRequest{Held}});
}

void ConfigSystem::call(StoreOperation Operation, TimePoint End, Actions &Out) {
  OpenCall = storeCallNumber(StoreUser::Config, ++LastCall);
  CallEnd = End;
  NextStoreCall = TimePoint::max();
  Out.emplace_back(StoreCall{OpenCall, std::move(Operation)});
}

void ConfigSystem::readStore(TimePoint Now, Actions &Out) {
  if (Watching && Revision != 0) {
    call(StoreWatch{ConfigHeadKey, Revision, WatchTime},
         Now + WatchTime + CallMargin, Out);
    return;
  }
  // Other nodes read the store only until they have heard of a version, and
  // once a peer is linked they leave repeated tries to the watching nodes, so
  // that the calls per second do not grow with the site.
  const bool Knows = Version != 0 || Pending || highestOffer() != 0;
  const bool Leave = Knows || (StoreAnswered && !Links.empty());
  if (!Watching && Leave) {
    NextStoreCall = TimePoint::max();
    return;
  }
  call(StoreRead{ConfigHeadKey}, Now + ReadTimeout, Out);
}

void ConfigSystem::takeStored(const StoreResult &Result, TimePoint Now,
                              Actions &Out) {
  if (Result.Status == StoreStatus::Refused ||
      Result.Status == StoreStatus::NoAnswer) {
    storeFailed(Now);
    return;
  }
  StoreAnswered = true;
  Backoff = FirstBackoff;
  NextStoreCall = Watching ? Now : TimePoint::max();
  if (Result.Status == StoreStatus::Missing) {
    const Duration Jitter(Random.below(Settings.MissingConfigPeriod.count()));
    NextStoreCall = Now + Settings.MissingConfigPeriod + Jitter;
    return;
  }
  if (Result.Status != StoreStatus::Done) {
    return;
  }
  Error LastError;
  const std::optional<ConfigHead> Head =
      Codec.parseHead(Result.Value, LastError);
  const std::uint64_t Known = std::max(Version, Unreadable);
  if (!Head || Head->Version < Known) {
    NextStoreCall = Watching ? Now + 1s : TimePoint::max();
    if (!NextOlderNotice || *NextOlderNotice <= Now) {
      NextOlderNotice = Now + OlderNoticePeriod;
      Out.emplace_back(
          Notice{Head ? "config_store_older" : "config_store_unreadable",
                 {{"store_version", std::to_string(Head ? Head->Version : 0)},
                  {"in_force", std::to_string(Version)},
                  {"reason", LastError.Reason}}});
    }
    return;
  }
  Revision = std::max(Revision, Result.Revision);
  offer(Head->Version, Payload(Head->Document), Now, Out);
  if (Settings.StoreIsAuthoritative && !Started && Pending) {
    Started = true;
    putInForce(*std::exchange(Pending, std::nullopt), Out);
  }
}

void ConfigSystem::storeFailed(TimePoint Now) {
  NextStoreCall = Now + Backoff + Duration(Random.below(Backoff.count()));
  // Nodes that do not watch are many, so they wait longer.
  Backoff = std::min(Backoff * 2, Watching ? LastBackoff : LastBackoff * 8);
  StoreAnswered = !Watching && !Links.empty();
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
