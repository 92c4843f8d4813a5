/// @file
/// @brief Messages of idempotency keys and of their holder rosters.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Asks a holder to grant a key to a claim.
struct KeyClaim {
  std::string Service;
  /// Epoch of the roster by which the holder was chosen.
  std::uint64_t Epoch = 0;
  std::string Key;
  /// Hash of host, method, path and body.
  std::uint64_t RequestHash = 0;
  ClaimId Claim;
  /// Time left until the deadline of the request.
  Duration Remaining{0};

  friend bool operator==(const KeyClaim &, const KeyClaim &) = default;
};

/// @brief A holder's answer to a claim.
enum class KeyVerdict : std::uint8_t {
  /// This claim holds the key.
  Granted,
  /// Another claim without a result yet holds the key.
  Held,
  /// Another claim holds the key and has ended; the reply carries its result.
  Finished,
  /// A claim for a different request holds the key.
  Reused,
  /// The roster of the claim is no longer in force.
  StaleEpoch,
  /// The holder may not decide on this key yet.
  NotReady,
  /// The holder's table is full.
  Full,
  /// The claim was released before.
  Barred
};

/// @brief Recorded result of the request of a claim.
struct KeyResult {
  Outcome Result = Outcome::Unknown;
  OutcomeReason Reason = OutcomeReason::None;
  /// HTTP status of the answer.
  std::uint16_t Status = 0;
  /// False if the answer was too large to be kept.
  bool AnswerKept = true;
  Payload Answer;
  /// Node whose upstream answered.
  NodeId Owner;

  friend bool operator==(const KeyResult &, const KeyResult &) = default;
};

/// @brief Answers a KeyClaim.
struct KeyClaimReply {
  ClaimId Claim;
  KeyVerdict Verdict = KeyVerdict::NotReady;
  /// Claim that holds the key; valid if Verdict is Held.
  ClaimId HeldBy;
  /// Valid if Verdict is Finished.
  KeyResult Result;

  friend bool operator==(const KeyClaimReply &,
                         const KeyClaimReply &) = default;
};

/// @brief Releases a key. Only the ingress of the claim sends it, and only if
/// the request of the claim never runs.
struct KeyRelease {
  std::string Service;
  std::string Key;
  ClaimId Claim;

  friend bool operator==(const KeyRelease &, const KeyRelease &) = default;
};

/// @brief Records the result of a claim.
struct KeyOutcome {
  std::string Service;
  std::string Key;
  std::uint64_t RequestHash = 0;
  ClaimId Claim;
  KeyResult Result;

  friend bool operator==(const KeyOutcome &, const KeyOutcome &) = default;
};

/// @brief Confirms a KeyRelease or a KeyOutcome.
struct KeyAck {
  ClaimId Claim;
  /// Lowest epoch in which the holder may still grant keys. If it is higher
  /// than the epoch of the confirmed message, the message must also go to the
  /// newer holders.
  std::uint64_t Epoch = 0;

  friend bool operator==(const KeyAck &, const KeyAck &) = default;
};

/// @brief Record of one key, as a holder transfers it to another.
struct KeyRecord {
  std::string Key;
  std::uint64_t RequestHash = 0;
  /// Claims to which the key was granted. More than one if holders of an
  /// earlier epoch granted it to different claims.
  std::vector<ClaimId> Claims;
  bool Finished = false;
  KeyResult Result;
  /// Remaining retention; a duration, because clocks of nodes differ.
  Duration Remaining{0};

  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

/// @brief Asks a member of an earlier epoch to stop granting in that epoch and
/// to send its records.
struct SealRequest {
  std::string Service;
  /// Epoch for which the records are collected.
  std::uint64_t Epoch = 0;
  /// Epoch to seal.
  std::uint64_t Sealed = 0;
  /// Last key received; empty at the start.
  std::string After;

  friend bool operator==(const SealRequest &, const SealRequest &) = default;
};

/// @brief A part of the records of a member that sealed an epoch, ordered by
/// key.
struct SealReply {
  std::string Service;
  std::uint64_t Epoch = 0;
  std::uint64_t Sealed = 0;
  /// Key after which this part begins, as in the request.
  std::string After;
  /// Key after which the next part begins.
  std::string Next;
  /// True if no records follow.
  bool Last = false;
  /// True if the node was ready for all its keys when it sealed the epoch.
  bool WasReady = false;
  std::vector<KeyRecord> Records;

  friend bool operator==(const SealReply &, const SealReply &) = default;
};

/// @brief Requests a newer roster and reports whether the sender is ready.
struct RosterRequest {
  std::string Service;
  /// Store revision of the sender's roster; 0 if it has none.
  std::uint64_t Revision = 0;
  /// Epoch in which the sender is ready for all its keys; 0 for none.
  std::uint64_t ReadyEpoch = 0;

  friend bool operator==(const RosterRequest &,
                         const RosterRequest &) = default;
};

/// @brief Distributes a roster as it is in the store.
struct RosterUpdate {
  std::string Service;
  std::uint64_t Revision = 0;
  /// Text form, see encodeRoster.
  std::string Value;

  friend bool operator==(const RosterUpdate &, const RosterUpdate &) = default;
};

} // namespace hyssopford
