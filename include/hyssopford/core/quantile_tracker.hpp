/// @file
/// @brief Running estimate of a quantile.
#pragma once

#include "hyssopford/core/time.hpp"

namespace hyssopford {

/// @brief Estimates one quantile q of a stream by stochastic approximation: a
/// value above the estimate raises it by the factor 1 + Step * q, any other
/// lowers it by the factor 1 - Step * (1 - q). No values are stored, and old
/// ones lose their influence.
class QuantileTracker {
public:
  /// @param Chosen the quantile, in (0, 1)
  explicit QuantileTracker(double Chosen) : Quantile(Chosen) {}

  /// @brief Adds a value of the stream.
  void add(Duration Value) {
    const auto Micros = static_cast<double>(Value.count());
    if (Estimate == 0.0) {
      Estimate = FirstFactor * Micros;
    } else if (Micros > Estimate) {
      Estimate *= 1.0 + Step * Quantile;
    } else {
      Estimate *= 1.0 - Step * (1.0 - Quantile);
    }
  }

  /// @return the estimate; 0 before the first value
  Duration value() const { return Duration(static_cast<long>(Estimate)); }

private:
  /// Relative step. 0.05 adapts to a doubled latency within some 15 slow
  /// values.
  static constexpr double Step = 0.05;
  /// Factor from the first value to the first estimate: the value is probably
  /// near the median, while the estimated quantile lies in the tail.
  static constexpr double FirstFactor = 3.0;

  double Quantile;
  double Estimate = 0.0;
};

} // namespace hyssopford
