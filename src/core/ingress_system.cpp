#include "hyssopford/core/ingress_system.hpp"

#include "hyssopford/core/fingerprint.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

IngressSystem::IngressSystem(NodeRun Run, RandomSource &Source)
    : Self(Run), Random(Source) {}

void IngressSystem::start(const CallerRequest &Request, const Route &Matched,
                          TimePoint Now, Actions &Out) {
  RequestRow Row;
  Row.Request = Request;
  Row.Matched = Matched;
  Row.Deadline = Now + std::min(Request.Deadline.value_or(Matched.Deadline),
                                Matched.Deadline);
  Row.Idempotent =
      Matched.Idempotent.value_or(isIdempotentMethod(Request.Method));
  RequestRow &Stored =
      Requests.insert_or_assign(Request.Id, std::move(Row)).first->second;
  tryNext(Stored, Now, Out);
}

void IngressSystem::cancel(RequestId Id, TimePoint /*Now*/, Actions &Out) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end()) {
    return;
  }
  if (Found->second.Current) {
    const std::uint64_t Sequence = *Found->second.Current;
    Out.emplace_back(SendToPeer{Attempts.at(Sequence).Owner.Node,
                                Cancel{AttemptId{Self, Sequence}}});
    Attempts.erase(Sequence);
  }
  Requests.erase(Found);
}

void IngressSystem::finishAttempt(NodeId /*From*/, const DispatchReply &Reply,
                                  TimePoint Now, Actions &Out) {
  const auto Found = Attempts.find(Reply.Attempt.Sequence);
  if (Reply.Attempt.Ingress != Self || Found == Attempts.end()) {
    ++LateReplies;
    return;
  }
  RequestRow &Row = Requests.at(Found->second.Request);
  const NodeId Owner = Found->second.Owner.Node;
  Attempts.erase(Found);
  Row.Current.reset();
  if (Reply.Result == Outcome::Answered) {
    Out.emplace_back(ReplyToCaller{Row.Request.Id, Outcome::Answered,
                                   OutcomeReason::None, Reply.Status,
                                   Reply.Answer, Row.Attempts, Owner, false});
    Requests.erase(Row.Request.Id);
    return;
  }
  if (Reply.Reason == OutcomeReason::Quarantined) {
    // Another attempt might crash another upstream.
    settle(Row, Reply.Result, Reply.Reason, Out);
    return;
  }
  if (Reply.Result == Outcome::NotRun || Row.Idempotent) {
    tryNext(Row, Now, Out);
    return;
  }
  settle(Row, Outcome::Unknown, Reply.Reason, Out);
}

void IngressSystem::resolveStatus(const StatusReply &Reply, TimePoint Now,
                                  Actions &Out) {
  if (Reply.State == AttemptState::WillNotRun) {
    DispatchReply End;
    End.Attempt = Reply.Attempt;
    End.Result = Outcome::NotRun;
    End.Reason = OutcomeReason::LinkLost;
    finishAttempt(NodeId{}, End, Now, Out);
  } else if (Reply.State == AttemptState::CannotTell) {
    DispatchReply End;
    End.Attempt = Reply.Attempt;
    End.Reason = OutcomeReason::LinkLost;
    finishAttempt(NodeId{}, End, Now, Out);
  }
}

void IngressSystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  Reachable[Peer.Node] = Peer.Run;
  std::vector<std::uint64_t> Orphans;
  for (const auto &[Sequence, Row] : Attempts) {
    if (Row.Owner.Node != Peer.Node) {
      continue;
    }
    if (Row.Owner == Peer) {
      Out.emplace_back(SendToPeer{
          Peer.Node, StatusQuery{AttemptId{Self, Sequence}, Peer.Run}});
    } else {
      Orphans.push_back(Sequence);
    }
  }
  for (const std::uint64_t Sequence : Orphans) {
    resolveStatus(
        StatusReply{AttemptId{Self, Sequence}, AttemptState::CannotTell}, Now,
        Out);
  }
}

