#include "hyssopford/core/quarantine/quarantine_system.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <tuple>

namespace hyssopford {

namespace {

std::string joinFingerprints(const std::vector<std::uint64_t> &Fingerprints) {
  std::string Joined;
  for (const std::uint64_t Each : Fingerprints) {
    fmt::format_to(std::back_inserter(Joined), "{}{:016x}",
                   Joined.empty() ? "" : ",", Each);
  }
  return Joined;
}

} // namespace

QuarantineSystem::QuarantineSystem(NodeRun Run, RandomSource &Source,
                                   const QuarantineSettings &Settings)
    : Self(Run), Random(Source), WasComplete(!Settings.Stored),
      Store(Settings, Source,
            [this](TimePoint Now) { return storedSightings(Now); }) {}

void QuarantineSystem::dispatch(NodeRun From, const Dispatch &Attempt,
                                TimePoint Now, OutcomeReason Refusal) {
  if (isBarred(Attempt.Fingerprint, Now)) {
    Refusal = OutcomeReason::Quarantined;
  }
  if (Refusal != OutcomeReason::None) {
    Refused.push_back(GatedAttempt{From, Attempt, Refusal});
    return;
  }
  const bool IsGated =
      std::any_of(Gate.begin(), Gate.end(),
                  [&](const GatedRow &Row) {
                    return Row.Attempt.Attempt == Attempt.Attempt;
                  }) ||
      std::any_of(Unrecorded.begin(), Unrecorded.end(),
                  [&](const UnrecordedRow &Row) {
                    return Row.Gated.Attempt.Attempt == Attempt.Attempt;
                  });
  if (IsGated) {
    return;
  }
  if (Gate.size() + Unrecorded.size() >= MaxGated) {
    Refused.push_back(GatedAttempt{From, Attempt, OutcomeReason::QueueFull});
    return;
  }
  if (Store.enabled() && isQuarantined(Attempt.Fingerprint, Now)) {
    NewTrials.push_back(GatedRow{From, Attempt, Now});
  } else {
    Gate.push_back(GatedRow{From, Attempt, Now});
  }
}

void QuarantineSystem::recordTrials(TimePoint Now, Actions &Out) {
  for (GatedRow &Row : std::exchange(NewTrials, {})) {
    const auto Found = Fingerprints.find(Row.Attempt.Fingerprint);
    const bool MayRecord = Found != Fingerprints.end() &&
                           Found->second.NextRecord <= Now &&
                           !isBarred(Row.Attempt.Fingerprint, Now);
    if (!MayRecord || Store.failing()) {
      Refused.push_back(GatedAttempt{Row.From, std::move(Row.Attempt),
                                     OutcomeReason::Quarantined});
      continue;
    }
    Found->second.NextRecord = Now + RecordPeriod;
    Row.Trial = recordTrial(Row.Attempt.Fingerprint, Now, Out);
    Unrecorded.push_back(
        UnrecordedRow{std::move(Row), Store.change(true, Now)});
  }
}

void QuarantineSystem::attemptStarted(const AttemptId &Attempt, TimePoint Now,
                                      Actions &Out) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end()) {
    return;
  }
  AttemptRow &Row = Found->second;
  Row.Running = true;
  if (Row.Trial == 0 && isQuarantined(Row.Fingerprint, Now)) {
    Row.Trial = recordTrial(Row.Fingerprint, Now, Out);
  }
}

void QuarantineSystem::attemptEnded(DispatchReply &Reply, TimePoint Now,
                                    Actions &Out) {
  const auto Found = Attempts.find(Reply.Attempt);
  if (Found == Attempts.end()) {
    return;
  }
  const AttemptRow Row = Found->second;
  Attempts.erase(Found);
  if (Reply.Result == Outcome::Unknown && isSuspect(Row.Fingerprint, Now)) {
    Reply.Reason = OutcomeReason::Quarantined;
  }
  if (Reply.Result == Outcome::NotRun && Row.Trial != 0) {
    withdrawTrial(Row, Now, Out);
  }
  if (Reply.Result == Outcome::Unknown && Row.Running) {
    Failures.push_back(FailureRow{Now, Row.Fingerprint, false});
  }
  if (Reply.Result != Outcome::Answered || !Row.Running) {
    return;
  }
  if (Trusted.size() >= MaxTrusted && Now >= NextSweep) {
    NextSweep = Now + SweepPeriod;
    std::erase_if(Trusted, [&](const auto &Entry) {
      return Entry.second + TrustTime <= Now;
    });
  }
  if (Trusted.size() < MaxTrusted || Trusted.contains(Row.Fingerprint)) {
    Trusted[Row.Fingerprint] = Now;
  }
  const bool WasQuarantined = isQuarantined(Row.Fingerprint, Now);
  if (clearRefuted(Row.Fingerprint, Now, Out)) {
    gossip({Row.Fingerprint}, Links.size(), Now, Out);
    if (WasQuarantined) {
      Store.change(false, Now);
    }
  }
}

