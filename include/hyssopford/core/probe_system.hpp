/// @file
/// @brief Probes of the upstream on this VM.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"

#include <cstdint>
#include <optional>

namespace hyssopford {

/// @brief Probes an idle, cold or suspected upstream. No probe runs while real
/// traffic is answered successfully. A token bucket limits the time that probes
/// take on the upstream.
class ProbeSystem {
public:
  /// @name Construction
  /// @{

  /// @param Chosen settings of probing
  explicit ProbeSystem(const ProbeSettings &Chosen) : Settings(Chosen) {}
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Handles the announcement of the upstream.
  void upstreamAnnounced(const UpstreamAnnounced &Announced, TimePoint Now);

  /// @brief Handles the loss of the upstream.
  void upstreamGone();

  /// @brief Records an outcome of real traffic.
  /// @param Succeeded false if the upstream closed, timed out or refused the
  /// connection
  /// @param Now the current time
  void observe(bool Succeeded, TimePoint Now);

  /// @brief Handles the result of a probe.
  void finish(const ProbeFinished &Result, TimePoint Now, Actions &Out);

  /// @brief Starts a probe if one is due and the budget allows it.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next probe, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether the upstream is suspected to have failed, after
  /// ProbeSettings::SuspectAfter consecutive failures
  bool suspected() const { return Failures >= Settings.SuspectAfter; }

  /// @return total time that probes took on the upstream
  Duration spent() const { return Spent; }
  /// @}

private:
  /// Unit of the token bucket: µs times parts per million.
  using Picoseconds = std::int64_t;

  /// Time of the next probe if the budget allows it.
  std::optional<TimePoint> due() const;
  /// Tokens added to the bucket per µs.
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
