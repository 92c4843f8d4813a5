#include "hyssopford/core/ingress_system.hpp"

#include "hyssopford/core/estimated_delay_policy.hpp"
#include "hyssopford/core/fingerprint.hpp"
#include "smoothing.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Time between two checks for services no longer used.
constexpr Duration UnusedCheckPeriod = 10s;
/// Time between two checks for a usable link while a request waits for one.
constexpr Duration LinkCheckPeriod = 5ms;
/// Least Retry-After while a service is evacuated; evacuations last long.
constexpr Duration EvacuatedRetryAfter = 1s;
/// Weight of a new answer in the mean latency of a service.
constexpr double LatencyWeight = 0.05;
/// Lowest HTTP status that counts as a failure of the upstream.
constexpr std::uint16_t FirstServerError = 500;
/// Status of an upstream that timed out; a retry would time out as well.
constexpr std::uint16_t GatewayTimeout = 504;

/// Whether the owner refuses all further attempts of the service in this run.
bool closesCandidate(OutcomeReason Reason) {
  return Reason == OutcomeReason::Draining ||
         Reason == OutcomeReason::NoUpstream ||
         Reason == OutcomeReason::WrongIncarnation;
}

/// Whether the owner has no room now and may have some later.
bool isBusy(OutcomeReason Reason) {
  return Reason == OutcomeReason::UpstreamSlow ||
         Reason == OutcomeReason::QueueFull ||
         Reason == OutcomeReason::ColdLimit;
}

} // namespace

IngressSystem::IngressSystem(NodeRun Run, RandomSource &Source,
                             const RoutingSettings &Chosen, std::string Region,
                             std::string FailureDomain)
    : Self(Run), Random(Source), Settings(Chosen),
      Table(Run, std::move(Region), Chosen, std::move(FailureDomain)),
      Policy(std::make_unique<EstimatedDelayPolicy>(Chosen)) {}

void IngressSystem::setPolicy(std::unique_ptr<SelectionPolicy> Chosen) {
  Policy = std::move(Chosen);
}

void IngressSystem::start(const CallerRequest &Request, const Route &Matched,
                          TimePoint Now, Actions &Out) {
  RequestRow Row;
  Row.Request = Request;
  Row.Service = Matched.Service;
  Row.Route = Matched.Name;
  Row.Class = Request.Class.value_or(Matched.Class);
  Row.AttemptLimit = std::max<std::uint32_t>(Matched.AttemptLimit, 1);
  Row.Fingerprint = fingerprintOf(Request);
  Row.Span =
      hashPair(hashPair(Self.Node.Value, Self.Run.Value), Request.Id.Value);
  Row.Started = Now;
  Row.FullDeadline = Now + timeLimit(Matched, Request.Deadline);
  Row.Deadline = std::min(Row.FullDeadline, Shutdown.requestEnd());
  Row.Idempotent = isIdempotent(Matched, Request.Method);
  if (Matched.TargetLatency > Duration{0}) {
    // A caller that states less time than the route allows has spent the rest
    // on earlier tries.
    const Duration Used =
        Matched.Deadline - Request.Deadline.value_or(Matched.Deadline);
    Row.Target = Matched.TargetLatency - std::max(Used, Duration{0});
  }
  ++Counters.Requests;
  RequestRow &Stored =
      Requests.insert_or_assign(Request.Id, std::move(Row)).first->second;
  Timers.insert(Timer{Stored.Deadline, TimerKind::Deadline, Request.Id});
  if (Stored.Deadline <= Now) {
    finishWithoutAnswer(Stored, Outcome::NotRun,
                        OutcomeReason::DeadlineExceeded, Now, Out);
    return;
  }
  ServicePool *Pool = Table.usePool(Stored.Service, Now);
  if (Pool != nullptr && !Request.IsExtra && !Request.IsNestedCall) {
    // Retries of an earlier hop add nothing to the budget; otherwise retries
    // would multiply along a call chain. Nested calls of a running request add
    // nothing either, as the budget of that request covers them.
    Pool->Budget.creditRequest();
  }
  startAttempt(Stored, Now, Out);
}