void QuarantineSystem::upstreamFailed(const UpstreamFailed &Failure,
                                      TimePoint Now, Actions &Out) {
  const auto Found = Attempts.find(Failure.Attempt);
  if (Found == Attempts.end() || !Failure.BytesSent ||
      Failure.Reason != OutcomeReason::UpstreamClosed) {
    return;
  }
  Failures.push_back(FailureRow{Now, Found->second.Fingerprint});
  Found->second.Running = false;
  const bool NoneLeft =
      std::none_of(Attempts.begin(), Attempts.end(),
                   [](const auto &Entry) { return Entry.second.Running; });
  std::vector<std::uint64_t> Together;
  for (const FailureRow &Row : Failures) {
    if (Row.ByUpstream && Row.At + ResetWindow >= Now) {
      Together.push_back(Row.Fingerprint);
    }
  }
  // A single lost connection may be an idle timeout of the upstream.
  if (NoneLeft && Together.size() > 1) {
    recordCrash(std::move(Together), Now, Out);
  }
}

void QuarantineSystem::upstreamGone(const UpstreamGone &Gone, TimePoint Now,
                                    Actions &Out) {
  if (!Gone.Crashed) {
    return;
  }
  std::vector<std::uint64_t> Running;
  for (const auto &[Id, Row] : Attempts) {
    const bool WasSent = std::find(Gone.Unsent.begin(), Gone.Unsent.end(),
                                   Id) == Gone.Unsent.end();
    if (Row.Running && WasSent) {
      Running.push_back(Row.Fingerprint);
    }
  }
  for (const FailureRow &Row : Failures) {
    if (Row.At + (Row.ByUpstream ? CrashWindow : CancelWindow) >= Now) {
      Running.push_back(Row.Fingerprint);
    }
  }
  recordCrash(std::move(Running), Now, Out);
}

void QuarantineSystem::upstreamAnnounced() {
  if (LastCrashAt) {
    Failures.clear();
    LastCrashAt.reset();
  }
}

std::vector<GatedAttempt> QuarantineSystem::takeGated(TimePoint Now) {
  releaseRecorded(Now);
  std::vector<GatedAttempt> Result = std::exchange(Refused, {});
  while (!Gate.empty()) {
    GatedRow &Row = Gate.front();
    GatedAttempt Next{Row.From, std::move(Row.Attempt), OutcomeReason::None};
    const Duration Waited = Now - Row.Arrived;
    const bool IsTrial = Row.Trial != 0;
    if (!IsTrial && isBarred(Next.Attempt.Fingerprint, Now)) {
      Next.Refusal = OutcomeReason::Quarantined;
    } else if (Waited > Duration{0} && Waited >= Next.Attempt.Remaining) {
      Next.Refusal = OutcomeReason::DeadlineExceeded;
    } else if (!mayAdmit(Next.Attempt, Now)) {
      Row.Attempt = std::move(Next.Attempt);
      break;
    } else {
      Next.Attempt.Remaining -= Waited;
      Attempts.try_emplace(
          Next.Attempt.Attempt,
          AttemptRow{Next.Attempt.Fingerprint, Now + Next.Attempt.Remaining,
                     false, mustRunAlone(Next.Attempt.Fingerprint, Now),
                     Row.Trial});
    }
    if (IsTrial && Next.Refusal != OutcomeReason::None) {
      expectWithdrawal(Next.Attempt, Row.Trial, Now);
    }
    Result.push_back(std::move(Next));
    Gate.pop_front();
  }
  return Result;
}

