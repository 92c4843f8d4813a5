/// @file
/// @brief Message about requests that crash upstreams.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <vector>

namespace hyssopford {

/// @brief One crash of an upstream and a fingerprint that was running on it.
struct CrashSighting {
  std::uint64_t Fingerprint = 0;
  /// Run of the owner whose upstream crashed.
  NodeRun Owner;
  /// Number of the crash at that run.
  std::uint64_t Crash = 0;
  /// Serial of the lift that was in force when the crash happened.
  std::uint64_t LiftSerial = 0;
  /// True if it ran alone, so that it certainly is the cause.
  bool Alone = false;
  /// True once the fingerprint ran alone and was answered: the crash had
  /// another cause. Never reset, so that nodes agree in any order of messages.
  bool Cleared = false;
  /// Time since the crash; clocks of nodes differ.
  Duration Age{0};

  friend bool operator==(const CrashSighting &,
                         const CrashSighting &) = default;
};

/// @brief Spreads crash sightings.
struct QuarantineNotice {
  std::vector<CrashSighting> Sightings;

  friend bool operator==(const QuarantineNotice &,
                         const QuarantineNotice &) = default;
};

} // namespace hyssopford
