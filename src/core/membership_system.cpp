#include "hyssopford/core/membership_system.hpp"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace hyssopford {

namespace {

constexpr Duration PlanPeriod = 250ms;
// Seeds contacted at a time, so that a site that starts does not flood them.
constexpr std::size_t SeedsAtOnce = 2;
/// Members that contact one that may have restarted, in each period.
constexpr std::uint64_t RejoinContacts = 4;

Notice memberNotice(const char *Event, const MemberRecord &Record) {
  return Notice{Event,
                {{"node", toString(Record.Id.Node)},
                 {"address", Record.Address},
                 {"run", std::to_string(Record.Id.Run.Value)},
                 {"update", std::to_string(Record.UpdateNumber)}}};
}

} // namespace

MembershipSystem::MembershipSystem(const MemberRecord &Self,
                                   std::vector<std::string> FirstContacts,
                                   RandomSource &Source,
                                   const StartSettings &Chosen)
    : SelfRun(Self.Id), Seeds(std::move(FirstContacts)), Random(Source),
      Settings(Chosen), Table(Self), Budget(BytesPerSecond, BurstBytes),
      Detector(Table, Links, Source,
               [this](TimePoint Now) { return piggyback(Now); }),
      Sync(Table, Links, Source) {}

void MembershipSystem::setUpstream(const UpstreamAnnounced &Upstream,
                                   TimePoint Now, Actions &Out) {
  MemberRecord Self = Table.self();
  if (Self.Service == Upstream.Service && Self.Upstream == Upstream.State &&
      Self.Slots == Upstream.Slots) {
    return;
  }
  Self.Service = Upstream.Service;
  Self.Upstream = Upstream.State;
  Self.Slots = Upstream.Slots;
  Table.put(Self);
  publishSelf(Now, Out);
}

void MembershipSystem::setOperatorsPort(std::uint16_t Port) {
  MemberRecord Self = Table.self();
  Self.OperatorsPort = Port;
  Table.put(Self);
}

void MembershipSystem::leave(TimePoint Now, Actions &Out) {
  MemberRecord Self = Table.self();
  Self.State = MemberState::Leaving;
  Table.put(Self);
  publishSelf(Now, Out);
}

void MembershipSystem::receive(NodeRun From, const Gossip &Message,
                               TimePoint Now, Actions &Out) {
  mergeAll(From, Message.Records, Now, Out);
}

void MembershipSystem::receive(NodeRun From, const Ping &Message, TimePoint Now,
                               Actions &Out) {
  mergeAll(From, Message.Records, Now, Out);
  Links.touch(From.Node, Now);
  if (Message.Target == SelfRun) {
    Out.emplace_back(
        SendToPeer{From.Node, Ack{Message.Sequence, SelfRun,
                                  Detector.ConfigVersion, piggyback(Now)}});
    return;
  }
  if (Message.Target.Node == SelfRun.Node && Message.Target.Run < SelfRun.Run) {
    sendRecords(From.Node, {Table.self()}, Now, Out);
  }
}

void MembershipSystem::receive(NodeRun From, const PingRequest &Message,
                               TimePoint Now, Actions &Out) {
  Detector.relay(From.Node, Message, Now, Out);
}

void MembershipSystem::receive(NodeRun From, const Ack &Message, TimePoint Now,
                               Actions &Out) {
  mergeAll(From, Message.Records, Now, Out);
  Detector.acknowledge(Message, Out);
}

void MembershipSystem::receive(NodeRun From, const SyncRequest &Message,
                               TimePoint Now, Actions &Out) {
  Sync.receive(From.Node, Message, Now, Out);
}

void MembershipSystem::receive(NodeRun From, const SyncReply &Message,
                               TimePoint Now, Actions &Out) {
  Sync.receive(Message, Now);
  // What a comparison finds is no news: it spreads by further comparisons, and
  // a joining node must not repeat the whole table.
  FromSync = true;
  mergeAll(From, Message.Records, Now, Out);
  FromSync = false;
  for (const MemberRecord &Record : Message.Records) {
    const MemberRecord *Known = Table.find(Record.Id.Node);
    if (Known != nullptr && isNewer(*Known, Record)) {
      News.add(Record.Id.Node);
    }
  }
}

void MembershipSystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  Links.up(Peer, Now);
  // Each side shows itself, and what it believes of the other if that needs a
  // correction: a suspicion, a death, or a higher run at the same address.
  std::vector<MemberRecord> Hello;
  if (!superseded()) {
    Hello.push_back(Table.self());
  }
  const MemberRecord *Known = Table.find(Peer.Node);
  if (Known != nullptr &&
      (Known->Id.Run > Peer.Run ||
       (Known->Id == Peer && (Known->State == MemberState::Suspect ||
                              Known->State == MemberState::Dead)))) {
    Hello.push_back(*Known);
  }
  sendRecords(Peer.Node, std::move(Hello), Now, Out);
  Detector.linkUp(Peer.Node, Now, Out);
}

void MembershipSystem::linkDown(NodeId Peer, TimePoint Now, Actions &Out) {
  const bool WasUp = Links.down(Peer, Now);
  Detector.linkDown(Peer, Now, Out);
  const MemberRecord *Record = Table.find(Peer);
  if (Record == nullptr || !WasUp) {
    return;
  }
  if (Record->State == MemberState::Leaving) {
    // It closes its links last, so it has left.
    declare(Record->Id, MemberState::Dead, Now, Out);
  } else if (Record->State != MemberState::Dead && Wanted.contains(Peer)) {
    Detector.ping(Record->Id, Record->Address, Now, Out);
  }
}

void MembershipSystem::setNeededPeers(std::set<NodeId> Peers) {
  if (Needed != Peers) {
    Needed = std::move(Peers);
    PlannedRevision = 0;
    NextPlan = TimePoint{};
  }
}

void MembershipSystem::addContacts(const std::vector<std::string> &Addresses) {
  for (const std::string &Address : Addresses) {
    if (std::find(Seeds.begin(), Seeds.end(), Address) == Seeds.end()) {
      Seeds.push_back(Address);
      NextSeed = TimePoint{};
    }
  }
}

bool MembershipSystem::detectPause(TimePoint Now, Actions &Out) {
  const Duration Gap = LastInput ? Now - *LastInput : Duration{0};
  LastInput = Now;
  if (Gap < PauseLimit) {
    return false;
  }
  Out.emplace_back(
      Notice{"process_paused", {{"ms", std::to_string(Gap / 1ms)}}});
  // What was asked before the pause says nothing now, and others may believe
  // that this node is dead: it starts over, but keeps its table.
  Detector.clear();
  for (auto &[Node, End] : SuspectUntil) {
    End = Now + SuspicionTime;
  }
  Sync.restart(Now);
  publishSelf(Now, Out);
  return true;
}

void MembershipSystem::tick(TimePoint Now, Actions &Out) {
  for (const NodeRun Silent : Detector.tick(Now, Out)) {
    const MemberRecord *Record = Table.find(Silent.Node);
    if (Record != nullptr && Record->Id == Silent && !Links.peers().empty()) {
      // A leaving member that is silent has left.
      declare(Silent,
              Record->State == MemberState::Leaving ? MemberState::Dead
                                                    : MemberState::Suspect,
              Now, Out);
    }
  }
  endSuspicions(Now, Out);
  contactSeeds(Now, Out);
  recontact(Now, Out);
  rejoin(Now, Out);
  planLinks(Now, Out);
  gossip(Now, Out);
  Sync.tick(Now, Out);
}

std::optional<TimePoint> MembershipSystem::nextWakeup() const {
  TimePoint Next = std::min(Detector.nextWakeup(), Sync.nextWakeup());
  for (const TimePoint Each : {NextPlan, NextSeed, NextRecontact}) {
    Next = std::min(Next, Each);
  }
  if (NextRejoin) {
    Next = std::min(Next, *NextRejoin);
  }
  if (!News.empty()) {
    Next = std::min(Next, NextGossip);
  }
  for (const auto &[Node, End] : SuspectUntil) {
    Next = std::min(Next, End);
  }
  return Next;
}

bool MembershipSystem::merge(const MemberRecord &Record, TimePoint Now,
                             Actions &Out) {
  if (Record.Id.Node == SelfRun.Node) {
    mergeSelf(Record, Now, Out);
    return false;
  }
  const MemberRecord *Known = Table.find(Record.Id.Node);
  if (Known == nullptr && Record.State == MemberState::Dead) {
    return false; // nodes forget the dead at different times
  }
  if (Known != nullptr && !isNewer(Record, *Known)) {
    return false;
  }
  const bool Doubted =
      Record.State == MemberState::Suspect || Record.State == MemberState::Dead;
  if (Doubted && Links.isUp(Record.Id) && Known != nullptr &&
      Known->Id == Record.Id && Known->State != MemberState::Leaving) {
    // Its link is alive, which outweighs what others say. It is told, so that
    // it refutes.
    sendRecords(Record.Id.Node, {Record}, Now, Out);
    return false;
  }
  adopt(Record, Now, Out);
  return true;
}

