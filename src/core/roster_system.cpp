#include "hyssopford/core/roster_system.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace hyssopford {

namespace {

bool contains(const std::vector<RosterMember> &Members, NodeRun Id) {
  return std::any_of(
      Members.begin(), Members.end(),
      [&](const RosterMember &Member) { return Member.Id == Id; });
}

} // namespace

RosterSystem::RosterSystem(NodeRun Run, const KeySettings &Times,
                           RandomSource &Source)
    : Self(Run), Settings(Times), Random(Source) {}

void RosterSystem::requestRoster(const std::string &Service,
                                 const MemberRecords &Members, TimePoint Now,
                                 Actions &Out) {
  ServiceRow &Row = Services[Service];
  if (Row.NextRequest > Now) {
    return;
  }
  Row.NextRequest = Now + UrgentRequestPeriod;
  std::vector<const MemberRecord *> Peers;
  for (const auto &[Id, Record] : Members) {
    const bool Knows = Record.Service == Service ||
                       (Row.Known && isMember(Row.Known->Current, Record.Id));
    if (Knows && Id != Self.Node && Record.State == MemberState::Alive) {
      Peers.push_back(&Record);
    }
  }
  if (!Peers.empty()) {
    const MemberRecord &Peer = *Peers[Random.below(Peers.size())];
    Out.emplace_back(OpenLink{Peer.Id.Node, Peer.Address});
    Out.emplace_back(SendToPeer{
        Peer.Id.Node,
        RosterRequest{Service, Row.Known ? Row.Known->Revision : 0, 0}});
  }
}

void RosterSystem::receive(NodeRun From, const RosterRequest &Request,
                           Actions &Out) {
  const auto Found = Services.find(Request.Service);
  if (Found == Services.end() || !Found->second.Known) {
    if (Request.Revision > 0) {
      Out.emplace_back(
          SendToPeer{From.Node, RosterRequest{Request.Service, 0, 0}});
    }
    return;
  }
  ServiceRow &Row = Found->second;
  if (Request.ReadyEpoch == Row.Known->Current.Epoch &&
      std::find(Row.Ready.begin(), Row.Ready.end(), From) == Row.Ready.end()) {
    Row.Ready.push_back(From);
  }
  if (Request.Revision < Row.Known->Revision) {
    sendRoster(From.Node, Request.Service, Out);
  } else if (Request.Revision > Row.Known->Revision) {
    Out.emplace_back(SendToPeer{
        From.Node, RosterRequest{Request.Service, Row.Known->Revision, 0}});
  }
}

void RosterSystem::receive(const RosterUpdate &Update) {
  Error Reason;
  if (const auto New = decodeRoster(Update.Value, Update.Revision, Reason)) {
    adopt(Update.Service, *New);
  }
}

void RosterSystem::receive(const StoreReplied &Reply, TimePoint Now,
                           Actions &Out) {
  const auto Found =
      std::find_if(Services.begin(), Services.end(), [&](const auto &Entry) {
        return Entry.second.Call != 0 && Entry.second.Call == Reply.Call;
      });
  if (Found == Services.end()) {
    return;
  }
  auto &[Service, Row] = *Found;
  const std::optional<Roster> Written = std::move(Row.Writing);
  Row.Call = 0;
  Row.Writing.reset();
  Row.MissingInStore = false;
  Row.NextRead = Now + StoreRetryPeriod;
  const StoreResult &Result = Reply.Result;
  if (Result.Status == StoreStatus::Done && Written) {
    Roster New = *Written;
    New.Revision = Result.Revision;
    if (adopt(Service, New)) {
      broadcast(Service, Row, Out);
    }
    Row.NextRead = Now + ReadPeriod;
  } else if (Result.Status == StoreStatus::Done) {
    Error Reason;
    const auto New = decodeRoster(Result.Value, Result.Revision, Reason);
    if (!New) {
      Out.emplace_back(
          Notice{"roster_invalid",
                 {{"service", Service}, {"reason", toString(Reason)}}});
    } else if (adopt(Service, *New)) {
      broadcast(Service, Row, Out);
    }
    Row.NextRead =
        Now + ReadPeriod + Duration(Random.below(StoreRetryPeriod.count()));
  } else if (Result.Status == StoreStatus::Missing) {
    Row.MissingInStore = true;
  }
}

