/// @file
/// @brief Settings of idempotency keys and the rules of at-most-once execution.
#pragma once

#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/roster.hpp"
#include "hyssopford/core/time.hpp"

#include <cstddef>

namespace hyssopford {

/// @brief Rules on which at-most-once execution depends. Production code uses
/// this class unchanged; tests override single rules to show that the fault
/// search detects their violation.
class KeyRules {
public:
  virtual ~KeyRules() = default;

  /// @param Holders number of holders of a key
  /// @return the number of grants needed before a request is dispatched
  virtual std::size_t quorum(std::size_t Holders) const {
    return majorityOf(Holders);
  }

  /// @return whether a holder grants a key that another claim holds
  virtual bool grantsHeldKey() const { return false; }

  /// @param Result outcome of the request of a claim
  /// @return whether the claim is then released
  virtual bool releases(Outcome Result) const {
    return Result == Outcome::NotRun;
  }

  /// @return whether a new holder waits until earlier epochs are sealed
  virtual bool waitsForSeals() const { return true; }

  /// @return whether a claim is dispatched only before its deadline
  virtual bool checksDeadline() const { return true; }
};

/// @brief Limits of the tables of idempotency keys.
struct KeySettings {
  /// Whether requests may carry keys. Without them no roster is kept.
  bool Enabled = true;
  /// Time for which a key is kept after its request ended.
  Duration Retention = 24h;
  /// Greatest age at which an owner may still run an attempt: it does not
  /// detect pauses shorter than NodeCore::PauseLimit, and a link with older
  /// frames is closed by its heartbeats. Keys are kept this much longer.
  Duration MaxFrameAge = 5s;
  /// Largest number of records on one node; a full table refuses new keys.
  std::size_t MaxRecords = 400'000;
  /// Largest answer that is kept for duplicates, in bytes.
  std::size_t MaxAnswer = 4'096;
  /// Upper limit of the bytes of kept answers on one node; beyond it only the
  /// status of an answer is kept.
  std::size_t MaxAnswerBytes = 33'554'432;
  /// Longest time for which a leaving node waits for the handover of its
  /// records.
  Duration HandoverLimit = 10s;
  /// Time for which a member must be away before a roster removes it, so that a
  /// short suspicion causes no write to the store.
  Duration RemoveAfter = 30s;
  /// Time for which a node must be present before a roster includes it.
  Duration JoinAfter = 2s;
  /// Rules to use instead of the standard ones, for tests; not owned.
  const KeyRules *Rules = nullptr;

  friend bool operator==(const KeySettings &, const KeySettings &) = default;
};

} // namespace hyssopford