void IngressSystem::cancel(RequestId Id, TimePoint Now, Actions &Out) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end()) {
    return;
  }
  RequestRow &Row = Found->second;
  const bool MayHaveRun = Row.MayHaveRun || !Row.OpenAttempts.empty();
  cancelOpenAttempts(Row, Now, Out);
  eraseRequest(Row, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
               OutcomeReason::CancelledByCaller, Now, Out);
}

void IngressSystem::finishAttempt(NodeRun From, const DispatchReply &Reply,
                                  TimePoint Now, Actions &Out) {
  if (Reply.Load.Sequence != 0 &&
      Reply.Reason != OutcomeReason::WrongIncarnation) {
    Table.recordLoad(From, Reply.Load, Now);
  }
  const auto Found = Attempts.find(Reply.Attempt.Sequence);
  if (Reply.Attempt.Ingress != Self || Found == Attempts.end() ||
      Found->second.Owner.Node != From.Node) {
    ++Counters.LateReplies;
    return;
  }
  const AttemptRow Attempt = Found->second;
  RequestRow &Row = Requests.at(Attempt.Request);
  if (Table.isOutstanding(From.Node, Reply.Attempt.Sequence)) {
    recordResult(Attempt, Reply, Row, Now, Out);
  }
  closeAttempt(Row, Reply.Attempt.Sequence, Reply.Result, Reply.Reason, Now,
               Out);
  if (Reply.Result == Outcome::Answered) {
    if (!retryFailedAnswer(Row, Reply, Attempt.Owner.Node, Now, Out)) {
      finishWithAnswer(Row, Reply, Attempt.Owner.Node, Now, Out);
    }
    return;
  }
  // An attempt that an owner returned reached no upstream, so it is neither
  // counted nor charged to the retry budget.
  const bool IsHandBack = Settings.FreeHandBacks > 0 &&
                          Reply.Result == Outcome::NotRun &&
                          Reply.Reason != OutcomeReason::UpstreamRefused;
  if (IsHandBack) {
    ++Row.HandBacks;
    --Row.Attempts;
    if (isBusy(Reply.Reason)) {
      Row.BusyOwners.push_back(Attempt.Owner.Node);
    }
  }
  retry(Row, Now, Out, IsHandBack);
}

void IngressSystem::resolveStatus(NodeId From, const StatusReply &Reply,
                                  TimePoint Now, Actions &Out) {
  const auto Found = Attempts.find(Reply.Attempt.Sequence);
  if (Reply.Attempt.Ingress != Self || Found == Attempts.end() ||
      Found->second.Owner.Node != From) {
    return;
  }
  if (Reply.State == AttemptState::Running ||
      Reply.State == AttemptState::Finished) {
    Found->second.InDoubt = false;
    return;
  }
  RequestRow &Row = Requests.at(Found->second.Request);
  const bool Barred = Reply.State == AttemptState::WillNotRun;
  closeAttempt(Row, Reply.Attempt.Sequence,
               Barred ? Outcome::NotRun : Outcome::Unknown,
               OutcomeReason::LinkLost, Now, Out);
  retry(Row, Now, Out);
}

void IngressSystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  Table.linkUp(Peer);
  const std::set<std::uint64_t> Sent = AttemptsByOwner[Peer.Node];
  for (const std::uint64_t Sequence : Sent) {
    const auto Found = Attempts.find(Sequence);
    if (Found == Attempts.end()) {
      continue;
    }
    const AttemptId Id{Self, Sequence};
    if (Found->second.Owner == Peer) {
      Out.emplace_back(SendToPeer{Peer.Node, StatusQuery{Id, Peer.Run}});
    } else {
      resolveStatus(Peer.Node, StatusReply{Id, AttemptState::CannotTell}, Now,
                    Out);
    }
  }
}

void IngressSystem::linkDown(NodeId Peer, TimePoint Now, Actions &Out) {
  Table.linkDown(Peer);
  const auto Sent = AttemptsByOwner.find(Peer);
  if (Sent == AttemptsByOwner.end()) {
    return;
  }
  const std::set<std::uint64_t> Doubtful = Sent->second;
  for (const std::uint64_t Sequence : Doubtful) {
    const auto Found = Attempts.find(Sequence);
    if (Found == Attempts.end() || Found->second.InDoubt) {
      continue;
    }
    Found->second.InDoubt = true;
    RequestRow &Row = Requests.at(Found->second.Request);
    Row.LastReason = OutcomeReason::LinkLost;
    if (Row.Idempotent) {
      retry(Row, Now, Out);
    }
  }
}

