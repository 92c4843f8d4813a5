#include "hyssopford/core/owner_system.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

OwnerSystem::OwnerSystem(NodeRun Run) : Self(Run) {}

void OwnerSystem::admit(NodeId From, const Dispatch &Attempt, TimePoint Now,
                        Actions &Out, OutcomeReason Refusal) {
  const AttemptId Id = Attempt.Attempt;
  const auto Known = Finished.find(Id);
  if (Known != Finished.end()) {
    Out.emplace_back(SendToPeer{From, Known->second.Reply});
    return;
  }
  const auto SameAttempt = [&](const AttemptRow &Row) {
    return Row.Attempt.Attempt == Id;
  };
  if (Running.contains(Id) ||
      std::any_of(Queue.begin(), Queue.end(), SameAttempt)) {
    return;
  }
  if (Attempt.Owner != Self.Run) {
    refuse(From, Id, Outcome::NotRun, OutcomeReason::WrongIncarnation, Now,
           Out);
    return;
  }
  const auto Mark = LowWaterMarks.find(Id.Ingress);
  if (Mark != LowWaterMarks.end() && Id.Sequence <= Mark->second) {
    DispatchReply Stale;
    Stale.Attempt = Id;
    Stale.Reason = OutcomeReason::StaleFrame;
    Out.emplace_back(SendToPeer{From, std::move(Stale)});
    return;
  }
  if (Refusal != OutcomeReason::None) {
    refuse(From, Id, Outcome::NotRun, Refusal, Now, Out);
    return;
  }
  if (Draining || Upstream.State == UpstreamState::Draining) {
    refuse(From, Id, Outcome::NotRun, OutcomeReason::Draining, Now, Out);
    return;
  }
  if (Upstream.Service.empty() || Upstream.Service != Attempt.Service) {
    refuse(From, Id, Outcome::NotRun, OutcomeReason::NoUpstream, Now, Out);
    return;
  }
  Queue.push_back(AttemptRow{From, Attempt, Now + Attempt.Remaining, Now});
  startQueued(Now, Out);
}

void OwnerSystem::cancel(AttemptId Attempt, TimePoint Now, Actions &Out) {
  const auto Queued =
      std::find_if(Queue.begin(), Queue.end(), [&](const AttemptRow &Row) {
        return Row.Attempt.Attempt == Attempt;
      });
  if (Queued != Queue.end()) {
    const NodeId From = Queued->From;
    Queue.erase(Queued);
    refuse(From, Attempt, Outcome::NotRun, OutcomeReason::CancelledByCaller,
           Now, Out);
    return;
  }
  if (Running.contains(Attempt)) {
    Out.emplace_back(CancelUpstream{Attempt});
    failed(UpstreamFailed{Attempt, OutcomeReason::CancelledByCaller, true}, Now,
           Out);
    return;
  }
  if (!Finished.contains(Attempt)) {
    DispatchReply Barred;
    Barred.Attempt = Attempt;
    Barred.Result = Outcome::NotRun;
    Barred.Reason = OutcomeReason::CancelledByCaller;
    Finished.insert_or_assign(Attempt, FinishedRow{Now, std::move(Barred)});
  }
}

void OwnerSystem::queryStatus(NodeId From, const StatusQuery &Query,
                              TimePoint Now, Actions &Out) {
  const auto Answer = [&](AttemptState State) {
    Out.emplace_back(SendToPeer{From, StatusReply{Query.Attempt, State}});
  };
  const auto Mark = LowWaterMarks.find(Query.Attempt.Ingress);
  const bool Forgotten =
      Mark != LowWaterMarks.end() && Query.Attempt.Sequence <= Mark->second;
  const auto Known = Finished.find(Query.Attempt);
  if (Running.contains(Query.Attempt)) {
    Answer(AttemptState::Running);
  } else if (Known != Finished.end()) {
    Answer(AttemptState::Finished);
    Out.emplace_back(SendToPeer{From, Known->second.Reply});
  } else if (Query.Owner != Self.Run || Forgotten) {
    Answer(AttemptState::CannotTell);
  } else {
    cancel(Query.Attempt, Now, Out);
    Answer(AttemptState::WillNotRun);
  }
}

