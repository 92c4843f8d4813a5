#include "hyssopford/core/key_system.hpp"

#include "hyssopford/core/fingerprint.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hyssopford {

namespace {

const std::string &
serviceOf(const std::variant<KeyRelease, KeyOutcome> &Message) {
  return std::visit(
      [](const auto &Each) -> const std::string & { return Each.Service; },
      Message);
}

} // namespace

KeySystem::KeySystem(NodeRun Run, const KeySettings &Limits,
                     RandomSource &Source)
    : Self(Run), Settings(Limits),
      Rules(Limits.Rules != nullptr ? *Limits.Rules : StandardRules),
      Random(Source), Holder(Run, Settings, Rules),
      Rosters(Run, Settings, Source) {}

bool KeySystem::beginClaim(const CallerRequest &Request, const Route &Matched,
                           TimePoint Now, Actions &Out) {
  if (Request.Key.empty() || isIdempotent(Matched, Request.Method)) {
    return false;
  }
  RequestRow Row;
  Row.Request = Request;
  Row.Matched = Matched;
  Row.Hash = requestHash(Request);
  Row.Deadline =
      std::min(Now + timeLimit(Matched, Request.Deadline), LatestDeadline);
  RequestRow &Stored =
      Requests.insert_or_assign(Request.Id, std::move(Row)).first->second;
  if (Request.Key.size() > MaxKeyLength || Deliveries.size() >= MaxDeliveries) {
    refuse(Request.Id, Outcome::NotRun, OutcomeReason::KeyUnavailable, Now,
           Out);
  } else {
    startRound(Stored, Now, Out);
  }
  return true;
}

bool KeySystem::callerGone(RequestId Id, TimePoint Now, Actions &Out) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end()) {
    return false;
  }
  Found->second.CallerWaits = false;
  if (!Found->second.Running) {
    releaseClaim(Found->second, Now, Out);
    erase(Id);
  }
  return true;
}

bool KeySystem::finishRequest(const ReplyToCaller &Reply, TimePoint Now,
                              Actions &Out) {
  const auto Found = Requests.find(Reply.Id);
  if (Found == Requests.end() || !Found->second.Running) {
    return true;
  }
  RequestRow &Row = Found->second;
  const bool CallerWaits = Row.CallerWaits;
  if (Rules.releases(Reply.Result)) {
    releaseClaim(Row, Now, Out);
  } else {
    KeyResult Result{Reply.Result, Reply.Reason, Reply.Status,
                     true,         Reply.Answer, Reply.Owner};
    if (Result.Answer.size() > Settings.MaxAnswer) {
      Result.Answer = Payload();
      Result.AnswerKept = false;
    }
    deliver(Row,
            KeyOutcome{Row.Matched.Service, Row.Request.Key, Row.Hash,
                       Row.Claim->Id, std::move(Result)},
            Now, Out);
  }
  erase(Reply.Id);
  return CallerWaits;
}

void KeySystem::receive(NodeRun From, const KeyClaim &Message, TimePoint Now,
                        Actions &Out) {
  const auto Reply = Holder.claim(Message, Now);
  if (!Reply) {
    // The sender knows a newer roster.
    Out.emplace_back(
        SendToPeer{From.Node, RosterRequest{Message.Service, 0, 0}});
    return;
  }
  if (Reply->Verdict == KeyVerdict::StaleEpoch) {
    Rosters.sendRoster(From.Node, Message.Service, Out);
  }
  Out.emplace_back(SendToPeer{From.Node, *Reply});
}

void KeySystem::receive(NodeRun From, const KeyClaimReply &Message,
                        TimePoint Now, Actions &Out) {
  const auto FoundClaim = Claims.find(Message.Claim);
  if (FoundClaim == Claims.end()) {
    return;
  }
  RequestRow &Row = Requests.at(FoundClaim->second);
  if (Row.Running) {
    return;
  }
  if (Message.Verdict == KeyVerdict::Finished) {
    replay(Row.Request.Id, Message.Result, Now, Out);
    return;
  }
  for (HolderRow &Each : Row.Claim->Holders) {
    // A later run at the same address is not the holder in the roster.
    if (Each.Member.Id == From) {
      Each.Verdict = Message.Verdict;
    }
  }
  if (Message.Verdict == KeyVerdict::StaleEpoch) {
    MissingRosters.insert(Row.Matched.Service);
  }
  if (Message.Verdict == KeyVerdict::Held) {
    const bool OwnRelease = Deliveries.contains(Message.HeldBy);
    Row.SawOtherClaim = Row.SawOtherClaim || !OwnRelease;
    if (OwnRelease) {
      sendDelivery(Message.HeldBy, Out);
    }
  }
  evaluateVerdicts(Row, Now, Out);
}