void QuarantineSystem::receive(NodeRun From, const QuarantineNotice &Notice,
                               TimePoint Now, Actions &Out) {
  std::set<std::uint64_t> Changed;
  for (const CrashSighting &Each : Notice.Sightings) {
    const bool IsNews = mergeSighting(Each, Now, Out);
    if (clearRefuted(Each.Fingerprint, Now, Out) || IsNews) {
      Changed.insert(Each.Fingerprint);
    }
  }
  if (Notice.Complete && Links.contains(From.Node)) {
    CompletePeers.insert(From.Node);
    Store.completeByPeer();
    takeStored(Now, Out);
  }
  if (!Changed.empty()) {
    gossip(Changed, GossipPeers, Now, Out);
  }
}

void QuarantineSystem::receive(const StoreReplied &Reply, TimePoint Now,
                               Actions &Out) {
  Store.receive(Reply, Now, Out);
  takeStored(Now, Out);
}

void QuarantineSystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  Links.insert(Peer.Node);
  CompletePeers.erase(Peer.Node);
  const bool HasRecord = Store.enabled() && Store.complete();
  if (!Fingerprints.empty() || HasRecord) {
    sendAll(Peer.Node, Now, Out);
  }
}

void QuarantineSystem::linkDown(NodeId Peer) {
  Links.erase(Peer);
  CompletePeers.erase(Peer);
}

void QuarantineSystem::adopt(const RoutingConfig &Config) {
  Lifts.clear();
  for (const QuarantineLift &Lift : Config.Lifts) {
    std::uint64_t &Serial = Lifts[Lift.Fingerprint];
    Serial = std::max(Serial, Lift.Serial);
  }
  for (const auto &Lift : Lifts) {
    const auto Found = Fingerprints.find(Lift.first);
    if (Found == Fingerprints.end()) {
      continue;
    }
    std::erase_if(Found->second.Crashes, [&](const auto &Entry) {
      return Entry.second.LiftSerial < Lift.second;
    });
    if (Found->second.Crashes.empty()) {
      Fingerprints.erase(Found);
    }
  }
}

void QuarantineSystem::tick(TimePoint Now, Actions &Out) {
  std::erase_if(Fingerprints, [&](const auto &Entry) {
    return Entry.second.LastCrash + QuarantineTime <= Now;
  });
  // An attempt whose end was missed must not hold back others for ever.
  std::erase_if(Attempts, [&](const auto &Entry) {
    return Entry.second.Deadline + CrashWindow <= Now;
  });
  while (!Failures.empty() && Failures.front().At + CrashWindow < Now) {
    Failures.pop_front();
  }
  Store.tick(Now, Out);
  if (!NextGossip || Now < *NextGossip) {
    return;
  }
  std::set<std::uint64_t> Fresh;
  for (const auto &[Fingerprint, Row] : Fingerprints) {
    if (Row.GossipUntil > Now) {
      Fresh.insert(Fingerprint);
    }
  }
  NextGossip.reset();
  if (!Fresh.empty()) {
    NextGossip = Now + GossipPeriod;
    gossip(Fresh, GossipPeers, Now, Out);
  }
}

bool QuarantineSystem::isQuarantined(std::uint64_t Fingerprint,
                                     TimePoint Now) const {
  const auto Found = Fingerprints.find(Fingerprint);
  return Found != Fingerprints.end() &&
         (meetsQuarantineRule(Found->second) ||
          (!Store.complete() && hasUncleared(Found->second))) &&
         Found->second.LastCrash + QuarantineTime > Now;
}

std::optional<TimePoint>
QuarantineSystem::nextTrial(std::uint64_t Fingerprint) const {
  const auto Found = Fingerprints.find(Fingerprint);
  if (Found == Fingerprints.end() || !Store.complete() ||
      !meetsQuarantineRule(Found->second)) {
    return std::nullopt;
  }
  std::size_t Trials = 0;
  TimePoint Latest;
  for (const auto &[Crash, Sighting] : Found->second.Crashes) {
    if (!Sighting.Cleared) {
      Trials += Sighting.Trial ? 1 : 0;
      Latest = std::max(Latest, Sighting.At);
    }
  }
  return Trials < TrialDelays.size()
             ? std::optional(Latest + TrialDelays.at(Trials))
             : std::nullopt;
}

