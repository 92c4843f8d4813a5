#include "hyssopford/core/allotments/allotment_holder.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

void AllotmentHolder::Demand::advance(TimePoint Now) {
  const Duration Passed = Now - Start;
  if (Passed < DemandTime) {
    return;
  }
  Previous = Passed < 2 * DemandTime ? Current : 0;
  Current = 0;
  Start += DemandTime * (Passed / DemandTime);
}

void AllotmentHolder::Demand::add(TimePoint Now) {
  advance(Now);
  ++Current;
}

std::uint32_t AllotmentHolder::Demand::estimate(TimePoint Now) const {
  Demand Copy = *this;
  Copy.advance(Now);
  const std::int64_t Left = (DemandTime - (Now - Copy.Start)).count();
  return Copy.Current +
         static_cast<std::uint32_t>(Copy.Previous * Left / DemandTime.count());
}

void AllotmentHolder::adopt(const std::vector<ClientAccount> &Configured) {
  Rows Adopted;
  for (const ClientAccount &Account : Configured) {
    if (Account.RatePerSecond <= 0.0) {
      continue;
    }
    auto Known = Accounts.extract(Account.Name);
    if (!Known.empty()) {
      // A changed limit makes earlier statements of the granter void.
      Known.mapped().NothingUntil = TimePoint{};
      Adopted.insert(std::move(Known));
      continue;
    }
    AccountRow Row;
    Row.Name = Account.Name;
    Row.Slot = allotmentSlotOf(Account.Name);
    Adopted.emplace(Account.Name, std::move(Row));
  }
  for (auto &[Name, Row] : Accounts) {
    Timers.cancel(Name);
    WaitingCount -= Row.Waiting.size();
    for (WaitingRequest &Each : Row.Waiting) {
      Allotted.push_back({std::move(Each.Request), std::move(Each.Matched)});
    }
  }
  Accounts = std::move(Adopted);
}

void AllotmentHolder::setGranters(std::uint32_t Slot, std::vector<NodeId> Nodes,
                                  TimePoint Now, Actions &Out) {
  if (Granters.at(Slot) == Nodes) {
    return;
  }
  Granters.at(Slot) = std::move(Nodes);
  for (auto &[Name, Row] : Accounts) {
    if (Row.Slot != Slot) {
      continue;
    }
    Row.NothingUntil = TimePoint{};
    Row.AvoidFirstUntil = TimePoint{};
    ask(Row, Now, Out);
    setTimer(Row, Now);
  }
}

bool AllotmentHolder::acquire(const CallerRequest &Request,
                              const Route &Matched, TimePoint Now,
                              Actions &Out) {
  const auto Found = Accounts.find(Request.Account);
  if (Found == Accounts.end()) {
    return false;
  }
  AccountRow &Row = Found->second;
  Row.Arrivals.add(Now);
  if (Row.Waiting.empty() && takeHeld(Row, Now)) {
    return false;
  }
  if (Row.NothingUntil > Now + ShortWait) {
    refuse(Row, Request.Id, Row.NothingUntil - Now, Now, Out);
    return true;
  }
  if (Row.Waiting.size() >= MaxWaitingOfAccount || WaitingCount >= MaxWaiting) {
    refuse(Row, Request.Id, std::max(Row.NothingUntil - Now, AnswerTimeout),
           Now, Out);
    return true;
  }
  // A request with a short deadline needs most of it to run.
  const Duration Limit =
      std::min(WaitLimit, timeLimit(Matched, Request.Deadline) / 2);
  Row.Waiting.push_back({Request, Matched, Now, Now + Limit});
  ++WaitingCount;
  ask(Row, Now, Out);
  setTimer(Row, Now);
  return true;
}

bool AllotmentHolder::takeHeld(AccountRow &Row, TimePoint Now) {
  dropExpired(Row, Now);
  if (Row.Held.empty()) {
    return false;
  }
  if (--Row.Held.front().Count == 0) {
    Row.Held.pop_front();
  }
  return true;
}

void AllotmentHolder::dropExpired(AccountRow &Row, TimePoint Now) {
  while (!Row.Held.empty() && Row.Held.front().Expires <= Now) {
    Counters.Expired += Row.Held.front().Count;
    Row.Held.pop_front();
  }
}

