/// @file
/// @brief Rate limit in bytes per second.
#pragma once

#include "hyssopford/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace hyssopford {

/// @brief Token bucket that counts bytes.
class ByteBudget {
public:
  /// @param BytesPerSecond rate at which the budget refills
  /// @param Burst most bytes that can be saved up; also the initial amount
  ByteBudget(std::int64_t BytesPerSecond, std::int64_t Burst)
      : Rate(BytesPerSecond), Limit(Burst), Left(Burst) {}

  /// @return the bytes that may be spent now; not negative
  std::int64_t available(TimePoint Now) {
    if (Now > LastRefill) {
      const std::int64_t Elapsed =
          std::min<Duration>(Now - LastRefill, 60s) / 1us;
      const std::int64_t Added = Elapsed * Rate / 1'000'000;
      // Otherwise LastRefill stays, so that fractions of a byte accumulate.
      if (Added > 0) {
        LastRefill = Now;
        Left = std::min(Limit, Left + Added);
      }
    }
    return std::max<std::int64_t>(Left, 0);
  }

  /// @brief Spends bytes. The budget may become negative, because messages that
  /// must not wait are counted after the fact.
  void spend(std::int64_t Bytes) { Left -= Bytes; }

private:
  std::int64_t Rate;
  std::int64_t Limit;
  std::int64_t Left;
  TimePoint LastRefill;
};

} // namespace hyssopford
