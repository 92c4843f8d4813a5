#include "hyssopford/core/owner_system.hpp"

#include "smoothing.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// Weight of a new answer in the smoothed service time.
constexpr double ServiceTimeWeight = 0.125;
/// Cap of a new value in the smoothed service times, as a multiple of them.
constexpr double OutlierFactor = 3.0;
/// Factor by which slowdowns lengthen a wait: they take about a quarter of the
/// time.
constexpr double SlowdownStretch = 1.33;
/// How long the speed counts as normal after a failed probe.
constexpr Duration FailedProbePause = 1s;
/// The upstream counts as stalled when the n running attempts together have run
/// longer than n + 1 times this many service times. Their mean is normally
/// below one service time unless service times vary very widely.
constexpr double StallFactor = 1.5;
/// Service times between two trial starts while the upstream is stalled. They
/// keep a single long request from blocking the others for long.
constexpr double StallTrialInterval = 4.0;
/// Time between two checks of the limit while attempts are queued and the
/// upstream is ramping up or stalled.
constexpr Duration LimitCheckPeriod = 20ms;
/// Lowest HTTP status that counts as a failure of the upstream.
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint64_t QueueSpanSeed = 1;
constexpr std::uint64_t UpstreamSpanSeed = 2;

std::uint64_t spanOf(const AttemptId &Attempt, std::uint64_t Seed) {
  return hashPair(std::hash<AttemptId>{}(Attempt), Seed);
}

Duration scaled(double Micros, double Factor) {
  return Duration(static_cast<std::int64_t>(Micros * Factor));
}

DispatchReply makeReply(const AttemptId &Attempt, Outcome Result,
                        OutcomeReason Reason) {
  DispatchReply Reply;
  Reply.Attempt = Attempt;
  Reply.Result = Result;
  Reply.Reason = Reason;
  return Reply;
}

void reportSpan(const AdmittedAttempt &Row, SpanKind Kind, TimePoint Start,
                TimePoint End, const DispatchReply &Reply, Actions &Out) {
  if (!Row.Attempt.Trace.Sampled) {
    return;
  }
  const std::uint64_t Seed =
      Kind == SpanKind::Queue ? QueueSpanSeed : UpstreamSpanSeed;
  Out.emplace_back(SpanFinished{Kind, Row.Attempt.Trace,
                                spanOf(Row.Attempt.Attempt, Seed), Start, End,
                                Row.Attempt.Route, Row.From, Reply.Result,
                                Reply.Reason, Row.Attempt.IsExtra});
}

} // namespace

OwnerSystem::OwnerSystem(NodeRun Run, const AdmissionSettings &Chosen,
                         const ColdSettings &ColdLimits)
    : Self(Run), Settings(Chosen), Cold(ColdLimits), Tracker(Chosen),
      Limit(Chosen), Queue(Chosen.HighBurst),
      Finished(FinishedRetention, Chosen.FinishedBytesMax) {}

void OwnerSystem::admit(NodeId From, const Dispatch &Attempt, TimePoint Now,
                        Actions &Out, OutcomeReason Refusal) {
  LastInput = Now;
  const AttemptId Id = Attempt.Attempt;
  Finished.dropExpired(Now);
  updateCold(Now, Out);
  if (const DispatchReply *Known = Finished.find(Id)) {
    Out.emplace_back(SendToPeer{From, *Known});
    return;
  }
  if (Running.contains(Id) || Queue.contains(Id)) {
    return;
  }
  if (Attempt.Owner != Self.Run) {
    // The reply is not kept: the attempt belongs to another run of this node.
    send(From, makeReply(Id, Outcome::NotRun, OutcomeReason::WrongIncarnation),
         Now, Out);
    return;
  }
  if (Finished.mayHaveDropped(Id)) {
    send(From, makeReply(Id, Outcome::Unknown, OutcomeReason::StaleFrame), Now,
         Out);
    return;
  }
  AdmittedAttempt Row{From, Attempt,
                      Now,  Now + Attempt.Remaining,
                      Now,  startDeadline(Attempt, Now)};
  if (Attempt.CredentialTime != Duration{0}) {
    Row.CredentialEnd = Now + Attempt.CredentialTime;
  }
  const TimePoint LatestStart = limitTimes(Row, Now);
  const std::optional<OutcomeReason> Reason =
      Refusal == OutcomeReason::None ? refusalReason(Attempt, LatestStart, Now)
                                     : std::optional(Refusal);
  if (Reason) {
    endQueued(Row, *Reason, Now, Out);
    return;
  }
  Queue.push(std::move(Row));
  startQueued(Now, Out);
}

