#include "hyssopford/core/membership_system.hpp"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace hyssopford {

namespace {

constexpr Duration LinkPlanPeriod = 250ms;
// Seeds contacted at a time, so that a starting site does not flood them.
constexpr std::size_t SeedsAtOnce = 2;
// Expected number of members that contact a recently dead one in each period.
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
  mergeRecords(From, Message.Records, Now, Out);
}

void MembershipSystem::receive(NodeRun From, const Ping &Message, TimePoint Now,
                               Actions &Out) {
  mergeRecords(From, Message.Records, Now, Out);
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
  Detector.relayPing(From.Node, Message, Now, Out);
}

void MembershipSystem::receive(NodeRun From, const Ack &Message, TimePoint Now,
                               Actions &Out) {
  mergeRecords(From, Message.Records, Now, Out);
  Detector.acknowledge(Message, Out);
}

void MembershipSystem::receive(NodeRun From, const SyncRequest &Message,
                               TimePoint Now, Actions &Out) {
  Sync.receive(From.Node, Message, Now, Out);
}

void MembershipSystem::receive(NodeRun From, const SyncReply &Message,
                               TimePoint Now, Actions &Out) {
  // Records found by a table comparison are not gossiped: they spread by
  // further comparisons, and a joining node must not gossip the whole table.
  FromSync = true;
  const std::size_t Changed = mergeRecords(From, Message.Records, Now, Out);
  FromSync = false;
  Sync.receive(Message, Changed, Now);
  for (const MemberRecord &Record : Message.Records) {
    const MemberRecord *Known = Table.find(Record.Id.Node);
    if (Known != nullptr && isNewer(*Known, Record)) {
      PendingUpdates.add(Record.Id.Node);
    }
  }
}

void MembershipSystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  Links.markUp(Peer, Now);
  // Each side sends its own record. It also sends its record of the peer if the
  // peer must correct it: suspected, dead, or a higher run at its address.
  std::vector<MemberRecord> Corrections;
  if (!superseded()) {
    Corrections.push_back(Table.self());
  }
  const MemberRecord *Known = Table.find(Peer.Node);
  if (Known != nullptr &&
      (Known->Id.Run > Peer.Run ||
       (Known->Id == Peer && (Known->State == MemberState::Suspect ||
                              Known->State == MemberState::Dead)))) {
    Corrections.push_back(*Known);
  }
  if (Known == nullptr || Known->Id.Run < Peer.Run) {
    appendIntroductions(Peer.Node, Corrections);
  }
  sendRecords(Peer.Node, std::move(Corrections), Now, Out);
  Detector.linkUp(Peer.Node, Now, Out);
}

void MembershipSystem::linkDown(NodeId Peer, TimePoint Now, Actions &Out) {
  const bool WasUp = Links.markDown(Peer, Now);
  Detector.linkDown(Peer, Now, Out);
  const MemberRecord *Record = Table.find(Peer);
  if (Record == nullptr || !WasUp) {
    return;
  }
  if (Record->State == MemberState::Leaving) {
    // A leaving member closes its links last, so it has left.
    setMemberState(Record->Id, MemberState::Dead, Now, Out);
  } else if (Record->State != MemberState::Dead && WantedPeers.contains(Peer)) {
    Detector.ping(Record->Id, Record->Address, Now, Out);
  }
}

