#include "hyssopford/core/nested_call_detector.hpp"

#include <cstdint>

namespace hyssopford {

namespace {

/// Arrivals after which both counts are halved, so that they follow changes.
constexpr std::uint32_t HalvingCount = 1U << 16U;

} // namespace

bool NestedCallDetector::observe(const std::string &Route, bool UpstreamBusy) {
  if (Routes.size() >= RoutesMax && !Routes.contains(Route)) {
    Routes.clear();
  }
  Arrivals &Seen = Routes[Route];
  ++Seen.All;
  Seen.Idle += UpstreamBusy ? 0 : 1;
  if (Seen.All >= HalvingCount) {
    Seen.All /= 2;
    Seen.Idle /= 2;
  }
  return Seen.Idle < IdleArrivalsMin ||
         std::uint64_t{Seen.Idle} * IdleShare < Seen.All;
}

} // namespace hyssopford
