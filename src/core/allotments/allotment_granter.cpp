#include "hyssopford/core/allotments/allotment_granter.hpp"

#include "hyssopford/core/allotments/share_lender.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopford {

namespace {

// Shortest time stated to a refused request.
constexpr Duration RetryAfterMin = 1ms;
// Sum of shares from which the bucket counts as complete. Members whose tables
// differ by one lend slightly different shares.
constexpr double CompleteShare = 0.95;
// Sum of shares above which no other granter can hold as many.
constexpr double MostShares = 0.5;
// Levels and shares are sums of fractions and may miss a whole number.
constexpr double RoundingTolerance = 1e-9;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration durationOf(double Seconds) {
  // Rates of one request in a day or less must not overflow.
  constexpr double Longest = 86'400.0;
  return Duration(
      static_cast<std::int64_t>(std::ceil(std::min(Seconds, Longest) * 1e6)));
}

} // namespace

void AllotmentGranter::adopt(const std::vector<ClientAccount> &Configured,
                             TimePoint Now) {
  std::map<std::string, Bucket, std::less<>> Adopted;
  for (const ClientAccount &Account : Configured) {
    if (Account.RatePerSecond <= 0.0) {
      continue;
    }
    Bucket Row;
    const auto Known = Buckets.find(Account.Name);
    if (Known != Buckets.end()) {
      settle(Known->second, Now);
      Row = Known->second;
    } else {
      Row.Slot = allotmentSlotOf(Account.Name);
      Row.Updated = Now;
    }
    Row.Rate = Account.RatePerSecond;
    Row.Burst = std::max(Account.Burst, 1.0);
    Row.Announced = Now;
    settle(Row, Now);
    Adopted.emplace(Account.Name, Row);
  }
  Buckets = std::move(Adopted);
}

void AllotmentGranter::setMembers(
    const std::map<NodeId, MemberRecord> &Records) {
  Members.clear();
  for (const auto &[Node, Record] : Records) {
    if (Record.State == MemberState::Alive ||
        Record.State == MemberState::Suspect) {
      Members.insert(Node);
    }
  }
  for (Slot &Row : Slots) {
    Row.NextRequest = TimePoint{};
  }
}

void AllotmentGranter::setMemberCount(std::uint32_t Count) {
  const bool HadEvidence = std::exchange(MemberCount, Count) > 0;
  if (HadEvidence || Count == 0) {
    return;
  }
  // Members without evidence have declined so far.
  for (Slot &Row : Slots) {
    Row.NextRequest = TimePoint{};
    for (auto &[Node, Each] : Row.Lenders) {
      Each.NextRequest = TimePoint{};
    }
  }
}

void AllotmentGranter::setFirst(std::uint32_t Number, bool IsFirst,
                                TimePoint Now, Actions &Out) {
  Slot &Row = Slots.at(Number);
  const bool WasActive = isActive(Row, Now);
  Row.First = IsFirst;
  if (WasActive && !isActive(Row, Now)) {
    release(Number, Out);
  }
  if (!WasActive) {
    Row.NextRequest = TimePoint{};
  }
}

void AllotmentGranter::linkUp(NodeId Peer, TimePoint Now) {
  Links.insert(Peer);
  for (Slot &Row : Slots) {
    const auto Found = Row.Lenders.find(Peer);
    if (Found != Row.Lenders.end()) {
      Found->second.NextRequest = Now;
    }
    Row.NextRequest = TimePoint{};
  }
}

AllotmentGrant AllotmentGranter::grant(const AllotmentRequest &Message,
                                       TimePoint Now) {
  AllotmentGrant Answer{Message.Account, 0, Message.Sequence,
                        ShareLender::LeaseTime};
  const auto Found = Buckets.find(Message.Account);
  if (Found == Buckets.end() || Left) {
    return Answer;
  }
  Bucket &Row = Found->second;
  Slot &Own = Slots.at(Row.Slot);
  if (!isActive(Own, Now)) {
    Own.NextRequest = TimePoint{};
  }
  Own.ActiveUntil = Now + ActiveTime;
  settle(Row, Now);
  const double Whole = std::floor(std::max(Row.Level, 0.0) + RoundingTolerance);
  Answer.Count = static_cast<std::uint32_t>(
      std::min(Whole, static_cast<double>(Message.Count)));
  Answer.HasShares = share(Row.Slot, Now) > MostShares;
  Row.Level -= Answer.Count;
  Granted += Answer.Count;
  Answer.RetryAfter = Answer.Count < Message.Count
                          ? retryAfter(Row, Answer.Count > 0, Now)
                          : Duration{0};
  return Answer;
}

