#include "hyssopford/node/upstream_starts.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

bool isSameStart(const Announcement &Left, const Announcement &Right) {
  return Left.Instance == Right.Instance && Left.Start == Right.Start;
}

/// Appends a value and drops the oldest one above the limit.
template <typename T> void keepNewest(std::deque<T> &Values, T New) {
  Values.push_back(std::move(New));
  if (Values.size() > UpstreamStarts::KeptMax) {
    Values.pop_front();
  }
}

} // namespace

UpstreamStarts::Decision UpstreamStarts::consider(const Announcement &New,
                                                  TimePoint Now) {
  if (!Service.empty() && New.Service != Service && Current &&
      Current->Instance == New.Instance && Current->Service != New.Service) {
    // An upstream has one service; only another one at its address may have
    // another.
    return Decision::Foreign;
  }
  if (New.Start == 0) {
    // Without a number of the start, only service and address tell upstreams
    // apart.
    if (Current &&
        (Current->Service != New.Service || Current->Address != New.Address)) {
      return Decision::Contested;
    }
    Current = New;
    return Decision::Renewed;
  }
  std::erase_if(Claims, [&](const Claim &Each) {
    return Each.Received + Each.Stated.TimeToLive <= Now;
  });
  if (const std::optional<Decision> Overtaken = decideOvertaken(New)) {
    return *Overtaken;
  }
  if (Current && isSameStart(*Current, New)) {
    Current = New;
    Latest = New;
    if (Departed) {
      Current->State = UpstreamState::Draining;
    }
    return Decision::Renewed;
  }
  return addClaim(New, Now);
}

std::optional<UpstreamStarts::Decision>
UpstreamStarts::decideOvertaken(const Announcement &New) const {
  const auto HoldsIf = [](bool Condition) {
    return Condition ? Decision::Holds : Decision::Dropped;
  };
  const bool IsDraining = New.State == UpstreamState::Draining;
  if (Latest && isSameStart(*Latest, New)) {
    if (New.Sequence > Latest->Sequence) {
      return std::nullopt;
    }
    const bool GetsNone = Departed || !Current ||
                          Current->State == UpstreamState::Draining ||
                          !isSameStart(*Current, New);
    return HoldsIf(New == *Latest ||
                   (IsDraining && GetsNone && New.Sequence < Latest->Sequence));
  }
  // A start that is not in use gets no requests.
  for (const Announcement &Each : Replaced) {
    if (isSameStart(Each, New) && New.Sequence <= Each.Sequence) {
      return HoldsIf(IsDraining);
    }
  }
  for (const Claim &Each : Claims) {
    // A copy of a claim asks for another probe.
    if (isSameStart(Each.Stated, New) && New.Sequence <= Each.Stated.Sequence &&
        New != Each.Stated) {
      return HoldsIf(IsDraining);
    }
  }
  return std::nullopt;
}

UpstreamStarts::Decision UpstreamStarts::addClaim(const Announcement &New,
                                                  TimePoint Now) {
  const auto Found =
      std::find_if(Claims.begin(), Claims.end(), [&](const Claim &Each) {
        return isSameStart(Each.Stated, New);
      });
  Claim Row;
  // A later announcement of a start that this node does not know comes from an
  // upstream that ran before the node, and states itself whether it is cold.
  Row.IsNewRun = Latest ? !isSameStart(*Latest, New) : New.Sequence <= 1;
  if (Found != Claims.end()) {
    Row = std::move(*Found);
    Claims.erase(Found);
  }
  Row.Stated = New;
  Row.Received = Now;
  Row.Departed = Row.Departed || hasDeparted(New);
  const bool HasDeparted = Row.Departed;
  keepNewest(Claims, std::move(Row));
  if (New.State == UpstreamState::Draining) {
    if (Current && Current->Instance == New.Instance) {
      // The upstream in use may have started again under its identifier. It
      // gets no requests until it renews its registration.
      Current->State = UpstreamState::Draining;
    }
    return Decision::Holds;
  }
  if (HasDeparted) {
    return Decision::Dropped;
  }
  return Current && New.Start < Current->Start ? Decision::Contested
                                               : Decision::Claimed;
}

