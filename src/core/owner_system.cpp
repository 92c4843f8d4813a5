#include "hyssopford/core/owner_system.hpp"

#include "smoothing.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Weight of a new answer in the smoothed service time.
constexpr double ServiceTimeWeight = 0.125;
/// Longest time that counts in the smoothed ones, in smoothed times.
constexpr double OutlierFactor = 3.0;
/// Factor by which slow spells of a quarter of the time lengthen a wait.
constexpr double SpellStretch = 1.33;
/// How long the speed counts as usual after a failed probe.
constexpr Duration FailedProbePause = 1s;
/// The running attempts have stalled when they have run, all together, longer
/// than this many service times each, and one more. The mean of a running
/// attempt is below one service time unless the times spread very widely.
constexpr double StallFactor = 1.5;
/// While the upstream has stalled, one attempt per this many service times
/// starts, so that a single long request never blocks the others for long.
constexpr double StallTrial = 4.0;
/// Time between two looks at the limit of a cold or stalled upstream with a
/// queue.
constexpr Duration RampStep = 20ms;
/// Lowest HTTP status that counts as a failure of the upstream.
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint64_t QueueSpanSeed = 1;
constexpr std::uint64_t UpstreamSpanSeed = 2;

std::uint64_t spanOf(const AttemptId &Attempt, std::uint64_t Seed) {
  return hashPair(std::hash<AttemptId>{}(Attempt), Seed);
}

Duration times(double Micros, double Factor) {
  return Duration(static_cast<std::int64_t>(Micros * Factor));
}

