#include "hyssopford/core/allotments/allotment_system.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hyssopford {

AllotmentSystem::AllotmentSystem(NodeRun Run, const AllotmentSettings &Chosen)
    : Self(Run), Enabled(Chosen.Enabled), Holder(Run), Granter(Run),
      Census(Run.Node) {}

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
  learnCount(Message.Members, Now, Out);
  const auto Reply = Lender.answer(From, Message, countToLend(Now), Now);
  if (Reply) {
    const std::size_t First = Out.size();
    Out.emplace_back(SendToPeer{From.Node, *Reply});
    countMessages(Out, First);
  }
}

void AllotmentSystem::receive(NodeRun From, const ShareReply &Message,
                              TimePoint Now, Actions &Out) {
  learnCount(Message.Members, Now, Out);
  const std::size_t First = Out.size();
  Granter.receive(From, Message, Now, Out);
  countMessages(Out, First);
}

void AllotmentSystem::receive(const StoreReplied &Reply, TimePoint Now,
                              Actions &Out) {
  if (Census.receive(Reply, Now)) {
    updateCount(Now, Out);
  }
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
  const bool WasSettled = std::exchange(Settled, Seen.Settled);
  bool Changed = SeenRevision != Seen.Revision || WasSettled != Settled;
  if (SeenRevision != Seen.Revision) {
    SeenRevision = Seen.Revision;
    Members.observe(Seen.Records, Now);
    Granter.setMembers(Seen.Records);
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
    updateCount(Now, Out);
  }
  const bool IsComplete = Census.isProven() && !IsReduced;
  Census.setNeeded(HasLimits && !Left && !IsComplete && isGranter() &&
                   isSettled(Now));
}

void AllotmentSystem::learnCount(std::uint32_t Stated, TimePoint Now,
                                 Actions &Out) {
  if (Stated > 0 && !Census.isProven()) {
    Census.learn(Stated, Now);
    updateCount(Now, Out);
  }
}

void AllotmentSystem::updateCount(TimePoint Now, Actions &Out) {
  const std::uint32_t Known = Members.count(Now);
  const std::uint32_t Least = Census.atLeast(Known, Now);
  Granter.setMemberCount(Census.isProven() ? Least : 0);
  if (!isSettled(Now)) {
    return;
  }
  if (Least == Known) {
    Census.confirm();
  }
  const bool WasReduced = std::exchange(IsReduced, Least > Known);
  if (IsReduced != WasReduced) {
    Out.emplace_back(Notice{
        IsReduced ? "allotment_share_reduced" : "allotment_share_restored",
        {{"known", std::to_string(Known)}, {"named", std::to_string(Least)}}});
  }
}

bool AllotmentSystem::isGranter() const {
  return std::any_of(Ranked.begin(), Ranked.end(), [&](const auto &Nodes) {
    return std::find(Nodes.begin(), Nodes.end(), Self.Node) != Nodes.end();
  });
}

bool AllotmentSystem::isSettled(TimePoint Now) const {
  return Settled || (!HasMet && Started && *Started + AloneTime <= Now);
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

std::uint32_t AllotmentSystem::countToLend(TimePoint Now) const {
  // A table that still grows counts too few members.
  const bool MayLend = isSettled(Now) && Census.isProven() && !Left;
  return MayLend ? Census.atLeast(Members.count(Now), Now) : 0;
}

void AllotmentSystem::tick(TimePoint Now, Actions &Out) {
  if (!Enabled || !HasLimits) {
    return;
  }
  const std::size_t First = Out.size();
  Holder.tick(Now, Out);
  Granter.tick(Now, Out);
  Census.tick(Now, Out);
  countMessages(Out, First);
}

std::optional<TimePoint> AllotmentSystem::nextWakeup() const {
  if (!Enabled || !HasLimits) {
    return std::nullopt;
  }
  std::optional<TimePoint> Next;
  for (const std::optional<TimePoint> &Each :
       {Holder.nextWakeup(), Granter.nextWakeup(), Census.nextWakeup()}) {
    if (Each && (!Next || *Each < *Next)) {
      Next = Each;
    }
  }
  return Next;
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
