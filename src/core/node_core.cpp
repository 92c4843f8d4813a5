#include "hyssopford/core/node_core.hpp"
#include "hyssopford/core/error_codes.hpp"

#include "hyssopford/core/fingerprint.hpp"
#include "hyssopford/core/site_duties.hpp"

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

/// Shortest Retry-After of a quarantined request.
constexpr Duration QuarantineRetryAfter = 1s;

ReplyToCaller refusal(RequestId Id, OutcomeReason Reason) {
  ReplyToCaller Reply;
  Reply.Id = Id;
  Reply.Result = Outcome::NotRun;
  Reply.Reason = Reason;
  return Reply;
}

/// Sets the account of a request and, unless an earlier hop has set the class,
/// the class of the account.
void setAccount(CallerRequest &Request, const ClientAccount *Account) {
  Request.Account.clear();
  if (Account == nullptr) {
    return;
  }
  Request.Account = Account->Name;
  if (!Request.Class) {
    Request.Class = Account->Class;
  }
  if (!Request.Key.empty()) {
    // An account must not get the answers to the idempotency keys of another.
    // Names have no control characters, so the result is unambiguous.
    Request.Key = Account->Name + '\n' + Request.Key;
  }
}

} // namespace

NodeCore::NodeCore(const NodeCoreSettings &Settings, const ConfigCodec *Codec)
    : Self{nodeIdOf(Settings.Address), Settings.Run}, Random(Settings.Seed),
      Membership(ownRecord(Settings, Self), Settings.Seeds, Random,
                 Settings.Decisions.Start),
      Directory(Settings.Address, Random, Settings.Decisions.Start),
      Freshness(Settings.Decisions.Freshness),
      Ingress(Self, Random, Settings.Decisions.Routing, Settings.Region,
              Settings.FailureDomain),
      Owner(Self, Settings.Decisions.Admission, Settings.Decisions.Cold),
      Probes(Settings.Decisions.Probing),
      Allotments(Self, Settings.Decisions.Allotments),
      Keys(Self, Settings.Keys, Random),
      Quarantine(Self, Random, Settings.Decisions.Quarantine),
      Cold(Settings.Decisions.Cold),
      Evacuations(Settings.Decisions.Evacuation) {
  if (Codec != nullptr) {
    Configs.emplace(*Codec, Random, Settings.Decisions.Start);
    Configs->setContacts({Settings.Address});
  }
  Directory.setMemberCount(
      [this](TimePoint Now) { return Allotments.memberCount(Now); });
  Actions None;
  Ingress.linkUp(Self, TimePoint{}, None);
}

void NodeCore::handle(const Event &Input, TimePoint Now, Actions &Out) {
  detectPause(Now);
  Actions Produced;
  Membership.detectPause(Now, Produced);
  std::visit([&](const auto &Each) { on(Each, Now, Produced); }, Input);
  syncSystems(Now, Produced);
  deliverLocal(Now, Produced, Out);
}

void NodeCore::tick(TimePoint Now, Actions &Out) {
  detectPause(Now);
  Actions Produced;
  Membership.detectPause(Now, Produced);
  Ingress.tick(Now, Produced);
  Owner.tick(Now, Produced);
  Probes.tick(Now, Produced);
  Membership.tick(Now, Produced);
  Quarantine.tick(Now, Produced);
  Allotments.tick(Now, Produced);
  Keys.tick(Membership.members(), Config, Now, Produced);
  Directory.tick(Now, Produced);
  Evacuations.tick(Now, Produced);
  if (Configs) {
    Configs->tick(Now, Produced);
  }
  Freshness.tick(Now, Produced);
  syncSystems(Now, Produced);
  deliverLocal(Now, Produced, Out);
  // A run that was superseded ends only if it may restart.
  const bool MayEnd =
      !Membership.superseded() || Membership.requiredIncarnation();
  if (ShuttingDown && MayEnd && !ShutdownReported && Owner.inFlight() == 0 &&
      Ingress.inFlight() == 0 && Allotments.waiting() == 0 && Keys.idle()) {
    ShutdownReported = true;
    Out.emplace_back(ShutdownComplete{});
  }
}

