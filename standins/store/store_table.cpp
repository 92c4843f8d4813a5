#include "store_table.hpp"

#include <algorithm>
#include <type_traits>

namespace hyssopford::standin {

namespace {

StoreResult resultOf(StoreStatus Status, std::string Reason = "") {
  StoreResult Result;
  Result.Status = Status;
  Result.Reason = std::move(Reason);
  return Result;
}

} // namespace

StoreResult StoreTable::call(const StoreOperation &Operation, TimePoint Now) {
  if (Faults.Down) {
    ++Counters.Unanswered;
    return resultOf(StoreStatus::NoAnswer, "store is down");
  }
  expire(Now);
  const bool IsWrite = std::holds_alternative<StoreWrite>(Operation) ||
                       std::holds_alternative<StoreLease>(Operation);
  if (!admit(IsWrite, Now)) {
    ++Counters.Refused;
    return resultOf(StoreStatus::Refused, "rate limit");
  }
  StoreResult Result =
      std::visit([&](const auto &Call) { return run(Call, Now); }, Operation);
  if (std::holds_alternative<StoreWrite>(Operation) &&
      Faults.LoseWriteAnswers > 0) {
    --Faults.LoseWriteAnswers;
    ++Counters.Unanswered;
    return resultOf(StoreStatus::NoAnswer, "answer lost");
  }
  return Result;
}

std::optional<StoreResult> StoreTable::changed(const StoreWatch &Watch,
                                               TimePoint Now) {
  if (Faults.Down) {
    ++Counters.Unanswered;
    return resultOf(StoreStatus::NoAnswer, "store is down");
  }
  expire(Now);
  StoreResult Result = lookUp(Watch.Key);
  if (Result.Status == StoreStatus::Done &&
      (Result.Revision > Watch.AfterRevision ||
       (Faults.ServeOlder && Result.Revision < Watch.AfterRevision))) {
    return Result;
  }
  return std::nullopt;
}

void StoreTable::lapse(std::uint64_t Lease) {
  std::erase_if(LeaseExpiries, [&](const auto &Each) {
    return Lease == 0 || Each.first == Lease;
  });
  std::erase_if(Entries, [&](const auto &Each) {
    return Each.second.Lease != 0 && !LeaseExpiries.contains(Each.second.Lease);
  });
}

StoreResult StoreTable::run(const StoreRead &Call, TimePoint /*Now*/) {
  ++Counters.Reads;
  return lookUp(Call.Key);
}

StoreResult StoreTable::run(const StoreWrite &Call, TimePoint /*Now*/) {
  ++Counters.Writes;
  if (Call.Value.size() > ValueLimit) {
    ++Counters.Refused;
    return resultOf(StoreStatus::Refused, "value too large");
  }
  if (Call.Lease != 0 && !LeaseExpiries.contains(Call.Lease)) {
    return resultOf(StoreStatus::Missing, "lease has lapsed");
  }
  const auto Found = Entries.find(Call.Key);
  const std::uint64_t Revision =
      Found == Entries.end() ? 0 : Found->second.Revision;
  if (Revision != Call.ExpectedRevision) {
    ++Counters.Conflicts;
    StoreResult Result = resultOf(StoreStatus::Conflict);
    Result.Revision = Revision;
    Result.Value = Found == Entries.end() ? "" : Found->second.Value;
    return Result;
  }
  Entry &Changed = Entries[Call.Key];
  Changed.PreviousValue = std::move(Changed.Value);
  Changed.PreviousRevision = Changed.Revision;
  Changed.Value = Call.Value;
  Changed.Revision = ++LastRevision;
  Changed.Lease = Call.Lease;
  StoreResult Result = resultOf(StoreStatus::Done);
  Result.Revision = Changed.Revision;
  return Result;
}

StoreResult StoreTable::run(const StoreWatch &Call, TimePoint Now) {
  ++Counters.Watches;
  return changed(Call, Now).value_or(resultOf(StoreStatus::Unchanged));
}

StoreResult StoreTable::run(const StoreLease &Call, TimePoint Now) {
  ++Counters.Leases;
  StoreResult Result = resultOf(StoreStatus::Done);
  Result.Lease = Call.Lease;
  if (Call.Lease == 0) {
    Result.Lease = ++LastLease;
    LeaseDurations[Result.Lease] = Call.TimeToLive;
  } else if (!LeaseExpiries.contains(Call.Lease)) {
    return resultOf(StoreStatus::Missing, "lease has lapsed");
  }
  LeaseExpiries[Result.Lease] = Now + LeaseDurations[Result.Lease];
  return Result;
}

StoreResult StoreTable::run(const StoreList & /*Call*/, TimePoint /*Now*/) {
  return resultOf(StoreStatus::Refused, "the store lists no keys");
}

bool StoreTable::admit(bool IsWrite, TimePoint Now) {
  RateWindow &Current = IsWrite ? WriteWindow : ReadWindow;
  if (Now - Current.Start >= 1s) {
    Current = RateWindow{Now, 0};
  }
  const std::uint32_t Limit = IsWrite ? Faults.WriteLimit : Faults.ReadLimit;
  if (Current.Count >= Limit) {
    return false;
  }
  ++Current.Count;
  std::uint64_t &Peak = IsWrite ? Counters.PeakWrites : Counters.PeakReads;
  Peak = std::max(Peak, Current.Count);
  return true;
}

void StoreTable::expire(TimePoint Now) {
  const auto Count = std::erase_if(
      LeaseExpiries, [&](const auto &Each) { return Each.second <= Now; });
  if (Count == 0) {
    return;
  }
  std::erase_if(LeaseDurations, [&](const auto &Each) {
    return !LeaseExpiries.contains(Each.first);
  });
  std::erase_if(Entries, [&](const auto &Each) {
    return Each.second.Lease != 0 && !LeaseExpiries.contains(Each.second.Lease);
  });
}

StoreResult StoreTable::lookUp(const std::string &Key) const {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end()) {
    return resultOf(StoreStatus::Missing);
  }
  const Entry &Stored = Found->second;
  const bool UsePrevious = Faults.ServeOlder && Stored.PreviousRevision != 0;
  StoreResult Result = resultOf(StoreStatus::Done);
  Result.Value = UsePrevious ? Stored.PreviousValue : Stored.Value;
  Result.Revision = UsePrevious ? Stored.PreviousRevision : Stored.Revision;
  return Result;
}

} // namespace hyssopford::standin