void MembershipSystem::mergeSelf(const MemberRecord &Record, TimePoint Now,
                                 Actions &Out) {
  MemberRecord Self = Table.self();
  if (Record.Id.Run < SelfRun.Run) {
    return; // an earlier run, which the record of this one replaces
  }
  if (Record.Id.Run == SelfRun.Run) {
    if (isNewer(Record, Self)) {
      Self.UpdateNumber = Record.UpdateNumber;
      Table.put(Self);
      publishSelf(Now, Out);
    }
    return;
  }
  if (!SupersededBy || *SupersededBy < Record.Id.Run) {
    SupersededBy = Record.Id.Run;
    RequiredIncarnation.reset();
    Notice Conflict = memberNotice("address_conflict", Record);
    Conflict.Fields.emplace_back("own_run", std::to_string(SelfRun.Run.Value));
    Out.emplace_back(std::move(Conflict));
  }
  if (Record.State == MemberState::Dead && !RequiredIncarnation) {
    RequiredIncarnation = Incarnation{SupersededBy->Value + 1};
    Out.emplace_back(
        Notice{"higher_run_required",
               {{"run", std::to_string(RequiredIncarnation->Value)}}});
  }
}

void MembershipSystem::mergeAll(NodeRun From,
                                const std::vector<MemberRecord> &Records,
                                TimePoint Now, Actions &Out) {
  for (const MemberRecord &Record : Records) {
    merge(Record, Now, Out);
  }
  // An older run at the address of a newer one is told, so that it stops.
  const MemberRecord *Known = Table.find(From.Node);
  if (Known != nullptr && Known->Id.Run > From.Run && !Records.empty()) {
    sendRecords(From.Node, {*Known}, Now, Out);
  }
}

void MembershipSystem::adopt(const MemberRecord &Record, TimePoint Now,
                             Actions &Out) {
  const NodeId Node = Record.Id.Node;
  const MemberRecord *Known = Table.find(Node);
  const bool Joined = Known == nullptr || Known->Id.Run != Record.Id.Run ||
                      Known->State == MemberState::Dead;
  SuspectUntil.erase(Node);
  DeadSince.erase(Node);
  if (Record.State == MemberState::Suspect) {
    SuspectUntil[Node] = Now + SuspicionTime;
  } else if (Record.State == MemberState::Dead) {
    DeadSince[Node] = Now;
    if (Settings.RejoinWindow > Duration{0} && !NextRejoin) {
      NextRejoin = Now + Settings.RejoinPeriod;
    }
    Out.emplace_back(memberNotice("member_dead", Record));
  } else if (Record.State == MemberState::Leaving) {
    Out.emplace_back(memberNotice("member_leaving", Record));
  } else if (Joined) {
    Out.emplace_back(memberNotice("member_joined", Record));
  }
  Table.put(Record);
  if (!FromSync) {
    News.add(Node);
  }
  NextPlan = std::min(NextPlan, Now + PlanPeriod / 8);
}

void MembershipSystem::declare(NodeRun Member, MemberState State, TimePoint Now,
                               Actions &Out) {
  MemberRecord Record = *Table.find(Member.Node);
  if (Record.State >= State) {
    return;
  }
  Record.State = State;
  if (State == MemberState::Suspect) {
    Out.emplace_back(memberNotice("member_suspect", Record));
  }
  adopt(Record, Now, Out);
}

void MembershipSystem::publishSelf(TimePoint Now, Actions &Out) {
  MemberRecord Self = Table.self();
  ++Self.UpdateNumber;
  Table.put(Self);
  if (superseded()) {
    return;
  }
  News.add(SelfRun.Node);
  for (const NodeId Peer : Links.peers()) {
    sendRecords(Peer, {Self}, Now, Out);
  }
}

void MembershipSystem::sendRecords(NodeId Peer,
                                   std::vector<MemberRecord> Records,
                                   TimePoint Now, Actions &Out) {
  if (Records.empty()) {
    return;
  }
  Budget.available(Now);
  for (const MemberRecord &Record : Records) {
    Budget.spend(static_cast<std::int64_t>(wireSize(Record)));
  }
  Out.emplace_back(SendToPeer{Peer, Gossip{std::move(Records)}});
}

