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
  Row.DirectDeadline = Now + DirectTimeout;
  Row.Deadline = Now + TotalTimeout;
  const std::uint64_t Sequence = ++LastSequence;
  send(Sequence, Pings.emplace(Sequence, std::move(Row)).first->second, Now,
       Out);
}

void FailureDetector::relayPing(NodeId From, const PingRequest &Request,
                                TimePoint Now, Actions &Out) {
  PendingPing Row;
  Row.Target = Request.Target;
  Row.Address = Request.Address;
  Row.DirectDeadline = Now + TotalTimeout;
  Row.Deadline = Now + TotalTimeout;
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
      Row.DirectDeadline = std::min(Row.DirectDeadline, Now);
      requestIndirectPings(Sequence, Row, Out);
    }
  }
}

std::vector<NodeRun> FailureDetector::tick(TimePoint Now, Actions &Out) {
  if (NextPing <= Now) {
    // Jitter keeps nodes that start together from pinging in step.
    NextPing = Now + PingPeriod * 7 / 8 +
               Duration(Random.below(PingPeriod.count() / 4));
    if (const MemberRecord *Target = nextTarget()) {
      ping(Target->Id, Target->Address, Now, Out);
    }
  }
  std::vector<NodeRun> Unresponsive;
  for (auto Entry = Pings.begin(); Entry != Pings.end();) {
    PendingPing &Row = Entry->second;
    if (Row.DirectDeadline <= Now) {
      requestIndirectPings(Entry->first, Row, Out);
    }
    if (Row.Deadline > Now) {
      ++Entry;
      continue;
    }
    if (!Row.Requester) {
      Unresponsive.push_back(Row.Target);
    }
    Entry = Pings.erase(Entry);
  }
  return Unresponsive;
}

TimePoint FailureDetector::nextWakeup() const {
  TimePoint Next = NextPing;
  for (const auto &[Sequence, Row] : Pings) {
    const bool Direct = !Row.IndirectSent && !Row.Requester;
    Next = std::min(Next, Direct ? Row.DirectDeadline : Row.Deadline);
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
        SendToPeer{Row.Target.Node, Ping{Sequence, Row.Target, ConfigVersion,
                                         ChooseRecords(Now)}});
  }
}

void FailureDetector::requestIndirectPings(std::uint64_t Sequence,
                                           PendingPing &Row, Actions &Out) {
  if (Row.IndirectSent || Row.Requester) {
    return;
  }
  Row.IndirectSent = true;
  std::vector<NodeId> Relays = Links.peers();
  std::erase(Relays, Row.Target.Node);
  for (std::size_t Count = 0; Count < IndirectCount && !Relays.empty();
       ++Count) {
    const auto Pick = Relays.begin() +
                      static_cast<std::ptrdiff_t>(Random.below(Relays.size()));
    Out.emplace_back(
        SendToPeer{*Pick, PingRequest{Sequence, Row.Target, Row.Address}});
    Relays.erase(Pick);
  }
}

const MemberRecord *FailureDetector::nextTarget() {
  // At most two passes: the rest of the current round, then a new round.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!RoundTargets.empty()) {
      const MemberRecord *Record = Table.find(RoundTargets.back());
      RoundTargets.pop_back();
      if (Record != nullptr && Record->State != MemberState::Dead) {
        return Record;
      }
    }
    for (const auto &[Node, Record] : Table.records()) {
      if (Record.State != MemberState::Dead && Node != Table.self().Id.Node) {
        RoundTargets.push_back(Node);
      }
    }
    for (std::size_t Left = RoundTargets.size(); Left > 1; --Left) {
      std::swap(RoundTargets[Left - 1], RoundTargets[Random.below(Left)]);
    }
  }
  return nullptr;
}

} // namespace hyssopford
