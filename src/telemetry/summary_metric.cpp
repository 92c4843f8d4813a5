#include "hyssopford/telemetry/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace hyssopford {

namespace {

namespace acc = boost::accumulators;

using TotalAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::sum, acc::tag::count>>;
using WindowAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square,
                                            acc::tag::count, acc::tag::max>>;

WindowAccumulator emptyWindow() {
  return WindowAccumulator(acc::extended_p_square_probabilities =
                               SummaryMetric::Quantiles);
}

/// Least number of observations for the quantile estimator, which has one
/// marker for each of them. Below that the maximum is reported for all
/// quantiles.
constexpr std::size_t MinSamples = 2 * SummaryMetric::Quantiles.size() + 3;

std::vector<double> quantilesOf(const WindowAccumulator &Window) {
  std::vector<double> Result;
  for (std::size_t Index = 0; Index < SummaryMetric::Quantiles.size();
       ++Index) {
    Result.push_back(
        acc::count(Window) < MinSamples
            ? acc::max(Window)
            : acc::extended_p_square(Window)[static_cast<long>(Index)]);
  }
  return Result;
}

} // namespace

struct SummaryMetric::State {
  TotalAccumulator Total;
  WindowAccumulator Current = emptyWindow();
  WindowAccumulator Complete = emptyWindow();
  TimePoint Start;
  bool Started = false;
};

SummaryMetric::SummaryMetric() : Data(std::make_unique<State>()) {}
SummaryMetric::SummaryMetric(SummaryMetric &&) noexcept = default;
SummaryMetric &SummaryMetric::operator=(SummaryMetric &&) noexcept = default;
SummaryMetric::~SummaryMetric() = default;

void SummaryMetric::rotateWindows(TimePoint Now) {
  if (!Data->Started) {
    Data->Start = Now;
    Data->Started = true;
    return;
  }
  if (Now - Data->Start < Window) {
    return;
  }
  const bool Adjacent = Now - Data->Start < 2 * Window;
  Data->Complete = Adjacent ? Data->Current : emptyWindow();
  Data->Current = emptyWindow();
  Data->Start = Adjacent ? Data->Start + Window : Now;
}

void SummaryMetric::observe(double Value, TimePoint Now) {
  rotateWindows(Now);
  Data->Total(Value);
  Data->Current(Value);
}

std::vector<double> SummaryMetric::quantiles(TimePoint Now) {
  rotateWindows(Now);
  if (acc::count(Data->Complete) > 0) {
    return quantilesOf(Data->Complete);
  }
  return acc::count(Data->Current) > 0 ? quantilesOf(Data->Current)
                                       : std::vector<double>{};
}

double SummaryMetric::sum() const { return acc::sum(Data->Total); }

std::uint64_t SummaryMetric::count() const { return acc::count(Data->Total); }

} // namespace hyssopford