DispatchReply endOf(const AttemptId &Attempt, Outcome Result,
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

OwnerSystem::OwnerSystem(NodeRun Run, const AdmissionSettings &Chosen)
    : Self(Run), Settings(Chosen), Speed(Chosen), Limit(Chosen),
      Queue(Chosen.HighBurst),
      Finished(FinishedRetention, Chosen.FinishedBytesMax) {}

void OwnerSystem::admit(NodeId From, const Dispatch &Attempt, TimePoint Now,
                        Actions &Out, OutcomeReason Refusal) {
  Latest = Now;
  const AttemptId Id = Attempt.Attempt;
  Finished.forget(Now);
  if (const DispatchReply *Known = Finished.find(Id)) {
    Out.emplace_back(SendToPeer{From, *Known});
    return;
  }
  if (Running.contains(Id) || Queue.contains(Id)) {
    return;
  }
  if (Attempt.Owner != Self.Run) {
    // Not remembered: the attempt belongs to another run of this node.
    send(From, endOf(Id, Outcome::NotRun, OutcomeReason::WrongIncarnation), Now,
         Out);
    return;
  }
  if (Finished.mayBeForgotten(Id)) {
    send(From, endOf(Id, Outcome::Unknown, OutcomeReason::StaleFrame), Now,
         Out);
    return;
  }
  AdmittedAttempt Row{
      From, Attempt, Now, Now + Attempt.Remaining, Now, startBy(Attempt, Now)};
  const std::optional<OutcomeReason> Reason = Refusal == OutcomeReason::None
                                                  ? refusalReason(Attempt)
                                                  : std::optional(Refusal);
  if (Reason) {
    endQueued(Row, *Reason, Now, Out);
    return;
  }
  Queue.push(std::move(Row));
  startQueued(Now, Out);
}

void OwnerSystem::cancel(AttemptId Attempt, TimePoint Now, Actions &Out) {
  Latest = Now;
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
  if (!Finished.mayBeForgotten(Attempt) && Finished.find(Attempt) == nullptr) {
    // The cancellation overtook the attempt, which is barred from now on.
    DispatchReply Barred =
        endOf(Attempt, Outcome::NotRun, OutcomeReason::CancelledByCaller);
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
             Finished.mayBeForgotten(Query.Attempt)) {
    Answer(AttemptState::CannotTell);
  } else {
    // The answer goes first: its reason is the lost link, whereas the reply of
    // the cancelled attempt is dropped as settled.
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
  Speed.observe(Answer.SlownessPercent, Now);
  const auto InFlight = static_cast<std::uint32_t>(Running.size());
  const AdmittedAttempt Row = takeRunning(Found);
  if (Answer.Shedding) {
    Limit.shed(Now);
  } else if (Answer.Status < FirstServerError) {
    // A fast failure says nothing of the time that a good answer takes.
    const Duration Elapsed = Now - Row.Started;
    auto Micros = static_cast<double>(Elapsed.count());
    if (Speed.percent() != 0 && ServiceTime > 0.0) {
      // A run that began in a slow spell is not usual.
      Micros = std::min(Micros, ServiceTime * OutlierFactor);
    }
    double &OfRoute = RouteTimes[Row.Attempt.Route];
    smooth(OfRoute,
           OfRoute == 0.0 ? Micros : std::min(Micros, OfRoute * OutlierFactor),
           ServiceTimeWeight);
    if (Micros <= ServiceTime * StallFactor) {
      LatestUsual = Now;
    }
    smooth(ServiceTime, Micros, ServiceTimeWeight);
    Limit.observe(Elapsed, InFlight, Now);
  }
  DispatchReply Reply =
      endOf(Answer.Attempt, Outcome::Answered, OutcomeReason::None);
  Reply.Status = Answer.Status;
  Reply.Answer = Answer.Answer;
  end(Row, std::move(Reply), Now, Out);
  startQueued(Now, Out);
}

void OwnerSystem::upstreamFailed(const UpstreamFailed &Failure, TimePoint Now,
                                 Actions &Out) {
  const auto Found = Running.find(Failure.Attempt);
  if (Found == Running.end()) {
    return;
  }
  const AdmittedAttempt Row = takeRunning(Found);
  report("attempt_failed", Row, Failure.Reason, Now, Out);
  end(Row,
      endOf(Failure.Attempt,
            Failure.BytesSent ? Outcome::Unknown : Outcome::NotRun,
            Failure.Reason),
      Now, Out);
  startQueued(Now, Out);
}

void OwnerSystem::upstreamAnnounced(const UpstreamAnnounced &Announced,
                                    TimePoint Now, Actions &Out) {
  Latest = Now;
  if (Upstream.Service != Announced.Service) {
    ServiceTime = 0.0;
    RouteTimes.clear();
    Speed.reset();
  }
  Upstream = Announced;
  Limit.setSlots(Announced.Slots, Announced.State == UpstreamState::Cold, Now);
  startQueued(Now, Out);
}

void OwnerSystem::upstreamGone(const UpstreamGone &Gone, TimePoint Now,
                               Actions &Out) {
  Upstream = UpstreamAnnounced{"", 0, UpstreamState::None};
  Limit = ConcurrencyLimit(Settings);
  ServiceTime = 0.0;
  RouteTimes.clear();
  Speed.reset();
  NextSpeedProbe.reset();
  while (const std::optional<AdmittedAttempt> Row = Queue.pop()) {
    endQueued(*Row, OutcomeReason::NoUpstream, Now, Out);
  }
  if (!Gone.Crashed) {
    return;
  }
  std::vector<AttemptId> Lost;
  for (const auto &[Id, Row] : Running) {
    Lost.push_back(Id);
  }
  std::sort(Lost.begin(), Lost.end());
  for (const AttemptId &Id : Lost) {
    Out.emplace_back(CancelUpstream{Id});
    upstreamFailed(UpstreamFailed{Id, OutcomeReason::UpstreamClosed, true}, Now,
                   Out);
  }
}

void OwnerSystem::setSuspected(bool Suspected, TimePoint Now, Actions &Out) {
  Limit.setSuspected(Suspected, Now);
  startQueued(Now, Out);
}

void OwnerSystem::tick(TimePoint Now, Actions &Out) {
  Latest = Now;
  Finished.forget(Now);
  // Refused while the ingress can still tell its caller that it did not run.
  while (const std::optional<AdmittedAttempt> Late =
             Queue.popExpired(Now + Settings.ExpiryMargin)) {
    endQueued(*Late,
              Late->Deadline <= Now + Settings.ExpiryMargin
                  ? OutcomeReason::DeadlineExceeded
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
  if (Next && (Limit.ramping(Latest) || stalled())) {
    Next = std::min(*Next, Latest + RampStep);
  }
  if (Next && NextSpeedProbe) {
    Next = std::min(*Next, *NextSpeedProbe);
  }
  return Next;
}

LoadReport OwnerSystem::load() const {
  return LoadReport{ReportSequence,
                    static_cast<std::uint32_t>(Running.size()),
                    static_cast<std::uint32_t>(Queue.size()),
                    Limit.value(Latest),
                    Duration(static_cast<std::int64_t>(expectedService())),
                    Duration{0},
                    Speed.state(Latest) == SpeedState::Slow};
}

std::vector<const Dispatch *> OwnerSystem::running() const {
  std::vector<const Dispatch *> All;
  All.reserve(Running.size());
  for (const auto &[Id, Row] : Running) {
    All.push_back(&Row.Attempt);
  }
  return All;
}

std::optional<OutcomeReason>
OwnerSystem::refusalReason(const Dispatch &Attempt) const {
  if (Draining || Upstream.State == UpstreamState::Draining) {
    return OutcomeReason::Draining;
  }
  if (Upstream.Service.empty() || Upstream.Service != Attempt.Service) {
    return OutcomeReason::NoUpstream;
  }
  if (Attempt.Remaining <= Duration{0}) {
    return OutcomeReason::DeadlineExceeded;
  }
  if (Running.empty()) {
    // An idle upstream takes any request: only answers can correct a service
    // time that was measured too long.
    return std::nullopt;
  }
  const Duration Wait = expectedWait(Attempt.Class);
  const Duration Service(static_cast<std::int64_t>(
      Speed.percent() != 0 ? serviceOf(Attempt.Route) : expectedService()));
  if (Wait + Service > Attempt.Remaining) {
    return OutcomeReason::DeadlineTooClose;
  }
  // An answer within the target is worth the wait.
  const Duration Longest =
      std::max(Settings.QueueDelayMax, Attempt.Target - Service);
  if (Wait > Longest || Queue.size() >= Settings.QueueLengthMax ||
      (Attempt.MayHandBack && Wait > Settings.HandBackWait)) {
    return OutcomeReason::QueueFull;
  }
  return std::nullopt;
}

Duration OwnerSystem::expectedWait(Priority Class) const {
  const std::uint32_t Slots = limit();
  if (Queue.size() == 0 && Running.size() < Slots) {
    return Duration{0};
  }
  const auto Ahead = static_cast<double>(Queue.ahead(Class) + 1);
  const double Wait = Ahead * expectedService() / Slots;
  // Slow spells take their share of the time in which attempts start.
  const double Stretch = Speed.percent() != 0 ? SpellStretch : 1.0;
  return Duration(static_cast<std::int64_t>(Wait * Stretch));
}

std::uint32_t OwnerSystem::limit() const {
  const std::uint32_t Adapted = Limit.value(Latest);
  if (!Settings.AdaptiveLimit || !stalled()) {
    return Adapted;
  }
  const auto Count = static_cast<std::uint32_t>(Running.size());
  const bool TrialDue = Latest >= LatestStart + times(ServiceTime, StallTrial);
  return std::min(Adapted, Count + (TrialDue ? 1 : 0));
}

bool OwnerSystem::stalled() const {
  const double Usual = ServiceTime * StallFactor;
  const auto Count = static_cast<double>(Running.size());
  // Usual answers show that only some long requests are at work.
  return Count > 0 && ServiceTime > 0.0 &&
         runningTime() > Usual * (Count + 1.0) &&
         Latest > LatestUsual + times(ServiceTime, StallFactor);
}

double OwnerSystem::runningTime() const {
  const std::int64_t Now = Latest.time_since_epoch().count();
  return static_cast<double>(Now * static_cast<std::int64_t>(Running.size()) -
                             StartSum);
}

double OwnerSystem::expectedService() const {
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

TimePoint OwnerSystem::startBy(const Dispatch &Attempt, TimePoint Now) const {
  if (Attempt.Target == Duration{0}) {
    return TimePoint::max();
  }
  const Duration Service(static_cast<std::int64_t>(serviceOf(Attempt.Route)));
  return Now + Settings.ExpiryMargin +
         std::max(Settings.QueueDelayMax, Attempt.Target - Service);
}

double OwnerSystem::serviceOf(const std::string &Route) const {
  const auto Found = RouteTimes.find(Route);
  return Found == RouteTimes.end() ? ServiceTime : Found->second;
}

void OwnerSystem::finishSpeedProbe(const ProbeFinished &Result, TimePoint Now,
                                   Actions &Out) {
  SpeedProbeRunning = false;
  if (Result.Succeeded || Result.SlownessPercent != 0) {
    Speed.observe(Result.SlownessPercent, Now);
  }
  if (Result.SlownessPercent == 0) {
    AssumeUsualUntil = Now + FailedProbePause;
  }
  startQueued(Now, Out);
}

bool OwnerSystem::passGate(TimePoint Now, Actions &Out) {
  const SpeedState State = Speed.state(Now);
  if (State == SpeedState::Usual || Now < AssumeUsualUntil) {
    NextSpeedProbe.reset();
    return true;
  }
  if (State == SpeedState::Unknown) {
    if (!SpeedProbeRunning) {
      SpeedProbeRunning = true;
      Out.emplace_back(
          ProbeUpstream{Settings.SpeedTimeout, ProbePurpose::Speed});
    }
    return false;
  }
  handBackQueued(Now, Out);
  NextSpeedProbe = Now + Settings.SpeedRecheck;
  return false;
}

void OwnerSystem::handBackQueued(TimePoint Now, Actions &Out) {
  for (const AdmittedAttempt &Row : Queue.takeHandBacks()) {
    endQueued(Row, OutcomeReason::UpstreamSlow, Now, Out);
  }
}

void OwnerSystem::startQueued(TimePoint Now, Actions &Out) {
  Latest = Now;
  while (Running.size() < limit()) {
    if (Queue.size() == 0 || !passGate(Now, Out)) {
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
    Row->Started = Now;
    LatestStart = Now;
    StartSum += Now.time_since_epoch().count();
    const Dispatch &Attempt = Row->Attempt;
    const AttemptId Id = Attempt.Attempt;
    reportSpan(*Row, SpanKind::Queue, Row->Arrived, Now,
               endOf(Id, Outcome::Unknown, OutcomeReason::None), Out);
    TraceContext Trace = Attempt.Trace;
    Trace.ParentSpan = spanOf(Id, UpstreamSpanSeed);
    Out.emplace_back(ForwardToUpstream{Id, Row->Deadline - Now,
                                       Attempt.Idempotent, Trace, Attempt.Class,
                                       Attempt.IsExtra, Attempt.Request});
    Running.emplace(Id, std::move(*Row));
  }
}

void OwnerSystem::end(const AdmittedAttempt &Row, DispatchReply Reply,
                      TimePoint Now, Actions &Out) {
  reportSpan(Row, SpanKind::Upstream, Row.Started, Now, Reply, Out);
  // 0 means not stated, so a time below the resolution counts as 1 µs.
  Reply.Held = std::max(Now - Row.Arrived, Duration{1});
  send(Row.From, std::move(Reply), Now, Out);
}

void OwnerSystem::endQueued(const AdmittedAttempt &Row, OutcomeReason Reason,
                            TimePoint Now, Actions &Out) {
  DispatchReply Reply = endOf(Row.Attempt.Attempt, Outcome::NotRun, Reason);
  Reply.Held = std::max(Now - Row.Arrived, Duration{1});
  reportSpan(Row, SpanKind::Queue, Row.Arrived, Now, Reply, Out);
  report("attempt_refused", Row, Reason, Now, Out);
  send(Row.From, std::move(Reply), Now, Out);
}

void OwnerSystem::report(const char *Name, const AdmittedAttempt &Row,
                         OutcomeReason Reason, TimePoint Now,
                         Actions &Out) const {
  if (!Settings.ReportAttempts) {
    return;
  }
  Out.emplace_back(Notice{
      Name,
      {{"attempt", toString(Row.Attempt.Attempt)},
       {"service", Row.Attempt.Service},
       {"route", Row.Attempt.Route},
       {"reason", toString(Reason)},
       {"held_us", std::to_string((Now - Row.Arrived).count())},
       {"remaining_us", std::to_string((Row.Deadline - Now).count())},
       {"target_us", std::to_string(Row.Attempt.Target.count())},
       {"running", std::to_string(Running.size())},
       {"queued", std::to_string(Queue.size())},
       {"limit", std::to_string(Limit.value(Now))},
       {"wait_us", std::to_string(expectedWait(Row.Attempt.Class).count())},
       {"service_us", std::to_string(static_cast<std::int64_t>(
                          serviceOf(Row.Attempt.Route)))},
       {"speed_percent", std::to_string(Speed.percent())},
       {"speed_age_us", std::to_string((Now - Speed.observedAt()).count())}}});
}

void OwnerSystem::send(NodeId From, DispatchReply Reply, TimePoint Now,
                       Actions &Out) {
  Latest = Now;
  ++ReportSequence;
  Reply.Load = load();
  // Refusals of other runs' attempts and of forgotten ones are not outcomes of
  // this run and are not kept.
  const bool Forgotten = Reply.Reason == OutcomeReason::StaleFrame &&
                         Reply.Result == Outcome::Unknown;
  if (Reply.Reason != OutcomeReason::WrongIncarnation && !Forgotten) {
    Finished.add(Reply, Now);
  }
  Out.emplace_back(SendToPeer{From, std::move(Reply)});
}

} // namespace hyssopford