void IngressSystem::linkDown(NodeId Peer, TimePoint /*Now*/,
                             Actions & /*Out*/) {
  Reachable.erase(Peer);
}

void IngressSystem::setCandidates(std::vector<Candidate> All) {
  Candidates = std::move(All);
}

void IngressSystem::tick(TimePoint Now, Actions &Out) {
  std::vector<RequestId> Overdue;
  for (const auto &[Id, Row] : Requests) {
    if (Row.Deadline <= Now) {
      Overdue.push_back(Id);
    }
  }
  for (const RequestId Id : Overdue) {
    RequestRow &Row = Requests.at(Id);
    const Outcome Result = Row.Current ? Outcome::Unknown : Outcome::NotRun;
    if (Row.Current) {
      Out.emplace_back(SendToPeer{Attempts.at(*Row.Current).Owner.Node,
                                  Cancel{AttemptId{Self, *Row.Current}}});
      Attempts.erase(*Row.Current);
    }
    settle(Row, Result, OutcomeReason::DeadlineExceeded, Out);
  }
}

std::optional<TimePoint> IngressSystem::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const auto &[Id, Row] : Requests) {
    Next = Next ? std::min(*Next, Row.Deadline) : Row.Deadline;
  }
  return Next;
}

void IngressSystem::tryNext(RequestRow &Row, TimePoint Now, Actions &Out) {
  if (Row.Deadline <= Now) {
    settle(Row, Outcome::NotRun, OutcomeReason::DeadlineExceeded, Out);
    return;
  }
  if (Row.Attempts >= Row.Matched.TryLimit) {
    settle(Row, Outcome::NotRun, OutcomeReason::TryLimit, Out);
    return;
  }
  const Candidate *Chosen = choose(Row);
  if (Chosen == nullptr) {
    settle(Row, Outcome::NotRun, OutcomeReason::NoUpstream, Out);
    return;
  }
  const std::uint64_t Sequence = NextSequence++;
  Attempts.emplace(Sequence, AttemptRow{Row.Request.Id, Chosen->Owner});
  Row.Current = Sequence;
  Row.Tried.push_back(Chosen->Owner.Node);
  ++Row.Attempts;
  Dispatch Message;
  Message.Attempt = AttemptId{Self, Sequence};
  Message.Owner = Chosen->Owner.Run;
  Message.Service = Row.Matched.Service;
  Message.Route = Row.Matched.Name;
  Message.Remaining = Row.Deadline - Now;
  Message.Class = Row.Request.Class.value_or(Row.Matched.Class);
  Message.Idempotent = Row.Idempotent;
  Message.IsExtra = Row.Request.IsExtra || Row.Attempts > 1;
  Message.Fingerprint = fingerprintOf(Row.Request, Row.Matched);
  Message.Trace = Row.Request.Trace;
  Message.Request = Row.Request.Request;
  Out.emplace_back(SendToPeer{Chosen->Owner.Node, std::move(Message)});
}

const Candidate *IngressSystem::choose(const RequestRow &Row) {
  std::vector<const Candidate *> Usable;
  for (const Candidate &Each : Candidates) {
    const auto Link = Reachable.find(Each.Owner.Node);
    const bool Tried = std::find(Row.Tried.begin(), Row.Tried.end(),
                                 Each.Owner.Node) != Row.Tried.end();
    if (Each.Service == Row.Matched.Service && !Tried &&
        Each.State != UpstreamState::Draining && Link != Reachable.end() &&
        Link->second == Each.Owner.Run) {
      Usable.push_back(&Each);
    }
  }
  return Usable.empty() ? nullptr : Usable[Random.below(Usable.size())];
}

void IngressSystem::settle(RequestRow &Row, Outcome Result,
                           OutcomeReason Reason, Actions &Out) {
  ReplyToCaller Reply;
  Reply.Id = Row.Request.Id;
  Reply.Result = Result;
  Reply.Reason = Reason;
  Reply.Attempts = Row.Attempts;
  Out.emplace_back(std::move(Reply));
  Requests.erase(Row.Request.Id);
}

} // namespace hyssopford