void MembershipSystem::gossip(TimePoint Now, Actions &Out) {
  if (News.empty() || Now < NextGossip) {
    return;
  }
  NextGossip = Now + GossipPeriod;
  std::vector<NodeId> Peers = Links.peers();
  for (std::size_t Count = 0; Count < GossipFanout && !Peers.empty(); ++Count) {
    const auto Pick =
        Peers.begin() + static_cast<std::ptrdiff_t>(Random.below(Peers.size()));
    std::vector<MemberRecord> Records = piggyback(Now);
    if (!Records.empty()) {
      Out.emplace_back(SendToPeer{*Pick, Gossip{std::move(Records)}});
    }
    Peers.erase(Pick);
  }
}

void MembershipSystem::endSuspicions(TimePoint Now, Actions &Out) {
  if (Links.peers().empty()) {
    // Without any link this node itself is cut off, so others get more time.
    for (auto &[Node, End] : SuspectUntil) {
      End = std::max(End, Now + SuspicionTime);
    }
  }
  std::vector<NodeId> Ended;
  for (const auto &[Node, End] : SuspectUntil) {
    if (End <= Now) {
      Ended.push_back(Node);
    }
  }
  for (const NodeId Node : Ended) {
    SuspectUntil.erase(Node);
    declare(Table.find(Node)->Id, MemberState::Dead, Now, Out);
  }
}

void MembershipSystem::contactSeeds(TimePoint Now, Actions &Out) {
  if (Now < NextSeed) {
    return;
  }
  NextSeed = Now + SeedPeriod + Duration(Random.below(SeedPeriod.count() / 2));
  if (Seeds.empty() || !Links.peers().empty()) {
    return;
  }
  for (std::size_t Count = 0; Count < SeedsAtOnce; ++Count) {
    const std::string &Seed = Seeds[Random.below(Seeds.size())];
    if (nodeIdOf(Seed) != SelfRun.Node) {
      Links.open(nodeIdOf(Seed), Seed, Now, Out);
    }
  }
}

void MembershipSystem::recontact(TimePoint Now, Actions &Out) {
  if (Now < NextRecontact) {
    return;
  }
  NextRecontact = Now + RecontactPeriod * 3 / 4 +
                  Duration(Random.below(RecontactPeriod.count() / 2));
  forgetDead(Now);
  std::vector<std::string> Addresses;
  for (const auto &[Node, Since] : DeadSince) {
    Addresses.push_back(Table.find(Node)->Address);
  }
  for (const std::string &Seed : Seeds) {
    const NodeId Node = nodeIdOf(Seed);
    if (Node != SelfRun.Node && Table.find(Node) == nullptr) {
      Addresses.push_back(Seed);
    }
  }
  if (!Addresses.empty()) {
    const std::string &Chosen = Addresses[Random.below(Addresses.size())];
    Links.open(nodeIdOf(Chosen), Chosen, Now, Out);
  }
}

void MembershipSystem::rejoin(TimePoint Now, Actions &Out) {
  if (!NextRejoin || Now < *NextRejoin) {
    return;
  }
  NextRejoin.reset();
  const std::size_t Members = std::max<std::size_t>(Table.records().size(), 1);
  for (const auto &[Node, Since] : DeadSince) {
    if (Since + Settings.RejoinWindow <= Now) {
      continue;
    }
    NextRejoin = Now + Settings.RejoinPeriod;
    // A few members at a time, however large the site is.
    if (Random.below(Members) < RejoinContacts) {
      Links.open(Node, Table.find(Node)->Address, Now, Out);
    }
  }
}

void MembershipSystem::forgetDead(TimePoint Now) {
  std::erase_if(DeadSince, [&](const auto &Entry) {
    const bool Old = Entry.second + DeadRetention <= Now;
    if (Old) {
      Table.remove(Entry.first);
    }
    return Old;
  });
}

void MembershipSystem::planLinks(TimePoint Now, Actions &Out) {
  if (Now < NextPlan) {
    return;
  }
  NextPlan = Now + PlanPeriod;
  if (PlannedRevision != Table.revision()) {
    PlannedRevision = Table.revision();
    Wanted = gossipPeers(Table);
    Wanted.insert(Needed.begin(), Needed.end());
    Wanted.erase(SelfRun.Node);
  }
  Links.reconcile(Wanted, Table, Now, Out);
}

std::vector<MemberRecord> MembershipSystem::piggyback(TimePoint Now) {
  const std::int64_t Most = std::min(Budget.available(Now), MessageBytes);
  std::vector<MemberRecord> Records = News.take(Table, Most);
  for (const MemberRecord &Record : Records) {
    Budget.spend(static_cast<std::int64_t>(wireSize(Record)));
  }
  return Records;
}

} // namespace hyssopford