void OwnerSystem::cancel(AttemptId Attempt, TimePoint Now, Actions &Out) {
  LastInput = Now;
  if (const std::optional<AdmittedAttempt> Row = Queue.remove(Attempt)) {
    endQueued(*Row, OutcomeReason::CancelledByCaller, Now, Out);
    return;
  }
  if (Running.contains(Attempt)) {
    Out.emplace_back(CancelUpstream{Attempt});
    upstreamFailed(
        UpstreamFailed{Attempt, OutcomeReason::CancelledByCaller, true}, Now,
        Out);
    return;
  }
  if (!Finished.mayHaveDropped(Attempt) && Finished.find(Attempt) == nullptr) {
    // The cancellation overtook the attempt, which is refused if it arrives.
    DispatchReply Barred =
        makeReply(Attempt, Outcome::NotRun, OutcomeReason::CancelledByCaller);
    Barred.Load = load();
    Finished.add(Barred, Now);
  }
}

void OwnerSystem::queryStatus(NodeId From, const StatusQuery &Query,
                              TimePoint Now, Actions &Out) {
  const auto Answer = [&](AttemptState State) {
    Out.emplace_back(SendToPeer{From, StatusReply{Query.Attempt, State}});
  };
  if (Running.contains(Query.Attempt)) {
    Answer(AttemptState::Running);
  } else if (const DispatchReply *Known = Finished.find(Query.Attempt)) {
    Answer(AttemptState::Finished);
    Out.emplace_back(SendToPeer{From, *Known});
  } else if (Query.Owner != Self.Run ||
             Finished.mayHaveDropped(Query.Attempt)) {
    Answer(AttemptState::CannotTell);
  } else {
    // The status goes first: the ingress then ends the attempt with the reason
    // LinkLost and drops the later reply of the cancellation.
    Answer(AttemptState::WillNotRun);
    cancel(Query.Attempt, Now, Out);
  }
}

void OwnerSystem::upstreamAnswered(const UpstreamAnswered &Answer,
                                   TimePoint Now, Actions &Out) {
  const auto Found = Running.find(Answer.Attempt);
  if (Found == Running.end()) {
    return;
  }
  Tracker.observe(Answer.SlownessPercent, Now);
  const auto InFlight = static_cast<std::uint32_t>(Running.size());
  const AdmittedAttempt Row = takeRunning(Found);
  if (Answer.Shedding) {
    Limit.recordShed(Now);
  } else if (Answer.Status < FirstServerError) {
    // A fast failure says nothing about the time of a successful answer.
    const Duration Elapsed = Now - Row.Started;
    auto Micros = static_cast<double>(Elapsed.count());
    if (Tracker.slownessPercent() != 0 && ServiceTime > 0.0) {
      // Limits the effect of attempts that started during a slowdown.
      Micros = std::min(Micros, ServiceTime * OutlierFactor);
    }
    double &RouteTime = RouteTimes[Row.Attempt.Route];
    smooth(RouteTime,
           RouteTime == 0.0 ? Micros
                            : std::min(Micros, RouteTime * OutlierFactor),
           ServiceTimeWeight);
    if (Micros <= ServiceTime * StallFactor) {
      LastNormalAnswer = Now;
    }
    smooth(ServiceTime, Micros, ServiceTimeWeight);
    Limit.observe(Elapsed, InFlight, Now);
  }
  DispatchReply Reply =
      makeReply(Answer.Attempt, Outcome::Answered, OutcomeReason::None);
  Reply.Status = Answer.Status;
  Reply.Answer = Answer.Answer;
  endRunning(Row, std::move(Reply), Now, Out);
  startQueued(Now, Out);
}

void OwnerSystem::upstreamFailed(const UpstreamFailed &Failure, TimePoint Now,
                                 Actions &Out) {
  const auto Found = Running.find(Failure.Attempt);
  if (Found == Running.end()) {
    return;
  }
  const AdmittedAttempt Row = takeRunning(Found);
  reportAttempt("attempt_failed", Row, Failure.Reason, Now, Out,
                Failure.BytesSent);
  endRunning(Row,
             makeReply(Failure.Attempt,
                       Failure.BytesSent ? Outcome::Unknown : Outcome::NotRun,
                       Failure.Reason),
             Now, Out);
  startQueued(Now, Out);
}