bool AllotmentHolder::callerGone(RequestId Id) {
  for (auto &[Name, Row] : Accounts) {
    const auto Found = std::find_if(
        Row.Waiting.begin(), Row.Waiting.end(),
        [&](const WaitingRequest &Each) { return Each.Request.Id == Id; });
    if (Found != Row.Waiting.end()) {
      Row.Waiting.erase(Found);
      --WaitingCount;
      return true;
    }
  }
  return false;
}

void AllotmentHolder::ask(AccountRow &Row, TimePoint Now, Actions &Out) {
  if (Row.Waiting.empty() || Row.Pending || Row.NothingUntil > Now) {
    return;
  }
  const std::size_t First = Row.AvoidFirstUntil > Now ? 1 : 0;
  // Without a link to the first granter the other one is asked at once. Without
  // any, the requests wait for a link.
  if (!askRank(Row, First, false, Now, Out)) {
    askRank(Row, 1 - First, true, Now, Out);
  }
}

bool AllotmentHolder::askRank(AccountRow &Row, std::size_t Rank, bool Second,
                              TimePoint Now, Actions &Out) {
  const std::vector<NodeId> &Nodes = Granters.at(Row.Slot);
  if (Rank >= Nodes.size() || !isLinked(Nodes[Rank])) {
    return false;
  }
  Row.Pending = Ask{NextSequence++, Nodes[Rank], Rank, Now, Second};
  const auto Waiting = static_cast<std::uint32_t>(Row.Waiting.size());
  const std::uint32_t Count = std::max(Waiting, Row.Arrivals.estimate(Now));
  Counters.Asked += Count;
  Out.emplace_back(SendToPeer{
      Nodes[Rank], AllotmentRequest{Row.Name, Count, Row.Pending->Sequence}});
  return true;
}

void AllotmentHolder::receive(NodeRun From, const AllotmentGrant &Message,
                              TimePoint Now, Actions &Out) {
  const auto Found = Accounts.find(Message.Account);
  if (Found == Accounts.end()) {
    Counters.Expired += Message.Count;
    return;
  }
  AccountRow &Row = Found->second;
  if (!Row.Pending || Row.Pending->Sequence != Message.Sequence ||
      Row.Pending->To != From.Node) {
    // The time at which the tokens were asked for is no longer known.
    Counters.Expired += Message.Count;
    return;
  }
  const Ask Answered = *Row.Pending;
  Row.Pending.reset();
  if (Message.Count > 0) {
    Row.Held.push_back({Message.Count, Answered.Sent + TokenTime});
    startWaiting(Row, Now);
  }
  if (Message.RetryAfter > Duration{0}) {
    // A granter without most of the shares cannot tell what the other one has.
    const bool AskOther =
        !Row.Waiting.empty() && !Message.HasShares && !Answered.Second;
    if (!AskOther || !askRank(Row, 1 - Answered.Rank, true, Now, Out)) {
      Row.NothingUntil = Now + Message.RetryAfter;
      if (Message.RetryAfter > ShortWait) {
        refuseWaiting(Row, Message.RetryAfter, Now, Out);
      }
    }
  }
  ask(Row, Now, Out);
  setTimer(Row, Now);
}

void AllotmentHolder::startWaiting(AccountRow &Row, TimePoint Now) {
  while (!Row.Waiting.empty() && takeHeld(Row, Now)) {
    WaitingRequest &Next = Row.Waiting.front();
    // The wait counts towards the deadline and the validity of the credential.
    const Duration Waited = Now - Next.Arrived;
    Next.Request.Deadline = std::max(
        timeLimit(Next.Matched, Next.Request.Deadline) - Waited, Duration{1});
    if (Next.Request.CredentialTime > Duration{0}) {
      Next.Request.CredentialTime =
          std::max(Next.Request.CredentialTime - Waited, Duration{1});
    }
    Allotted.push_back({std::move(Next.Request), std::move(Next.Matched)});
    Row.Waiting.pop_front();
    --WaitingCount;
  }
}

void AllotmentHolder::giveUpAsk(AccountRow &Row, TimePoint Now, Actions &Out) {
  const Ask Unanswered = *Row.Pending;
  Row.Pending.reset();
  Row.AvoidFirstUntil = Unanswered.Rank == 0 ? Now + AvoidTime : TimePoint{};
  if (Row.Waiting.empty()) {
    return;
  }
  if (Unanswered.Second || !askRank(Row, 1 - Unanswered.Rank, true, Now, Out)) {
    ask(Row, Now, Out);
  }
}

