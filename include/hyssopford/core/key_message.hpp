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
  /// The key belongs to this claim.
  Granted,
  /// The key belongs to another claim that has no outcome yet.
  Held,
  /// Another claim has ended; the reply carries its result.
  Finished,
  /// The key belongs to a claim for another request.
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

/// @brief Recorded end of a claim.
struct KeyResult {
  Outcome Result = Outcome::Unknown;
  OutcomeReason Reason = OutcomeReason::None;
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
  /// Claim that has the key if Verdict is Held.
  ClaimId HeldBy;
  /// Valid if Verdict is Finished.
  KeyResult Result;

  friend bool operator==(const KeyClaimReply &,
                         const KeyClaimReply &) = default;
};

/// @brief Gives a key back. Only the claim's own ingress sends it, and only
/// if the claim never runs.
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
  /// Lowest epoch in which the holder may still grant keys. If it is newer
  /// than the sender's epoch, the newer holders must be told as well.
  std::uint64_t Epoch = 0;

  friend bool operator==(const KeyAck &, const KeyAck &) = default;
};

/// @brief One key as a holder passes it on.
struct KeyRecord {
  std::string Key;
  std::uint64_t RequestHash = 0;
  /// Claims with a grant. More than one if holders of an earlier roster
  /// granted the key to different claims.
  std::vector<ClaimId> Claims;
  bool Finished = false;
  KeyResult Result;
  /// Retention left; clocks of nodes differ.
  Duration Remaining{0};

  friend bool operator==(const KeyRecord &, const KeyRecord &) = default;
};

/// @brief Asks a node of an earlier roster to stop granting in that epoch and
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

/// @brief One piece of a sealed node's records, in order of their keys.
struct SealReply {
  std::string Service;
  std::uint64_t Epoch = 0;
  std::uint64_t Sealed = 0;
  std::string After;
  /// Key after which the next piece starts.
  std::string Next;
  bool Last = false;
  /// True if the node was ready for all its keys when it sealed the epoch.
  bool WasReady = false;
  std::vector<KeyRecord> Records;

  friend bool operator==(const SealReply &, const SealReply &) = default;
};

/// @brief Asks for a newer roster and tells how far the sender is.
struct RosterRequest {
  std::string Service;
  /// Store revision of the sender's roster; 0 if it has none.
  std::uint64_t Revision = 0;
  /// Epoch in which the sender is ready for all its keys; 0 for none.
  std::uint64_t ReadyEpoch = 0;

  friend bool operator==(const RosterRequest &,
                         const RosterRequest &) = default;
};

/// @brief Passes on a roster as it is in the store.
struct RosterUpdate {
  std::string Service;
  std::uint64_t Revision = 0;
  /// Text form, see encodeRoster.
  std::string Value;

  friend bool operator==(const RosterUpdate &, const RosterUpdate &) = default;
};

} // namespace hyssopford