void OwnerSystem::upstreamAnnounced(const UpstreamAnnounced &Announced,
                                    TimePoint Now, Actions &Out) {
  LastInput = Now;
  if (Upstream.Service != Announced.Service) {
    ServiceTime = 0.0;
    RouteTimes.clear();
    Tracker.reset();
  }
  Upstream = Announced;
  Cold.announce(Announced.Service, Announced.IsNewRun, Now);
  Cold.state(Announced.ColdTime, Now);
  updateCold(Now, Out);
  Limit.setSlots(Announced.Slots, Announced.State == UpstreamState::Cold, Now);
  startQueued(Now, Out);
}

void OwnerSystem::upstreamGone(const UpstreamGone &Gone, TimePoint Now,
                               Actions &Out) {
  Cold.announce("", false, Now);
  updateCold(Now, Out);
  Upstream = UpstreamAnnounced{"", 0, UpstreamState::None};
  Limit = ConcurrencyLimit(Settings);
  ServiceTime = 0.0;
  RouteTimes.clear();
  Tracker.reset();
  NextSpeedProbe.reset();
  refuseQueued(OutcomeReason::NoUpstream, Now, Out);
  if (Gone.Crashed) {
    abortRunning(OutcomeReason::UpstreamClosed, Gone.Unsent, Now, Out);
  }
}

void OwnerSystem::refuseQueued(OutcomeReason Reason, TimePoint Now,
                               Actions &Out) {
  while (const std::optional<AdmittedAttempt> Row = Queue.pop()) {
    endQueued(*Row, Reason, Now, Out);
  }
}

void OwnerSystem::abortRunning(OutcomeReason Reason,
                               const std::vector<AttemptId> &Unsent,
                               TimePoint Now, Actions &Out) {
  std::vector<AttemptId> Aborted;
  for (const auto &[Id, Row] : Running) {
    Aborted.push_back(Id);
  }
  std::sort(Aborted.begin(), Aborted.end());
  for (const AttemptId &Id : Aborted) {
    Out.emplace_back(CancelUpstream{Id});
    const bool WasSent =
        std::find(Unsent.begin(), Unsent.end(), Id) == Unsent.end();
    upstreamFailed(UpstreamFailed{Id,
                                  WasSent ? Reason : OutcomeReason::NoUpstream,
                                  WasSent},
                   Now, Out);
  }
}

void OwnerSystem::limitWork(TimePoint AnswerBy, TimePoint Now, Actions &Out) {
  LastInput = Now;
  Shutdown.set(AnswerBy);
  refuseQueuedIf(
      [&](AdmittedAttempt &Row, std::size_t /*Ahead*/) {
        return limitTimes(Row, Now) < Now;
      },
      OutcomeReason::DeadlineTooClose, Now, Out);
}

void OwnerSystem::refuseQueuedIf(
    const std::function<bool(AdmittedAttempt &, std::size_t)> &MustRefuse,
    OutcomeReason Reason, TimePoint Now, Actions &Out) {
  std::vector<AdmittedAttempt> Kept;
  while (std::optional<AdmittedAttempt> Row = Queue.pop()) {
    if (MustRefuse(*Row, Kept.size())) {
      endQueued(*Row, Reason, Now, Out);
    } else {
      Kept.push_back(std::move(*Row));
    }
  }
  for (AdmittedAttempt &Row : Kept) {
    Queue.push(std::move(Row));
  }
}

TimePoint OwnerSystem::limitTimes(AdmittedAttempt &Row, TimePoint Now) const {
  if (!Shutdown.isSet()) {
    return TimePoint::max();
  }
  const auto Found = RouteTimes.find(Row.Attempt.Route);
  const Duration Expected(
      Found == RouteTimes.end() ? 0 : static_cast<std::int64_t>(Found->second));
  const TimePoint Latest =
      Shutdown.latestStart(Row.Deadline, Expected, Row.Attempt.Idempotent, Now);
  Row.StartDeadline = std::min(Row.StartDeadline, Latest);
  Row.Deadline = std::min(Row.Deadline, Shutdown.latestDeadline());
  return Latest;
}

