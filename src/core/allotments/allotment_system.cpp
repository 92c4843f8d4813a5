#include "hyssopford/core/allotments/allotment_system.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hyssopford {

AllotmentSystem::AllotmentSystem(NodeRun Run, const AllotmentSettings &Chosen)
    : Self(Run), Enabled(Chosen.Enabled), Holder(Run), Granter(Run) {}

void AllotmentSystem::adopt(const RoutingConfig &Config) {
  if (!Enabled) {
    return;
  }
  Holder.adopt(Config.Accounts);
  // Buckets need the time, which the next sync brings.
  PendingAccounts = Config.Accounts;
}

void AllotmentSystem::receive(NodeRun From, const AllotmentRequest &Message,
                              TimePoint Now, Actions &Out) {
  if (Enabled) {
    const std::size_t First = Out.size();
    Out.emplace_back(SendToPeer{From.Node, Granter.grant(Message, Now)});
    countMessages(Out, First);
  }
}

void AllotmentSystem::receive(NodeRun From, const AllotmentGrant &Message,
                              TimePoint Now, Actions &Out) {
  const std::size_t First = Out.size();
  Holder.receive(From, Message, Now, Out);
  countMessages(Out, First);
}

void AllotmentSystem::receive(NodeRun From, const ShareRequest &Message,
                              TimePoint Now, Actions &Out) {
  if (!Enabled) {
    return;
  }
  const auto Reply = Lender.answer(From, Message, countToLend(Now), Now);
  if (Reply) {
    const std::size_t First = Out.size();
    Out.emplace_back(SendToPeer{From.Node, *Reply});
    countMessages(Out, First);
  }
}

void AllotmentSystem::receive(NodeRun From, const ShareReply &Message,
                              TimePoint Now, Actions &Out) {
  const std::size_t First = Out.size();
  Granter.receive(From, Message, Now, Out);
  countMessages(Out, First);
}

void AllotmentSystem::linkUp(NodeId Peer, TimePoint Now, Actions &Out) {
  const std::size_t First = Out.size();
  HasMet = true;
  Granter.linkUp(Peer, Now);
  Holder.linkUp(Peer, Now, Out);
  countMessages(Out, First);
}

void AllotmentSystem::linkDown(NodeId Peer, TimePoint Now, Actions &Out) {
  const std::size_t First = Out.size();
  Granter.linkDown(Peer);
  Holder.linkDown(Peer, Now, Out);
  countMessages(Out, First);
}

void AllotmentSystem::leave(Actions &Out) {
  Left = true;
  const std::size_t First = Out.size();
  Granter.leave(Out);
  countMessages(Out, First);
}

void AllotmentSystem::sync(const AllotmentMembers &Seen, TimePoint Now,
                           Actions &Out) {
  if (!Enabled) {
    return;
  }
  if (!Started) {
    Started = Now;
  }
  Settled = Seen.Settled;
  bool Changed = SeenRevision != Seen.Revision;
  if (Changed) {
    SeenRevision = Seen.Revision;
    Members.observe(Seen.Records, Now);
    Granter.setMembers(Seen.Records, Members.count(Now));
  }
  if (PendingAccounts) {
    Granter.adopt(*PendingAccounts, Now);
    UsedSlots.fill(false);
    HasLimits = false;
    for (const ClientAccount &Account : *PendingAccounts) {
      if (Account.RatePerSecond > 0.0) {
        UsedSlots.at(allotmentSlotOf(Account.Name)) = true;
        HasLimits = true;
      }
    }
    PendingAccounts.reset();
    Changed = true;
  }
  if (Changed) {
    updateGranters(Seen, Now, Out);
  }
}

void AllotmentSystem::updateGranters(const AllotmentMembers &Seen,
                                     TimePoint Now, Actions &Out) {
  const std::size_t First = Out.size();
  std::set<NodeId> Peers;
  for (std::uint32_t Slot = 0; Slot < AllotmentSlots; ++Slot) {
    std::vector<NodeId> Nodes;
    if (UsedSlots.at(Slot)) {
      Nodes = allotmentGranters(Seen.Records, Slot);
    }
    std::vector<NodeId> &Known = Ranked.at(Slot);
    const auto Name = [](const std::vector<NodeId> &Each) {
      return Each.empty() ? std::string("-") : toString(Each.front());
    };
    if (Name(Nodes) != Name(Known)) {
      Out.emplace_back(Notice{"allotment_granter_changed",
                              {{"slot", std::to_string(Slot)},
                               {"granter", Name(Nodes)},
                               {"previous", Name(Known)}}});
    }
    Peers.insert(Nodes.begin(), Nodes.end());
    Known = Nodes;
    Granter.setFirst(Slot, !Nodes.empty() && Nodes.front() == Self.Node, Now,
                     Out);
    Holder.setGranters(Slot, std::move(Nodes), Now, Out);
  }
  Peers.erase(Self.Node);
  if (Peers != Needed) {
    Needed = std::move(Peers);
    ++NeededRevision;
  }
  countMessages(Out, First);
}

std::uint32_t AllotmentSystem::countToLend(TimePoint Now) {
  // A table that still grows counts too few members.
  const bool IsAlone = !HasMet && Started && *Started + AloneTime <= Now;
  const bool MayLend = (Settled || IsAlone) && !Left;
  return MayLend ? Members.count(Now) : 0;
}

void AllotmentSystem::tick(TimePoint Now, Actions &Out) {
  if (!Enabled || !HasLimits) {
    return;
  }
  const std::size_t First = Out.size();
  Holder.tick(Now, Out);
  Granter.tick(Now, Out);
  countMessages(Out, First);
}

std::optional<TimePoint> AllotmentSystem::nextWakeup() const {
  if (!Enabled || !HasLimits) {
    return std::nullopt;
  }
  const std::optional<TimePoint> Asking = Holder.nextWakeup();
  const std::optional<TimePoint> Granting = Granter.nextWakeup();
  if (!Asking || !Granting) {
    return Asking ? Asking : Granting;
  }
  return std::min(*Asking, *Granting);
}

AllotmentCounters AllotmentSystem::counters() const {
  AllotmentCounters Sum = Holder.counters();
  Sum.Granted = Granter.granted();
  Sum.Messages = Messages;
  return Sum;
}

std::optional<NodeId>
AllotmentSystem::granterOf(std::string_view Account) const {
  const std::vector<NodeId> &Nodes = Ranked.at(allotmentSlotOf(Account));
  return Nodes.empty() ? std::nullopt : std::optional(Nodes.front());
}

void AllotmentSystem::countMessages(const Actions &Out, std::size_t First) {
  for (std::size_t Index = First; Index < Out.size(); ++Index) {
    const auto *Message = std::get_if<SendToPeer>(&Out[Index]);
    if (Message != nullptr && Message->To != Self.Node) {
      ++Messages;
    }
  }
}

} // namespace hyssopford