bool NodeCore::adopt(RoutingConfig NewConfig) {
  if (NewConfig.Version <= Config.Version) {
    return false;
  }
  Config = std::move(NewConfig);
  Accounts = AccountIndex(Config.Accounts);
  Quarantine.adopt(Config);
  Splits.adopt(Config);
  Freshness.setVersion(Config.Version);
  Allotments.adopt(Config);
  Membership.setConfigVersion(Config.Version);
  Owner.setConfigVersion(Config.Version);
  Owner.setServices(Config.Services);
  CandidateRevision = 0;
  updateCandidates();
  return true;
}

std::optional<TimePoint> NodeCore::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const std::optional<TimePoint> &Each :
       {Ingress.nextWakeup(), Owner.nextWakeup(), Probes.nextWakeup(),
        Membership.nextWakeup(), Directory.nextWakeup(), Keys.nextWakeup(),
        Quarantine.nextWakeup(), Freshness.nextWakeup(),
        Allotments.nextWakeup(), Evacuations.nextWakeup(),
        Configs ? Configs->nextWakeup() : std::nullopt}) {
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
  if (Config.Version == 0) {
    Out.emplace_back(refusal(Input.Id, OutcomeReason::NoConfig));
    return;
  }
  const Route *Matched =
      findRoute(Config, Input.Host, Input.Path, Input.Method);
  if (Matched == nullptr) {
    Out.emplace_back(refusal(Input.Id, OutcomeReason::NoRoute));
    return;
  }
  // A configuration adopted since the header section was read may have revoked
  // the key.
  const Authorization Granted = authorize(*Matched, Input.Credential);
  if (Granted.Refusal != OutcomeReason::None) {
    Out.emplace_back(refusal(Input.Id, Granted.Refusal));
    return;
  }
  const std::uint64_t Fingerprint = fingerprintOf(Input);
  if (Quarantine.isBarred(Fingerprint, Now)) {
    Out.emplace_back(quarantineRefusal(Input.Id, Fingerprint, Now));
    return;
  }
  Route Limited = *Matched;
  if (!Limited.Split.empty()) {
    Limited.Service = Splits.choose(Limited, Random);
  }
  CallerRequest Call = Input;
  setAccount(Call, Granted.Account);
  if (!limitCredential(Call, Now, Out)) {
    return;
  }
  const bool IsTrial = Quarantine.isQuarantined(Fingerprint, Now);
  if (IsTrial) {
    Call.OnlyOwner = trialOwner(Fingerprint, Limited.Service);
    if (!Call.OnlyOwner) {
      Out.emplace_back(quarantineRefusal(Input.Id, Fingerprint, Now));
      return;
    }
  }
  if (IsTrial || Quarantine.isSuspect(Fingerprint, Now)) {
    Limited.AttemptLimit = 1;
  }
  Call.ConfigVersion = Config.Version;
  // Requests with an account are never calls of the upstream: those carry no
  // key.
  if (Input.FromUpstreamAddress && Granted.Account == nullptr &&
      NestedCalls.observe(Limited.Name, !Owner.idle())) {
    // Refusing a call of a running request would waste the work done for it.
    Call.IsNestedCall = true;
    Call.Class = Priority::High;
  }
  startRequest(Call, Limited, Now, Out);
}

bool NodeCore::limitCredential(CallerRequest &Call, TimePoint Now,
                               Actions &Out) {
  if (Call.Account.empty() || !Freshness.enabled()) {
    return true;
  }
  Call.CredentialTime = Freshness.timeLeft(Now);
  if (Call.CredentialTime > Duration{0}) {
    return true;
  }
  Freshness.countRefusal();
  ReplyToCaller Reply = refusal(Call.Id, OutcomeReason::CredentialsStale);
  Reply.RetryAfter = FreshnessSystem::RetryAfter;
  Out.emplace_back(std::move(Reply));
  return false;
}

ReplyToCaller NodeCore::quarantineRefusal(RequestId Id,
                                          std::uint64_t Fingerprint,
                                          TimePoint Now) const {
  ReplyToCaller Reply = refusal(Id, OutcomeReason::Quarantined);
  Reply.RetryAfter =
      std::max(Quarantine.nextChance(Fingerprint) - Now, QuarantineRetryAfter);
  return Reply;
}

