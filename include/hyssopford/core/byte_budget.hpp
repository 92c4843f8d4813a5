/// @file
/// @brief Limit of bytes per second.
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
    if (Now > Refilled) {
      const std::int64_t Elapsed =
          std::min<Duration>(Now - Refilled, 60s) / 1us;
      const std::int64_t Added = Elapsed * Rate / 1'000'000;
      // Keeps the time of a fraction of a byte for the next call.
      if (Added > 0) {
        Refilled = Now;
        Left = std::min(Limit, Left + Added);
      }
    }
    return std::max<std::int64_t>(Left, 0);
  }

  /// @brief Spends bytes; the budget may go into debt, so that messages that
  /// must not wait count as well.
  void spend(std::int64_t Bytes) { Left -= Bytes; }

private:
  std::int64_t Rate;
  std::int64_t Limit;
  std::int64_t Left;
  TimePoint Refilled;
};

} // namespace hyssopford