void KeySystem::receive(NodeRun From, const KeyRelease &Message, TimePoint Now,
                        Actions &Out) {
  // Only the ingress of a claim knows that its request never runs.
  if (Message.Claim.Ingress == From) {
    Out.emplace_back(SendToPeer{From.Node, Holder.release(Message, Now)});
  }
}

void KeySystem::receive(NodeRun From, const KeyOutcome &Message, TimePoint Now,
                        Actions &Out) {
  if (Message.Claim.Ingress != From) {
    return;
  }
  if (const auto Ack = Holder.record(Message, Now)) {
    Out.emplace_back(SendToPeer{From.Node, *Ack});
  }
}

void KeySystem::receive(NodeRun From, const KeyAck &Message, TimePoint /*Now*/,
                        Actions &Out) {
  const auto Found = Deliveries.find(Message.Claim);
  if (Found == Deliveries.end()) {
    return;
  }
  DeliveryRow &Row = Found->second;
  if (Message.Epoch > Row.Epoch) {
    // The holder may have transferred the record before this message arrived,
    // so the newer holders must receive it as well. The roster is requested
    // with each delivery until it is known.
    Out.emplace_back(
        SendToPeer{From.Node, RosterRequest{serviceOf(Row.Message), 0, 0}});
    return;
  }
  std::erase_if(Row.Unconfirmed,
                [&](const RosterMember &Member) { return Member.Id == From; });
  if (Row.Unconfirmed.empty()) {
    DeliveryTimers.cancel(Message.Claim);
    Deliveries.erase(Found);
  }
}

void KeySystem::receive(NodeRun From, const SealRequest &Message, TimePoint Now,
                        Actions &Out) {
  if (auto Reply = Holder.seal(Message, Now)) {
    Out.emplace_back(SendToPeer{From.Node, std::move(*Reply)});
  }
  const Roster *Known = Rosters.find(Message.Service);
  if (Known == nullptr || Known->Current.Epoch < Message.Epoch) {
    Out.emplace_back(
        SendToPeer{From.Node, RosterRequest{Message.Service, 0, 0}});
  }
}

void KeySystem::receive(NodeRun From, const SealReply &Message, TimePoint Now,
                        Actions &Out) {
  Holder.collectRecords(From, Message, Now, Out);
}

void KeySystem::receive(NodeRun From, const RosterRequest &Message,
                        TimePoint /*Now*/, Actions &Out) {
  Rosters.receive(From, Message, Out);
}

void KeySystem::receive(NodeRun /*From*/, const RosterUpdate &Message,
                        TimePoint Now, Actions &Out) {
  Rosters.receive(Message);
  adoptRosters(Now, Out);
}

void KeySystem::receive(const StoreReplied &Reply, TimePoint Now,
                        Actions &Out) {
  Rosters.receive(Reply, Now, Out);
  adoptRosters(Now, Out);
}

void KeySystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  Links.insert(Peer.Node);
  Holder.linkUp(Peer.Node);
  for (auto &[Id, Row] : Requests) {
    if (Row.Claim && !Row.Running) {
      sendClaims(Row, Peer.Node, Now, Out);
    }
  }
}

void KeySystem::linkDown(NodeId Peer) { Links.erase(Peer); }

void KeySystem::limitWork(TimePoint AnswerBy, TimePoint Now) {
  LatestDeadline = AnswerBy;
  for (auto &[Id, Row] : Requests) {
    if (!Row.Running && Row.Deadline > AnswerBy) {
      Row.Deadline = AnswerBy;
      RequestTimers.set(Id, Now);
    }
  }
}

