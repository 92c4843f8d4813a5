/// @file
/// @brief Calls to the platform's key-value service and their results.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace hyssopford {

/// @brief Reads one key.
struct StoreRead {
  std::string Key;

  friend bool operator==(const StoreRead &, const StoreRead &) = default;
};

/// @brief Writes one key if its revision is still the expected one
/// (compare-and-swap).
struct StoreWrite {
  std::string Key;
  std::string Value;
  /// Revision that must be current; 0 means the key must not exist.
  std::uint64_t ExpectedRevision = 0;
  /// Lease that deletes the key when it lapses; 0 for none.
  std::uint64_t Lease = 0;

  friend bool operator==(const StoreWrite &, const StoreWrite &) = default;
};

/// @brief Waits until a key's revision is above a given one.
struct StoreWatch {
  std::string Key;
  std::uint64_t AfterRevision = 0;
  Duration Timeout{0};

  friend bool operator==(const StoreWatch &, const StoreWatch &) = default;
};

/// @brief Grants a new lease (Lease is 0) or renews one.
struct StoreLease {
  std::uint64_t Lease = 0;
  Duration TimeToLive{0};

  friend bool operator==(const StoreLease &, const StoreLease &) = default;
};

/// @brief Any call to the store.
using StoreOperation =
    std::variant<StoreRead, StoreWrite, StoreWatch, StoreLease>;

/// @brief How a call to the store ended.
enum class StoreStatus : std::uint8_t {
  /// Done; the result holds the value and revision, or the lease.
  Done,
  /// The key does not exist, or the lease has lapsed.
  Missing,
  /// The revision was not the expected one; the result holds the current one.
  Conflict,
  /// A watch ended without a change.
  Unchanged,
  /// Refused before any effect, e.g. rate limit or value too large.
  Refused,
  /// No answer came; a write may have taken effect.
  NoAnswer
};

/// @brief Result of a call to the store.
struct StoreResult {
  StoreStatus Status = StoreStatus::NoAnswer;
  std::string Value;
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0;
  /// Explanation if Status is Refused or NoAnswer.
  std::string Reason;

  friend bool operator==(const StoreResult &, const StoreResult &) = default;
};

/// @brief Systems that call the store. The number of a call carries its system
/// in the upper 8 bits, so that systems count independently.
enum class StoreUser : std::uint8_t {
  Config = 1,
  Patch,
  History,
  Directory,
  Roster = 16
};

/// @brief Composes the number of a call.
/// @param User the calling system
/// @param Sequence number of the call within the system, below 2^56
constexpr std::uint64_t storeCallNumber(StoreUser User,
                                        std::uint64_t Sequence) {
  return static_cast<std::uint64_t>(User) << 56U | Sequence;
}

/// @return whether a call number belongs to a system
constexpr bool isCallOf(StoreUser User, std::uint64_t Call) {
  return Call >> 56U == static_cast<std::uint64_t>(User);
}

} // namespace hyssopford
