#include "hyssopford/core/node_core.hpp"

#include "hyssopford/core/fingerprint.hpp"

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
      Probes(Settings.Decisions.Probing), Keys(Self, Settings.Keys, Random),
      Quarantine(Self, Random) {
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
  Quarantine.tick(Now, Produced);
  Keys.tick(Membership.members(), Config, Now, Produced);
  deliverLocal(Now, Produced, Out);
  refreshCandidates();
  if (ShuttingDown && !ShutdownReported && Owner.inFlight() == 0 &&
      Ingress.inFlight() == 0 && Keys.idle()) {
    ShutdownReported = true;
    Out.emplace_back(ShutdownComplete{});
  }
}

bool NodeCore::adopt(RoutingConfig NewConfig) {
  if (NewConfig.Version <= Config.Version) {
    return false;
  }
  Config = std::move(NewConfig);
  Quarantine.adopt(Config);
  CandidateRevision = 0;
  refreshCandidates();
  return true;
}

std::optional<TimePoint> NodeCore::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const std::optional<TimePoint> &Each :
       {Ingress.nextWakeup(), Owner.nextWakeup(), Probes.nextWakeup(),
        Membership.nextWakeup(), Keys.nextWakeup(), Quarantine.nextWakeup()}) {
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
  const std::uint64_t Fingerprint = fingerprintOf(Input, *Matched);
  if (Quarantine.isQuarantined(Fingerprint, Now)) {
    Out.emplace_back(refusal(Input.Id, OutcomeReason::Quarantined));
    return;
  }
  Route Limited = *Matched;
  if (Quarantine.isSuspect(Fingerprint, Now)) {
    Limited.TryLimit = 1;
  }
  if (!Keys.begin(Input, Limited, Now, Out)) {
    Ingress.start(Input, Limited, Now, Out);
  }
}

void NodeCore::on(const CallerGone &Input, TimePoint Now, Actions &Out) {
  if (!Keys.callerGone(Input.Id, Now, Out)) {
    Ingress.cancel(Input.Id, Now, Out);
  }
}

void NodeCore::on(const PeerLinkUp &Input, TimePoint Now, Actions &Out) {
  Membership.linkUp(Input.Peer, Now, Out);
  Ingress.linkUp(Input.Peer, Now, Out);
  Keys.linkUp(Input.Peer, Now, Out);
  Quarantine.linkUp(Input.Peer, Now, Out);
}

void NodeCore::on(const PeerLinkDown &Input, TimePoint Now, Actions &Out) {
  Membership.linkDown(Input.Peer, Now, Out);
  Ingress.linkDown(Input.Peer, Now, Out);
  Keys.linkDown(Input.Peer);
  Quarantine.linkDown(Input.Peer);
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
  Quarantine.failed(Input, Now, Out);
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
  Quarantine.gone(Input, Now, Out);
  Owner.withdraw(Input, Now, Out);
  Probes.withdraw();
  Membership.setUpstream(UpstreamAnnounced{"", 0, UpstreamState::None}, Now,
                         Out);
}

void NodeCore::on(const ProbeFinished &Input, TimePoint Now, Actions &Out) {
  Probes.finish(Input, Now, Out);
  Owner.suspect(Probes.suspected(), Now, Out);
}

void NodeCore::on(const StoreReplied &Input, TimePoint Now, Actions &Out) {
  Keys.receive(Input, Now, Out);
}

void NodeCore::on(const ShutdownRequested & /*Input*/, TimePoint Now,
                  Actions &Out) {
  ShuttingDown = true;
  Owner.drain();
  Membership.leave(Now, Out);
  Keys.leave(Now);
}

void NodeCore::receive(NodeRun From, const Dispatch &Message, TimePoint Now,
                       Actions & /*Out*/) {
  Quarantine.dispatch(From, Message, Now);
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

void NodeCore::receive(NodeRun From, const QuarantineNotice &Message,
                       TimePoint Now, Actions &Out) {
  Quarantine.receive(From, Message, Now, Out);
}

void NodeCore::deliverLocal(TimePoint Now, Actions &Produced, Actions &Out) {
  startReleased(Now, Produced);
  for (std::size_t Index = 0; Index < Produced.size(); ++Index) {
    // Handlers append to Produced, so nothing may refer into it.
    Action Each = std::move(Produced[Index]);
    if (const auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
      if (Keys.finish(*Reply, Now, Produced)) {
        Out.push_back(std::move(Each));
      }
      continue;
    }
    if (const auto *Forward = std::get_if<ForwardToUpstream>(&Each)) {
      Quarantine.started(Forward->Attempt);
    }
    auto *Message = std::get_if<SendToPeer>(&Each);
    if (Message != nullptr) {
      if (auto *Reply = std::get_if<DispatchReply>(&Message->Message)) {
        Quarantine.ended(*Reply, Now, Produced);
      }
    }
    if (Message == nullptr || Message->To != Self.Node) {
      Out.push_back(std::move(Each));
      continue;
    }
    std::visit([&](const auto &Local) { receive(Self, Local, Now, Produced); },
               Message->Message);
    startReleased(Now, Produced);
  }
}

void NodeCore::startReleased(TimePoint Now, Actions &Out) {
  for (const ClaimedRequest &Each : Keys.takeClaimed()) {
    Ingress.start(Each.Request, Each.Matched, Now, Out);
  }
  for (const GatedAttempt &Each : Quarantine.takeGated(Now)) {
    Owner.admit(Each.From.Node, Each.Attempt, Now, Out, Each.Refusal);
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