bool UpstreamStarts::hasDeparted(const Announcement &New) {
  return std::any_of(Departures.begin(), Departures.end(),
                     [&](Departure &Each) {
                       if (Each.Instance != New.Instance) {
                         return false;
                       }
                       // The first announcement may be that of a new start
                       // under the same identifier.
                       if (Each.Start == 0 && New.Sequence > 1) {
                         Each.Start = New.Start;
                       }
                       return Each.Start == New.Start;
                     });
}

bool UpstreamStarts::depart(const std::string &Instance, std::uint64_t Start) {
  const auto IsMeant = [&](const Announcement &Each) {
    return Each.Instance == Instance && (Start == 0 || Each.Start == Start);
  };
  bool IsKnown = false;
  if (Latest && IsMeant(*Latest)) {
    IsKnown = true;
    Departed = true;
    Start = Latest->Start;
    if (Current && isSameStart(*Current, *Latest)) {
      Current->State = UpstreamState::Draining;
    }
  }
  for (Claim &Each : Claims) {
    if (IsMeant(Each.Stated)) {
      IsKnown = true;
      Each.Departed = true;
      Start = Each.Stated.Start;
    }
  }
  const bool IsReplaced =
      Start != 0 && std::any_of(Replaced.begin(), Replaced.end(), IsMeant);
  if (!IsKnown && !IsReplaced && Current && Current->Instance == Instance) {
    // A start that this node has not heard of, under the same identifier.
    Current->State = UpstreamState::Draining;
  }
  keepNewest(Departures, Departure{Instance, Start});
  return IsKnown;
}

bool UpstreamStarts::isProvable(const Claim &Each,
                                const std::string &Instance) const {
  if (!Each.isUsable()) {
    return false;
  }
  // An answer that does not state who gave it may come from the upstream in
  // use.
  return !Instance.empty() || !Current || Each.Stated.Start >= Current->Start;
}

const Announcement *UpstreamStarts::pendingClaim() const {
  const auto Found =
      std::find_if(Claims.rbegin(), Claims.rend(),
                   [](const Claim &Each) { return Each.isUsable(); });
  return Found == Claims.rend() ? nullptr : &Found->Stated;
}

UpstreamStarts::Finding UpstreamStarts::conclude(const std::string &Instance,
                                                 bool TakesRequests,
                                                 TimePoint Now) {
  Finding Result;
  if (!Instance.empty()) {
    std::erase_if(Claims, [&](const Claim &Each) {
      const bool IsRefuted = Each.Stated.Instance != Instance;
      if (IsRefuted) {
        Result.Refuted.push_back(Each.Stated);
      }
      return IsRefuted;
    });
    Result.IsReplaced =
        Current && Current->Start != 0 && Current->Instance != Instance;
  }
  const Claim *Best = nullptr;
  for (const Claim &Each : Claims) {
    const bool IsLate = Each.Received + Each.Stated.TimeToLive <= Now;
    if (TakesRequests && !IsLate && isProvable(Each, Instance) &&
        (Best == nullptr || Best->Stated.Start < Each.Stated.Start)) {
      Best = &Each;
    }
  }
  if (Best != nullptr) {
    Result.IsNewRun = Best->IsNewRun;
    Result.Confirmed = Best->Stated;
  }
  return Result;
}

void UpstreamStarts::use(const Announcement &Confirmed) {
  const auto IsSame = [&](const Announcement &Each) {
    return isSameStart(Each, Confirmed);
  };
  std::erase_if(Claims, [&](const Claim &Each) { return IsSame(Each.Stated); });
  std::erase_if(Replaced, IsSame);
  if (Latest && !IsSame(*Latest)) {
    keepNewest(Replaced, *Latest);
  }
  Departed = false;
  Latest = Confirmed;
  Current = Confirmed;
}

} // namespace hyssopford