void RosterSystem::sendRoster(NodeId Peer, const std::string &Service,
                              Actions &Out) const {
  if (const Roster *Known = find(Service)) {
    Out.emplace_back(SendToPeer{
        Peer, RosterUpdate{Service, Known->Revision, encodeRoster(*Known)}});
  }
}

void RosterSystem::tick(const MemberRecords &Members,
                        const std::vector<std::string> &Wanted,
                        const Readiness &Ready, TimePoint Now, Actions &Out) {
  if (NextEvaluation && Now < *NextEvaluation) {
    return;
  }
  NextEvaluation = Now + EvaluationPeriod;
  const auto Own = Members.find(Self.Node);
  for (const std::string &Service : Wanted) {
    if (Own != Members.end() && Own->second.Service == Service) {
      Services.try_emplace(Service);
    }
  }
  for (auto &[Service, Row] : Services) {
    const bool Member = Row.Known && isMember(Row.Known->Current, Self);
    const bool Serves = Own != Members.end() && Own->second.Service == Service;
    if (!Member && !Serves) {
      continue;
    }
    updatePresence(Service, Row, Members, Now);
    const std::uint64_t ReadyEpoch = Ready(Service);
    if (ReadyEpoch != 0 && ReadyEpoch == Row.Known->Current.Epoch &&
        std::find(Row.Ready.begin(), Row.Ready.end(), Self) ==
            Row.Ready.end()) {
      Row.Ready.push_back(Self);
    }
    const std::optional<NodeId> Writer = writerOf(Service, Row, Members);
    if (Writer == Self.Node) {
      evaluate(Service, Row, Members, Now, Out);
    } else if (Writer && Row.NextRequest <= Now) {
      const bool Unsettled = !Row.Known || !Row.Known->Previous.empty();
      Row.NextRequest = Now + (Unsettled ? EvaluationPeriod : RequestPeriod);
      Out.emplace_back(OpenLink{*Writer, Members.at(*Writer).Address});
      Out.emplace_back(SendToPeer{
          *Writer, RosterRequest{Service, Row.Known ? Row.Known->Revision : 0,
                                 ReadyEpoch}});
    }
  }
}

std::vector<std::string> RosterSystem::takeChanged() {
  return std::exchange(Changed, {});
}

const Roster *RosterSystem::find(const std::string &Service) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() && Found->second.Known ? &*Found->second.Known
                                                        : nullptr;
}

bool RosterSystem::isUnlisted() const {
  return std::none_of(Services.begin(), Services.end(), [&](const auto &Entry) {
    const auto &Known = Entry.second.Known;
    return Known && (isMember(Known->Current, Self) ||
                     std::any_of(Known->Previous.begin(), Known->Previous.end(),
                                 [&](const RosterEpoch &Epoch) {
                                   return isMember(Epoch, Self);
                                 }));
  });
}

bool RosterSystem::adopt(const std::string &Service, const Roster &New) {
  ServiceRow &Row = Services[Service];
  const auto Order = [](const Roster &Each) {
    return std::tuple(Each.Current.Epoch, Each.Revision);
  };
  if (Row.Known && Order(New) <= Order(*Row.Known)) {
    return false;
  }
  if (!Row.Known || Row.Known->Current.Epoch != New.Current.Epoch) {
    Row.Ready.clear();
  }
  Row.Known = New;
  Changed.push_back(Service);
  return true;
}