void MembershipSystem::setNeededPeers(std::set<NodeId> Peers) {
  if (NeededPeers != Peers) {
    NeededPeers = std::move(Peers);
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
  // Pings sent before the pause are stale, and others may consider this node
  // dead. It synchronizes its table again and publishes itself.
  Detector.clear();
  for (auto &[Node, End] : SuspectUntil) {
    End = Now + SuspicionTimeout;
  }
  Sync.restart(Now);
  publishSelf(Now, Out);
  return true;
}

void MembershipSystem::tick(TimePoint Now, Actions &Out) {
  for (const NodeRun Unresponsive : Detector.tick(Now, Out)) {
    const MemberRecord *Record = Table.find(Unresponsive.Node);
    if (Record != nullptr && Record->Id == Unresponsive &&
        !Links.peers().empty()) {
      // A leaving member that does not answer has left.
      setMemberState(Unresponsive,
                     Record->State == MemberState::Leaving
                         ? MemberState::Dead
                         : MemberState::Suspect,
                     Now, Out);
    }
  }
  expireSuspicions(Now, Out);
  contactSeeds(Now, Out);
  contactDeadOrUnknown(Now, Out);
  contactRecentlyDead(Now, Out);
  planLinks(Now, Out);
  sendGossip(Now, Out);
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
  if (!PendingUpdates.empty()) {
    Next = std::min(Next, NextGossip);
  }
  for (const auto &[Node, End] : SuspectUntil) {
    Next = std::min(Next, End);
  }
  return Next;
}

bool MembershipSystem::mergeRecord(const MemberRecord &Record, TimePoint Now,
                                   Actions &Out) {
  if (Record.Id.Node == SelfRun.Node) {
    mergeSelf(Record, Now, Out);
    return false;
  }
  const MemberRecord *Known = Table.find(Record.Id.Node);
  if (Known == nullptr && Record.State == MemberState::Dead) {
    return false; // nodes remove dead members at different times
  }
  if (Known != nullptr && !isNewer(Record, *Known)) {
    return false;
  }
  const bool SuspectOrDead =
      Record.State == MemberState::Suspect || Record.State == MemberState::Dead;
  if (SuspectOrDead && Links.isUp(Record.Id) && Known != nullptr &&
      Known->Id == Record.Id && Known->State != MemberState::Leaving) {
    // The usable link outweighs the reports of others. The member receives the
    // record, so that it refutes it.
    sendRecords(Record.Id.Node, {Record}, Now, Out);
    return false;
  }
  storeRecord(Record, Now, Out);
  return true;
}

void MembershipSystem::mergeSelf(const MemberRecord &Record, TimePoint Now,
                                 Actions &Out) {
  MemberRecord Self = Table.self();
  if (Record.Id.Run < SelfRun.Run) {
    return; // an earlier run, which this node's own record replaces
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

std::size_t
MembershipSystem::mergeRecords(NodeRun From,
                               const std::vector<MemberRecord> &Records,
                               TimePoint Now, Actions &Out) {
  std::size_t Changed = 0;
  for (const MemberRecord &Record : Records) {
    Changed += mergeRecord(Record, Now, Out) ? 1 : 0;
  }
  // An older run at the address of a newer one receives the newer record, so
  // that it stops serving.
  const MemberRecord *Known = Table.find(From.Node);
  if (Known != nullptr && Known->Id.Run > From.Run && !Records.empty()) {
    sendRecords(From.Node, {*Known}, Now, Out);
  }
  return Changed;
}

void MembershipSystem::storeRecord(const MemberRecord &Record, TimePoint Now,
                                   Actions &Out) {
  const NodeId Node = Record.Id.Node;
  const MemberRecord *Known = Table.find(Node);
  const bool Joined = Known == nullptr || Known->Id.Run != Record.Id.Run ||
                      Known->State == MemberState::Dead;
  SuspectUntil.erase(Node);
  DeadSince.erase(Node);
  if (Record.State == MemberState::Suspect) {
    SuspectUntil[Node] = Now + SuspicionTimeout;
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
    PendingUpdates.add(Node);
  }
  NextPlan = std::min(NextPlan, Now + LinkPlanPeriod / 8);
}

void MembershipSystem::setMemberState(NodeRun Member, MemberState State,
                                      TimePoint Now, Actions &Out) {
  MemberRecord Record = *Table.find(Member.Node);
  if (Record.State >= State) {
    return;
  }
  Record.State = State;
  if (State == MemberState::Suspect) {
    Out.emplace_back(memberNotice("member_suspect", Record));
  }
  storeRecord(Record, Now, Out);
}

void MembershipSystem::publishSelf(TimePoint Now, Actions &Out) {
  MemberRecord Self = Table.self();
  ++Self.UpdateNumber;
  Table.put(Self);
  if (superseded()) {
    return;
  }
  PendingUpdates.add(SelfRun.Node);
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

void MembershipSystem::appendIntroductions(NodeId Peer,
                                           std::vector<MemberRecord> &To) {
  // Reservoir sampling (Vitter 1985, algorithm R).
  const std::size_t First = To.size();
  std::size_t Seen = 0;
  for (const auto &[Node, Record] : Table.records()) {
    if (Node == SelfRun.Node || Node == Peer ||
        Record.State != MemberState::Alive) {
      continue;
    }
    ++Seen;
    if (Seen <= Introductions) {
      To.push_back(Record);
    } else if (const std::size_t Place = Random.below(Seen);
               Place < Introductions) {
      To[First + Place] = Record;
    }
  }
}

void MembershipSystem::sendGossip(TimePoint Now, Actions &Out) {
  if (PendingUpdates.empty() || Now < NextGossip) {
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

void MembershipSystem::expireSuspicions(TimePoint Now, Actions &Out) {
  if (Links.peers().empty()) {
    // Without any link this node itself is isolated, so suspicions are
    // extended.
    for (auto &[Node, End] : SuspectUntil) {
      End = std::max(End, Now + SuspicionTimeout);
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
    setMemberState(Table.find(Node)->Id, MemberState::Dead, Now, Out);
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

void MembershipSystem::contactDeadOrUnknown(TimePoint Now, Actions &Out) {
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

void MembershipSystem::contactRecentlyDead(TimePoint Now, Actions &Out) {
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
    // Bounds the expected number of contacts, independent of the site's size.
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
  NextPlan = Now + LinkPlanPeriod;
  if (PlannedRevision != Table.revision()) {
    PlannedRevision = Table.revision();
    WantedPeers = gossipPeers(Table);
    WantedPeers.insert(NeededPeers.begin(), NeededPeers.end());
    WantedPeers.erase(SelfRun.Node);
  }
  Links.reconcile(WantedPeers, Table, Now, Out);
}

std::vector<MemberRecord> MembershipSystem::piggyback(TimePoint Now) {
  const std::int64_t Most = std::min(Budget.available(Now), MessageBytes);
  std::vector<MemberRecord> Records = PendingUpdates.take(Table, Most);
  for (const MemberRecord &Record : Records) {
    Budget.spend(static_cast<std::int64_t>(wireSize(Record)));
  }
  return Records;
}

} // namespace hyssopford
