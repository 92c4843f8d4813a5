#include "hyssopford/core/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace hyssopford {

namespace {

/// Share of the slots at which the ramp of a cold upstream starts.
constexpr double ColdShare = 0.2;
/// Weight of a window with a mean latency below the baseline.
constexpr double BaselineFall = 0.25;
/// Weight of a window with a mean latency above the baseline. The baseline
/// adapts to a lasting change of the workload within some hundred windows.
constexpr double BaselineRise = 0.005;
/// Factor on the limit after the upstream shed a request.
constexpr double ShedFactor = 0.8;
/// Requests shed within this time of the first one shrink the limit only once.
constexpr Duration ShedPause = 100ms;

} // namespace

void ConcurrencyLimit::setSlots(std::uint32_t Announced, bool Cold,
                                TimePoint Now) {
  const std::uint32_t NewSlots = std::max<std::uint32_t>(Announced, 1);
  if (Slots != NewSlots) {
    Slots = NewSlots;
    Limit = Slots;
  }
  if (Cold && !Ramps) {
    RampStart = Now;
    Baseline = 0.0;
  }
  // A ramp runs to its end: the upstream may announce Serving long before it is
  // warm.
  Ramps = Ramps || Cold;
}

void ConcurrencyLimit::observe(Duration Latency, std::uint32_t InFlight,
                               TimePoint Now) {
  WindowSum += static_cast<double>(Latency.count());
  WindowPeak = std::max(WindowPeak, InFlight);
  if (++WindowCount >= Settings.LatencyWindow) {
    endWindow(Now);
  }
}

void ConcurrencyLimit::recordShed(TimePoint Now) {
  if (Now >= ShedUntil) {
    Limit = std::max(1.0, Limit * ShedFactor);
    ShedUntil = Now + ShedPause;
  }
}

void ConcurrencyLimit::setSuspected(bool Suspected, TimePoint Now) {
  if (IsSuspected && !Suspected) {
    Ramps = true;
    RampStart = Now;
  }
  IsSuspected = Suspected;
}

std::uint32_t ConcurrencyLimit::value(TimePoint Now) const {
  if (IsSuspected) {
    return 1;
  }
  // Keeps an exact product from being rounded down by a floating-point error.
  constexpr double Margin = 1e-6;
  double Value =
      std::min(Limit, std::floor(Slots * Settings.SlotShare + Margin));
  if (isRamping(Now)) {
    const double Elapsed = static_cast<double>((Now - RampStart).count()) /
                           static_cast<double>(Settings.ColdRamp.count());
    Value = std::min(Value, Slots * (ColdShare + (1.0 - ColdShare) * Elapsed));
  }
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Value));
}

bool ConcurrencyLimit::isRamping(TimePoint Now) const {
  return Ramps && Now < RampStart + Settings.ColdRamp;
}

void ConcurrencyLimit::endWindow(TimePoint Now) {
  const double Mean = WindowSum / WindowCount;
  const std::uint32_t Peak = WindowPeak;
  WindowSum = 0.0;
  WindowCount = 0;
  WindowPeak = 0;
  if (!Settings.AdaptiveLimit || isRamping(Now)) {
    return;
  }
  if (Baseline == 0.0) {
    Baseline = Mean;
  }
  Baseline +=
      (Mean < Baseline ? BaselineFall : BaselineRise) * (Mean - Baseline);
  // High latency with few requests in flight has another cause than
  // concurrency, and a lower limit would not help.
  const bool LimitInUse = 2 * Peak >= static_cast<std::uint32_t>(Limit);
  if (Mean > Settings.LatencyTolerance * Baseline && LimitInUse) {
    const double Factor = Settings.LatencyTolerance * Baseline / Mean;
    Limit = std::max(1.0, Limit * std::max(Factor, Settings.ShrinkFactorMin));
  } else {
    Limit = std::min<double>(Slots, Limit + 1.0);
  }
}

} // namespace hyssopford