void KeySystem::tick(const RosterSystem::MemberRecords &Members,
                     const RoutingConfig &Config, TimePoint Now, Actions &Out) {
  std::set<std::string> Services;
  for (const Route &Each : Config.Routes) {
    if (Settings.Enabled && !Each.Idempotent.value_or(false)) {
      Services.insert(Each.Service);
    }
  }
  Rosters.tick(
      Members, {Services.begin(), Services.end()},
      [&](const std::string &Service) { return Holder.readyEpoch(Service); },
      Now, Out);
  adoptRosters(Now, Out);
  Holder.tick(Now, Out);
  if (LeaveUntil && *LeaveUntil <= Now) {
    HandoverTimedOut = true;
    LeaveUntil.reset();
  }
  for (const RequestId Id : RequestTimers.takeDue(Now)) {
    RequestRow &Row = Requests.at(Id);
    if (Row.Deadline <= Now) {
      expire(Row, Now, Out);
    } else if (Row.Claim) {
      retryClaims(Row, Now, Out);
    } else {
      startRound(Row, Now, Out);
    }
  }
  for (const std::string &Service : std::exchange(MissingRosters, {})) {
    Rosters.requestRoster(Service, Members, Now, Out);
  }
  for (const ClaimId &Id : DeliveryTimers.takeDue(Now)) {
    DeliveryRow &Row = Deliveries.at(Id);
    if (Row.Until <= Now) {
      Deliveries.erase(Id);
      continue;
    }
    sendDelivery(Id, Out);
    Row.Interval = std::min(2 * Row.Interval, MaxDeliveryPeriod);
    DeliveryTimers.set(Id, Now + Row.Interval);
  }
}

std::vector<ClaimedRequest> KeySystem::takeClaimed() {
  return std::exchange(Claimed, {});
}

std::optional<TimePoint> KeySystem::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const auto &Each :
       {RequestTimers.next(), DeliveryTimers.next(), Holder.nextWakeup(),
        Rosters.nextWakeup(), LeaveUntil,
        MissingRosters.empty() ? std::nullopt : std::optional(TimePoint{})}) {
    if (Each && (!Next || *Each < *Next)) {
      Next = Each;
    }
  }
  return Next;
}

bool KeySystem::idle() const {
  return Requests.empty() &&
         (HandoverTimedOut || (Deliveries.empty() && Rosters.isUnlisted()));
}

void KeySystem::startRound(RequestRow &Row, TimePoint Now, Actions &Out) {
  const Roster *Known = Rosters.find(Row.Matched.Service);
  if (Known == nullptr) {
    MissingRosters.insert(Row.Matched.Service);
    RequestTimers.set(Row.Request.Id,
                      std::min(Row.Deadline, Now + ClaimRetryPeriod));
    return;
  }
  ClaimRow Claim;
  Claim.Id = ClaimId{Self, NextSequence++};
  Claim.Epoch = Known->Current.Epoch;
  Claim.Started = Now;
  for (RosterMember &Each : holdersOf(Known->Current, Row.Request.Key)) {
    Claim.Holders.push_back(HolderRow{std::move(Each), std::nullopt});
  }
  Claims.emplace(Claim.Id, Row.Request.Id);
  Row.Claim = std::move(Claim);
  RequestTimers.set(Row.Request.Id,
                    std::min(Row.Deadline, Now + ClaimRetryPeriod));
  sendClaims(Row, std::nullopt, Now, Out);
}

void KeySystem::retryClaims(RequestRow &Row, TimePoint Now, Actions &Out) {
  const auto &Holders = Row.Claim->Holders;
  const bool Refused =
      std::any_of(Holders.begin(), Holders.end(), [](const HolderRow &Each) {
        return Each.Verdict && *Each.Verdict != KeyVerdict::Granted;
      });
  if (Refused && Row.Claim->Started + RoundTimeout <= Now) {
    endRound(Row, Now, Out);
    return;
  }
  RequestTimers.set(Row.Request.Id,
                    std::min(Row.Deadline, Now + ClaimRetryPeriod));
  sendClaims(Row, std::nullopt, Now, Out);
}

