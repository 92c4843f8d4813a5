/// @file
/// @brief Probes of the upstream on this VM.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"

#include <cstdint>
#include <optional>

namespace hyssopford {

/// @brief Probes an idle, cold or suspected upstream. Real traffic is the
/// primary measurement: while its outcomes arrive and are good, no probe runs.
/// A token bucket bounds the time that probes take on the upstream.
class ProbeSystem {
public:
  /// @name Construction
  /// @{

  /// @param Chosen constants of probing
  explicit ProbeSystem(const ProbeSettings &Chosen) : Settings(Chosen) {}
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Takes the announcement of the upstream.
  void upstreamAnnounced(const UpstreamAnnounced &Announced, TimePoint Now);

  /// @brief Notes that the upstream is gone.
  void upstreamGone();

  /// @brief Takes an outcome of real traffic. It takes precedence over probes.
  /// @param Succeeded false if the upstream closed, timed out or refused the
  /// connection
  /// @param Now the current time
  void observe(bool Succeeded, TimePoint Now);

  /// @brief Takes the end of a probe.
  void finish(const ProbeFinished &Result, TimePoint Now, Actions &Out);

  /// @brief Starts a probe if one is due and the budget allows it.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next probe, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether the latest outcomes suggest that the upstream has failed
  bool suspected() const { return Failures >= Settings.SuspectAfter; }

  /// @return time that probes took on the upstream since the start
  Duration spent() const { return Spent; }
  /// @}

private:
  /// Unit of the bucket: µs times parts per million.
  using Picoseconds = std::int64_t;

  std::optional<TimePoint> due() const;
  Picoseconds perMicrosecond() const;
  Picoseconds capacity() const;
  void refill(TimePoint Now);

  ProbeSettings Settings;
  bool Present = false;
  bool Cold = false;
  bool InFlight = false;
  std::uint32_t Slots = 0;
  std::uint32_t Failures = 0;
  Picoseconds Level = 0;
  TimePoint RefilledAt;
  TimePoint LastOutcome;
  TimePoint LastProbe;
  Duration Spent{0};
};

} // namespace hyssopford
