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
  /// Time since the crash; clocks of nodes differ.
  Duration Age{0};

  friend bool operator==(const CrashSighting &,
                         const CrashSighting &) = default;
};

/// @brief A suspect that ran alone and was answered: the crash that it was
/// seen in had another cause.
struct Clearance {
  std::uint64_t Fingerprint = 0;
  /// Time since the answer.
  Duration Age{0};

  friend bool operator==(const Clearance &, const Clearance &) = default;
};

/// @brief Spreads crash sightings and clearances.
struct QuarantineNotice {
  std::vector<CrashSighting> Sightings;
  std::vector<Clearance> Cleared;

  friend bool operator==(const QuarantineNotice &,
                         const QuarantineNotice &) = default;
};

} // namespace hyssopford