Duration AllotmentGranter::retryAfter(Bucket &Row, bool IsPartial,
                                      TimePoint Now) const {
  const Slot &Own = Slots.at(Row.Slot);
  const double Share = share(Row.Slot, Now);
  if (Share < CompleteShare) {
    // More shares may follow soon: the members may be asked for the first time,
    // or a lease of an earlier granter is about to end.
    TimePoint Soon = TimePoint::max();
    for (const auto &[Node, Each] : Own.Lenders) {
      if (Members.contains(Node) && Links.contains(Node) && Each.FreeAt > Now) {
        Soon = std::min(Soon, Each.FreeAt + RetryPeriod);
      }
    }
    const bool Collecting =
        !Own.Since || *Own.Since + ShareLender::LeaseTime > Now;
    if (!Own.Since || *Own.Since + CollectTime > Now) {
      Soon = Now + CollectTime;
    } else if (Soon == TimePoint::max() && (Collecting || Share <= 0.0)) {
      Soon = Now + RenewPeriod;
    }
    if (Soon != TimePoint::max()) {
      return Soon - Now;
    }
  }
  const double Rate = Row.Rate * Share;
  const TimePoint Next =
      Now + durationOf(std::max(1.0 - Row.Level, 0.0) / Rate);
  if (IsPartial) {
    return std::max(Next - Now, RetryAfterMin);
  }
  // Each refused request is told a later token than the one before, so that
  // they do not all return for the same one.
  TimePoint Told = std::max(Next, Row.Announced);
  if (Told > std::max(Next, Now + QueueTime)) {
    Told = std::max(Next, Now + QueueTime);
  }
  Row.Announced = Told + durationOf(1.0 / Rate);
  return std::max(Told - Now, RetryAfterMin);
}

void AllotmentGranter::receive(NodeRun From, const ShareReply &Message,
                               TimePoint Now, Actions &Out) {
  if (Message.Slot >= AllotmentSlots) {
    return;
  }
  Slot &Row = Slots.at(Message.Slot);
  const auto Found = Row.Lenders.find(From.Node);
  if (Found == Row.Lenders.end() || Found->second.Sequence == 0 ||
      Found->second.Sequence != Message.Sequence) {
    return;
  }
  Lender &Each = Found->second;
  settleSlot(Message.Slot, Now);
  Each.Sequence = 0;
  const bool HadLease = Each.Until > Now;
  const bool Lent = Message.Members > 0 && isActive(Row, Now);
  Each.Members = Lent ? Message.Members : 0;
  const Duration Lease = ShareLender::leaseTime(Message.Members);
  Each.Until = Lent ? Each.Sent + Lease : Now;
  if (!Lent) {
    // A renewal is declined in favour of a preceding granter, which gets the
    // share at once.
    Each.FreeAt = Now + std::clamp(Message.RetryAfter, RetryPeriod,
                                   ShareLender::LeaseTimeMax);
    Each.NextRequest =
        Now + std::clamp(Message.RetryAfter, RetryPeriod, RenewPeriod);
    if (HadLease || Message.Members > 0) {
      Out.emplace_back(SendToPeer{
          From.Node, ShareRequest{Message.Slot, NextSequence++, 0, true}});
    }
  } else {
    Each.FreeAt = TimePoint{};
    // The loss of one renewal does not end the lease.
    Each.NextRequest = Each.Sent + Lease * 3 / 7;
  }
  settleSlot(Message.Slot, Now);
  Row.NextRequest = std::min(Row.NextRequest, Each.NextRequest);
}

void AllotmentGranter::leave(Actions &Out) {
  Left = true;
  for (std::uint32_t Number = 0; Number < AllotmentSlots; ++Number) {
    release(Number, Out);
  }
}