bool RosterSystem::isAlive(const MemberRecords &Members,
                           const RosterMember &Member) const {
  const auto Found = Members.find(Member.Id.Node);
  return Found != Members.end() && Found->second.Id == Member.Id &&
         Found->second.State == MemberState::Alive;
}

std::optional<NodeId>
RosterSystem::writerOf(const std::string &Service, const ServiceRow &Row,
                       const MemberRecords &Members) const {
  const std::uint64_t ServiceHash = hashBytes(Service);
  std::optional<std::pair<std::uint64_t, NodeId>> Best;
  for (const auto &[Id, Record] : Members) {
    const bool Eligible =
        Record.Service == Service ||
        (Row.Known && isMember(Row.Known->Current, Record.Id));
    const std::pair Rank(hashPair(ServiceHash, Id.Value), Id);
    if (Eligible && Record.State == MemberState::Alive &&
        (!Best || Rank < *Best)) {
      Best = Rank;
    }
  }
  return Best ? std::optional(Best->second) : std::nullopt;
}

void RosterSystem::updatePresence(const std::string &Service, ServiceRow &Row,
                                  const MemberRecords &Members,
                                  TimePoint Now) const {
  std::map<NodeRun, TimePoint> Present;
  for (const auto &[Id, Record] : Members) {
    if (Record.Service == Service && Record.State == MemberState::Alive) {
      const auto Known = Row.PresentSince.find(Record.Id);
      Present[Record.Id] =
          Known == Row.PresentSince.end() ? Now : Known->second;
    }
  }
  Row.PresentSince = std::move(Present);
  std::map<NodeRun, TimePoint> Away;
  if (Row.Known) {
    for (const RosterMember &Member : Row.Known->Current.Members) {
      if (!isAlive(Members, Member)) {
        const auto Known = Row.AwaySince.find(Member.Id);
        Away[Member.Id] = Known == Row.AwaySince.end() ? Now : Known->second;
      }
    }
  }
  Row.AwaySince = std::move(Away);
}

std::optional<Roster> RosterSystem::planChange(const ServiceRow &Row,
                                               const MemberRecords &Members,
                                               TimePoint Now) const {
  if (!Row.Known) {
    Roster First;
    First.Current.Epoch = 1;
    First.Current.Members = addJoining(Row, Members, {}, Now);
    const bool Stable =
        std::all_of(Row.PresentSince.begin(), Row.PresentSince.end(),
                    [&](const auto &Entry) {
                      return Entry.second + Settings.JoinAfter <= Now;
                    });
    return Row.MissingInStore && Stable && !First.Current.Members.empty()
               ? std::optional(First)
               : std::nullopt;
  }
  const Roster &Known = *Row.Known;
  Roster New;
  New.Current.Epoch = Known.Current.Epoch + 1;
  const bool AllReady =
      std::all_of(Known.Current.Members.begin(), Known.Current.Members.end(),
                  [&](const RosterMember &Member) {
                    return std::find(Row.Ready.begin(), Row.Ready.end(),
                                     Member.Id) != Row.Ready.end();
                  });
  if (!Known.Previous.empty() && AllReady) {
    New.Current = Known.Current;
    return New;
  }
  // Records of keys that lost a majority of their holders cannot be handed
  // over, so the change is deferred until enough members are back.
  const auto Unreachable = [&](const RosterMember &Member) {
    const auto Found = Members.find(Member.Id.Node);
    return Found == Members.end() || Found->second.Id != Member.Id ||
           (Found->second.State != MemberState::Alive &&
            Found->second.State != MemberState::Leaving);
  };
  const std::size_t Holders = holderCount(Known.Current);
  if (Holders - maxMissingHolders(Known.Current, Unreachable) <
          majorityOf(Holders) ||
      Known.Previous.size() >= MaxPrevious) {
    return std::nullopt;
  }
  std::vector<RosterMember> Kept;
  for (const RosterMember &Member : Known.Current.Members) {
    const auto Away = Row.AwaySince.find(Member.Id);
    const auto Record = Members.find(Member.Id.Node);
    const bool Leaves =
        Record != Members.end() && Record->second.State == MemberState::Leaving;
    const bool Replaced =
        Record != Members.end() && Record->second.Id.Run > Member.Id.Run &&
        Away != Row.AwaySince.end() && Away->second + Settings.JoinAfter <= Now;
    if (Away == Row.AwaySince.end() ||
        (!Leaves && !Replaced && Away->second + Settings.RemoveAfter > Now)) {
      Kept.push_back(Member);
    }
  }
  const bool Removes = Kept.size() < Known.Current.Members.size();
  New.Current.Members = addJoining(Row, Members, Kept, Now);
  const bool Adds = New.Current.Members.size() > Kept.size();
  if (New.Current.Members.empty() ||
      (!Removes && (!Adds || !Known.Previous.empty()))) {
    return std::nullopt;
  }
  New.Previous = Known.Previous;
  New.Previous.push_back(Known.Current);
  return New;
}

