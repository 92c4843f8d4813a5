#include "hyssopford/core/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

void FailureDetector::ping(NodeRun Target, const std::string &Address,
                           TimePoint Now, Actions &Out) {
  if (isPending(Target)) {
    return;
  }
  PendingPing Row;
  Row.Target = Target;
  Row.Address = Address;
  Row.DirectEnd = Now + DirectTimeout;
  Row.End = Now + TotalTimeout;
  const std::uint64_t Sequence = ++LastSequence;
  send(Sequence, Pings.emplace(Sequence, std::move(Row)).first->second, Now,
       Out);
}

void FailureDetector::relay(NodeId From, const PingRequest &Request,
                            TimePoint Now, Actions &Out) {
  PendingPing Row;
  Row.Target = Request.Target;
  Row.Address = Request.Address;
  Row.DirectEnd = Now + TotalTimeout;
  Row.End = Now + TotalTimeout;
  Row.Requester = From;
  Row.RequesterSequence = Request.Sequence;
  const std::uint64_t Sequence = ++LastSequence;
  send(Sequence, Pings.emplace(Sequence, std::move(Row)).first->second, Now,
       Out);
}

void FailureDetector::acknowledge(const Ack &Message, Actions &Out) {
  const auto Found = Pings.find(Message.Sequence);
  if (Found == Pings.end() || Found->second.Target != Message.Target) {
    return;
  }
  const PendingPing Row = std::move(Found->second);
  Pings.erase(Found);
  if (Row.Requester) {
    Out.emplace_back(SendToPeer{
        *Row.Requester,
        Ack{Row.RequesterSequence, Message.Target, ConfigVersion, {}}});
  }
}

void FailureDetector::linkUp(NodeId Peer, TimePoint Now, Actions &Out) {
  for (auto &[Sequence, Row] : Pings) {
    if (Row.Target.Node == Peer && !Row.Sent) {
      send(Sequence, Row, Now, Out);
    }
  }
}

void FailureDetector::linkDown(NodeId Peer, TimePoint Now, Actions &Out) {
  for (auto &[Sequence, Row] : Pings) {
    if (Row.Target.Node == Peer) {
      Row.DirectEnd = std::min(Row.DirectEnd, Now);
      askOthers(Sequence, Row, Out);
    }
  }
}

std::vector<NodeRun> FailureDetector::tick(TimePoint Now, Actions &Out) {
  if (NextPing <= Now) {
    // Jitter keeps nodes that start together from pinging in step.
    NextPing =
        Now + Period * 7 / 8 + Duration(Random.below(Period.count() / 4));
    if (const MemberRecord *Target = nextTarget()) {
      ping(Target->Id, Target->Address, Now, Out);
    }
  }
  std::vector<NodeRun> Silent;
  for (auto Entry = Pings.begin(); Entry != Pings.end();) {
    PendingPing &Row = Entry->second;
    if (Row.DirectEnd <= Now) {
      askOthers(Entry->first, Row, Out);
    }
    if (Row.End > Now) {
      ++Entry;
      continue;
    }
    if (!Row.Requester) {
      Silent.push_back(Row.Target);
    }
    Entry = Pings.erase(Entry);
  }
  return Silent;
}

TimePoint FailureDetector::nextWakeup() const {
  TimePoint Next = NextPing;
  for (const auto &[Sequence, Row] : Pings) {
    const bool Direct = !Row.AskedOthers && !Row.Requester;
    Next = std::min(Next, Direct ? Row.DirectEnd : Row.End);
  }
  return Next;
}

bool FailureDetector::isPending(NodeRun Target) const {
  return std::any_of(Pings.begin(), Pings.end(), [&](const auto &Entry) {
    return Entry.second.Target == Target && !Entry.second.Requester;
  });
}

void FailureDetector::send(std::uint64_t Sequence, PendingPing &Row,
                           TimePoint Now, Actions &Out) {
  if (Links.open(Row.Target.Node, Row.Address, Now, Out)) {
    Row.Sent = true;
    Out.emplace_back(
        SendToPeer{Row.Target.Node,
                   Ping{Sequence, Row.Target, ConfigVersion, Records(Now)}});
  }
}

void FailureDetector::askOthers(std::uint64_t Sequence, PendingPing &Row,
                                Actions &Out) {
  if (Row.AskedOthers || Row.Requester) {
    return;
  }
  Row.AskedOthers = true;
  std::vector<NodeId> Helpers = Links.peers();
  std::erase(Helpers, Row.Target.Node);
  for (std::size_t Count = 0; Count < IndirectCount && !Helpers.empty();
       ++Count) {
    const auto Pick = Helpers.begin() +
                      static_cast<std::ptrdiff_t>(Random.below(Helpers.size()));
    Out.emplace_back(
        SendToPeer{*Pick, PingRequest{Sequence, Row.Target, Row.Address}});
    Helpers.erase(Pick);
  }
}

const MemberRecord *FailureDetector::nextTarget() {
  // Twice at most: the rest of the old round, then a new one.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!Round.empty()) {
      const MemberRecord *Record = Table.find(Round.back());
      Round.pop_back();
      if (Record != nullptr && Record->State != MemberState::Dead) {
        return Record;
      }
    }
    for (const auto &[Node, Record] : Table.records()) {
      if (Record.State != MemberState::Dead && Node != Table.self().Id.Node) {
        Round.push_back(Node);
      }
    }
    for (std::size_t Left = Round.size(); Left > 1; --Left) {
      std::swap(Round[Left - 1], Round[Random.below(Left)]);
    }
  }
  return nullptr;
}

} // namespace hyssopford
