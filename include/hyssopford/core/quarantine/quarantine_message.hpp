/// @file
/// @brief Message with crashes of upstreams and the requests seen in them.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <vector>

namespace hyssopford {

/// @brief A fingerprint that was running on an upstream when it crashed.
struct CrashSighting {
  std::uint64_t Fingerprint = 0;
  /// Run of the owner whose upstream crashed.
  NodeRun Owner;
  /// Number of the crash, counted by that run.
  std::uint64_t Crash = 0;
  /// Serial of the latest quarantine lift of the fingerprint before the crash;
  /// 0 if there is none.
  std::uint64_t LiftSerial = 0;
  /// True if no other request was running, so that it certainly is the cause.
  bool Alone = false;
  /// True once an answer to the fingerprint showed that the crash had another
  /// cause. Never reset, so that nodes agree whatever the order of messages.
  bool Cleared = false;
  /// Time since the crash; not a time of day, as the clocks of nodes differ.
  Duration Age{0};
  /// True if this is the start of a trial, not a crash.
  bool Trial = false;

  friend bool operator==(const CrashSighting &,
                         const CrashSighting &) = default;
};

/// @brief Gossips crash sightings.
struct QuarantineNotice {
  std::vector<CrashSighting> Sightings;
  /// True if the sender's table includes the record in the store and this is
  /// the last message with the sightings that the sender knew.
  bool Complete = false;

  friend bool operator==(const QuarantineNotice &,
                         const QuarantineNotice &) = default;
};

} // namespace hyssopford
