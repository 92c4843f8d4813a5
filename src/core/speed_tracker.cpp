#include "hyssopford/core/speed_tracker.hpp"

#include <algorithm>

namespace hyssopford {

void SpeedTracker::observe(std::uint32_t Reported, TimePoint Now) {
  if (Reported == 0) {
    return;
  }
  if (Lowest == 0 || Now - WindowStart >= Settings.SpeedWindow) {
    LowestBefore = Lowest == 0 ? Reported : Lowest;
    Lowest = Reported;
    WindowStart = Now;
  }
  Lowest = std::min(Lowest, Reported);
  SlownessPercent = Reported;
  ObservedAt = Now;
}

void SpeedTracker::reset() {
  SlownessPercent = 0;
  Lowest = 0;
  LowestBefore = 0;
}

SpeedState SpeedTracker::state(TimePoint Now) const {
  if (SlownessPercent == 0 || Settings.SlowdownThreshold <= 1.0) {
    return SpeedState::Normal;
  }
  if (Now - ObservedAt > Settings.SpeedReportAgeMax) {
    return SpeedState::Unknown;
  }
  // An upstream that was not faster within the window is slow for another
  // reason than a short slowdown, and waiting would not help.
  const double Normal = std::min(Lowest, LowestBefore);
  return SlownessPercent > Settings.SlowdownThreshold * Normal
             ? SpeedState::Slow
             : SpeedState::Normal;
}

} // namespace hyssopford