std::optional<NodeId> NodeCore::trialOwner(std::uint64_t Fingerprint,
                                           const std::string &Service) const {
  // All nodes choose the same owner, so that a trial runs once.
  std::optional<NodeId> Chosen;
  std::uint64_t Least = 0;
  for (const auto &[Id, Record] : Membership.members()) {
    const bool Offers = Record.Service == Service &&
                        Record.State == MemberState::Alive &&
                        (Record.Upstream == UpstreamState::Serving ||
                         Record.Upstream == UpstreamState::Cold) &&
                        !Evacuations.isEvacuated(Record.FailureDomain);
    const std::uint64_t Rank = hashPair(Fingerprint, Id.Value);
    if (Offers && (!Chosen || Rank < Least)) {
      Chosen = Id;
      Least = Rank;
    }
  }
  const std::vector<NodeId> &Linked = Membership.linkedPeers();
  const bool IsLinked =
      Chosen && (*Chosen == Self.Node || std::find(Linked.begin(), Linked.end(),
                                                   *Chosen) != Linked.end());
  return IsLinked ? Chosen : std::nullopt;
}

void NodeCore::startRequest(const CallerRequest &Input, const Route &Matched,
                            TimePoint Now, Actions &Out) {
  if (!Allotments.acquire(Input, Matched, Now, Out)) {
    claimAndStart(Input, Matched, Now, Out);
  }
}

void NodeCore::claimAndStart(const CallerRequest &Input, const Route &Matched,
                             TimePoint Now, Actions &Out) {
  if (!Keys.beginClaim(Input, Matched, Now, Out)) {
    Ingress.start(Input, Matched, Now, Out);
  }
}

void NodeCore::on(const CallerGone &Input, TimePoint Now, Actions &Out) {
  if (!Allotments.callerGone(Input.Id) &&
      !Keys.callerGone(Input.Id, Now, Out)) {
    Ingress.cancel(Input.Id, Now, Out);
  }
}

void NodeCore::on(const PeerLinkUp &Input, TimePoint Now, Actions &Out) {
  Membership.linkUp(Input.Peer, Now, Out);
  if (Configs) {
    Configs->linkUp(Input.Peer, Now, Out);
  }
  Freshness.linkUp(Input.Peer, Now, Out);
  Evacuations.linkUp(Input.Peer, Out);
  Ingress.linkUp(Input.Peer, Now, Out);
  Allotments.linkUp(Input.Peer.Node, Now, Out);
  Keys.linkUp(Input.Peer, Now, Out);
  Quarantine.linkUp(Input.Peer, Now, Out);
}

void NodeCore::on(const PeerLinkDown &Input, TimePoint Now, Actions &Out) {
  Membership.linkDown(Input.Peer, Now, Out);
  if (Configs) {
    Configs->linkDown(Input.Peer);
  }
  Freshness.linkDown(Input.Peer);
  Evacuations.linkDown(Input.Peer);
  Ingress.linkDown(Input.Peer, Now, Out);
  Allotments.linkDown(Input.Peer, Now, Out);
  Keys.linkDown(Input.Peer);
  Quarantine.linkDown(Input.Peer);
}

void NodeCore::on(const PeerMessageReceived &Input, TimePoint Now,
                  Actions &Out) {
  std::visit([&](const auto &Each) { receive(Input.From, Each, Now, Out); },
             Input.Message);
}

void NodeCore::on(const UpstreamAnswered &Input, TimePoint Now, Actions &Out) {
  Owner.upstreamAnswered(Input, Now, Out);
  Probes.observe(true, Now);
  Owner.setSuspected(Probes.suspected(), Now, Out);
}

void NodeCore::on(const UpstreamFailed &Input, TimePoint Now, Actions &Out) {
  Quarantine.upstreamFailed(Input, Now, Out);
  Owner.upstreamFailed(Input, Now, Out);
  if (isUpstreamFault(Input.Reason)) {
    Probes.observe(false, Now);
    Owner.setSuspected(Probes.suspected(), Now, Out);
  }
}

void NodeCore::on(const UpstreamAnnounced &Input, TimePoint Now, Actions &Out) {
  Quarantine.upstreamAnnounced();
  Owner.upstreamAnnounced(Input, Now, Out);
  Probes.upstreamAnnounced(Input, Now);
  Membership.setUpstream(Input, Now, Out);
}

void NodeCore::on(const UpstreamGone &Input, TimePoint Now, Actions &Out) {
  Quarantine.upstreamGone(Input, Now, Out);
  Owner.upstreamGone(Input, Now, Out);
  Probes.upstreamGone();
  Membership.setUpstream(UpstreamAnnounced{"", 0, UpstreamState::None}, Now,
                         Out);
}

