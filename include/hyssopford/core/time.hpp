/// @file
/// @brief Time types of the decision core.
#pragma once

#include <chrono>
#include <cstdint>

namespace hyssopford {

/// @brief Clock type of the core. The core never reads a clock: every call that
/// needs the time receives it as a parameter.
struct CoreClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<CoreClock, duration>;
  static constexpr bool is_steady = true;
};

/// @brief A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// @brief A point in monotonic time of one process, in microseconds since an
/// arbitrary origin.
using TimePoint = CoreClock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;

} // namespace hyssopford
