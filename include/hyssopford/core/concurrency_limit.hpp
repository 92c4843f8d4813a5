/// @file
/// @brief Limit of the requests that run concurrently on an upstream.
#pragma once

#include "hyssopford/core/decision_settings.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Adapts the limit of concurrent requests between 1 and the announced
/// slots: it shrinks in proportion to the excess when the mean latency of a
/// window exceeds the baseline, e.g. because of a noisy neighbour on the same
/// machine, and otherwise grows by one slot per window.
class ConcurrencyLimit {
public:
  /// @param Chosen settings of admission
  explicit ConcurrencyLimit(const AdmissionSettings &Chosen)
      : Settings(Chosen) {}

  /// @brief Sets the announced slots.
  /// @param Announced slots of the upstream
  /// @param Cold whether the limit ramps up from a small share of the slots
  /// @param Now the current time
  void setSlots(std::uint32_t Announced, bool Cold, TimePoint Now);

  /// @brief Records the latency of one answer.
  /// @param Latency time from the start on the upstream to its answer
  /// @param InFlight requests running when the answer came, including its own
  /// @param Now the current time
  void observe(Duration Latency, std::uint32_t InFlight, TimePoint Now);

  /// @brief Records that the upstream shed a request.
  /// @param Now the current time
  void recordShed(TimePoint Now);

  /// @brief Marks the upstream as suspected or not. A suspected upstream gets
  /// one request at a time and ramps up afterwards.
  void setSuspected(bool Suspected, TimePoint Now);

  /// @return the current limit; at least 1
  std::uint32_t value(TimePoint Now) const;

  /// @return whether the limit is ramping up after a cold start or a suspicion
  bool isRamping(TimePoint Now) const;

private:
  void endWindow(TimePoint Now);

  AdmissionSettings Settings;
  std::uint32_t Slots = 0;
  /// Adaptive part of the limit, in slots.
  double Limit = 1.0;
  /// Mean latency in µs of an unloaded upstream.
  double Baseline = 0.0;
  double WindowSum = 0.0;
  std::uint32_t WindowCount = 0;
  std::uint32_t WindowPeak = 0;
  TimePoint ShedUntil;
  TimePoint RampStart;
  bool Ramps = false;
  bool IsSuspected = false;
};

} // namespace hyssopford