void NodeCore::on(const ProbeFinished &Input, TimePoint Now, Actions &Out) {
  if (Input.Purpose == ProbePurpose::Speed) {
    Owner.finishSpeedProbe(Input, Now, Out);
    return;
  }
  Owner.stateCold(Input.ColdTime, Now, Out);
  Probes.finish(Input, Now, Out);
  Owner.setSuspected(Probes.suspected(), Now, Out);
}

void NodeCore::on(const StoreReplied &Input, TimePoint Now, Actions &Out) {
  if (Configs) {
    Configs->receive(Input, Now, Out);
    Allotments.setStoreProven(Configs->storeProven());
  }
  Keys.receive(Input, Now, Out);
  Directory.receive(Input, Now);
  Evacuations.receive(Input, Now, Out);
  Quarantine.receive(Input, Now, Out);
  Allotments.receive(Input, Now, Out);
}

void NodeCore::on(const PatchSubmitted &Input, TimePoint Now, Actions &Out) {
  if (Configs) {
    Configs->submit(Input, Now, Out);
    return;
  }
  Out.emplace_back(
      PatchResult{Input.Request,
                  Input.PatchId,
                  PatchStatus::Rejected,
                  Config.Version,
                  Input.DryRun,
                  {Error{numberOf(ErrorCode::StoreUnavailable), "config.store",
                         "", "this node has no access to the configuration"}}});
}

void NodeCore::on(const HistoryRequested &Input, TimePoint Now, Actions &Out) {
  if (Configs) {
    Configs->requestHistory(Input, Now, Out);
    return;
  }
  HistoryResult Answer;
  Answer.Request = Input.Request;
  Answer.Errors.push_back(
      Error{numberOf(ErrorCode::StoreUnavailable), "config.store", "",
            "this node has no access to the configuration"});
  Out.emplace_back(std::move(Answer));
}

void NodeCore::on(const ShutdownScheduled &Input, TimePoint Now, Actions &Out) {
  Ingress.limitWork(Input.AnswerBy);
  Owner.limitWork(Input.AnswerBy, Now, Out);
  Keys.limitWork(Input.AnswerBy, Now);
}

void NodeCore::on(const ShutdownRequested & /*Input*/, TimePoint Now,
                  Actions &Out) {
  ShuttingDown = true;
  Owner.drain();
  Membership.leave(Now, Out);
  Allotments.leave(Out);
  Keys.leave(Now);
}

void NodeCore::receive(NodeRun From, const Dispatch &Message, TimePoint Now,
                       Actions &Out) {
  if (!isFromIngress(From, Message.Attempt, Out)) {
    return;
  }
  Membership.touchLink(From.Node, Now);
  // A frame that waited during a pause may be long past its deadline and past
  // the retention of its idempotency key.
  const bool MayBeOld = mayBeOld(Now) && From != Self;
  Quarantine.dispatch(From, Message, Now,
                      MayBeOld ? OutcomeReason::StaleFrame
                               : OutcomeReason::None);
  Quarantine.recordTrials(Now, Out);
}

void NodeCore::receive(NodeRun From, const DispatchReply &Message,
                       TimePoint Now, Actions &Out) {
  Membership.touchLink(From.Node, Now);
  Ingress.finishAttempt(From, Message, Now, Out);
}

void NodeCore::receive(NodeRun From, const Cancel &Message, TimePoint Now,
                       Actions &Out) {
  if (isFromIngress(From, Message.Attempt, Out)) {
    Owner.cancel(Message.Attempt, Now, Out);
  }
}

void NodeCore::receive(NodeRun From, const StatusQuery &Message, TimePoint Now,
                       Actions &Out) {
  // The query cancels an attempt that is queued.
  if (isFromIngress(From, Message.Attempt, Out)) {
    Owner.queryStatus(From.Node, Message, Now, Out);
  }
}

void NodeCore::receive(NodeRun From, const StatusReply &Message, TimePoint Now,
                       Actions &Out) {
  Ingress.resolveStatus(From.Node, Message, Now, Out);
}

bool NodeCore::isFromIngress(NodeRun From, const AttemptId &Attempt,
                             Actions &Out) {
  if (Attempt.Ingress == From) {
    return true;
  }
  Out.emplace_back(Notice{"message_foreign",
                          {{"peer", toString(From.Node)},
                           {"ingress", toString(Attempt.Ingress.Node)},
                           {"sequence", std::to_string(Attempt.Sequence)}}});
  return false;
}