void KeySystem::sendClaims(const RequestRow &Row, std::optional<NodeId> Only,
                           TimePoint Now, Actions &Out) {
  if (Row.Deadline <= Now) {
    return;
  }
  for (const HolderRow &Each : Row.Claim->Holders) {
    // A refusal may have turned into a result or a grant by now.
    if (Each.Verdict != KeyVerdict::Granted &&
        (!Only || Each.Member.Id.Node == *Only)) {
      send(Each.Member,
           KeyClaim{Row.Matched.Service, Row.Claim->Epoch, Row.Request.Key,
                    Row.Hash, Row.Claim->Id, Row.Deadline - Now},
           Out);
    }
  }
}

void KeySystem::evaluateVerdicts(RequestRow &Row, TimePoint Now, Actions &Out) {
  const auto &Holders = Row.Claim->Holders;
  const auto CountOf = [&](std::optional<KeyVerdict> Verdict) {
    return static_cast<std::size_t>(std::count_if(
        Holders.begin(), Holders.end(),
        [&](const HolderRow &Each) { return Each.Verdict == Verdict; }));
  };
  const std::size_t Quorum = Rules.quorum(Holders.size());
  const std::size_t Granted = CountOf(KeyVerdict::Granted);
  if (Granted >= Quorum) {
    // This node may have been paused since it sent its claims.
    if (Row.Deadline <= Now && Rules.checksDeadline()) {
      expire(Row, Now, Out);
      return;
    }
    Row.Running = true;
    RequestTimers.cancel(Row.Request.Id);
    ClaimedRequest Ready{Row.Request, Row.Matched};
    if (Rules.checksDeadline()) {
      Ready.Request.Deadline = Row.Deadline - Now;
    }
    Claimed.push_back(std::move(Ready));
    return;
  }
  if (Granted + CountOf(std::nullopt) >= Quorum) {
    return;
  }
  Row.SawReuse = Row.SawReuse || CountOf(KeyVerdict::Reused) > 0;
  if (CountOf(KeyVerdict::Reused) >= Quorum) {
    refuse(Row.Request.Id, Outcome::NotRun, OutcomeReason::KeyReused, Now, Out);
  } else if (CountOf(KeyVerdict::Full) > 0 && !Row.SawOtherClaim) {
    refuse(Row.Request.Id, Outcome::NotRun, OutcomeReason::KeyUnavailable, Now,
           Out);
  } else {
    endRound(Row, Now, Out);
  }
}

void KeySystem::endRound(RequestRow &Row, TimePoint Now, Actions &Out) {
  releaseClaim(Row, Now, Out);
  // Jitter lets one of several concurrent claims win the next round.
  const auto Wait =
      Row.Backoff / 2 +
      Duration(Random.below(static_cast<std::uint64_t>(Row.Backoff.count())));
  Row.Backoff = std::min(2 * Row.Backoff, MaxBackoff);
  RequestTimers.set(Row.Request.Id, std::min(Row.Deadline, Now + Wait));
}

void KeySystem::expire(RequestRow &Row, TimePoint Now, Actions &Out) {
  if (Row.SawOtherClaim) {
    refuse(Row.Request.Id, Outcome::Unknown, OutcomeReason::KeyInProgress, Now,
           Out);
    return;
  }
  refuse(Row.Request.Id, Outcome::NotRun,
         Row.SawReuse ? OutcomeReason::KeyReused
                      : OutcomeReason::KeyUnavailable,
         Now, Out);
}

void KeySystem::refuse(RequestId Id, Outcome Result, OutcomeReason Reason,
                       TimePoint Now, Actions &Out) {
  RequestRow &Row = Requests.at(Id);
  releaseClaim(Row, Now, Out);
  ReplyToCaller Answer;
  Answer.Id = Id;
  Answer.Result = Result;
  Answer.Reason = Reason;
  erase(Id);
  Out.emplace_back(std::move(Answer));
}

void KeySystem::replay(RequestId Id, const KeyResult &Result, TimePoint Now,
                       Actions &Out) {
  releaseClaim(Requests.at(Id), Now, Out);
  ReplyToCaller Answer;
  Answer.Id = Id;
  Answer.Result = Result.Result;
  Answer.Reason =
      Result.AnswerKept ? Result.Reason : OutcomeReason::AnswerTooLarge;
  Answer.Status = Result.Status;
  Answer.Answer = Result.Answer;
  Answer.Owner = Result.Owner;
  Answer.Replayed = true;
  erase(Id);
  Out.emplace_back(std::move(Answer));
}

