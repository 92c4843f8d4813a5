#include "hyssopford/core/speed_gate.hpp"

#include <algorithm>

namespace hyssopford {

void SpeedGate::observe(std::uint32_t Reported, TimePoint Now) {
  if (Reported == 0) {
    return;
  }
  if (Lowest == 0 || Now - WindowStart >= Settings.SpeedWindow) {
    LowestBefore = Lowest == 0 ? Reported : Lowest;
    Lowest = Reported;
    WindowStart = Now;
  }
  Lowest = std::min(Lowest, Reported);
  Percent = Reported;
  ObservedAt = Now;
}

void SpeedGate::reset() {
  Percent = 0;
  Lowest = 0;
  LowestBefore = 0;
}

SpeedState SpeedGate::state(TimePoint Now) const {
  if (Percent == 0 || Settings.SlowdownThreshold <= 1.0) {
    return SpeedState::Usual;
  }
  if (Now - ObservedAt > Settings.SpeedFresh) {
    return SpeedState::Unknown;
  }
  // An upstream that was never faster in the window is slow for another reason
  // than a spell; waiting would not help.
  const double Usual = std::min(Lowest, LowestBefore);
  return Percent > Settings.SlowdownThreshold * Usual ? SpeedState::Slow
                                                      : SpeedState::Usual;
}

} // namespace hyssopford