void IngressSystem::setCandidates(std::vector<Candidate> All) {
  Table.setCandidates(std::move(All));
}

void IngressSystem::tick(TimePoint Now, Actions &Out) {
  while (!Timers.empty() && Timers.begin()->At <= Now) {
    const Timer Due = *Timers.begin();
    Timers.erase(Timers.begin());
    RequestRow &Row = Requests.at(Due.Request);
    switch (Due.Kind) {
    case TimerKind::Deadline:
      expireRequest(Row, Now, Out);
      break;
    case TimerKind::Hedge:
      Row.HedgeAt.reset();
      if (Row.Idempotent) {
        sendHedge(Row, Now, Out);
      } else {
        recall(Row, Now, Out);
      }
      break;
    case TimerKind::LinkCheck:
      Row.LinkCheckAt.reset();
      startAttempt(Row, Now, Out);
      break;
    }
  }
  if (NextUnusedCheck <= Now) {
    NextUnusedCheck = Now + UnusedCheckPeriod;
    Table.dropUnused(Now);
  }
}

std::optional<TimePoint> IngressSystem::nextWakeup() const {
  return Timers.empty() ? std::nullopt : std::optional(Timers.begin()->At);
}

void IngressSystem::startAttempt(RequestRow &Row, TimePoint Now, Actions &Out) {
  ServicePool *Pool = Table.usePool(Row.Service, Now);
  if (!fitsShutdown(Row, Pool, Now)) {
    finishWithoutAnswer(Row, Outcome::NotRun, OutcomeReason::ShuttingDown, Now,
                        Out);
    return;
  }
  if (Pool == nullptr && EvacuatedServices.contains(Row.Service)) {
    finishWithoutAnswer(Row, Outcome::NotRun, OutcomeReason::Evacuated, Now,
                        Out);
    return;
  }
  if (Pool == nullptr &&
      !(Settings.WaitWhenAlone && Table.memberCount() <= 1)) {
    finishWithoutAnswer(Row, Outcome::NotRun, OutcomeReason::NoUpstream, Now,
                        Out);
    return;
  }
  const std::optional<NodeRun> Chosen =
      Pool == nullptr ? std::nullopt : chooseOwner(Row, *Pool, Now);
  if (Chosen) {
    dispatch(Row, *Pool, *Chosen, Now, Out);
    return;
  }
  if (Now - Row.Started >= Settings.LinkWait) {
    finishWithoutAnswer(Row, Outcome::NotRun, OutcomeReason::NoUpstream, Now,
                        Out);
    return;
  }
  // The first request of a service causes its links to be opened, and waits
  // for one.
  Row.LinkCheckAt = Now + LinkCheckPeriod;
  Timers.insert(Timer{*Row.LinkCheckAt, TimerKind::LinkCheck, Row.Request.Id});
}

bool IngressSystem::retryFailedAnswer(RequestRow &Row,
                                      const DispatchReply &Reply, NodeId Owner,
                                      TimePoint Now, Actions &Out) {
  if (!Settings.RetryFailedAnswers || Reply.Status < FirstServerError ||
      Reply.Status == GatewayTimeout || !Row.Idempotent ||
      Row.Attempts >= Row.AttemptLimit || Row.Deadline <= Now) {
    return false;
  }
  if (!Row.FirstFailure) {
    Row.FirstFailure = FailedAnswer{Reply, Owner};
  }
  if (!Row.OpenAttempts.empty()) {
    return true;
  }
  ServicePool *Pool = Table.usePool(Row.Service, Now);
  const std::optional<NodeRun> Chosen =
      Pool == nullptr || !fitsShutdown(Row, Pool, Now)
          ? std::nullopt
          : chooseOwner(Row, *Pool, Now);
  if (!Chosen || !Pool->Budget.takeRetry()) {
    Row.FirstFailure.reset();
    return false;
  }
  ++Counters.Retries;
  dispatch(Row, *Pool, *Chosen, Now, Out);
  return true;
}

