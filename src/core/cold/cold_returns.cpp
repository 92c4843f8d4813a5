#include "hyssopford/core/cold/cold_returns.hpp"

#include <algorithm>
#include <cstdint>

namespace hyssopford {

Duration ColdReturns::reserve(std::span<const CandidateView> Candidates,
                              std::size_t Known, std::size_t Members,
                              TimePoint Now) {
  double Rates = 0.0;
  Duration Longest{0};
  for (const CandidateView &Each : Candidates) {
    const double Rate = Each.coldRate(Now);
    if (Rate <= 0.0) {
      return Duration{0};
    }
    Rates += Rate;
    Longest = std::max(Longest, Each.ReportedAt + Each.Report.ColdTime - Now);
  }
  if (Candidates.empty() || Longest <= Duration{0}) {
    return Duration{0};
  }
  // The upstreams outside the subset of this ingress serve the other ones.
  const double Share = Rates / static_cast<double>(Candidates.size()) *
                       static_cast<double>(std::max<std::size_t>(Known, 1)) /
                       static_cast<double>(std::max<std::size_t>(Members, 1));
  const auto Longer = static_cast<double>(Longest.count());
  const Duration Interval(
      static_cast<std::int64_t>(std::min(1e6 / Share, Longer)));
  Latest = std::min(std::max(Latest, Now) + Interval, Now + Longest);
  return Latest - Now;
}

} // namespace hyssopford
