/// @file
/// @brief Detects slowdowns of the upstream on this VM by its neighbours.
#pragma once

#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Whether a request that starts now would run at the normal speed.
enum class SpeedState : std::uint8_t {
  /// The upstream reports no speed, or runs at its normal speed.
  Normal,
  /// The upstream is slowed down.
  Slow,
  /// The last report is too old.
  Unknown
};

/// @brief Tracks the speed that an upstream reports with each answer. Slowdowns
/// last some 100 ms, but a request keeps the speed at which it starts, so one
/// started during a slowdown takes several times as long. It is better started
/// later or elsewhere.
class SpeedTracker {
public:
  /// @param Chosen settings of admission
  explicit SpeedTracker(const AdmissionSettings &Chosen) : Settings(Chosen) {}

  /// @brief Records a report of the upstream.
  /// @param SlownessPercent time that work currently takes, in percent of its
  /// normal time; 0 if the answer did not state it
  /// @param Now the current time
  void observe(std::uint32_t SlownessPercent, TimePoint Now);

  /// @brief Discards all reports, e.g. those of an earlier upstream.
  void reset();

  /// @param Now the current time
  /// @return the state according to the last report
  SpeedState state(TimePoint Now) const;

  /// @return the last report in percent; 0 if there is none
  std::uint32_t slownessPercent() const { return SlownessPercent; }

  /// @return the time of the last report
  TimePoint observedAt() const { return ObservedAt; }

private:
  AdmissionSettings Settings;
  std::uint32_t SlownessPercent = 0;
  TimePoint ObservedAt;
  /// Lowest reports of the current and the previous window.
  std::uint32_t Lowest = 0;
  std::uint32_t LowestBefore = 0;
  TimePoint WindowStart;
};

} // namespace hyssopford