void AllotmentHolder::refuse(AccountRow &Row, RequestId Id, Duration RetryAfter,
                             TimePoint Now, Actions &Out) {
  ReplyToCaller Reply;
  Reply.Id = Id;
  Reply.Result = Outcome::NotRun;
  Reply.Reason = OutcomeReason::AllotmentExceeded;
  Reply.RetryAfter = RetryAfter;
  Out.emplace_back(std::move(Reply));
  ++Counters.Refused;
  ++Row.RefusedSinceReport;
  if (Row.ReportAt > Now) {
    return;
  }
  Out.emplace_back(
      Notice{"allotment_refused",
             {{"account", Row.Name},
              {"retry_after_ms", std::to_string(RetryAfter / 1ms)},
              {"refused", std::to_string(Row.RefusedSinceReport)},
              {"demand", std::to_string(Row.Arrivals.estimate(Now))}}});
  Row.ReportAt = Now + ReportPeriod;
  Row.RefusedSinceReport = 0;
}

void AllotmentHolder::refuseWaiting(AccountRow &Row, Duration RetryAfter,
                                    TimePoint Now, Actions &Out) {
  WaitingCount -= Row.Waiting.size();
  for (const WaitingRequest &Each : Row.Waiting) {
    refuse(Row, Each.Request.Id, RetryAfter, Now, Out);
  }
  Row.Waiting.clear();
}

void AllotmentHolder::expireWaiting(AccountRow &Row, TimePoint Now,
                                    Actions &Out) {
  std::deque<WaitingRequest> Kept;
  for (WaitingRequest &Each : Row.Waiting) {
    if (Each.Until > Now) {
      Kept.push_back(std::move(Each));
      continue;
    }
    --WaitingCount;
    refuse(Row, Each.Request.Id,
           Row.NothingUntil > Now ? Row.NothingUntil - Now : NoAnswerRetryAfter,
           Now, Out);
  }
  Row.Waiting = std::move(Kept);
}

void AllotmentHolder::linkUp(NodeId Peer, TimePoint Now, Actions &Out) {
  Links.insert(Peer);
  for (auto &[Name, Row] : Accounts) {
    if (!Row.Waiting.empty()) {
      ask(Row, Now, Out);
      setTimer(Row, Now);
    }
  }
}

void AllotmentHolder::linkDown(NodeId Peer, TimePoint Now, Actions &Out) {
  Links.erase(Peer);
  for (auto &[Name, Row] : Accounts) {
    if (Row.Pending && Row.Pending->To == Peer) {
      giveUpAsk(Row, Now, Out);
      setTimer(Row, Now);
    }
  }
}

void AllotmentHolder::tick(TimePoint Now, Actions &Out) {
  for (const std::string &Name : Timers.takeDue(Now)) {
    AccountRow &Row = Accounts.find(Name)->second;
    expireWaiting(Row, Now, Out);
    if (Row.Pending && Row.Pending->Sent + AnswerTimeout <= Now) {
      giveUpAsk(Row, Now, Out);
    }
    ask(Row, Now, Out);
    setTimer(Row, Now);
  }
}

void AllotmentHolder::setTimer(const AccountRow &Row, TimePoint Now) {
  std::optional<TimePoint> Next;
  const auto Add = [&](TimePoint Due) {
    Next = Next ? std::min(*Next, Due) : Due;
  };
  if (Row.Pending) {
    Add(Row.Pending->Sent + AnswerTimeout);
  }
  if (!Row.Waiting.empty()) {
    for (const WaitingRequest &Each : Row.Waiting) {
      Add(Each.Until);
    }
    if (!Row.Pending && Row.NothingUntil > Now) {
      Add(Row.NothingUntil);
    }
  }
  if (Next) {
    Timers.set(Row.Name, *Next);
  } else {
    Timers.cancel(Row.Name);
  }
}

std::vector<AllottedRequest> AllotmentHolder::takeAllotted() {
  return std::exchange(Allotted, {});
}

std::optional<TimePoint> AllotmentHolder::nextWakeup() const {
  return Timers.next();
}

} // namespace hyssopford