void IngressSystem::retry(RequestRow &Row, TimePoint Now, Actions &Out,
                          bool IsHandBack) {
  const auto InDoubt = [&](std::uint64_t Sequence) {
    return Attempts.at(Sequence).InDoubt;
  };
  if (!std::all_of(Row.OpenAttempts.begin(), Row.OpenAttempts.end(), InDoubt)) {
    return;
  }
  // With an attempt in doubt the request waits until its deadline, otherwise it
  // ends now.
  const auto GiveUp = [&](OutcomeReason Reason) {
    if (Row.OpenAttempts.empty()) {
      finishWithoutAnswer(Row, Outcome::NotRun, Reason, Now, Out);
    }
  };
  // A request that is suspected of crashing upstreams is not sent to another.
  // Nor is one whose credential an owner has refused: others would do the same.
  const bool MayRunAgain =
      Row.LastReason != OutcomeReason::Quarantined &&
      Row.LastReason != OutcomeReason::CredentialsStale &&
      (Row.Idempotent || (!Row.MayHaveRun && Row.OpenAttempts.empty()));
  if (!MayRunAgain) {
    GiveUp(Row.LastReason);
    return;
  }
  if (Row.Deadline <= Now) {
    GiveUp(OutcomeReason::DeadlineExceeded);
    return;
  }
  if (Row.Attempts >= Row.AttemptLimit) {
    GiveUp(Row.AttemptLimit > 1 ? OutcomeReason::AttemptLimit : Row.LastReason);
    return;
  }
  ServicePool *Pool = Table.usePool(Row.Service, Now);
  if (!fitsShutdown(Row, Pool, Now)) {
    GiveUp(OutcomeReason::ShuttingDown);
    return;
  }
  if (IsHandBack && Row.HandBacks > handBackLimit(Row)) {
    GiveUp(Row.LastReason);
    return;
  }
  std::optional<NodeRun> Chosen;
  if (Pool != nullptr) {
    Chosen = IsHandBack ? chooseAfterHandBack(Row, *Pool, Now)
                        : chooseOwner(Row, *Pool, Now);
  }
  if (!Chosen && Pool != nullptr &&
      Row.LastReason == OutcomeReason::UpstreamClosed) {
    // The upstream may only have closed an idle connection at its reuse.
    Row.TriedOwners.clear();
    Chosen = chooseOwner(Row, *Pool, Now);
  }
  if (!Chosen) {
    GiveUp(Row.LastReason);
    return;
  }
  if (!IsHandBack && !Pool->Budget.takeRetry()) {
    ++Counters.RetriesDenied;
    GiveUp(OutcomeReason::RetryBudget);
    return;
  }
  Counters.Retries += IsHandBack ? 0 : 1;
  dispatch(Row, *Pool, *Chosen, Now, Out);
}

std::uint32_t IngressSystem::handBackLimit(const RequestRow &Row) const {
  return Settings.FreeHandBacks + Row.OutsideAttempts;
}

std::optional<NodeRun> IngressSystem::chooseAfterHandBack(RequestRow &Row,
                                                          ServicePool &Pool,
                                                          TimePoint Now) {
  const bool SubsetAsked =
      !Row.LastChance && Row.HandBacks >= Settings.FreeHandBacks;
  if (!SubsetAsked) {
    if (const auto Chosen = chooseOwner(Row, Pool, Now)) {
      return Chosen;
    }
  }
  if (!Row.LastChance && !Row.Request.OnlyOwner &&
      Row.OutsideAttempts < Settings.OutsideHandBacks) {
    // All that were asked are busy, but the subset is only a part of the
    // service.
    if (const auto Chosen =
            Table.chooseOutside(Row.Service, Row.TriedOwners, Random)) {
      ++Row.OutsideAttempts;
      ++Counters.OutsideAttempts;
      return Chosen;
    }
  }
  if (Row.BusyOwners.empty()) {
    return std::nullopt;
  }
  // The best candidate must not hand the request back again.
  for (const NodeId Each : std::exchange(Row.BusyOwners, {})) {
    std::erase(Row.TriedOwners, Each);
  }
  Row.LastChance = true;
  return chooseOwner(Row, Pool, Now);
}

