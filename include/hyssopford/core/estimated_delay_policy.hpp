/// @file
/// @brief Default policy: the shortest estimated delay among sampled
/// candidates.
#pragma once

#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/selection_policy.hpp"

#include <array>

namespace hyssopford {

/// @brief Samples candidates and picks the one with the lowest score. The
/// score is a time in µs: round trip, expected queueing delay, service time
/// and expected cost of a failure.
class EstimatedDelayPolicy final : public SelectionPolicy {
public:
  /// Upper limit of RoutingSettings::Samples.
  static constexpr std::size_t SamplesMax = 8;

  /// @param Chosen settings of routing
  explicit EstimatedDelayPolicy(const RoutingSettings &Chosen)
      : Settings(Chosen) {}

  /// @copydoc SelectionPolicy::choose
  /// @note Complexity: linear in the number of samples.
  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override;

  /// @brief Estimates the time until an attempt sent now is answered.
  /// @param Input the candidates and what is known of them
  /// @param Index a position in Input.Candidates
  /// @return the estimate in µs, with the expected cost of a failure
  /// @note Complexity: constant.
  double score(const Selection &Input, std::size_t Index) const;

private:
  RoutingSettings Settings;
};

} // namespace hyssopford
