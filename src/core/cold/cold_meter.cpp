#include "hyssopford/core/cold/cold_meter.hpp"

#include <algorithm>
#include <cmath>

namespace hyssopford {

namespace {

/// Statements are rounded to milliseconds, so an upstream may be cold slightly
/// longer than it stated.
constexpr Duration RoundingMargin = 10ms;
/// Most starts a second that are metered. Bounds the times kept.
constexpr double RateMax = 100'000.0;
/// Longest time that an upstream is taken to be cold. Keeps sums of times from
/// overflowing.
constexpr Duration ColdTimeMax = 3'600s;

} // namespace

void ColdMeter::setServices(const std::vector<ServiceSettings> &Services) {
  Limits.clear();
  for (const ServiceSettings &Each : Services) {
    Limits[Each.Name] = Limit{Each.ColdTime, Each.ColdRate};
  }
  applyLimit();
}

void ColdMeter::announce(const std::string &Announced, bool IsNewRun,
                         TimePoint Now) {
  if (IsNewRun) {
    RunStart = Now;
  }
  if (Service != Announced) {
    Service = Announced;
    applyLimit();
  }
}

void ColdMeter::state(Duration Remaining, TimePoint Now) {
  if (Remaining > Duration{0}) {
    StatedEnd = std::max(StatedEnd, Now + std::min(Remaining, ColdTimeMax) +
                                        RoundingMargin);
  }
}

void ColdMeter::recordStart(TimePoint Now) {
  if (StartsMax == 0) {
    return;
  }
  if (Starts.size() >= StartsMax) {
    Starts.pop_front();
  }
  Starts.push_back(Now);
}

bool ColdMeter::isCold(TimePoint Now) const {
  return StartsMax > 0 && Now < end();
}

TimePoint ColdMeter::end() const {
  const TimePoint RunEnd = RunStart == TimePoint::min() || RunTime == Duration{}
                               ? TimePoint::min()
                               : RunStart + RunTime;
  return std::max(RunEnd, StatedEnd);
}

TimePoint ColdMeter::startTime(std::size_t Ahead, TimePoint Now) const {
  if (!isCold(Now)) {
    return Now;
  }
  // The start that comes StartsMax places earlier in the sequence must be at
  // least one window ago. That sequence is the recorded starts, then those
  // which may happen now.
  const std::size_t Free = StartsMax - std::min(StartsMax, Starts.size());
  if (Ahead < Free) {
    return Now;
  }
  const std::size_t Place = Ahead - Free;
  const std::size_t Round = Place / StartsMax;
  const std::size_t Index = Place % StartsMax;
  const TimePoint Before = Index < Starts.size() ? Starts[Index] : Now;
  const TimePoint First = std::max(Before + Window, Now);
  // After the end of the cold time all requests may start.
  return std::min(First + Window * static_cast<std::int64_t>(Round),
                  std::max(end(), Now));
}

void ColdMeter::applyLimit() {
  const auto Found = Limits.find(Service);
  const bool HasLimit =
      Enabled && Found != Limits.end() && Found->second.Rate > 0.0;
  Rate = HasLimit ? std::min(Found->second.Rate, RateMax) : 0.0;
  RunTime = HasLimit ? std::min(Found->second.Time, ColdTimeMax) : Duration{0};
  StartsMax = HasLimit ? static_cast<std::size_t>(std::max(Rate, 1.0)) : 0;
  // A rate below 1 needs a longer window for its single start. Above it, the
  // rate is rounded down to whole starts a second.
  Window = HasLimit && Rate < 1.0
               ? Duration(static_cast<std::int64_t>(
                     std::ceil(1e6 / std::max(Rate, 1e6 / 3.6e9))))
               : Duration(1s);
  while (Starts.size() > StartsMax) {
    Starts.pop_front();
  }
}

} // namespace hyssopford
