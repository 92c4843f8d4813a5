/// @file
/// @brief Simple policies that the default policy is compared with.
#pragma once

#include "hyssopford/core/selection_policy.hpp"

namespace hyssopford {

/// @brief Picks a candidate at random.
class RandomPolicy final : public SelectionPolicy {
public:
  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override;
};

/// @brief Picks the candidates in turn.
class RoundRobinPolicy final : public SelectionPolicy {
public:
  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override;

private:
  std::size_t Next = 0;
};

/// @brief Picks the candidate with the fewest outstanding attempts of this
/// ingress.
/// @note Complexity of a choice: linear in the number of candidates.
class LeastOutstandingPolicy final : public SelectionPolicy {
public:
  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override;
};

/// @brief Picks the candidate with the lowest reported load.
/// @note Complexity of a choice: linear in the number of candidates.
class LeastReportedPolicy final : public SelectionPolicy {
public:
  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override;
};

/// @brief Samples two candidates and picks the one with the lower reported
/// load, whatever the age of the report.
class TwoChoicesPolicy final : public SelectionPolicy {
public:
  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override;
};

} // namespace hyssopford