void IngressSystem::sendHedge(RequestRow &Row, TimePoint Now, Actions &Out) {
  ServicePool *Pool = Table.findPool(Row.Service);
  if (Pool == nullptr || Row.OpenAttempts.size() != 1 ||
      Row.Attempts >= Row.AttemptLimit || !fitsShutdown(Row, Pool, Now)) {
    return;
  }
  const std::optional<NodeRun> Chosen = chooseOwner(Row, *Pool, Now);
  if (Chosen && Pool->Budget.takeHedge()) {
    ++Counters.Hedges;
    dispatch(Row, *Pool, *Chosen, Now, Out);
  }
}

void IngressSystem::recall(RequestRow &Row, TimePoint Now, Actions &Out) {
  ServicePool *Pool = Table.findPool(Row.Service);
  if (Pool == nullptr || Row.OpenAttempts.size() != 1 ||
      Row.Attempts >= Row.AttemptLimit || !fitsShutdown(Row, Pool, Now) ||
      !Pool->Budget.allowsHedge() || !chooseOwner(Row, *Pool, Now)) {
    return;
  }
  // A status query cancels the attempt if it is still queued, so that it can be
  // retried safely. An attempt that already runs is not affected.
  const std::uint64_t Sequence = Row.OpenAttempts.front();
  const NodeRun Owner = Attempts.at(Sequence).Owner;
  ++Counters.Recalls;
  Out.emplace_back(SendToPeer{
      Owner.Node, StatusQuery{AttemptId{Self, Sequence}, Owner.Run}});
}

std::optional<NodeRun> IngressSystem::chooseOwner(const RequestRow &Row,
                                                  ServicePool &Pool,
                                                  TimePoint Now) {
  if (Row.Request.OnlyOwner) {
    const auto Usable = Pool.usable();
    const auto Found =
        std::find_if(Usable.begin(), Usable.end(), [&](const auto &View) {
          return View.Owner.Node == *Row.Request.OnlyOwner;
        });
    const bool WasTried =
        std::find(Row.TriedOwners.begin(), Row.TriedOwners.end(),
                  *Row.Request.OnlyOwner) != Row.TriedOwners.end();
    return Found == Usable.end() || WasTried ? std::nullopt
                                             : std::optional(Found->Owner);
  }
  const bool FirstTry = Row.Attempts == 0 && !Row.Request.IsExtra;
  if (FirstTry && Row.Idempotent && Row.AttemptLimit > 1) {
    if (const std::optional<NodeRun> Trial = Table.takeTrial(Pool, Now)) {
      return Trial;
    }
  }
  const Selection Input{Pool.usable(), Row.TriedOwners, Table.roundTrips(),
                        Pool.Mean, Now};
  const std::optional<std::size_t> Chosen = Policy->choose(Input, Random);
  return Chosen ? std::optional(Input.Candidates[*Chosen].Owner) : std::nullopt;
}

void IngressSystem::dispatch(RequestRow &Row, ServicePool &Pool, NodeRun Owner,
                             TimePoint Now, Actions &Out) {
  const std::uint64_t Sequence = NextSequence++;
  const bool IsExtra = Row.Request.IsExtra || Row.Attempts > 0;
  const std::uint64_t Span = hashPair(Row.Span, Sequence);
  Attempts.emplace(
      Sequence, AttemptRow{Row.Request.Id, Owner, Now, Span, IsExtra, false});
  AttemptsByOwner[Owner.Node].insert(Sequence);
  Table.attemptSent(Owner.Node, Sequence, Now);
  Row.OpenAttempts.push_back(Sequence);
  Row.TriedOwners.push_back(Owner.Node);
  ++Row.Attempts;
  Dispatch Message;
  Message.Attempt = AttemptId{Self, Sequence};
  Message.Owner = Owner.Run;
  Message.Service = Row.Service;
  Message.Route = Row.Route;
  Message.Remaining = std::min(Row.Deadline, Shutdown.latestDeadline()) - Now;
  Message.Class = Row.Class;
  Message.Idempotent = Row.Idempotent;
  Message.IsExtra = IsExtra;
  Message.Fingerprint = Row.Fingerprint;
  Message.Trace = Row.Request.Trace;
  Message.Trace.ParentSpan = Span;
  Message.Request = Row.Request.Request;
  const bool MayAskOutside = Row.OutsideAttempts < Settings.OutsideHandBacks;
  Message.MayHandBack =
      !Row.LastChance &&
      (Row.HandBacks + 1 < Settings.FreeHandBacks || MayAskOutside) &&
      (Pool.usable().size() > Row.TriedOwners.size() || MayAskOutside);
  Message.Account = Row.Request.Account;
  if (Row.Request.CredentialTime > Duration{0}) {
    Message.CredentialTime =
        std::max(Row.Started + Row.Request.CredentialTime - Now, Duration{1});
  }
  if (Row.Target > Duration{0}) {
    Message.Target = std::max(Row.Started + Row.Target - Now, Duration{1});
  }
  Out.emplace_back(SendToPeer{Owner.Node, std::move(Message)});
  const Duration Quantile = Pool.hedgeDelay(Row.Route);
  const Duration HedgeDelay = std::max(Quantile, Settings.HedgeFloor);
  if (Row.Attempts == 1 && !IsExtra && Row.AttemptLimit > 1 &&
      Settings.HedgeQuantile < 1.0 && Quantile > Duration{0} &&
      Now + HedgeDelay < Row.Deadline) {
    if (Row.HedgeAt) {
      // Still set from an attempt that was handed back.
      Timers.erase(Timer{*Row.HedgeAt, TimerKind::Hedge, Row.Request.Id});
    }
    Row.HedgeAt = Now + HedgeDelay;
    Timers.insert(Timer{*Row.HedgeAt, TimerKind::Hedge, Row.Request.Id});
  }
}

