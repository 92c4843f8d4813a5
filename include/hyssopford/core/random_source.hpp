/// @file
/// @brief Source of randomness of the core.
#pragma once

#include <cstdint>
#include <random>

namespace hyssopford {

/// @brief Source of the random numbers of the core.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// @return 64 random bits
  virtual std::uint64_t next() = 0;

  /// @brief Draws a number below a bound.
  /// @param Bound the exclusive upper bound; at least 1
  /// @return a value in [0, Bound)
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }
};

/// @brief Deterministic source: the same seed gives the same numbers on every
/// platform, as the standard fully specifies std::mt19937_64.
class SeededRandomSource final : public RandomSource {
public:
  /// @param Seed seed of the generator
  explicit SeededRandomSource(std::uint64_t Seed) : Engine(Seed) {}

  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace hyssopford
