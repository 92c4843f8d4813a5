#include "hyssopford/core/node_core.hpp"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace hyssopford {

namespace {

MemberRecord ownRecord(const NodeCoreSettings &Settings, NodeRun Self) {
  MemberRecord Record;
  Record.Id = Self;
  Record.Address = Settings.Address;
  Record.FailureDomain = Settings.FailureDomain;
  Record.Region = Settings.Region;
  return Record;
}

ReplyToCaller refusal(RequestId Id, OutcomeReason Reason) {
  ReplyToCaller Reply;
  Reply.Id = Id;
  Reply.Result = Outcome::NotRun;
  Reply.Reason = Reason;
  return Reply;
}

} // namespace

NodeCore::NodeCore(const NodeCoreSettings &Settings)
    : Self{nodeIdOf(Settings.Address), Settings.Run}, Random(Settings.Seed),
      Membership(ownRecord(Settings, Self), Settings.Seeds, Random),
      Ingress(Self, Random, Settings.Decisions.Routing, Settings.Region),
      Owner(Self, Settings.Decisions.Admission),
      Probes(Settings.Decisions.Probing) {
  Actions None;
  Ingress.linkUp(Self, TimePoint{}, None);
}

void NodeCore::handle(const Event &Input, TimePoint Now, Actions &Out) {
  Actions Produced;
  std::visit([&](const auto &Each) { on(Each, Now, Produced); }, Input);
  deliverLocal(Now, Produced, Out);
  refreshCandidates();
}

void NodeCore::tick(TimePoint Now, Actions &Out) {
  Actions Produced;
  Ingress.tick(Now, Produced);
  Owner.tick(Now, Produced);
  Probes.tick(Now, Produced);
  Membership.tick(Now, Produced);
  deliverLocal(Now, Produced, Out);
  refreshCandidates();
  if (ShuttingDown && !ShutdownReported && Owner.inFlight() == 0 &&
      Ingress.inFlight() == 0) {
    ShutdownReported = true;
    Out.emplace_back(ShutdownComplete{});
  }
}

bool NodeCore::adopt(RoutingConfig NewConfig) {
  if (NewConfig.Version <= Config.Version) {
    return false;
  }
  Config = std::move(NewConfig);
  CandidateRevision = 0;
  refreshCandidates();
  return true;
}

std::optional<TimePoint> NodeCore::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const std::optional<TimePoint> &Each :
       {Ingress.nextWakeup(), Owner.nextWakeup(), Probes.nextWakeup(),
        Membership.nextWakeup()}) {
    if (Each && (!Next || *Each < *Next)) {
      Next = Each;
    }
  }
  return Next;
}

void NodeCore::on(const CallerRequest &Input, TimePoint Now, Actions &Out) {
  if (ShuttingDown && !Input.ServeInShutdown) {
    Out.emplace_back(refusal(Input.Id, OutcomeReason::ShuttingDown));
    return;
  }
  const Route *Matched =
      findRoute(Config, Input.Host, Input.Path, Input.Method);
  if (Matched == nullptr) {
    Out.emplace_back(refusal(Input.Id, OutcomeReason::NoRoute));
    return;
  }
  Ingress.start(Input, *Matched, Now, Out);
}

void NodeCore::on(const CallerGone &Input, TimePoint Now, Actions &Out) {
  Ingress.cancel(Input.Id, Now, Out);
}

void NodeCore::on(const PeerLinkUp &Input, TimePoint Now, Actions &Out) {
  Membership.linkUp(Input.Peer, Now, Out);
  Ingress.linkUp(Input.Peer, Now, Out);
}

void NodeCore::on(const PeerLinkDown &Input, TimePoint Now, Actions &Out) {
  Membership.linkDown(Input.Peer, Now, Out);
  Ingress.linkDown(Input.Peer, Now, Out);
}

void NodeCore::on(const PeerMessageReceived &Input, TimePoint Now,
                  Actions &Out) {
  std::visit([&](const auto &Each) { receive(Input.From, Each, Now, Out); },
             Input.Message);
}