void OwnerSystem::endAll(TimePoint Now, Actions &Out) {
  refuseQueued(OutcomeReason::ShuttingDown, Now, Out);
  Interrupted += Running.size();
  abortRunning(OutcomeReason::ShuttingDown, {}, Now, Out);
}

void OwnerSystem::setEvacuated(bool Value, TimePoint Now, Actions &Out) {
  if (Evacuated == Value) {
    return;
  }
  Evacuated = Value;
  if (Evacuated) {
    refuseQueued(OutcomeReason::Evacuated, Now, Out);
  }
}

void OwnerSystem::setSuspected(bool Suspected, TimePoint Now, Actions &Out) {
  Limit.setSuspected(Suspected, Now);
  startQueued(Now, Out);
}

void OwnerSystem::tick(TimePoint Now, Actions &Out) {
  LastInput = Now;
  Finished.dropExpired(Now);
  if (Now >= Shutdown.attemptEnd()) {
    endAll(Now, Out);
    return;
  }
  updateCold(Now, Out);
  // Refused early enough for the ingress to tell the caller that it did not
  // run.
  const TimePoint End = Now + Settings.ExpiryMargin;
  while (const std::optional<AdmittedAttempt> Late = Queue.popExpired(End)) {
    endQueued(*Late,
              Cold.isCold(Now)             ? OutcomeReason::ColdLimit
              : Late->Deadline <= End      ? OutcomeReason::DeadlineExceeded
              : Late->CredentialEnd <= End ? OutcomeReason::CredentialsStale
                                           : OutcomeReason::QueueFull,
              Now, Out);
  }
  startQueued(Now, Out);
}

std::optional<TimePoint> OwnerSystem::nextWakeup() const {
  std::optional<TimePoint> Next = Queue.nextDeadline();
  if (Next) {
    *Next -= Settings.ExpiryMargin;
  }
  if (Next && (Limit.isRamping(LastInput) || isStalled())) {
    Next = std::min(*Next, LastInput + LimitCheckPeriod);
  }
  if (Next && NextSpeedProbe) {
    Next = std::min(*Next, *NextSpeedProbe);
  }
  const TimePoint ColdStart = Cold.startTime(0, LastInput);
  if (Next && ColdStart > LastInput) {
    Next = std::min(*Next, ColdStart);
  }
  if (ColdReported) {
    Next = std::min(Next.value_or(Cold.end()), Cold.end());
  }
  if (Shutdown.isSet() && inFlight() > 0) {
    Next =
        std::min(Next.value_or(Shutdown.attemptEnd()), Shutdown.attemptEnd());
  }
  return Next;
}

LoadReport OwnerSystem::load() const {
  const bool IsCold = Cold.isCold(LastInput);
  return LoadReport{ReportSequence,
                    static_cast<std::uint32_t>(Running.size()),
                    static_cast<std::uint32_t>(Queue.size()),
                    Limit.value(LastInput),
                    Duration(static_cast<std::int64_t>(expectedServiceTime())),
                    Duration{0},
                    Tracker.state(LastInput) == SpeedState::Slow,
                    IsCold ? Cold.rate() : 0.0,
                    IsCold ? Cold.end() - LastInput : Duration{0}};
}

std::vector<const Dispatch *> OwnerSystem::running() const {
  std::vector<const Dispatch *> All;
  All.reserve(Running.size());
  for (const auto &[Id, Row] : Running) {
    All.push_back(&Row.Attempt);
  }
  return All;
}

