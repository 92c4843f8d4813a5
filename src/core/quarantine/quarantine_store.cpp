#include "hyssopford/core/quarantine/quarantine_store.hpp"

#include "hyssopford/core/quarantine/quarantine_record.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// Doublings of the time until a failed call is repeated.
constexpr std::uint32_t DoublingsMax = 6;

} // namespace

QuarantineStore::QuarantineStore(const QuarantineSettings &Settings,
                                 RandomSource &Source, Snapshot Current)
    : Enabled(Settings.Stored), Random(Source), Contents(std::move(Current)),
      Complete(!Settings.Stored) {}

void QuarantineStore::completeByPeer() { Complete = true; }

std::uint64_t QuarantineStore::change(bool IsUrgent, TimePoint Now) {
  if (!Enabled) {
    return 0;
  }
  ++Changes;
  if (IsUrgent) {
    Urgent = Changes;
    NextWrite = Failures == 0 ? std::min(NextWrite, Now) : NextWrite;
  }
  return Changes;
}

void QuarantineStore::receive(const StoreReplied &Reply, TimePoint Now,
                              Actions &Out) {
  if (!Enabled) {
    return;
  }
  if (Reply.Result.Era > Era) {
    // The store may have lost the record and the lease.
    if (Era != 0 && Acknowledged > 0) {
      ++Changes;
    }
    Era = Reply.Result.Era;
    Revision = 0;
    Lease = 0;
  }
  if (OpenCall == 0 || Reply.Call != OpenCall) {
    return;
  }
  OpenCall = 0;
  if (Reply.Result.Era != 0 && Reply.Result.Era < Era) {
    fail("the store has lost its state", Now, Out);
    return;
  }
  switch (OpenStep) {
  case Step::Read:
    finishRead(Reply.Result, Now, Out);
    break;
  case Step::Grant:
    finishGrant(Reply.Result, Now, Out);
    break;
  case Step::Write:
    finishWrite(Reply.Result, Now, Out);
    break;
  }
}

void QuarantineStore::tick(TimePoint Now, Actions &Out) {
  if (!Enabled) {
    return;
  }
  if (!NextRead) {
    NextRead = Now + ReadDelay + Duration(Random.below(ReadSpread.count()));
  }
  if (OpenCall != 0) {
    if (CallStart + CallTimeout > Now) {
      return;
    }
    OpenCall = 0;
    fail("no answer", Now, Out);
  }
  if (hasUnwritten() && NextWrite <= Now) {
    write(Now, Out);
  } else if (!Complete && *NextRead <= Now) {
    call(Step::Read, StoreRead{QuarantineKey}, Now, Out);
  }
}

std::optional<TimePoint> QuarantineStore::nextWakeup() const {
  if (!Enabled) {
    return std::nullopt;
  }
  if (OpenCall != 0) {
    return CallStart + CallTimeout;
  }
  std::optional<TimePoint> Next;
  if (!Complete) {
    Next = NextRead.value_or(TimePoint{});
  }
  if (hasUnwritten()) {
    Next = Next ? std::min(*Next, NextWrite) : NextWrite;
  }
  return Next;
}

std::vector<CrashSighting> QuarantineStore::takeSightings() {
  return std::exchange(Found, {});
}

void QuarantineStore::call(Step Next, StoreOperation Operation, TimePoint Now,
                           Actions &Out) {
  OpenStep = Next;
  OpenCall = storeCallNumber(StoreUser::Quarantine, ++LastCall);
  CallStart = Now;
  Out.emplace_back(StoreCall{OpenCall, std::move(Operation)});
}

void QuarantineStore::write(TimePoint Now, Actions &Out) {
  if (IsUnknown) {
    call(Step::Read, StoreRead{QuarantineKey}, Now, Out);
    return;
  }
  if (Lease == 0 || LeaseUntil <= Now) {
    call(Step::Grant, StoreLease{0, LeaseTime}, Now, Out);
    return;
  }
  Writing = Changes;
  call(Step::Write,
       StoreWrite{QuarantineKey, renderQuarantineRecord(Contents(Now)),
                  Revision, Lease},
       Now, Out);
}

void QuarantineStore::finishRead(const StoreResult &Result, TimePoint Now,
                                 Actions &Out) {
  if (Result.Status == StoreStatus::Missing) {
    Revision = 0;
    reportRead(0, Out);
  } else if (Result.Status == StoreStatus::Done) {
    if (!merge(Result.Value, Out)) {
      fail("the record is unreadable", Now, Out);
      return;
    }
    Revision = Result.Revision;
  } else {
    fail(Result.Reason, Now, Out);
    return;
  }
  Complete = true;
  IsUnknown = false;
  succeed(Out);
}

void QuarantineStore::finishGrant(const StoreResult &Result, TimePoint Now,
                                  Actions &Out) {
  if (Result.Status != StoreStatus::Done) {
    fail(Result.Reason, Now, Out);
    return;
  }
  Lease = Result.Lease;
  LeaseUntil = CallStart + LeaseUse;
  write(Now, Out);
}

void QuarantineStore::finishWrite(const StoreResult &Result, TimePoint Now,
                                  Actions &Out) {
  if (Result.Status == StoreStatus::Done) {
    Revision = Result.Revision;
    Acknowledged = std::max(Acknowledged, Writing);
    NextWrite = Urgent > Acknowledged ? Now : CallStart + WritePeriod;
    Conflicts = 0;
    succeed(Out);
    return;
  }
  if (Result.Status == StoreStatus::Missing) {
    Lease = 0;
    NextWrite = Now;
    return;
  }
  if (Result.Status != StoreStatus::Conflict || ++Conflicts > ConflictsMax) {
    Conflicts = 0;
    fail(Result.Reason.empty() ? "other nodes write it" : Result.Reason, Now,
         Out);
    return;
  }
  // Another node wrote the record, or it has ended. Its sightings are part of
  // the next write.
  Revision = Result.Revision;
  IsUnknown = Revision != 0 && !merge(Result.Value, Out);
  Complete = Complete || !IsUnknown;
  NextWrite = Now + Duration(Random.below(WritePeriod.count() / 8));
}

bool QuarantineStore::merge(const std::string &Value, Actions &Out) {
  std::optional<std::vector<CrashSighting>> Parsed =
      parseQuarantineRecord(Value);
  if (!Parsed) {
    return false;
  }
  reportRead(Parsed->size(), Out);
  Found.insert(Found.end(), Parsed->begin(), Parsed->end());
  return true;
}

void QuarantineStore::reportRead(std::size_t Sightings, Actions &Out) const {
  if (!Complete) {
    Out.emplace_back(Notice{"quarantine_record_read",
                            {{"sightings", std::to_string(Sightings)}}});
  }
}

void QuarantineStore::fail(const std::string &Reason, TimePoint Now,
                           Actions &Out) {
  if (Failures == 0) {
    Out.emplace_back(
        Notice{"quarantine_record_unavailable",
               {{"step", OpenStep == Step::Read ? "read" : "write"},
                {"complete", Complete ? "yes" : "no"},
                {"reason", Reason}}});
  }
  const Duration Delay =
      std::min(RetryMin * (1U << std::min(Failures, DoublingsMax)), RetryMax);
  ++Failures;
  const TimePoint Next = Now + Delay + Duration(Random.below(Delay.count()));
  NextRead = Next;
  NextWrite = Next;
}

void QuarantineStore::succeed(Actions &Out) {
  if (std::exchange(Failures, 0) > 0) {
    Out.emplace_back(Notice{"quarantine_record_available",
                            {{"complete", Complete ? "yes" : "no"}}});
  }
}

} // namespace hyssopford