TimePoint QuarantineSystem::nextChance(std::uint64_t Fingerprint) const {
  const auto Found = Fingerprints.find(Fingerprint);
  if (Found == Fingerprints.end() || !Store.complete()) {
    return TimePoint{};
  }
  const TimePoint End = Found->second.LastCrash + QuarantineTime;
  return std::min(nextTrial(Fingerprint).value_or(End), End);
}

bool QuarantineSystem::isBarred(std::uint64_t Fingerprint,
                                TimePoint Now) const {
  if (!isQuarantined(Fingerprint, Now)) {
    return false;
  }
  const std::optional<TimePoint> Trial = nextTrial(Fingerprint);
  return !Trial || Now < *Trial;
}

bool QuarantineSystem::mustRunAlone(std::uint64_t Fingerprint,
                                    TimePoint Now) const {
  return isSuspect(Fingerprint, Now) || isQuarantined(Fingerprint, Now);
}

bool QuarantineSystem::isSuspect(std::uint64_t Fingerprint,
                                 TimePoint Now) const {
  const auto Found = Fingerprints.find(Fingerprint);
  return Found != Fingerprints.end() &&
         Found->second.LastCrash + SuspectTime > Now &&
         hasUncleared(Found->second);
}

std::vector<QuarantineEntry> QuarantineSystem::list(TimePoint Now) const {
  std::vector<QuarantineEntry> Result;
  for (const auto &[Fingerprint, Row] : Fingerprints) {
    if (isQuarantined(Fingerprint, Now)) {
      Result.push_back(QuarantineEntry{Fingerprint, crashCount(Row),
                                       Row.LastCrash + QuarantineTime});
    }
  }
  return Result;
}

std::optional<TimePoint> QuarantineSystem::nextWakeup() const {
  std::optional<TimePoint> Next = NextGossip;
  const auto Consider = [&](TimePoint Due) {
    Next = Next ? std::min(*Next, Due) : Due;
  };
  for (const auto &[Fingerprint, Row] : Fingerprints) {
    Consider(Row.LastCrash + QuarantineTime);
  }
  if (!Gate.empty()) {
    Consider(Gate.front().Arrived + Gate.front().Attempt.Remaining);
  }
  for (const UnrecordedRow &Row : Unrecorded) {
    Consider(Row.Gated.Arrived +
             std::min(Row.Gated.Attempt.Remaining, RecordTimeout));
  }
  if (const std::optional<TimePoint> Due = Store.nextWakeup()) {
    Consider(*Due);
  }
  return Next;
}

bool QuarantineSystem::meetsQuarantineRule(const FingerprintRow &Row) {
  std::set<NodeId> Owners;
  std::size_t Crashes = 0;
  bool Alone = false;
  for (const auto &[Crash, Sighting] : Row.Crashes) {
    if (!Sighting.Cleared && !Sighting.Trial) {
      Owners.insert(Crash.first.Node);
      ++Crashes;
      Alone = Alone || Sighting.Alone;
    }
  }
  return Owners.size() >= 2 || (Crashes >= 2 && Alone);
}

bool QuarantineSystem::mayAdmit(const Dispatch &Attempt, TimePoint Now) const {
  if (Attempts.contains(Attempt.Attempt)) {
    return true;
  }
  if (mustRunAlone(Attempt.Fingerprint, Now)) {
    return Attempts.empty();
  }
  return std::none_of(Attempts.begin(), Attempts.end(),
                      [](const auto &Entry) { return Entry.second.RunsAlone; });
}