std::optional<OutcomeReason> OwnerSystem::refusalReason(const Dispatch &Attempt,
                                                        TimePoint LatestStart,
                                                        TimePoint Now) const {
  if (Draining || Upstream.State == UpstreamState::Draining) {
    return OutcomeReason::Draining;
  }
  if (Evacuated) {
    return OutcomeReason::Evacuated;
  }
  if (Upstream.Service.empty() || Upstream.Service != Attempt.Service) {
    return OutcomeReason::NoUpstream;
  }
  if (Attempt.Remaining <= Duration{0}) {
    return OutcomeReason::DeadlineExceeded;
  }
  if (Cold.isCold(Now) &&
      (Now > LatestStart ||
       isTooLateWhileCold(Attempt, Queue.countAhead(Attempt.Class),
                          std::min(Attempt.Remaining, LatestStart - Now),
                          Now))) {
    return OutcomeReason::ColdLimit;
  }
  const Duration Wait = expectedWait(Attempt.Class);
  if (Now + Wait > LatestStart) {
    return OutcomeReason::DeadlineTooClose;
  }
  if (Running.empty()) {
    // An idle upstream accepts any request: only new answers can correct a
    // service time that was measured too long.
    return std::nullopt;
  }
  const Duration Service(static_cast<std::int64_t>(
      Tracker.slownessPercent() != 0 ? routeServiceTime(Attempt.Route)
                                     : expectedServiceTime()));
  if (Wait + Service > Attempt.Remaining) {
    return OutcomeReason::DeadlineTooClose;
  }
  // While the upstream is cold, isTooLateWhileCold has decided on the wait.
  const Duration Longest =
      Cold.isCold(Now) ? Attempt.Remaining : longestWait(Attempt, Service);
  if (Wait > Longest || Queue.size() >= Settings.QueueLengthMax ||
      (Attempt.MayHandBack && Wait > Settings.HandBackWait)) {
    return OutcomeReason::QueueFull;
  }
  return std::nullopt;
}

Duration OwnerSystem::expectedWait(Priority Class) const {
  const std::uint32_t Slots = currentLimit();
  if (Queue.size() == 0 && Running.size() < Slots) {
    return Duration{0};
  }
  const auto Ahead = static_cast<double>(Queue.countAhead(Class) + 1);
  const double Wait = Ahead * expectedServiceTime() / Slots;
  // No attempt starts during a slowdown, which lengthens the wait.
  const double Stretch = Tracker.slownessPercent() != 0 ? SlowdownStretch : 1.0;
  return Duration(static_cast<std::int64_t>(Wait * Stretch));
}

std::uint32_t OwnerSystem::currentLimit() const {
  const std::uint32_t Adapted = Limit.value(LastInput);
  if (!Settings.AdaptiveLimit || !isStalled()) {
    return Adapted;
  }
  const auto Count = static_cast<std::uint32_t>(Running.size());
  const bool TrialDue =
      LastInput >= LastStart + scaled(ServiceTime, StallTrialInterval);
  return std::min(Adapted, Count + (TrialDue ? 1 : 0));
}

bool OwnerSystem::isStalled() const {
  const double Normal = ServiceTime * StallFactor;
  const auto Count = static_cast<double>(Running.size());
  // Answers in the usual time show that only some requests are long.
  return Count > 0 && ServiceTime > 0.0 &&
         runningTime() > Normal * (Count + 1.0) &&
         LastInput > LastNormalAnswer + scaled(ServiceTime, StallFactor);
}

double OwnerSystem::runningTime() const {
  const std::int64_t Now = LastInput.time_since_epoch().count();
  return static_cast<double>(Now * static_cast<std::int64_t>(Running.size()) -
                             StartSum);
}

double OwnerSystem::expectedServiceTime() const {
  return Running.empty()
             ? ServiceTime
             : std::max(ServiceTime,
                        runningTime() / static_cast<double>(Running.size()));
}

AdmittedAttempt OwnerSystem::takeRunning(
    std::unordered_map<AttemptId, AdmittedAttempt>::iterator At) {
  AdmittedAttempt Row = std::move(At->second);
  Running.erase(At);
  StartSum -= Row.Started.time_since_epoch().count();
  return Row;
}

TimePoint OwnerSystem::startDeadline(const Dispatch &Attempt,
                                     TimePoint Now) const {
  if (Attempt.Target == Duration{0}) {
    return TimePoint::max();
  }
  const Duration Service(
      static_cast<std::int64_t>(routeServiceTime(Attempt.Route)));
  return Now + Settings.ExpiryMargin + longestWait(Attempt, Service);
}

Duration OwnerSystem::longestWait(const Dispatch &Attempt,
                                  Duration Service) const {
  // The refusal of a call loses the work of the run that made it, so a call may
  // miss its latency target and waits as long as its deadline allows.
  const bool IsCall =
      Attempt.Class == Priority::High && Attempt.Target > Duration{0};
  return std::max(Settings.QueueDelayMax,
                  (IsCall ? Attempt.Remaining : Attempt.Target) - Service);
}