void AllotmentGranter::release(std::uint32_t Number, Actions &Out) {
  Slot &Row = Slots.at(Number);
  for (const auto &[Node, Each] : Row.Lenders) {
    // An unanswered request may have been accepted.
    if (Each.Members > 0 || Each.Sequence != 0) {
      Out.emplace_back(
          SendToPeer{Node, ShareRequest{Number, NextSequence++, 0, true}});
    }
  }
  Row.Lenders.clear();
  Row.Since.reset();
  for (auto &[Name, Each] : Buckets) {
    if (Each.Slot == Number) {
      Each.Level = 0.0;
    }
  }
}

void AllotmentGranter::tick(TimePoint Now, Actions &Out) {
  for (std::uint32_t Number = 0; Number < AllotmentSlots; ++Number) {
    Slot &Row = Slots.at(Number);
    if (!isActive(Row, Now) || Buckets.empty()) {
      if (Row.Since) {
        release(Number, Out);
      }
      continue;
    }
    if (Row.NextRequest <= Now) {
      requestShares(Number, Now, Out);
    }
  }
}

void AllotmentGranter::requestShares(std::uint32_t Number, TimePoint Now,
                                     Actions &Out) {
  Slot &Row = Slots.at(Number);
  const bool IsUsed =
      std::any_of(Buckets.begin(), Buckets.end(), [&](const auto &Entry) {
        return Entry.second.Slot == Number;
      });
  Row.NextRequest = Now + RenewPeriod;
  if (!IsUsed) {
    return;
  }
  if (!Row.Since) {
    Row.Since = Now;
  }
  const std::uint32_t All = membersOf(Row);
  for (const NodeId Node : Members) {
    if (Node != Self.Node && !Links.contains(Node)) {
      continue;
    }
    Lender &Each = Row.Lenders[Node];
    if (Each.NextRequest <= Now) {
      Each.Sequence = NextSequence++;
      Each.Sent = Now;
      Each.NextRequest = Now + RenewPeriod;
      Out.emplace_back(SendToPeer{
          Node, ShareRequest{Number, Each.Sequence,
                             Node == Self.Node ? All : MemberCount, false}});
    }
    Row.NextRequest = std::min(Row.NextRequest, Each.NextRequest);
  }
}

std::uint32_t AllotmentGranter::membersOf(const Slot &Row) const {
  std::uint32_t Most = MemberCount;
  for (const auto &[Node, Each] : Row.Lenders) {
    if (Node != Self.Node) {
      Most = std::max(Most, Each.Members);
    }
  }
  return Most;
}

std::optional<TimePoint> AllotmentGranter::nextWakeup() const {
  std::optional<TimePoint> Next;
  for (const Slot &Row : Slots) {
    // The start of collecting is due at once; the end of a slot without
    // requests is noticed at its next timer.
    if (!Left && !Buckets.empty() &&
        (Row.First || Row.Since || Row.ActiveUntil > Row.NextRequest)) {
      Next = Next ? std::min(*Next, Row.NextRequest) : Row.NextRequest;
    }
  }
  return Next;
}

double AllotmentGranter::share(std::uint32_t Number, TimePoint Now) const {
  double Sum = 0.0;
  for (const auto &[Node, Each] : Slots.at(Number).Lenders) {
    if (Each.Members > 0 && Each.Until > Now) {
      Sum += 1.0 / Each.Members;
    }
  }
  return Sum + RoundingTolerance >= 1.0 ? 1.0 : Sum;
}

void AllotmentGranter::settle(Bucket &Row, TimePoint Now) const {
  // Shares are only added after a settlement, so the present sum is the lowest
  // since the last one.
  const double Share = share(Row.Slot, Now);
  const double Capacity = Share > 0.0 ? std::max(Row.Burst * Share, 1.0) : 0.0;
  Row.Level += Row.Rate * Share * seconds(Now - Row.Updated);
  Row.Level = std::min(Row.Level, Capacity);
  Row.Updated = Now;
}

void AllotmentGranter::settleSlot(std::uint32_t Number, TimePoint Now) {
  for (auto &[Name, Row] : Buckets) {
    if (Row.Slot == Number) {
      settle(Row, Now);
    }
  }
}

} // namespace hyssopford