void NodeCore::on(const UpstreamAnswered &Input, TimePoint Now, Actions &Out) {
  Owner.answered(Input, Now, Out);
  Probes.observe(true, Now);
  Owner.suspect(Probes.suspected(), Now, Out);
}

void NodeCore::on(const UpstreamFailed &Input, TimePoint Now, Actions &Out) {
  Owner.failed(Input, Now, Out);
  if (isUpstreamFault(Input.Reason)) {
    Probes.observe(false, Now);
    Owner.suspect(Probes.suspected(), Now, Out);
  }
}

void NodeCore::on(const UpstreamAnnounced &Input, TimePoint Now, Actions &Out) {
  Owner.announce(Input, Now, Out);
  Probes.announce(Input, Now);
  Membership.setUpstream(Input, Now, Out);
}

void NodeCore::on(const UpstreamGone &Input, TimePoint Now, Actions &Out) {
  Owner.withdraw(Input, Now, Out);
  Probes.withdraw();
  Membership.setUpstream(UpstreamAnnounced{"", 0, UpstreamState::None}, Now,
                         Out);
}

void NodeCore::on(const ProbeFinished &Input, TimePoint Now, Actions &Out) {
  Probes.finish(Input, Now, Out);
  Owner.suspect(Probes.suspected(), Now, Out);
}

void NodeCore::on(const StoreReplied & /*Input*/, TimePoint /*Now*/,
                  Actions & /*Out*/) {}

void NodeCore::on(const ShutdownRequested & /*Input*/, TimePoint Now,
                  Actions &Out) {
  ShuttingDown = true;
  Owner.drain();
  Membership.leave(Now, Out);
}

void NodeCore::receive(NodeRun From, const Dispatch &Message, TimePoint Now,
                       Actions &Out) {
  Owner.admit(From.Node, Message, Now, Out);
}

void NodeCore::receive(NodeRun From, const DispatchReply &Message,
                       TimePoint Now, Actions &Out) {
  Ingress.finishAttempt(From.Node, Message, Now, Out);
}

void NodeCore::receive(NodeRun /*From*/, const Cancel &Message, TimePoint Now,
                       Actions &Out) {
  Owner.cancel(Message.Attempt, Now, Out);
}

void NodeCore::receive(NodeRun From, const StatusQuery &Message, TimePoint Now,
                       Actions &Out) {
  Owner.queryStatus(From.Node, Message, Now, Out);
}

void NodeCore::receive(NodeRun /*From*/, const StatusReply &Message,
                       TimePoint Now, Actions &Out) {
  Ingress.resolveStatus(Message, Now, Out);
}

void NodeCore::receive(NodeRun From, const Gossip &Message, TimePoint Now,
                       Actions &Out) {
  Membership.receive(From, Message, Now, Out);
}

void NodeCore::deliverLocal(TimePoint Now, Actions &Produced, Actions &Out) {
  for (std::size_t Index = 0; Index < Produced.size(); ++Index) {
    const auto *Message = std::get_if<SendToPeer>(&Produced[Index]);
    if (Message == nullptr || Message->To != Self.Node) {
      Out.push_back(std::move(Produced[Index]));
      continue;
    }
    const PeerMessage Local = Message->Message;
    std::visit([&](const auto &Each) { receive(Self, Each, Now, Produced); },
               Local);
  }
}

void NodeCore::refreshCandidates() {
  if (CandidateRevision == Membership.revision()) {
    return;
  }
  CandidateRevision = Membership.revision();
  std::vector<Candidate> Candidates;
  for (const auto &[Id, Record] : Membership.members()) {
    const bool Drained = std::find(Config.Drains.begin(), Config.Drains.end(),
                                   Record.Address) != Config.Drains.end();
    const bool Offers = !Record.Service.empty() &&
                        Record.Upstream != UpstreamState::None &&
                        Record.State == MemberState::Alive;
    if (Offers && !Drained) {
      Candidates.push_back(Candidate{Record.Id, Record.Service,
                                     Record.FailureDomain, Record.Region,
                                     Record.Slots, Record.Upstream});
    }
  }
  Ingress.setCandidates(std::move(Candidates));
}

} // namespace hyssopford
