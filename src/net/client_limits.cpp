#include "hyssopford/net/client_limits.hpp"

#include "hyssopford/net/event_loop.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hyssopford {

const char *toString(CloseReason Reason) {
  switch (Reason) {
  case CloseReason::Memory:
    return "memory";
  case CloseReason::Connections:
    return "connections";
  case CloseReason::Address:
    return "address";
  case CloseReason::Descriptors:
    return "descriptors";
  case CloseReason::Timeout:
    return "timeout";
  }
  return "";
}

ClientLimits::ClientLimits(MemoryBudget *Budget) : Memory(Budget) {
  if (Memory != nullptr) {
    Memory->setReclaimer([this](MemoryShortage Lacking) {
      return reclaimMemory(Lacking, EventLoop::now());
    });
  }
}

ClientLimits::~ClientLimits() {
  if (Memory != nullptr) {
    Memory->setReclaimer({});
  }
}

ClientLimits::Handle ClientLimits::add(LimitedConnection &Added,
                                       const void *Group, std::string Address,
                                       TimePoint Now) {
  ++PerAddress[Address];
  Stalled.push_back(Record{&Added, Group, std::move(Address), Now, false});
  return std::prev(Stalled.end());
}

void ClientLimits::reportProgress(Handle Which, bool IsIdle, TimePoint Now) {
  std::list<Record> &Source = Which->IsIdle ? Idle : Stalled;
  std::list<Record> &Target = IsIdle ? Idle : Stalled;
  Which->Progress = Now;
  Which->IsIdle = IsIdle;
  Target.splice(Target.end(), Source, Which);
}

void ClientLimits::remove(Handle Which) {
  const auto Found = PerAddress.find(Which->Address);
  if (--Found->second == 0) {
    PerAddress.erase(Found);
  }
  (Which->IsIdle ? Idle : Stalled).erase(Which);
}

bool ClientLimits::reclaimMemory(MemoryShortage Lacking, TimePoint Now) {
  const Filter Accepts = [&](const Record &Each) {
    return Each.Connection->holdsMemory(Lacking);
  };
  return closeOne(Stalled, Accepts, Now - Grace, CloseReason::Memory, Now);
}

bool ClientLimits::makeRoom(const void *Group, CloseReason Reason,
                            TimePoint Now) {
  const Filter Accepts = [&](const Record &Each) {
    return Group == nullptr || Each.Group == Group;
  };
  return closeOne(Stalled, Accepts, Now - Grace, Reason, Now) ||
         closeOne(Idle, Accepts, Now - Grace, Reason, Now) ||
         closeOne(Stalled, Accepts, Now, Reason, Now);
}

std::size_t ClientLimits::connectionsOf(const std::string &Address) const {
  const auto Found = PerAddress.find(Address);
  return Found == PerAddress.end() ? 0 : Found->second;
}

bool ClientLimits::closeOne(std::list<Record> &List, const Filter &Accepts,
                            TimePoint Latest, CloseReason Reason,
                            TimePoint Now) {
  for (auto Next = List.begin();
       Next != List.end() && Next->Progress <= Latest;) {
    const auto Current = Next++;
    if (!Accepts(*Current) || !Current->Connection->mayBeClosed()) {
      continue;
    }
    if (Current->Connection->hasSent()) {
      reportProgress(Current, Current->IsIdle, Now);
      continue;
    }
    countClosed(Reason);
    Current->Connection->closeForLimit(Reason);
    return true;
  }
  return false;
}

DescriptorShares descriptorShares(std::size_t Descriptors) {
  constexpr std::size_t Least = 4;
  // Standard streams, the event loop, log and listening sockets.
  constexpr std::size_t OwnDescriptors = 32;
  const std::size_t Rest =
      Descriptors > OwnDescriptors ? Descriptors - OwnDescriptors : 0;
  const std::size_t Peers = Rest / 16;
  const std::size_t Upstream = Rest / 4;
  DescriptorShares Result;
  Result.Local = std::max(Least, Rest / 16);
  Result.Ready = std::max(Least, Rest / 32);
  Result.Metrics = std::max(Least, Rest / 64);
  Result.Operators = std::max(Least, Rest / 64);
  const std::size_t Others = Peers + Upstream + Result.Local + Result.Ready +
                             Result.Metrics + Result.Operators;
  Result.Callers = Rest > Others + Least ? Rest - Others : Least;
  return Result;
}

} // namespace hyssopford
