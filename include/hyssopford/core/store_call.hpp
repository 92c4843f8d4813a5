/// @file
/// @brief Calls to the platform's key-value store and their results.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssopford {

/// Time for the answer to a call unless the caller states another.
inline constexpr Duration DefaultStoreTimeout = 1'500ms;

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

/// @brief Waits until a key's revision is higher than a given one.
struct StoreWatch {
  std::string Key;
  std::uint64_t AfterRevision = 0;
  /// Time after which the watch ends without a change.
  Duration Timeout{0};

  friend bool operator==(const StoreWatch &, const StoreWatch &) = default;
};

/// @brief Grants or renews a lease.
struct StoreLease {
  /// Lease to renew; 0 grants a new one.
  std::uint64_t Lease = 0;
  Duration TimeToLive{0};

  friend bool operator==(const StoreLease &, const StoreLease &) = default;
};

/// @brief Lists the keys below a prefix, at once or after one of them changed.
struct StoreList {
  std::string Prefix;
  /// Revision of the store from which changes count.
  std::uint64_t AfterRevision = 0;
  /// Time to wait for a change; 0 lists the keys at once.
  Duration Timeout{0};

  friend bool operator==(const StoreList &, const StoreList &) = default;
};

/// @brief Any call to the store.
using StoreOperation =
    std::variant<StoreRead, StoreWrite, StoreWatch, StoreLease, StoreList>;

/// @brief Status of a completed call to the store.
enum class StoreStatus : std::uint8_t {
  /// Success; the result holds the value and revision, or the lease.
  Done,
  /// The key does not exist, or the lease has lapsed.
  Missing,
  /// The revision was not the expected one; the result may hold the current
  /// value and revision.
  Conflict,
  /// A watch ended without a change; that of a prefix holds the revision of the
  /// store.
  Unchanged,
  /// Refused without effect, e.g. by a rate limit or because the value is too
  /// large.
  Refused,
  /// No answer arrived; a write may have taken effect.
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
  /// Era of the store when it answered; 0 if not stated. It rises each time the
  /// store has lost what it had acknowledged; revisions are comparable only
  /// within an era.
  std::uint64_t Era = 0;
  /// Rest of each key below the prefix of a StoreList, and the values.
  std::vector<std::string> Keys{};
  std::vector<std::string> Values{};

  friend bool operator==(const StoreResult &, const StoreResult &) = default;
};

/// @brief Systems that call the store. The upper 8 bits of a call number hold
/// the system, so that systems number their calls independently.
enum class StoreUser : std::uint8_t {
  Config = 1,
  Patch,
  History,
  Directory,
  Evacuation,
  Quarantine,
  Census,
  Evidence,
  Roster = 16
};

/// @brief Composes the number of a call.
/// @param User the calling system
/// @param Sequence number of the call within the system, below 2^56
/// @return the number of the call
constexpr std::uint64_t storeCallNumber(StoreUser User,
                                        std::uint64_t Sequence) {
  return static_cast<std::uint64_t>(User) << 56U | Sequence;
}

/// @return whether a call number belongs to a system
constexpr bool isCallOf(StoreUser User, std::uint64_t Call) {
  return Call >> 56U == static_cast<std::uint64_t>(User);
}

} // namespace hyssopford