double OwnerSystem::routeServiceTime(const std::string &Route) const {
  const auto Found = RouteTimes.find(Route);
  return Found == RouteTimes.end() ? ServiceTime : Found->second;
}

void OwnerSystem::finishSpeedProbe(const ProbeFinished &Result, TimePoint Now,
                                   Actions &Out) {
  SpeedProbeRunning = false;
  stateCold(Result.ColdTime, Now, Out);
  if (Result.Succeeded || Result.SlownessPercent != 0) {
    Tracker.observe(Result.SlownessPercent, Now);
  }
  if (Result.SlownessPercent == 0) {
    AssumeNormalUntil = Now + FailedProbePause;
  }
  startQueued(Now, Out);
}

bool OwnerSystem::mayStartNow(TimePoint Now, Actions &Out) {
  const SpeedState State = Tracker.state(Now);
  if (State == SpeedState::Normal || Now < AssumeNormalUntil) {
    NextSpeedProbe.reset();
    return true;
  }
  if (State == SpeedState::Unknown && Cold.isCold(Now)) {
    // A probe would take the place of a request in the limit.
    return true;
  }
  if (State == SpeedState::Unknown) {
    if (!SpeedProbeRunning) {
      SpeedProbeRunning = true;
      Cold.recordStart(Now);
      Out.emplace_back(
          ProbeUpstream{Settings.SpeedProbeTimeout, ProbePurpose::Speed});
    }
    return false;
  }
  handBackQueued(Now, Out);
  NextSpeedProbe = Now + Settings.SpeedProbeInterval;
  return false;
}

void OwnerSystem::handBackQueued(TimePoint Now, Actions &Out) {
  for (const AdmittedAttempt &Row : Queue.takeHandBacks()) {
    endQueued(Row, OutcomeReason::UpstreamSlow, Now, Out);
  }
}

bool OwnerSystem::isTooLateWhileCold(const Dispatch &Attempt, std::size_t Ahead,
                                     Duration Remaining, TimePoint Now) const {
  const Duration Wait = Cold.startTime(Ahead, Now) - Now;
  if (Wait <= Duration{0}) {
    return false;
  }
  const Duration Service(
      static_cast<std::int64_t>(routeServiceTime(Attempt.Route)));
  // The limit on the expected wait does not apply: to wait for a start that the
  // meter allows costs the upstream nothing.
  const bool MissesTarget =
      Attempt.Target > Duration{0} && Wait > longestWait(Attempt, Service);
  return Wait + Service + Settings.ExpiryMargin > Remaining || MissesTarget ||
         Ahead >= Settings.QueueLengthMax ||
         (Attempt.MayHandBack && Wait > Settings.HandBackWait);
}

void OwnerSystem::stateCold(Duration Remaining, TimePoint Now, Actions &Out) {
  Cold.state(Remaining, Now);
  updateCold(Now, Out);
}

void OwnerSystem::updateCold(TimePoint Now, Actions &Out) {
  LastInput = Now;
  const bool IsCold = Cold.isCold(Now);
  if (IsCold == ColdReported) {
    return;
  }
  ColdReported = IsCold;
  if (!IsCold) {
    Out.emplace_back(
        Notice{"upstream_cold_ended", {{"service", Upstream.Service}}});
    return;
  }
  Out.emplace_back(
      Notice{"upstream_cold",
             {{"service", Upstream.Service},
              {"rate", fmt::format("{}", Cold.rate())},
              {"remaining_us", std::to_string((Cold.end() - Now).count())}}});
  refuseQueuedIf(
      [&](const AdmittedAttempt &Row, std::size_t Ahead) {
        return isTooLateWhileCold(Row.Attempt, Ahead, Row.Deadline - Now, Now);
      },
      OutcomeReason::ColdLimit, Now, Out);
}

