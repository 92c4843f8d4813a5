#include "hyssopford/core/evacuation/evacuation_system.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hyssopford {

namespace {

/// Watches without a change after which the keys are listed again, in case that
/// the watches report nothing.
constexpr std::uint32_t QuietWatchesMax = 2;
/// Time after which a call that the client did not end counts as failed.
constexpr Duration ClientMargin = 2s;

auto orderOf(const EvacuationNotice &Set) {
  return std::tuple(Set.StoreEra, Set.Revision);
}

void report(const char *Event, const std::string &Domain,
            const EvacuationNotice &Set, std::optional<NodeId> From,
            Actions &Out) {
  Out.emplace_back(Notice{Event,
                          {{"domain", Domain},
                           {"revision", std::to_string(Set.Revision)},
                           {"store_era", std::to_string(Set.StoreEra)},
                           {"source", From ? "peer" : "store"},
                           {"peer", From ? toString(*From) : "-"}}});
}

} // namespace

void EvacuationSystem::setWatching(bool Value, TimePoint Now) {
  if (Value && !Watching && Enabled) {
    KnownRevision = 0;
    NextCall = OpenCall == 0 ? Now : NextCall;
  }
  Watching = Value && Enabled;
}

void EvacuationSystem::receive(NodeRun From, const EvacuationNotice &Message,
                               Actions &Out) {
  if (!Enabled) {
    return;
  }
  if (orderOf(Message) < orderOf(Current) &&
      Message.Domains != Current.Domains) {
    Out.emplace_back(SendToPeer{From.Node, Current});
    return;
  }
  apply(Message, From.Node, Out);
}

void EvacuationSystem::receive(const StoreReplied &Reply, TimePoint Now,
                               Actions &Out) {
  if (!isCallOf(StoreUser::Evacuation, Reply.Call) || Reply.Call != OpenCall) {
    return;
  }
  OpenCall = 0;
  const StoreResult &Result = Reply.Result;
  NextCall = std::max(Now, CallStart + CallPeriod);
  if (Result.Status == StoreStatus::Done) {
    KnownRevision = Result.Revision;
    QuietWatches = 0;
    EvacuationNotice New{Result.Era, Result.Revision, Result.Keys};
    std::sort(New.Domains.begin(), New.Domains.end());
    apply(std::move(New), std::nullopt, Out);
  } else if (Result.Status == StoreStatus::Unchanged) {
    ++QuietWatches;
    KnownRevision = QuietWatches >= QuietWatchesMax ? 0 : Result.Revision;
  } else {
    KnownRevision = 0;
    NextCall = Now + RetryPeriod;
  }
}

void EvacuationSystem::linkUp(NodeRun Peer, Actions &Out) {
  Links.insert(Peer.Node);
  if (Enabled && Current.Revision != 0) {
    Out.emplace_back(SendToPeer{Peer.Node, Current});
  }
}

void EvacuationSystem::tick(TimePoint Now, Actions &Out) {
  if (!Watching || Now < NextCall) {
    return;
  }
  if (OpenCall != 0) {
    KnownRevision = 0;
  }
  call(Now, Out);
}

std::optional<TimePoint> EvacuationSystem::nextWakeup() const {
  return Watching ? std::optional(NextCall) : std::nullopt;
}

void EvacuationSystem::apply(EvacuationNotice New, std::optional<NodeId> From,
                             Actions &Out) {
  if (orderOf(New) <= orderOf(Current)) {
    return;
  }
  // Without the first set, a node that was cut off could bring back an older
  // one to nodes that know none.
  const bool IsFirst = Current.Revision == 0;
  const bool IsChanged = New.Domains != Current.Domains;
  Current = std::move(New);
  if (!IsFirst && !IsChanged) {
    return;
  }
  for (const NodeId Peer : Links) {
    if (Peer != From) {
      Out.emplace_back(SendToPeer{Peer, Current});
    }
  }
  const std::set<std::string> Before =
      std::exchange(Evacuated, std::set<std::string>(Current.Domains.begin(),
                                                     Current.Domains.end()));
  if (Before == Evacuated) {
    return;
  }
  ++Changes;
  for (const std::string &Domain : Evacuated) {
    if (!Before.contains(Domain)) {
      report("evacuation_begun", Domain, Current, From, Out);
    }
  }
  for (const std::string &Domain : Before) {
    if (!Evacuated.contains(Domain)) {
      report("evacuation_ended", Domain, Current, From, Out);
    }
  }
}

void EvacuationSystem::call(TimePoint Now, Actions &Out) {
  OpenCall = storeCallNumber(StoreUser::Evacuation, ++LastCall);
  CallStart = Now;
  const Duration Wait = KnownRevision == 0 ? Duration{0} : WatchTime;
  // A slow store must still be able to answer a list.
  const Duration Limit = Wait == Duration{0} ? DefaultStoreTimeout : AnswerTime;
  NextCall = Now + Wait + Limit + ClientMargin;
  Out.emplace_back(StoreCall{
      OpenCall, StoreList{EvacuationPrefix, KnownRevision, Wait}, Limit});
}

} // namespace hyssopford