void KeySystem::erase(RequestId Id) {
  const auto Found = Requests.find(Id);
  if (Found->second.Claim) {
    Claims.erase(Found->second.Claim->Id);
  }
  RequestTimers.cancel(Id);
  Requests.erase(Found);
}

void KeySystem::releaseClaim(RequestRow &Row, TimePoint Now, Actions &Out) {
  if (!Row.Claim) {
    return;
  }
  deliver(Row, KeyRelease{Row.Matched.Service, Row.Request.Key, Row.Claim->Id},
          Now, Out);
  Claims.erase(Row.Claim->Id);
  Row.Claim.reset();
}

void KeySystem::deliver(const RequestRow &Row,
                        std::variant<KeyRelease, KeyOutcome> Message,
                        TimePoint Now, Actions &Out) {
  DeliveryRow Delivery;
  Delivery.Message = std::move(Message);
  Delivery.Epoch = Row.Claim->Epoch;
  Delivery.Until = Now + DeliveryTimeout;
  for (const HolderRow &Each : Row.Claim->Holders) {
    Delivery.Unconfirmed.push_back(Each.Member);
  }
  addHolders(Delivery);
  const ClaimId Id = Row.Claim->Id;
  Deliveries.insert_or_assign(Id, std::move(Delivery));
  DeliveryTimers.set(Id, Now + MinDeliveryPeriod);
  sendDelivery(Id, Out);
}

void KeySystem::sendDelivery(const ClaimId &Id, Actions &Out) const {
  const DeliveryRow &Row = Deliveries.at(Id);
  for (const RosterMember &Member : Row.Unconfirmed) {
    std::visit([&](const auto &Each) { send(Member, Each, Out); }, Row.Message);
  }
}

void KeySystem::addHolders(DeliveryRow &Row) const {
  const std::pair<std::string, std::string> Name = std::visit(
      [](const auto &Each) { return std::pair(Each.Service, Each.Key); },
      Row.Message);
  const Roster *Known = Rosters.find(Name.first);
  if (Known == nullptr || Known->Current.Epoch <= Row.Epoch) {
    return;
  }
  Row.Epoch = Known->Current.Epoch;
  const auto Add = [&](const RosterEpoch &Epoch) {
    for (const RosterMember &Member : holdersOf(Epoch, Name.second)) {
      if (std::find(Row.Unconfirmed.begin(), Row.Unconfirmed.end(), Member) ==
          Row.Unconfirmed.end()) {
        Row.Unconfirmed.push_back(Member);
      }
    }
  };
  Add(Known->Current);
  // The holders of the epochs in between transfer their records themselves.
  for (const RosterEpoch &Epoch : Known->Previous) {
    Add(Epoch);
  }
}

void KeySystem::adoptRosters(TimePoint Now, Actions &Out) {
  for (const std::string &Service : Rosters.takeChanged()) {
    Holder.adopt(Service, *Rosters.find(Service), Now);
    for (auto &[Id, Row] : Deliveries) {
      if (serviceOf(Row.Message) == Service) {
        addHolders(Row);
        DeliveryTimers.set(Id, Now);
      }
    }
    const std::uint64_t Epoch = Rosters.find(Service)->Current.Epoch;
    for (auto &[Id, Row] : Requests) {
      if (Row.Matched.Service != Service || Row.Running) {
        continue;
      }
      if (Row.Claim && Row.Claim->Epoch < Epoch) {
        releaseClaim(Row, Now, Out);
      }
      if (!Row.Claim) {
        RequestTimers.set(Id, Now);
      }
    }
  }
}

void KeySystem::send(const RosterMember &To, PeerMessage Message,
                     Actions &Out) const {
  if (To.Id.Node != Self.Node && !Links.contains(To.Id.Node)) {
    Out.emplace_back(OpenLink{To.Id.Node, To.Address});
  }
  Out.emplace_back(SendToPeer{To.Id.Node, std::move(Message)});
}

} // namespace hyssopford
