#include "hyssopford/core/directory_system.hpp"

#include "hyssopford/core/directory_value.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

constexpr Duration RetryPeriod = 2s;
// Half the lease, after which a slot that another node holds is tried again.
constexpr Duration HeldSlotRetryPeriod = 15s;

// Most contacts that are kept.
constexpr std::size_t ContactsMax = 64;

// Rounds with unreachable contacts after which the slot may be taken over.
constexpr std::uint32_t UnreachableRoundLimit = 2;

std::string slotKey(std::uint32_t Slot) {
  return DirectoryPrefix + std::to_string(Slot);
}

} // namespace

DirectorySystem::DirectorySystem(std::string OwnAddress, RandomSource &Source,
                                 const StartSettings &Chosen)
    : Address(std::move(OwnAddress)), Random(Source), Settings(Chosen) {}

void DirectorySystem::setDirectorySlot(std::optional<std::uint32_t> NewSlot,
                                       std::vector<std::string> Addresses,
                                       TimePoint Now) {
  if (NewSlot != Slot) {
    // The lease of the old slot is left to lapse.
    Lease = 0;
    Revision = 0;
    WrittenValue.clear();
    // Spreads the calls of nodes whose tables change at the same time.
    NextWrite =
        Now + Duration(Random.below(Settings.DirectoryWriteJitter.count()));
  }
  Slot = NewSlot;
  Contacts = std::move(Addresses);
}

void DirectorySystem::setIsolated(bool Value, TimePoint Now) {
  if (Value && (!Isolated || !NextRead)) {
    NextRead = Now + Settings.DirectoryDelay +
               Duration(Random.below(Settings.DirectoryDelay.count()));
    Backoff = Settings.DirectoryBackoff;
    FoundNoContacts = false;
    SlotsRead = 0;
  }
  Isolated = Value;
  if (!Isolated) {
    UnreachableRounds = 0;
    NextRead.reset();
  }
}

void DirectorySystem::receive(const StoreReplied &Reply, TimePoint Now) {
  if (Reply.Result.Era > Era) {
    // The store may have lost the lease or the value; another node may hold a
    // lease with the same number.
    const bool IsFirst = std::exchange(Era, Reply.Result.Era) == 0;
    Lease = 0;
    Revision = 0;
    WrittenValue.clear();
    if (!IsFirst) {
      NextWrite = std::min(
          NextWrite,
          Now + Duration(Random.below(Settings.DirectoryWriteJitter.count())));
    }
  }
  if (OpenCall == 0 || Reply.Call != OpenCall) {
    return;
  }
  const Step Done = std::exchange(OpenStep, Step::None);
  OpenCall = 0;
  const bool IsOldEra = Reply.Result.Era != 0 && Reply.Result.Era < Era;
  const bool IsVoid =
      (Done == Step::Renew || Done == Step::Write) && CallEra != Era;
  if (Done != Step::Read && (IsOldEra || IsVoid)) {
    NextWrite = Now + RetryPeriod;
    return;
  }
  if (Done == Step::Read) {
    finishRead(Reply.Result, Now);
  } else if (Done == Step::Write) {
    finishWrite(Reply.Result, Now);
  } else {
    finishLease(Done, Reply.Result, Now);
  }
}

void DirectorySystem::tick(TimePoint Now, Actions &Out) {
  if (OpenCall != 0 && CallStart + CallTimeout <= Now) {
    StoreResult TimedOut;
    TimedOut.Reason = "no answer within 5 s";
    receive(StoreReplied{OpenCall, TimedOut}, Now);
  }
  if (Lease != 0 && LeaseEnd <= Now) {
    // Renewals failed or the process was paused: the lease may have lapsed.
    Lease = 0;
    Revision = 0;
  }
  if (OpenCall != 0) {
    return;
  }
  if (NextRead && *NextRead <= Now) {
    readSlot(Now, Out);
  } else if (Slot && (!Isolated || FoundNoContacts) && NextWrite <= Now) {
    writeSlot(Now, Out);
  }
}

std::optional<TimePoint> DirectorySystem::nextWakeup() const {
  if (OpenCall != 0) {
    return CallStart + CallTimeout;
  }
  std::optional<TimePoint> Next = NextRead;
  if (Slot && (!Isolated || FoundNoContacts)) {
    Next = Next ? std::min(*Next, NextWrite) : NextWrite;
  }
  return Next;
}

std::vector<std::string> DirectorySystem::takeContacts() {
  return std::exchange(FoundContacts, {});
}

void DirectorySystem::callStore(Step Next, StoreOperation Operation,
                                TimePoint Now, Actions &Out) {
  OpenStep = Next;
  OpenCall = storeCallNumber(StoreUser::Directory, ++LastCall);
  CallStart = Now;
  CallEra = Era;
  Out.emplace_back(StoreCall{OpenCall, std::move(Operation)});
}