template <typename Message>
void NodeCore::receive(NodeRun From, const Message &Received, TimePoint Now,
                       Actions &Out) {
  if constexpr (requires { Membership.receive(From, Received, Now, Out); }) {
    Membership.receive(From, Received, Now, Out);
  } else if constexpr (requires { Keys.receive(From, Received, Now, Out); }) {
    Keys.receive(From, Received, Now, Out);
  } else if constexpr (requires {
                         Allotments.receive(From, Received, Now, Out);
                       }) {
    Allotments.receive(From, Received, Now, Out);
  } else if (Configs) {
    Configs->receive(From, Received, Now, Out);
  }
  if constexpr (requires { Received.ConfigVersion; }) {
    // Anti-entropy: pings go to random members and carry the configuration
    // version.
    receiveDigest(From, ConfigDigest{Received.ConfigVersion}, Now, Out);
  }
}

void NodeCore::receiveDigest(NodeRun From, const ConfigDigest &Message,
                             TimePoint Now, Actions &Out) {
  if (!Configs) {
    return;
  }
  if (Message.Version != 0 && !mayBeOld(Now)) {
    Configs->noteContact(Now);
  }
  Configs->receive(From, Message, Now, Out);
}

void NodeCore::receive(NodeRun From, const QuarantineNotice &Message,
                       TimePoint Now, Actions &Out) {
  Quarantine.receive(From, Message, Now, Out);
}

void NodeCore::receive(NodeRun From, const ConfigDigest &Message, TimePoint Now,
                       Actions &Out) {
  // What waited during a pause may be the first message of its link, so that
  // its delay cannot be seen.
  if (!mayBeOld(Now)) {
    Freshness.receive(From, Message, Now, Out);
  }
  receiveDigest(From, Message, Now, Out);
}

void NodeCore::receive(NodeRun From, const EvacuationNotice &Message,
                       TimePoint /*Now*/, Actions &Out) {
  Evacuations.receive(From, Message, Out);
}

void NodeCore::detectPause(TimePoint Now) {
  if (LastActive && Now - *LastActive > PauseLimit) {
    RefuseFramesUntil = Now + PauseGrace;
  }
  LastActive = Now;
}