void OwnerSystem::answered(const UpstreamAnswered &Answer, TimePoint Now,
                           Actions &Out) {
  const auto Found = Running.find(Answer.Attempt);
  if (Found == Running.end()) {
    return;
  }
  const NodeId From = Found->second.From;
  const Duration Elapsed = Now - Found->second.Started;
  ServiceTime =
      ServiceTime == Duration{0} ? Elapsed : (7 * ServiceTime + Elapsed) / 8;
  Running.erase(Found);
  DispatchReply Reply;
  Reply.Attempt = Answer.Attempt;
  Reply.Result = Outcome::Answered;
  Reply.Status = Answer.Status;
  Reply.Answer = Answer.Answer;
  finish(From, std::move(Reply), Now, Out);
  startQueued(Now, Out);
}

void OwnerSystem::failed(const UpstreamFailed &Failure, TimePoint Now,
                         Actions &Out) {
  const auto Found = Running.find(Failure.Attempt);
  if (Found == Running.end()) {
    return;
  }
  const NodeId From = Found->second.From;
  Running.erase(Found);
  refuse(From, Failure.Attempt,
         Failure.BytesSent ? Outcome::Unknown : Outcome::NotRun, Failure.Reason,
         Now, Out);
  startQueued(Now, Out);
}

void OwnerSystem::announce(const UpstreamAnnounced &Announced, TimePoint Now,
                           Actions &Out) {
  Upstream = Announced;
  startQueued(Now, Out);
}

void OwnerSystem::withdraw(const UpstreamGone & /*Gone*/, TimePoint Now,
                           Actions &Out) {
  Upstream = UpstreamAnnounced{"", 0, UpstreamState::None};
  while (!Queue.empty()) {
    const AttemptRow Row = Queue.front();
    Queue.pop_front();
    refuse(Row.From, Row.Attempt.Attempt, Outcome::NotRun,
           OutcomeReason::NoUpstream, Now, Out);
  }
}

void OwnerSystem::tick(TimePoint Now, Actions &Out) {
  while (true) {
    const auto Late =
        std::find_if(Queue.begin(), Queue.end(), [&](const AttemptRow &Row) {
          return Row.Deadline <= Now;
        });
    if (Late == Queue.end()) {
      break;
    }
    const AttemptRow Row = *Late;
    Queue.erase(Late);
    refuse(Row.From, Row.Attempt.Attempt, Outcome::NotRun,
           OutcomeReason::DeadlineExceeded, Now, Out);
  }
  std::erase_if(Finished, [&](const auto &Entry) {
    if (Entry.second.Ended + FinishedRetention > Now) {
      return false;
    }
    std::uint64_t &Mark = LowWaterMarks[Entry.first.Ingress];
    Mark = std::max(Mark, Entry.first.Sequence);
    return true;
  });
}

std::optional<TimePoint> OwnerSystem::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const AttemptRow &Row : Queue) {
    Next = Next ? std::min(*Next, Row.Deadline) : Row.Deadline;
  }
  return Next;
}

LoadReport OwnerSystem::load() const {
  return LoadReport{ReportSequence, static_cast<std::uint32_t>(Running.size()),
                    static_cast<std::uint32_t>(Queue.size()),
                    std::max<std::uint32_t>(Upstream.Slots, 1), ServiceTime};
}

void OwnerSystem::startQueued(TimePoint Now, Actions &Out) {
  while (!Queue.empty() && Running.size() < Upstream.Slots) {
    AttemptRow Row = std::move(Queue.front());
    Queue.pop_front();
    Row.Started = Now;
    const AttemptId Id = Row.Attempt.Attempt;
    Out.emplace_back(ForwardToUpstream{
        Id, Row.Deadline - Now, Row.Attempt.Idempotent, Row.Attempt.Trace,
        Row.Attempt.Class, Row.Attempt.IsExtra, Row.Attempt.Request});
    Running.emplace(Id, std::move(Row));
  }
}

void OwnerSystem::finish(NodeId From, DispatchReply Reply, TimePoint Now,
                         Actions &Out) {
  ++ReportSequence;
  Reply.Load = load();
  Finished.insert_or_assign(Reply.Attempt, FinishedRow{Now, Reply});
  Out.emplace_back(SendToPeer{From, std::move(Reply)});
}

void OwnerSystem::refuse(NodeId From, AttemptId Attempt, Outcome Result,
                         OutcomeReason Reason, TimePoint Now, Actions &Out) {
  DispatchReply Reply;
  Reply.Attempt = Attempt;
  Reply.Result = Result;
  Reply.Reason = Reason;
  finish(From, std::move(Reply), Now, Out);
}

} // namespace hyssopford
