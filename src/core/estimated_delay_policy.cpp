#include "hyssopford/core/estimated_delay_policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopford {

namespace {

/// Service time assumed before the first report, in µs.
constexpr double FirstServiceTime = 5'000.0;
/// Attempts added to own outstanding ones before they are compared, so that
/// small numbers don't count as large ratios.
constexpr double OutstandingPrior = 1.0;
/// A reported service time below this multiple of the mean is taken as noise:
/// it would draw requests to upstreams that were merely lucky.
constexpr double ServiceNoise = 1.25;
/// Multiple of the expected time after which a missing reply counts.
constexpr double OverdueFactor = 2.0;

double micros(Duration Value) { return static_cast<double>(Value.count()); }

/// Weight of a value of the given age.
double ageWeight(Duration Age, Duration HalfLife) {
  return HalfLife == Duration{0}
             ? 1.0
             : micros(HalfLife) / (micros(HalfLife) + micros(Age));
}

/// Approximates the mean of max(0, X) for X of the given mean and variance.
double expectedExcess(double Mean, double Variance) {
  return (Mean + std::sqrt(Mean * Mean + Variance)) / 2.0;
}

} // namespace

std::optional<std::size_t> EstimatedDelayPolicy::choose(const Selection &Input,
                                                        RandomSource &Random) {
  const std::size_t Count = Input.Candidates.size();
  const std::size_t Wanted =
      std::min<std::size_t>(Settings.Samples, SamplesMax);
  std::array<std::size_t, SamplesMax> Sampled{};
  std::size_t Drawn = 0;
  std::optional<std::size_t> Best;
  double BestScore = std::numeric_limits<double>::max();
  const auto Compare = [&](std::size_t Index) {
    const double Score = score(Input, Index);
    if (Score < BestScore) {
      BestScore = Score;
      Best = Index;
    }
  };
  if (Count <= Wanted + Input.Excluded.size()) {
    // A random start breaks ties between equal scores.
    const std::size_t Start = Count == 0 ? 0 : Random.below(Count);
    for (std::size_t Step = 0; Step < Count; ++Step) {
      const std::size_t Index = (Start + Step) % Count;
      if (!Input.excluded(Index)) {
        Compare(Index);
      }
    }
    return Best;
  }
  // More candidates than wanted and excluded together: the draw ends.
  while (Drawn < Wanted) {
    const std::size_t Index = Random.below(Count);
    const auto *End = Sampled.begin() + Drawn;
    if (std::find(Sampled.cbegin(), End, Index) == End &&
        !Input.excluded(Index)) {
      Sampled[Drawn++] = Index;
      Compare(Index);
    }
  }
  return Best;
}

double EstimatedDelayPolicy::score(const Selection &Input,
                                   std::size_t Index) const {
  const CandidateView &View = Input.Candidates[Index];
  const bool HasReport = View.Report.Sequence != 0;
  const double Limit = HasReport ? std::max<std::uint32_t>(View.Report.Limit, 1)
                                 : std::max<std::uint32_t>(View.Slots, 1);
  const Duration Age = Input.Now - View.ReportedAt;
  const double Weight =
      HasReport ? ageWeight(Age, Settings.ReportHalfLife) : 0.0;
  // Without a fresh report the own outstanding attempts tell more than the
  // mean: an upstream that answers slowly keeps them longer.
  const double OwnShare = (View.Outstanding + OutstandingPrior) /
                          (Input.Mean.Outstanding + OutstandingPrior);
  const double Reported =
      View.Report.InFlight + View.Report.Queued + View.SentSince;
  const double Load = Weight * Reported + (1.0 - Weight) *
                                              Input.Mean.Utilisation * Limit *
                                              OwnShare;
  const double MeanService =
      Input.Mean.ServiceTime > 0.0 ? Input.Mean.ServiceTime : FirstServiceTime;
  const double OwnService = micros(View.Report.ServiceTime);
  const bool IsSlower = OwnService > ServiceNoise * MeanService;
  const double Slower = IsSlower ? OwnService - MeanService : 0.0;
  const double Service = MeanService + Weight * Slower;
  // The requests that came and went since the report make the load uncertain.
  const double Turnover = std::min(1.0, micros(Age) / Service);
  const double Variance = 1.0 + 2.0 * Load * Turnover;
  const double Queueing =
      expectedExcess(Load + 1.0 - Limit, Variance) * Service / Limit;
  const double RoundTrip =
      Settings.LocalityWeight * micros(Input.RoundTrips[View.Domain]);
  double Score = RoundTrip + Queueing + Service;
  if (!View.IsLocalDomain) {
    Score += micros(Settings.RemoteDomainCost);
  }
  if (View.Report.Slow && Settings.SlowWeight > 0.0) {
    Score += Settings.SlowWeight * MeanService *
             std::exp(-micros(Age) / micros(Settings.SlowSpell));
  }
  if (View.Outstanding > 0) {
    // A reply that does not come is the only sign of a sudden stall.
    const double Pending = micros(Input.Now - View.OldestSent);
    Score += std::max(0.0, Pending - OverdueFactor * Score);
  }
  const double Failing =
      View.FailureShare *
      ageWeight(Input.Now - View.FailedAt, Settings.FailureHalfLife);
  const double Retry = std::max(Input.Mean.Latency, MeanService);
  return Score + Settings.FailureWeight * Retry * Failing / (1.01 - Failing);
}

} // namespace hyssopford