void IngressSystem::recordResult(const AttemptRow &Attempt,
                                 const DispatchReply &Reply,
                                 const RequestRow &Row, TimePoint Now,
                                 Actions &Out) {
  const NodeId Owner = Attempt.Owner.Node;
  const Duration Elapsed = Now - Attempt.Sent;
  if (Reply.Held > Duration{0} && !Attempt.InDoubt) {
    Table.recordRoundTrip(Owner, Elapsed - Reply.Held);
  }
  if (Reply.Result == Outcome::Answered) {
    Table.recordOutcome(Owner, Reply.Status < FirstServerError, Now, Out);
    if (ServicePool *Pool = Table.findPool(Row.Service)) {
      if (Attempt.IsExtra == Row.Request.IsExtra) {
        Pool->recordLatency(Row.Route, Elapsed);
      }
      smooth(Pool->Mean.Latency, static_cast<double>(Elapsed.count()),
             LatencyWeight);
    }
  } else if (closesCandidate(Reply.Reason)) {
    Table.closeCandidate(Owner);
  } else if (isUpstreamFault(Reply.Reason)) {
    Table.recordOutcome(Owner, false, Now, Out);
  }
}

void IngressSystem::closeAttempt(RequestRow &Row, std::uint64_t Sequence,
                                 Outcome Result, OutcomeReason Reason,
                                 TimePoint Now, Actions &Out) {
  const auto Found = Attempts.find(Sequence);
  const AttemptRow Attempt = Found->second;
  Attempts.erase(Found);
  AttemptsByOwner[Attempt.Owner.Node].erase(Sequence);
  Table.attemptEnded(Attempt.Owner.Node, Sequence);
  std::erase(Row.OpenAttempts, Sequence);
  appendStep(Row, Attempt, Sequence, Result, Reason, Now);
  if (Result == Outcome::Unknown) {
    Row.MayHaveRun = true;
  }
  Row.LastReason = Reason;
  if (Row.Request.Trace.Sampled) {
    TraceContext Parent = Row.Request.Trace;
    Parent.ParentSpan = Row.Span;
    Out.emplace_back(SpanFinished{
        SpanKind::Peer, Parent, Attempt.Span, Attempt.Sent, Now, Row.Route,
        Attempt.Owner.Node, Result, Reason, Attempt.IsExtra});
  }
}

void IngressSystem::cancelOpenAttempts(RequestRow &Row, TimePoint Now,
                                       Actions &Out) {
  const std::vector<std::uint64_t> OpenAttempts = Row.OpenAttempts;
  for (const std::uint64_t Sequence : OpenAttempts) {
    Out.emplace_back(SendToPeer{Attempts.at(Sequence).Owner.Node,
                                Cancel{AttemptId{Self, Sequence}}});
    closeAttempt(Row, Sequence, Outcome::Unknown,
                 OutcomeReason::CancelledByCaller, Now, Out);
  }
}

