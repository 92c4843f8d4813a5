#include "hyssopford/core/membership_system.hpp"

#include <tuple>
#include <utility>

namespace hyssopford {

MembershipSystem::MembershipSystem(MemberRecord Self,
                                   std::vector<std::string> FirstContacts,
                                   RandomSource &Source)
    : SelfId(Self.Id.Node), Seeds(std::move(FirstContacts)), Random(Source) {
  Members.emplace(SelfId, std::move(Self));
}

void MembershipSystem::setUpstream(const UpstreamAnnounced &Upstream,
                                   TimePoint /*Now*/, Actions &Out) {
  MemberRecord &Self = Members.at(SelfId);
  if (Self.Service == Upstream.Service && Self.Upstream == Upstream.State &&
      Self.Slots == Upstream.Slots) {
    return;
  }
  Self.Service = Upstream.Service;
  Self.Upstream = Upstream.State;
  Self.Slots = Upstream.Slots;
  publishSelf(Out);
}

void MembershipSystem::leave(TimePoint /*Now*/, Actions &Out) {
  Members.at(SelfId).State = MemberState::Leaving;
  publishSelf(Out);
}

void MembershipSystem::receive(NodeRun /*From*/, const Gossip &Message,
                               TimePoint /*Now*/, Actions &Out) {
  for (const MemberRecord &Record : Message.Records) {
    const bool New = !Members.contains(Record.Id.Node);
    if (merge(Record) && New) {
      Out.emplace_back(OpenLink{Record.Id.Node, Record.Address});
    }
  }
}

void MembershipSystem::linkUp(NodeRun Peer, TimePoint /*Now*/, Actions &Out) {
  Links[Peer.Node] = Peer;
  Gossip Everything;
  for (const auto &[Id, Record] : Members) {
    Everything.Records.push_back(Record);
  }
  Out.emplace_back(SendToPeer{Peer.Node, std::move(Everything)});
}

void MembershipSystem::linkDown(NodeId Peer, TimePoint /*Now*/,
                                Actions & /*Out*/) {
  Links.erase(Peer);
}

void MembershipSystem::tick(TimePoint Now, Actions &Out) {
  if (Now < *NextRound) {
    return;
  }
  // Jitter keeps nodes that start together from gossiping in step.
  const auto Jitter = Duration(Random.below(GossipPeriod.count() / 4));
  NextRound = Now + GossipPeriod + Jitter;
  for (const std::string &Seed : Seeds) {
    const NodeId Id = nodeIdOf(Seed);
    if (Id != SelfId && !Links.contains(Id)) {
      Out.emplace_back(OpenLink{Id, Seed});
    }
  }
  for (const auto &[Id, Record] : Members) {
    if (Id != SelfId && !Links.contains(Id) &&
        Record.State == MemberState::Alive) {
      Out.emplace_back(OpenLink{Id, Record.Address});
    }
  }
}

bool MembershipSystem::merge(const MemberRecord &Record) {
  if (Record.Id.Node == SelfId) {
    return false;
  }
  const auto Known = Members.find(Record.Id.Node);
  if (Known != Members.end() &&
      std::tuple(Record.Id.Run, Record.Update) <=
          std::tuple(Known->second.Id.Run, Known->second.Update)) {
    return false;
  }
  Members.insert_or_assign(Record.Id.Node, Record);
  ++Revision;
  return true;
}

void MembershipSystem::publishSelf(Actions &Out) {
  MemberRecord &Self = Members.at(SelfId);
  ++Self.Update;
  ++Revision;
  for (const auto &[Id, Run] : Links) {
    Out.emplace_back(SendToPeer{Id, Gossip{{Self}}});
  }
}

} // namespace hyssopford