std::vector<RosterMember>
RosterSystem::addJoining(const ServiceRow &Row, const MemberRecords &Members,
                         std::vector<RosterMember> Kept, TimePoint Now) const {
  // Members in new failure domains come first, so that the holders of a key
  // fail independently.
  for (const bool NewDomainOnly : {true, false}) {
    for (const auto &[Id, Since] : Row.PresentSince) {
      const MemberRecord &Record = Members.at(Id.Node);
      const bool DomainTaken = std::any_of(
          Kept.begin(), Kept.end(), [&](const RosterMember &Member) {
            return Member.FailureDomain == Record.FailureDomain;
          });
      if (Since + Settings.JoinAfter <= Now && Kept.size() < MaxMembers &&
          !contains(Kept, Id) && !(NewDomainOnly && DomainTaken)) {
        Kept.push_back(RosterMember{Id, Record.Address, Record.FailureDomain});
      }
    }
  }
  return Kept;
}

void RosterSystem::evaluate(const std::string &Service, ServiceRow &Row,
                            const MemberRecords &Members, TimePoint Now,
                            Actions &Out) {
  if (Row.Call != 0) {
    if (Row.CallSent + StoreTimeout > Now) {
      return;
    }
    Row.Call = 0;
    Row.Writing.reset();
    Row.NextRead = Now;
  }
  if (Row.NextRead <= Now) {
    callStore(Row, StoreRead{rosterStoreKey(Service)}, Now, Out);
    return;
  }
  const bool MayWrite = Row.Known || Row.MissingInStore;
  std::optional<Roster> New =
      MayWrite ? planChange(Row, Members, Now) : std::nullopt;
  if (New) {
    ++StoreWrites;
    const std::uint64_t Expected =
        Row.Known && !Row.MissingInStore ? Row.Known->Revision : 0;
    callStore(
        Row,
        StoreWrite{rosterStoreKey(Service), encodeRoster(*New), Expected, 0},
        Now, Out);
    Row.Writing = std::move(New);
  }
}

void RosterSystem::callStore(ServiceRow &Row, StoreOperation Operation,
                             TimePoint Now, Actions &Out) {
  Row.Call = storeCallNumber(StoreUser::Roster, NextCall++);
  Row.CallSent = Now;
  Out.emplace_back(StoreCall{Row.Call, std::move(Operation)});
}

void RosterSystem::broadcast(const std::string &Service, const ServiceRow &Row,
                             Actions &Out) const {
  std::set<NodeId> Notified{Self.Node};
  const auto NotifyMembers = [&](const RosterEpoch &Epoch) {
    for (const RosterMember &Member : Epoch.Members) {
      if (Notified.insert(Member.Id.Node).second) {
        sendRoster(Member.Id.Node, Service, Out);
      }
    }
  };
  NotifyMembers(Row.Known->Current);
  for (const RosterEpoch &Epoch : Row.Known->Previous) {
    NotifyMembers(Epoch);
  }
}

} // namespace hyssopford