void QuarantineSystem::recordCrash(std::vector<std::uint64_t> Running,
                                   TimePoint Now, Actions &Out) {
  if (Running.empty()) {
    return;
  }
  // Lost connections and the loss of the upstream count as one crash.
  if (!LastCrashAt || *LastCrashAt + CrashWindow < Now) {
    ++NextCrash;
  }
  LastCrashAt = Now;
  const std::size_t RunningCount = Running.size();
  const bool Alone = RunningCount == 1;
  std::vector<std::uint64_t> Suspects;
  std::copy_if(Running.begin(), Running.end(), std::back_inserter(Suspects),
               [&](std::uint64_t Fingerprint) {
                 const auto Answered = Trusted.find(Fingerprint);
                 return Answered == Trusted.end() ||
                        Answered->second + TrustTime <= Now;
               });
  if (Suspects.empty()) {
    Suspects = std::move(Running);
  }
  Out.emplace_back(Notice{"upstream_crash_recorded",
                          {{"crash", std::to_string(NextCrash)},
                           {"running", std::to_string(RunningCount)},
                           {"suspects", joinFingerprints(Suspects)}}});
  std::set<std::uint64_t> Changed;
  for (const std::uint64_t Fingerprint : Suspects) {
    const auto Lift = Lifts.find(Fingerprint);
    const CrashSighting Sighting{
        Fingerprint, Self,  NextCrash,  Lift == Lifts.end() ? 0 : Lift->second,
        Alone,       false, Duration{0}};
    if (mergeSighting(Sighting, Now, Out)) {
      Changed.insert(Fingerprint);
    }
  }
  gossip(Changed, Links.size(), Now, Out);
  if (!Changed.empty()) {
    Store.change(false, Now);
  }
}

std::uint64_t QuarantineSystem::recordTrial(std::uint64_t Fingerprint,
                                            TimePoint Now, Actions &Out) {
  const auto Lift = Lifts.find(Fingerprint);
  const std::uint64_t Number = ++NextCrash;
  // A crash during the trial gets a number of its own.
  LastCrashAt.reset();
  mergeSighting(CrashSighting{Fingerprint, Self, Number,
                              Lift == Lifts.end() ? 0 : Lift->second, true,
                              false, Duration{0}, true},
                Now, Out);
  Out.emplace_back(
      Notice{"quarantine_trial_started",
             {{"fingerprint", fmt::format("{:016x}", Fingerprint)}}});
  gossip({Fingerprint}, Links.size(), Now, Out);
  return Number;
}

void QuarantineSystem::withdrawTrial(const AttemptRow &Row, TimePoint Now,
                                     Actions &Out) {
  const auto Found = Fingerprints.find(Row.Fingerprint);
  if (Found == Fingerprints.end()) {
    return;
  }
  const auto Sighting = Found->second.Crashes.find(CrashId(Self, Row.Trial));
  if (Sighting != Found->second.Crashes.end()) {
    Sighting->second.Cleared = true;
    gossip({Row.Fingerprint}, Links.size(), Now, Out);
    Store.change(false, Now);
  }
}

void QuarantineSystem::releaseRecorded(TimePoint Now) {
  std::vector<UnrecordedRow> Waiting;
  for (UnrecordedRow &Row : Unrecorded) {
    const Duration Limit = std::min(Row.Gated.Attempt.Remaining, RecordTimeout);
    if (Row.Change <= Store.acknowledged()) {
      Gate.push_back(std::move(Row.Gated));
    } else if (Store.failing() || Row.Gated.Arrived + Limit <= Now) {
      GatedRow &Ended = Row.Gated;
      expectWithdrawal(Ended.Attempt, Ended.Trial, Now);
      Refused.push_back(GatedAttempt{Ended.From, std::move(Ended.Attempt),
                                     OutcomeReason::Quarantined});
    } else {
      Waiting.push_back(std::move(Row));
    }
  }
  Unrecorded = std::move(Waiting);
}

void QuarantineSystem::expectWithdrawal(const Dispatch &Attempt,
                                        std::uint64_t Trial, TimePoint Now) {
  Attempts.try_emplace(Attempt.Attempt, AttemptRow{Attempt.Fingerprint, Now,
                                                   false, false, Trial});
}

void QuarantineSystem::takeStored(TimePoint Now, Actions &Out) {
  std::set<std::uint64_t> Changed;
  for (const CrashSighting &Each : Store.takeSightings()) {
    if (mergeSighting(Each, Now, Out)) {
      Changed.insert(Each.Fingerprint);
    }
    clearRefuted(Each.Fingerprint, Now, Out);
  }
  if (!WasComplete && Store.complete()) {
    WasComplete = true;
    for (const NodeId Peer : Links) {
      if (!CompletePeers.contains(Peer)) {
        sendAll(Peer, Now, Out);
      }
    }
  }
  if (!Changed.empty()) {
    gossip(Changed, Links.size(), Now, Out);
  }
}