void OwnerSystem::startQueued(TimePoint Now, Actions &Out) {
  LastInput = Now;
  while (Running.size() < currentLimit()) {
    if (Queue.size() == 0 || Cold.startTime(0, Now) > Now ||
        !mayStartNow(Now, Out)) {
      return;
    }
    std::optional<AdmittedAttempt> Row = Queue.pop();
    if (!Row) {
      return;
    }
    if (Row->Deadline <= Now) {
      endQueued(*Row, OutcomeReason::DeadlineExceeded, Now, Out);
      continue;
    }
    if (Row->CredentialEnd <= Now) {
      endQueued(*Row, OutcomeReason::CredentialsStale, Now, Out);
      continue;
    }
    Row->Started = Now;
    LastStart = Now;
    Cold.recordStart(Now);
    StartSum += Now.time_since_epoch().count();
    const Dispatch &Attempt = Row->Attempt;
    const AttemptId Id = Attempt.Attempt;
    reportSpan(*Row, SpanKind::Queue, Row->Arrived, Now,
               makeReply(Id, Outcome::Unknown, OutcomeReason::None), Out);
    TraceContext Trace = Attempt.Trace;
    Trace.ParentSpan = spanOf(Id, UpstreamSpanSeed);
    Out.emplace_back(ForwardToUpstream{
        Id, Row->Deadline - Now, Attempt.Idempotent, Trace, Attempt.Class,
        Attempt.IsExtra, Attempt.Request, Attempt.Account});
    Running.emplace(Id, std::move(*Row));
  }
}

void OwnerSystem::endRunning(const AdmittedAttempt &Row, DispatchReply Reply,
                             TimePoint Now, Actions &Out) {
  reportSpan(Row, SpanKind::Upstream, Row.Started, Now, Reply, Out);
  // 0 means not stated, so a time below the clock resolution counts as 1 µs.
  Reply.Held = std::max(Now - Row.Arrived, Duration{1});
  send(Row.From, std::move(Reply), Now, Out);
}

void OwnerSystem::endQueued(const AdmittedAttempt &Row, OutcomeReason Reason,
                            TimePoint Now, Actions &Out) {
  DispatchReply Reply = makeReply(Row.Attempt.Attempt, Outcome::NotRun, Reason);
  Reply.Held = std::max(Now - Row.Arrived, Duration{1});
  ColdHandBacks += Reason == OutcomeReason::ColdLimit ? 1 : 0;
  EvacuationHandBacks += Reason == OutcomeReason::Evacuated ? 1 : 0;
  reportSpan(Row, SpanKind::Queue, Row.Arrived, Now, Reply, Out);
  reportAttempt("attempt_refused", Row, Reason, Now, Out);
  send(Row.From, std::move(Reply), Now, Out);
}

void OwnerSystem::reportAttempt(const char *Name, const AdmittedAttempt &Row,
                                OutcomeReason Reason, TimePoint Now,
                                Actions &Out, bool WasSent) const {
  if (!Settings.ReportAttempts) {
    return;
  }
  Out.emplace_back(Notice{
      Name,
      {{"attempt", toString(Row.Attempt.Attempt)},
       {"service", Row.Attempt.Service},
       {"route", Row.Attempt.Route},
       {"reason", toString(Reason)},
       {"sent", WasSent ? "yes" : "no"},
       {"fingerprint", fmt::format("{:016x}", Row.Attempt.Fingerprint)},
       {"config_version", std::to_string(ConfigVersion)},
       {"held_us", std::to_string((Now - Row.Arrived).count())},
       {"remaining_us", std::to_string((Row.Deadline - Now).count())},
       {"target_us", std::to_string(Row.Attempt.Target.count())},
       {"running", std::to_string(Running.size())},
       {"queued", std::to_string(Queue.size())},
       {"limit", std::to_string(Limit.value(Now))},
       {"wait_us", std::to_string(expectedWait(Row.Attempt.Class).count())},
       {"service_us", std::to_string(static_cast<std::int64_t>(
                          routeServiceTime(Row.Attempt.Route)))},
       {"speed_percent", std::to_string(Tracker.slownessPercent())},
       {"speed_age_us",
        std::to_string((Now - Tracker.observedAt()).count())}}});
}

void OwnerSystem::send(NodeId From, DispatchReply Reply, TimePoint Now,
                       Actions &Out) {
  LastInput = Now;
  ++ReportSequence;
  Reply.Load = load();
  // Refusals of attempts of other runs, and of those whose reply was dropped,
  // are not outcomes of this run and are not kept.
  const bool WasDropped = Reply.Reason == OutcomeReason::StaleFrame &&
                          Reply.Result == Outcome::Unknown;
  if (Reply.Reason != OutcomeReason::WrongIncarnation && !WasDropped) {
    Finished.add(Reply, Now);
  }
  Out.emplace_back(SendToPeer{From, std::move(Reply)});
}

} // namespace hyssopford
