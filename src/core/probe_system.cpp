#include "hyssopford/core/probe_system.hpp"

#include <algorithm>
#include <string>

namespace hyssopford {

namespace {

constexpr std::int64_t PicosPerMicro = 1'000'000;
/// The token bucket holds at most the budget of this time, or one probe if that
/// is more.
constexpr std::int64_t CapacityMicros = 1'000'000;

} // namespace

void ProbeSystem::upstreamAnnounced(const UpstreamAnnounced &Announced,
                                    TimePoint Now) {
  if (!Present) {
    // A new upstream is probed as soon as the budget allows it.
    LastOutcome = Now - Settings.IdleAfter;
    RefilledAt = Now;
    Level = 0;
    Failures = 0;
  } else {
    refill(Now);
  }
  Present = !Announced.Service.empty();
  Cold = Announced.State == UpstreamState::Cold;
  Slots = std::max<std::uint32_t>(Announced.Slots, 1);
}

void ProbeSystem::upstreamGone() {
  Present = false;
  Failures = 0;
}

void ProbeSystem::observe(bool Succeeded, TimePoint Now) {
  LastOutcome = Now;
  Failures = Succeeded ? 0 : Failures + 1;
  Cold = Cold && !Succeeded;
}

void ProbeSystem::finish(const ProbeFinished &Result, TimePoint Now,
                         Actions &Out) {
  if (!InFlight) {
    return;
  }
  InFlight = false;
  const Duration Cost =
      std::clamp(Result.Elapsed, Duration{0}, Settings.Timeout);
  Spent += Cost;
  Level += (Settings.Timeout - Cost).count() * PicosPerMicro;
  const bool Before = suspected();
  if (Result.Succeeded) {
    Failures = 0;
    Cold = false;
    LastOutcome = std::max(LastOutcome, Now);
  } else {
    ++Failures;
  }
  if (Before != suspected()) {
    Out.emplace_back(
        Notice{suspected() ? "upstream_suspected" : "upstream_recovered",
               {{"failures", std::to_string(Failures)}}});
  }
}

void ProbeSystem::tick(TimePoint Now, Actions &Out) {
  const std::optional<TimePoint> Due = nextWakeup();
  if (!Due || *Due > Now) {
    return;
  }
  refill(Now);
  const Picoseconds Reserve = Settings.Timeout.count() * PicosPerMicro;
  if (Level < Reserve) {
    return;
  }
  Level -= Reserve;
  InFlight = true;
  LastProbe = Now;
  Out.emplace_back(ProbeUpstream{Settings.Timeout});
}

std::optional<TimePoint> ProbeSystem::nextWakeup() const {
  const std::optional<TimePoint> Wanted = due();
  if (!Wanted || perMicrosecond() == 0) {
    return std::nullopt;
  }
  const Picoseconds Missing = Settings.Timeout.count() * PicosPerMicro - Level;
  const Duration Wait((Missing + perMicrosecond() - 1) / perMicrosecond());
  return std::max(*Wanted, RefilledAt + std::max(Wait, Duration{0}));
}

std::optional<TimePoint> ProbeSystem::due() const {
  if (!Present || InFlight) {
    return std::nullopt;
  }
  if (Cold || suspected()) {
    return LastProbe + Settings.Interval;
  }
  return std::max(LastOutcome + Settings.IdleAfter,
                  LastProbe + Settings.Interval);
}

ProbeSystem::Picoseconds ProbeSystem::perMicrosecond() const {
  return static_cast<Picoseconds>(Settings.BudgetPpm) * Slots;
}

ProbeSystem::Picoseconds ProbeSystem::capacity() const {
  return std::max(perMicrosecond() * CapacityMicros,
                  Settings.Timeout.count() * PicosPerMicro);
}

void ProbeSystem::refill(TimePoint Now) {
  const Duration Elapsed = Now - RefilledAt;
  // Longer times fill the bucket anyway, and the product could overflow.
  const Duration Counted = std::min(Elapsed, Duration(3'600s));
  Level = std::min(capacity(), Level + Counted.count() * perMicrosecond());
  RefilledAt = Now;
}

} // namespace hyssopford
