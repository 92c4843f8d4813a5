/// @file
/// @brief Registry of metrics, built on Boost.Accumulators.
#pragma once

#include "hyssopford/core/node_core.hpp"
#include "hyssopford/core/time.hpp"
#include "hyssopford/telemetry/metric_catalogue.hpp"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief Sum, count and quantiles of observations. Quantiles cover the last
/// complete window, so that they follow changes in load.
class SummaryMetric {
public:
  static constexpr std::array<double, 4> Quantiles{0.5, 0.9, 0.99, 0.999};
  /// Length of one window.
  static constexpr Duration Window = 30s;

  SummaryMetric();
  SummaryMetric(SummaryMetric &&) noexcept;
  SummaryMetric &operator=(SummaryMetric &&) noexcept;
  ~SummaryMetric();

  /// @brief Adds one observation.
  /// @note Complexity: constant time and memory.
  void observe(double Value, TimePoint Now);

  /// @return the values of Quantiles, or nothing if neither the last complete
  /// window nor the current one has observations
  std::vector<double> quantiles(TimePoint Now);

  /// @return the sum of all observations
  double sum() const;
  /// @return the number of all observations
  std::uint64_t count() const;

private:
  struct State;
  void rotateWindows(TimePoint Now);

  std::unique_ptr<State> Data;
};

/// @brief Holds the series of every metric of the catalogue. Not thread-safe.
class MetricsRegistry {
public:
  /// Values of the labels of one series, in the order of the definition.
  using LabelValues = std::vector<std::string>;

  /// Most series of one metric. Samples with further label values are dropped,
  /// so that untrusted values cannot exhaust memory.
  static constexpr std::size_t MaxSeries = 256;

  /// @name Input
  /// Label values are given in the order of the definition; a wrong number of
  /// them is a programming error and throws std::invalid_argument.
  /// @{

  /// @brief Adds to a counter.
  void add(MetricId Id, const LabelValues &Labels = {}, double Amount = 1);

  /// @brief Sets a gauge, or a counter that is kept elsewhere.
  void set(MetricId Id, const LabelValues &Labels, double Value);

  /// @brief Adds an observation to a summary.
  void observe(MetricId Id, const LabelValues &Labels, double Value,
               TimePoint Now);
  /// @}

  /// @name Output
  /// @{

  /// @brief Reads a counter or gauge.
  /// @return its value; 0 if the series does not exist
  double value(MetricId Id, const LabelValues &Labels = {}) const;

  /// @brief Renders all metrics that have series in the Prometheus text format,
  /// version 0.0.4.
  /// @param Now end of the current window of the summaries
  /// @return the text
  std::string render(TimePoint Now);
  /// @}

private:
  struct Series {
    double Value = 0;
    std::unique_ptr<SummaryMetric> Summary;
  };
  using Family = std::map<LabelValues, Series>;

  Series *findOrAddSeries(MetricId Id, const LabelValues &Labels);

  std::array<Family, MetricCount> Families;
};

/// @brief Sets the gauges and counters that are read from a core.
/// @param Core the core
/// @param Registry receives the values
void collectCoreMetrics(const NodeCore &Core, MetricsRegistry &Registry);

/// @brief Sets the metrics of processor time and memory of this process.
/// @param Registry receives the values
void collectProcessMetrics(MetricsRegistry &Registry);

} // namespace hyssopford