void QuarantineSystem::sendAll(NodeId Peer, TimePoint Now, Actions &Out) const {
  QuarantineNotice Message;
  for (const auto &[Fingerprint, Row] : Fingerprints) {
    QuarantineNotice Each = sightingsOf({Fingerprint}, Now);
    if (!Message.Sightings.empty() &&
        Message.Sightings.size() + Each.Sightings.size() > MaxSightings) {
      Out.emplace_back(SendToPeer{Peer, std::exchange(Message, {})});
    }
    std::move(Each.Sightings.begin(), Each.Sightings.end(),
              std::back_inserter(Message.Sightings));
  }
  Message.Complete = Store.enabled() && Store.complete();
  Out.emplace_back(SendToPeer{Peer, std::move(Message)});
}

std::vector<CrashSighting>
QuarantineSystem::storedSightings(TimePoint Now) const {
  std::vector<std::pair<std::uint64_t, const FingerprintRow *>> Rows;
  for (const auto &[Fingerprint, Row] : Fingerprints) {
    if (hasUncleared(Row) && Row.LastCrash + QuarantineTime > Now) {
      Rows.emplace_back(Fingerprint, &Row);
    }
  }
  // Quarantined fingerprints first, then the latest suspects.
  std::sort(Rows.begin(), Rows.end(), [](const auto &Left, const auto &Right) {
    return std::tuple(meetsQuarantineRule(*Left.second), Left.second->LastCrash,
                      Left.first) >
           std::tuple(meetsQuarantineRule(*Right.second),
                      Right.second->LastCrash, Right.first);
  });
  Rows.resize(std::min(Rows.size(), MaxStored));
  std::vector<CrashSighting> Result;
  for (const auto &[Fingerprint, Row] : Rows) {
    std::vector<CrashSighting> Sightings =
        sightingsOf({Fingerprint}, Now).Sightings;
    std::erase_if(Sightings,
                  [](const CrashSighting &Each) { return Each.Cleared; });
    std::sort(Sightings.begin(), Sightings.end(),
              [](const CrashSighting &Left, const CrashSighting &Right) {
                return std::tuple(!Left.Trial, Left.Age) <
                       std::tuple(!Right.Trial, Right.Age);
              });
    std::size_t Crashes = 0;
    for (const CrashSighting &Each : Sightings) {
      Crashes += Each.Trial ? 0 : 1;
      if (Crashes <= MaxStoredCrashes) {
        Result.push_back(Each);
      }
    }
  }
  return Result;
}

bool QuarantineSystem::hasUncleared(const FingerprintRow &Row) {
  return std::any_of(Row.Crashes.begin(), Row.Crashes.end(),
                     [](const auto &Entry) { return !Entry.second.Cleared; });
}

bool QuarantineSystem::mergeSighting(const CrashSighting &Sighting,
                                     TimePoint Now, Actions &Out) {
  const TimePoint At = Now - Sighting.Age;
  const auto Lift = Lifts.find(Sighting.Fingerprint);
  const bool Lifted = Lift != Lifts.end() && Sighting.LiftSerial < Lift->second;
  if (Lifted || At + QuarantineTime <= Now) {
    return false;
  }
  FingerprintRow *Row = findOrAddRow(Sighting.Fingerprint);
  const CrashId Crash(Sighting.Owner, Sighting.Crash);
  // Trials are bounded by their number, and a trial that is not known may be
  // repeated.
  if (Row == nullptr || (Row->Crashes.size() >= MaxCrashes && !Sighting.Trial &&
                         !Row->Crashes.contains(Crash))) {
    return false;
  }
  const auto [Known, IsNew] = Row->Crashes.try_emplace(
      Crash, SightingRow{At, Sighting.LiftSerial, Sighting.Alone,
                         Sighting.Cleared, Sighting.Trial});
  const bool Clears = Sighting.Cleared && !Known->second.Cleared;
  Known->second.Cleared = Known->second.Cleared || Sighting.Cleared;
  if (IsNew) {
    Row->LastCrash = std::max(Row->LastCrash, At);
  }
  reportChange(Sighting.Fingerprint, *Row, Out);
  return IsNew || Clears;
}

