/// @file
/// @brief Judges whether the upstream on this VM is slowed by its neighbours.
#pragma once

#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Whether a request that starts now runs at the upstream's usual speed.
enum class SpeedState : std::uint8_t {
  /// The upstream reports no speed, or runs as usual.
  Usual,
  /// A neighbour slows it down.
  Slow,
  /// The last report is too old to tell.
  Unknown
};

/// @brief Follows the speed that an upstream reports with each answer. A run
/// keeps the speed at which it starts, so a start in a slow spell of some
/// 100 ms costs several times the work, and is better delayed or done
/// elsewhere.
class SpeedGate {
public:
  explicit SpeedGate(const AdmissionSettings &Chosen) : Settings(Chosen) {}

  /// @brief Takes the time that work takes now, in percent of the usual time.
  /// @param Percent 0 if the answer did not state it
  /// @param Now the current time
  void observe(std::uint32_t Percent, TimePoint Now);

  /// @brief Forgets all reports, e.g. those of an earlier upstream.
  void reset();

  /// @param Now the current time
  SpeedState state(TimePoint Now) const;

  /// @return the last report in percent, 0 if there is none
  std::uint32_t percent() const { return Percent; }

  /// @return time of the last report
  TimePoint observedAt() const { return ObservedAt; }

private:
  AdmissionSettings Settings;
  std::uint32_t Percent = 0;
  TimePoint ObservedAt;
  /// Lowest reports of the current and the previous window.
  std::uint32_t Lowest = 0;
  std::uint32_t LowestBefore = 0;
  TimePoint WindowStart;
};

} // namespace hyssopford
