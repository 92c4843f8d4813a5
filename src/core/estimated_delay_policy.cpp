#include "hyssopford/core/estimated_delay_policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopford {

namespace {

/// Service time assumed before the first report, in µs.
constexpr double InitialServiceTime = 5'000.0;
/// Added to numbers of outstanding attempts before their ratio is taken, so
/// that small numbers do not give extreme ratios.
constexpr double OutstandingPrior = 1.0;
/// Reported service times below this multiple of the mean are treated as noise.
/// Otherwise upstreams that happened to be fast would attract requests.
constexpr double ServiceNoiseFactor = 1.25;
/// Multiple of the expected delay after which a missing reply is charged.
constexpr double OverdueFactor = 2.0;

double micros(Duration Value) { return static_cast<double>(Value.count()); }

/// Weight of a value by its age: 1 when new, one half at the half-life. A
/// half-life of 0 means no ageing.
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
    // A random start breaks ties between equal scores at random.
    const std::size_t Start = Count == 0 ? 0 : Random.below(Count);
    for (std::size_t Step = 0; Step < Count; ++Step) {
      const std::size_t Index = (Start + Step) % Count;
      if (!Input.excluded(Index)) {
        Compare(Index);
      }
    }
    return Best;
  }
  // Terminates, as there are more candidates than wanted and excluded ones.
  while (Drawn < Wanted) {
    const std::size_t Index = Random.below(Count);
    const auto *End = Sampled.begin() + Drawn;
    if (std::find(Sampled.cbegin(), End, Index) == End &&
        !Input.excluded(Index)) {
      Sampled[Drawn++] = Index;
      Compare(Index);
    }
  }
  if (Best && Input.Candidates[*Best].coldRate(Input.Now) > 0.0) {
    // The sample holds only cold candidates, but others may exist.
    for (std::size_t Index = 0; Index < Count; ++Index) {
      if (!Input.excluded(Index)) {
        Compare(Index);
      }
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
  // Without a fresh report, the mean load is scaled by this ingress's own
  // outstanding attempts: a slow upstream has more of them.
  const double OwnShare = (View.Outstanding + OutstandingPrior) /
                          (Input.Mean.Outstanding + OutstandingPrior);
  const double Reported =
      View.Report.InFlight + View.Report.Queued + View.SentSince;
  const double Load = Weight * Reported + (1.0 - Weight) *
                                              Input.Mean.Utilisation * Limit *
                                              OwnShare;
  const double MeanService = Input.Mean.ServiceTime > 0.0
                                 ? Input.Mean.ServiceTime
                                 : InitialServiceTime;
  const double OwnService = micros(View.Report.ServiceTime);
  const bool IsSlower = OwnService > ServiceNoiseFactor * MeanService;
  const double Slower = IsSlower ? OwnService - MeanService : 0.0;
  const double Service = MeanService + Weight * Slower;
  // Requests that arrived or ended since the report make the load uncertain.
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
  if (View.Report.Slow && Settings.SlowdownWeight > 0.0) {
    Score += Settings.SlowdownWeight * MeanService *
             std::exp(-micros(Age) / micros(Settings.SlowdownDuration));
  }
  if (const double ColdRate = View.coldRate(Input.Now); ColdRate > 0.0) {
    // One start interval for each request ahead, and one for the place in the
    // limit that this one takes from requests that have no other upstream.
    Score += (View.Report.Queued + View.SentSince + 1.0) * 1e6 / ColdRate;
  }
  if (View.Outstanding > 0) {
    // A missing reply is the only sign of a sudden stall.
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