void QuarantineSystem::reportChange(std::uint64_t Fingerprint,
                                    FingerprintRow &Row, Actions &Out) {
  if (meetsQuarantineRule(Row) == Row.Reported) {
    return;
  }
  Row.Reported = !Row.Reported;
  Out.emplace_back(
      Notice{Row.Reported ? "request_quarantined" : "quarantine_cleared",
             {{"fingerprint", fmt::format("{:016x}", Fingerprint)},
              {"crashes", fmt::format("{}", crashCount(Row))}}});
}

std::size_t QuarantineSystem::crashCount(const FingerprintRow &Row) {
  return static_cast<std::size_t>(
      std::count_if(Row.Crashes.begin(), Row.Crashes.end(),
                    [](const auto &Entry) { return !Entry.second.Trial; }));
}

bool QuarantineSystem::clearRefuted(std::uint64_t Fingerprint, TimePoint Now,
                                    Actions &Out) {
  const auto Found = Fingerprints.find(Fingerprint);
  const auto Answered = Trusted.find(Fingerprint);
  if (Found == Fingerprints.end() || Answered == Trusted.end()) {
    return false;
  }
  bool Clears = false;
  for (auto &[Crash, Sighting] : Found->second.Crashes) {
    const bool IsRefuted =
        Answered->second >= Sighting.At ||
        (!Sighting.Alone && Answered->second + TrustTime > Now);
    if (IsRefuted && !Sighting.Cleared) {
      Sighting.Cleared = true;
      Clears = true;
    }
  }
  reportChange(Fingerprint, Found->second, Out);
  return Clears;
}

QuarantineSystem::FingerprintRow *
QuarantineSystem::findOrAddRow(std::uint64_t Fingerprint) {
  const auto Found = Fingerprints.find(Fingerprint);
  if (Found != Fingerprints.end()) {
    return &Found->second;
  }
  if (Fingerprints.size() >= MaxFingerprints) {
    // The oldest suspect is dropped; quarantined fingerprints stay.
    auto Oldest = Fingerprints.end();
    for (auto Each = Fingerprints.begin(); Each != Fingerprints.end(); ++Each) {
      if (!meetsQuarantineRule(Each->second) &&
          (Oldest == Fingerprints.end() ||
           Each->second.LastCrash < Oldest->second.LastCrash)) {
        Oldest = Each;
      }
    }
    if (Oldest == Fingerprints.end()) {
      return nullptr;
    }
    Fingerprints.erase(Oldest);
  }
  return &Fingerprints[Fingerprint];
}

void QuarantineSystem::gossip(const std::set<std::uint64_t> &Changed,
                              std::size_t Peers, TimePoint Now, Actions &Out) {
  for (const std::uint64_t Fingerprint : Changed) {
    const auto Found = Fingerprints.find(Fingerprint);
    if (Found != Fingerprints.end() && Found->second.GossipUntil <= Now) {
      Found->second.GossipUntil = Now + GossipTime;
    }
  }
  if (!NextGossip) {
    NextGossip = Now + GossipPeriod;
  }
  const QuarantineNotice Message = sightingsOf(Changed, Now);
  std::vector<NodeId> Targets(Links.begin(), Links.end());
  for (std::size_t Count = 0; Count < Peers && !Targets.empty(); ++Count) {
    const std::size_t Index = Peers >= Targets.size() + Count
                                  ? Targets.size() - 1
                                  : Random.below(Targets.size());
    Out.emplace_back(SendToPeer{Targets[Index], Message});
    Targets[Index] = Targets.back();
    Targets.pop_back();
  }
}

QuarantineNotice
QuarantineSystem::sightingsOf(const std::set<std::uint64_t> &Wanted,
                              TimePoint Now) const {
  QuarantineNotice Result;
  for (const std::uint64_t Fingerprint : Wanted) {
    const auto Found = Fingerprints.find(Fingerprint);
    if (Found == Fingerprints.end() ||
        Result.Sightings.size() >= MaxSightings) {
      continue;
    }
    for (const auto &[Crash, Row] : Found->second.Crashes) {
      Result.Sightings.push_back(
          CrashSighting{Fingerprint, Crash.first, Crash.second, Row.LiftSerial,
                        Row.Alone, Row.Cleared, Now - Row.At, Row.Trial});
    }
  }
  return Result;
}

} // namespace hyssopford