void IngressSystem::expireRequest(RequestRow &Row, TimePoint Now,
                                  Actions &Out) {
  cancelOpenAttempts(Row, Now, Out);
  const bool IsShutdown = Row.Deadline == Shutdown.requestEnd();
  Counters.Interrupted += IsShutdown && Row.MayHaveRun ? 1 : 0;
  finishWithoutAnswer(Row, Outcome::NotRun,
                      IsShutdown ? OutcomeReason::ShuttingDown
                                 : OutcomeReason::DeadlineExceeded,
                      Now, Out);
}

void IngressSystem::finishWithoutAnswer(RequestRow &Row, Outcome Result,
                                        OutcomeReason Reason, TimePoint Now,
                                        Actions &Out) {
  if (Row.FirstFailure) {
    // The answer of an upstream tells the caller more than a generated error.
    const FailedAnswer First = *std::exchange(Row.FirstFailure, std::nullopt);
    finishWithAnswer(Row, First.Reply, First.Owner, Now, Out);
    return;
  }
  ReplyToCaller Reply;
  Reply.Id = Row.Request.Id;
  Reply.Result = Row.MayHaveRun ? Outcome::Unknown : Result;
  if (Reply.Result == Outcome::NotRun) {
    const Duration Spread = Settings.RetryAfterMax - Settings.RetryAfterMin;
    Reply.RetryAfter =
        Settings.RetryAfterMin + Duration(Random.below(Spread.count() + 1));
    Reply.RetryAfter +=
        Reason == OutcomeReason::Evacuated ? EvacuatedRetryAfter : Duration{0};
    ServicePool *Pool = Table.findPool(Row.Service);
    if (Pool != nullptr && Row.LastReason == OutcomeReason::ColdLimit) {
      Reply.RetryAfter +=
          Pool->Returns.reserve(Pool->usable(), Table.knownCount(Row.Service),
                                Table.memberCount(), Now);
    }
  }
  Reply.Reason = Reason;
  Reply.Attempts = Row.Attempts;
  const Outcome Final = Reply.Result;
  Out.emplace_back(std::move(Reply));
  eraseRequest(Row, Final, Reason, Now, Out);
}

void IngressSystem::finishWithAnswer(RequestRow &Row,
                                     const DispatchReply &Reply, NodeId Owner,
                                     TimePoint Now, Actions &Out) {
  ReplyToCaller Answer;
  Answer.Id = Row.Request.Id;
  Answer.Result = Outcome::Answered;
  Answer.Status = Reply.Status;
  Answer.Answer = Reply.Answer;
  Answer.Attempts = Row.Attempts;
  Answer.Owner = Owner;
  Out.emplace_back(std::move(Answer));
  // Attempts that a hedge overtook count with the time they took so far;
  // without them the quantile would fall with each hedge.
  ServicePool *Pool = Table.findPool(Row.Service);
  for (const std::uint64_t Sequence : Row.OpenAttempts) {
    const AttemptRow &Overtaken = Attempts.at(Sequence);
    if (Pool != nullptr && Overtaken.IsExtra == Row.Request.IsExtra) {
      Pool->recordLatency(Row.Route, Now - Overtaken.Sent);
    }
  }
  cancelOpenAttempts(Row, Now, Out);
  eraseRequest(Row, Outcome::Answered, OutcomeReason::None, Now, Out);
}

void IngressSystem::eraseRequest(RequestRow &Row, Outcome Result,
                                 OutcomeReason Reason, TimePoint Now,
                                 Actions &Out) {
  const RequestId Id = Row.Request.Id;
  reportRequest(Row, Result, Reason, Now, Out);
  Timers.erase(Timer{Row.Deadline, TimerKind::Deadline, Id});
  if (Row.HedgeAt) {
    Timers.erase(Timer{*Row.HedgeAt, TimerKind::Hedge, Id});
  }
  if (Row.LinkCheckAt) {
    Timers.erase(Timer{*Row.LinkCheckAt, TimerKind::LinkCheck, Id});
  }
  if (Row.Request.Trace.Sampled) {
    Out.emplace_back(SpanFinished{
        SpanKind::Ingress, Row.Request.Trace, Row.Span, Row.Started, Now,
        Row.Route, NodeId{}, Result, Reason, Row.Request.IsExtra});
  }
  Requests.erase(Id);
}

} // namespace hyssopford
