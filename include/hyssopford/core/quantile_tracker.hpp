/// @file
/// @brief Running estimate of a percentile.
#pragma once

#include "hyssopford/core/time.hpp"

namespace hyssopford {

/// @brief Follows one quantile of a stream by stochastic approximation: a
/// value above the estimate raises it by Step * q, one below lowers it by
/// Step * (1 - q), both relative. It needs no memory and forgets old values.
class QuantileTracker {
public:
  /// @param Chosen the quantile, in (0, 1)
  explicit QuantileTracker(double Chosen) : Quantile(Chosen) {}

  /// @brief Takes a value.
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
  /// Relative step; 0.05 follows a doubled latency within some 15 slow values.
  static constexpr double Step = 0.05;
  /// The first value is more likely near the median than in the tail.
  static constexpr double FirstFactor = 3.0;

  double Quantile;
  double Estimate = 0.0;
};

} // namespace hyssopford