void DirectorySystem::readSlot(TimePoint Now, Actions &Out) {
  if (SlotsRead == 0) {
    // Rounds that read only some slots begin with the first one, which a
    // starting site writes first.
    FirstSlot = Settings.DirectoryReads < Slots
                    ? 0
                    : static_cast<std::uint32_t>(Random.below(Slots));
  }
  ReadSlot = (FirstSlot + SlotsRead) % Slots;
  ++SlotsRead;
  callStore(Step::Read, StoreRead{slotKey(ReadSlot)}, Now, Out);
}

void DirectorySystem::writeSlot(TimePoint Now, Actions &Out) {
  if (Lease == 0) {
    callStore(Step::Grant, StoreLease{0, LeaseDuration}, Now, Out);
  } else if (SentValue = renderContacts(Now);
             WrittenValue.empty() ||
             (WrittenValue != SentValue && NextRenewal > Now)) {
    callStore(Step::Write,
              StoreWrite{slotKey(*Slot), SentValue, Revision, Lease}, Now, Out);
  } else {
    callStore(Step::Renew, StoreLease{Lease, LeaseDuration}, Now, Out);
  }
}

void DirectorySystem::finishRead(const StoreResult &Result, TimePoint Now) {
  if (!Isolated) {
    return;
  }
  const bool Failed = Result.Status == StoreStatus::Refused ||
                      Result.Status == StoreStatus::NoAnswer;
  bool TakesOverSlot = false;
  if (Result.Status == StoreStatus::Done) {
    addContacts(Result.Value);
    TakesOverSlot =
        ++UnreachableRounds > UnreachableRoundLimit && Slot == ReadSlot;
  } else if (!Failed && SlotsRead < Settings.DirectoryReads) {
    NextRead = Now + Settings.DirectoryInterval;
    return;
  }
  FoundNoContacts = Result.Status == StoreStatus::Missing || TakesOverSlot;
  if (TakesOverSlot) {
    // The contacts of the slot cannot be reached. Compare-and-swap lets one of
    // the nodes that read it replace them and become the others' contact.
    UnreachableRounds = 0;
    Revision = Result.Revision;
    WrittenValue.clear();
    NextWrite = Now;
  }
  SlotsRead = 0;
  NextRead = Now + Backoff + Duration(Random.below(Backoff.count()));
  Backoff = std::min(Backoff * 2, Settings.DirectoryBackoffMax);
}

void DirectorySystem::finishWrite(const StoreResult &Result, TimePoint Now) {
  NextWrite = Now + RetryPeriod;
  if (Result.Status == StoreStatus::Done) {
    Revision = Result.Revision;
    WrittenValue = SentValue;
    NextWrite = NextRenewal;
  } else if (Result.Status == StoreStatus::Conflict) {
    const bool Own = Result.Value.starts_with(Address + "\n");
    // This node's own value, from an earlier run or a write without answer, is
    // replaced, so that it belongs to the current lease.
    Revision = Own ? Result.Revision : 0;
    WrittenValue.clear();
    if (!Own && Result.Revision != 0) {
      addContacts(Result.Value);
      Lease = 0;
      NextWrite = Now + HeldSlotRetryPeriod;
    }
  } else if (Result.Status == StoreStatus::Missing) {
    Lease = 0;
    Revision = 0;
  }
}

void DirectorySystem::finishLease(Step Done, const StoreResult &Result,
                                  TimePoint Now) {
  NextWrite = Now + RetryPeriod;
  if (Result.Status == StoreStatus::Done) {
    Lease = Result.Lease;
    // Counted from the start of the call, because the store may have granted
    // the lease at any time since.
    LeaseEnd = CallStart + LeaseDuration - LeaseMargin;
    NextRenewal = CallStart + RenewPeriod;
    NextWrite = Done == Step::Grant || WrittenValue != renderContacts(Now)
                    ? Now
                    : NextRenewal;
  } else if (Result.Status == StoreStatus::Missing) {
    Lease = 0;
    Revision = 0;
    WrittenValue.clear();
  }
}

void DirectorySystem::addContacts(const std::string &Value) {
  for (std::string &Each : parseDirectoryValue(Value).Contacts) {
    if (Each != Address && FoundContacts.size() < ContactsMax) {
      FoundContacts.push_back(std::move(Each));
    }
  }
}

std::string DirectorySystem::renderContacts(TimePoint Now) const {
  return renderDirectoryValue({Contacts, CountMembers ? CountMembers(Now) : 0});
}

} // namespace hyssopford