void NodeCore::deliverLocal(TimePoint Now, Actions &Produced, Actions &Out) {
  startReleased(Now, Produced);
  for (std::size_t Index = 0; Index < Produced.size(); ++Index) {
    // Handlers append to Produced, which invalidates references to its
    // elements.
    Action Each = std::move(Produced[Index]);
    if (const auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
      if (Keys.finishRequest(*Reply, Now, Produced)) {
        Out.push_back(std::move(Each));
      }
      continue;
    }
    if (const auto *Forward = std::get_if<ForwardToUpstream>(&Each)) {
      Quarantine.attemptStarted(Forward->Attempt, Now, Produced);
    }
    const auto *Probe = std::get_if<ProbeUpstream>(&Each);
    if (Probe != nullptr && Probe->Purpose == ProbePurpose::Health) {
      Owner.healthProbeSent(Now);
    }
    auto *Message = std::get_if<SendToPeer>(&Each);
    if (Message != nullptr) {
      if (auto *Reply = std::get_if<DispatchReply>(&Message->Message)) {
        Quarantine.attemptEnded(*Reply, Now, Produced);
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
  for (const AllottedRequest &Each : Allotments.takeAllotted()) {
    claimAndStart(Each.Request, Each.Matched, Now, Out);
  }
  for (const ClaimedRequest &Each : Keys.takeClaimed()) {
    Ingress.start(Each.Request, Each.Matched, Now, Out);
  }
  for (const GatedAttempt &Each : Quarantine.takeGated(Now)) {
    Owner.admit(Each.From.Node, Each.Attempt, Now, Out, Each.Refusal);
  }
}

void NodeCore::syncSystems(TimePoint Now, Actions &Out) {
  if (Configs) {
    if (auto Adopted = Configs->takeAdopted()) {
      adopt(std::move(*Adopted));
    }
    if (const std::optional<TimePoint> Proof = Configs->takeProof()) {
      Freshness.proveByStore(*Proof, Configs->watching(), Now, Out);
    }
  }
  Membership.addContacts(Directory.takeContacts());
  if (Configs) {
    Membership.addContacts(Configs->takeContacts());
  }
  Directory.setIsolated(Membership.linkedPeers().empty(), Now);
  updateDuties(Now, Out);
  Evacuations.setWatching(Configs && Configs->readsStore(Now), Now);
  Owner.setEvacuated(
      Evacuations.isEvacuated(Membership.members().at(Self.Node).FailureDomain),
      Now, Out);
  updateCandidates();
  Allotments.sync(
      {Membership.members(), Membership.revision(), Membership.settled()}, Now,
      Out);
  const std::optional<NodeId> Deputy =
      Configs ? Configs->deputy() : std::nullopt;
  if (NeededRevision != Ingress.neededRevision() || NeededDeputy != Deputy ||
      NeededGrantersRevision != Allotments.neededRevision()) {
    NeededRevision = Ingress.neededRevision();
    NeededGrantersRevision = Allotments.neededRevision();
    NeededDeputy = Deputy;
    std::set<NodeId> Needed = Ingress.neededPeers();
    Needed.insert(Allotments.neededPeers().begin(),
                  Allotments.neededPeers().end());
    if (Deputy) {
      Needed.insert(*Deputy);
    }
    Membership.setNeededPeers(std::move(Needed));
  }
  if (Membership.superseded() && !ShuttingDown) {
    ShuttingDown = true;
    Owner.drain();
    Out.emplace_back(Notice{"serving_stopped", {{"reason", "superseded"}}});
  }
}

void NodeCore::updateDuties(TimePoint Now, Actions &Out) {
  // A table that still grows gives duties to nearly every node. A node without
  // links keeps its duties, because it may be the only one.
  const bool Known = Membership.settled() || Membership.linkedPeers().empty();
  if (DutyRevision == Membership.revision() && DutiesKnown == Known) {
    return;
  }
  DutyRevision = Membership.revision();
  DutiesKnown = Known;
  if (!Known) {
    Directory.setDirectorySlot(std::nullopt, {}, Now);
    if (Configs) {
      Configs->setWatching(false, {}, Now, Out);
    }
    return;
  }
  SiteDuties Duties =
      dutiesOf(Membership.members(), Self.Node, DirectorySystem::Slots);
  if (Configs) {
    Configs->setContacts(Duties.Contacts);
  }
  Directory.setDirectorySlot(Duties.DirectorySlot, std::move(Duties.Contacts),
                             Now);
  if (Configs) {
    Configs->setWatching(Duties.WatchesConfig, std::move(Duties.Deputies), Now,
                         Out);
  }
}

double NodeCore::coldRateOf(const MemberRecord &Record) const {
  if (!Cold.Enabled || Record.Upstream != UpstreamState::Cold) {
    return 0.0;
  }
  const auto Found = std::find_if(
      Config.Services.begin(), Config.Services.end(),
      [&](const ServiceSettings &Each) { return Each.Name == Record.Service; });
  return Found == Config.Services.end() ? 0.0 : Found->ColdRate;
}

void NodeCore::updateCandidates() {
  if (CandidateRevision == Membership.revision() &&
      EvacuationChanges == Evacuations.changes()) {
    return;
  }
  CandidateRevision = Membership.revision();
  EvacuationChanges = Evacuations.changes();
  std::vector<Candidate> Candidates;
  std::set<std::string> Offered;
  std::set<std::string> Evacuated;
  for (const auto &[Id, Record] : Membership.members()) {
    const bool Drained = std::find(Config.Drains.begin(), Config.Drains.end(),
                                   Record.Address) != Config.Drains.end();
    // A suspected member may get attempts: they also need a usable link.
    const bool Offers = !Record.Service.empty() &&
                        Record.Upstream != UpstreamState::None &&
                        (Record.State == MemberState::Alive ||
                         Record.State == MemberState::Suspect);
    if (Offers && Evacuations.isEvacuated(Record.FailureDomain)) {
      Evacuated.insert(Record.Service);
    } else if (Offers && !Drained) {
      Offered.insert(Record.Service);
      Candidates.push_back(Candidate{
          Record.Id, Record.Service, Record.FailureDomain, Record.Region,
          Record.Slots, Record.Upstream, coldRateOf(Record)});
    }
  }
  std::erase_if(Evacuated, [&](const std::string &Service) {
    return Offered.contains(Service);
  });
  Ingress.setEvacuatedServices(std::move(Evacuated));
  Ingress.setCandidates(std::move(Candidates));
  Ingress.setMemberCount(Membership.members().size());
}

} // namespace hyssopford
