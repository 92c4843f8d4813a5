#include "hyssopford/core/directory_system.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

constexpr Duration RetryPeriod = 2s;
// A slot that another node holds is tried again after half its lease.
constexpr Duration HeldPeriod = 15s;

// Rounds that found contacts after which these count as gone.
constexpr std::uint32_t FruitlessLimit = 2;

std::string slotKey(std::uint32_t Slot) {
  return "hyssopford/directory/" + std::to_string(Slot);
}

} // namespace

DirectorySystem::DirectorySystem(std::string OwnAddress, RandomSource &Source,
                                 const StartSettings &Chosen)
    : Address(std::move(OwnAddress)), Random(Source), Settings(Chosen) {}

void DirectorySystem::setDirectorySlot(std::optional<std::uint32_t> NewSlot,
                                       std::vector<std::string> Addresses,
                                       TimePoint Now) {
  if (NewSlot != Slot) {
    // The lease of the old slot lapses.
    Lease = 0;
    Revision = 0;
    Written.clear();
    // Spreads the calls of nodes whose tables change at the same time.
    NextWrite =
        Now + Duration(Random.below(Settings.DirectoryWriteJitter.count()));
  }
  Slot = NewSlot;
  Contacts = std::move(Addresses);
}

void DirectorySystem::setIsolated(bool Value, TimePoint Now) {
  if (Value && (!Alone || !NextRead)) {
    NextRead = Now + Settings.DirectoryDelay +
               Duration(Random.below(Settings.DirectoryDelay.count()));
    Backoff = Settings.DirectoryBackoff;
    FoundNone = false;
    SlotsRead = 0;
  }
  Alone = Value;
  if (!Alone) {
    FruitlessRounds = 0;
    NextRead.reset();
  }
}

void DirectorySystem::receive(const StoreReplied &Reply, TimePoint Now) {
  if (OpenCall == 0 || Reply.Call != OpenCall) {
    return;
  }
  const Step Done = std::exchange(Open, Step::None);
  OpenCall = 0;
  if (Done == Step::Read) {
    finishRead(Reply.Result, Now);
  } else if (Done == Step::Write) {
    finishWrite(Reply.Result, Now);
  } else {
    finishLease(Done, Reply.Result, Now);
  }
}

void DirectorySystem::tick(TimePoint Now, Actions &Out) {
  if (OpenCall != 0 && CallStart + CallTime <= Now) {
    StoreResult Lost;
    Lost.Reason = "no answer in time";
    receive(StoreReplied{OpenCall, Lost}, Now);
  }
  if (Lease != 0 && LeaseEnd <= Now) {
    // The process may have been paused: the lease must not be relied upon.
    Lease = 0;
    Revision = 0;
  }
  if (OpenCall != 0) {
    return;
  }
  if (NextRead && *NextRead <= Now) {
    read(Now, Out);
  } else if (Slot && (!Alone || FoundNone) && NextWrite <= Now) {
    write(Now, Out);
  }
}

std::optional<TimePoint> DirectorySystem::nextWakeup() const {
  if (OpenCall != 0) {
    return CallStart + CallTime;
  }
  std::optional<TimePoint> Next = NextRead;
  if (Slot && (!Alone || FoundNone)) {
    Next = Next ? std::min(*Next, NextWrite) : NextWrite;
  }
  return Next;
}

std::vector<std::string> DirectorySystem::takeContacts() {
  return std::exchange(Found, {});
}

void DirectorySystem::call(Step Next, StoreOperation Operation, TimePoint Now,
                           Actions &Out) {
  Open = Next;
  OpenCall = storeCallNumber(StoreUser::Directory, ++LastCall);
  CallStart = Now;
  Out.emplace_back(StoreCall{OpenCall, std::move(Operation)});
}

void DirectorySystem::read(TimePoint Now, Actions &Out) {
  if (SlotsRead == 0) {
    // A site that starts has no slot but the first one.
    FirstSlot = Settings.DirectoryReads < Slots
                    ? 0
                    : static_cast<std::uint32_t>(Random.below(Slots));
  }
  ReadSlot = (FirstSlot + SlotsRead) % Slots;
  ++SlotsRead;
  call(Step::Read, StoreRead{slotKey(ReadSlot)}, Now, Out);
}

void DirectorySystem::write(TimePoint Now, Actions &Out) {
  if (Lease == 0) {
    call(Step::Grant, StoreLease{0, LeaseTime}, Now, Out);
  } else if (Written.empty() || (Written != value() && NextRenewal > Now)) {
    call(Step::Write, StoreWrite{slotKey(*Slot), value(), Revision, Lease}, Now,
         Out);
  } else {
    call(Step::Renew, StoreLease{Lease, LeaseTime}, Now, Out);
  }
}

void DirectorySystem::finishRead(const StoreResult &Result, TimePoint Now) {
  if (!Alone) {
    return;
  }
  const bool Failed = Result.Status == StoreStatus::Refused ||
                      Result.Status == StoreStatus::NoAnswer;
  bool TakesOver = false;
  if (Result.Status == StoreStatus::Done) {
    addContacts(Result.Value);
    TakesOver = ++FruitlessRounds > FruitlessLimit && Slot == ReadSlot;
  } else if (!Failed && SlotsRead < Settings.DirectoryReads) {
    NextRead = Now + Settings.DirectoryInterval;
    return;
  }
  FoundNone = Result.Status == StoreStatus::Missing || TakesOver;
  if (TakesOver) {
    // The contacts of the slot cannot be reached. Of the nodes that have read
    // it, the one whose write succeeds becomes the contact of the others.
    FruitlessRounds = 0;
    Revision = Result.Revision;
    Written.clear();
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
    Written = value();
    NextWrite = NextRenewal;
  } else if (Result.Status == StoreStatus::Conflict) {
    const bool Own = Result.Value.starts_with(Address + "\n");
    // Its own value, from an earlier run or a write without answer, is
    // replaced, so that it belongs to the lease held now.
    Revision = Own ? Result.Revision : 0;
    Written.clear();
    if (!Own && Result.Revision != 0) {
      addContacts(Result.Value);
      Lease = 0;
      NextWrite = Now + HeldPeriod;
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
    // Counted from the start of the call, as the store may have granted it at
    // any time since.
    LeaseEnd = CallStart + LeaseTime - LeaseMargin;
    NextRenewal = CallStart + RenewPeriod;
    NextWrite = Done == Step::Grant || Written != value() ? Now : NextRenewal;
  } else if (Result.Status == StoreStatus::Missing) {
    Lease = 0;
    Revision = 0;
    Written.clear();
  }
}

void DirectorySystem::addContacts(const std::string &Value) {
  std::size_t Begin = 0;
  while (Begin < Value.size()) {
    const std::size_t End = std::min(Value.find('\n', Begin), Value.size());
    const std::string Each = Value.substr(Begin, End - Begin);
    if (!Each.empty() && Each != Address) {
      Found.push_back(Each);
    }
    Begin = End + 1;
  }
}

std::string DirectorySystem::value() const {
  std::string Text;
  for (const std::string &Each : Contacts) {
    Text += Each + "\n";
  }
  return Text;
}

} // namespace hyssopford
