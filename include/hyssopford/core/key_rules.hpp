/// @file
/// @brief Settings of idempotency keys and the rules that keep them safe.
#pragma once

#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/roster.hpp"
#include "hyssopford/core/time.hpp"

#include <cstddef>

namespace hyssopford {

/// @brief Decisions on which at-most-once execution rests. The product uses
/// this class as it is; tests override single rules to show that the fault
/// search detects their violation.
class KeyRules {
public:
  virtual ~KeyRules() = default;

  /// @param Holders number of holders of a key
  /// @return the grants needed before a request is dispatched
  virtual std::size_t quorum(std::size_t Holders) const {
    return majorityOf(Holders);
  }

  /// @return whether a holder grants a key that another claim has
  virtual bool grantsHeldKey() const { return false; }

  /// @param Result how the request of a claim ended
  /// @return whether the claim is given back
  virtual bool releases(Outcome Result) const {
    return Result == Outcome::NotRun;
  }

  /// @return whether a new holder waits until earlier rosters are sealed
  virtual bool waitsForSeals() const { return true; }

  /// @return whether a claim is dispatched only before its deadline
  virtual bool checksDeadline() const { return true; }
};

/// @brief Limits of the tables of idempotency keys.
struct KeySettings {
  /// Whether requests may carry keys. Without them no roster is kept.
  bool Enabled = true;
  /// How long a key is kept after its request ended.
  Duration Retention = 24h;
  /// Greatest age at which an owner may still run an attempt: it does not
  /// notice pauses below NodeCore::PauseLimit, and a link with older frames is
  /// closed by its heartbeats. Keys are kept this much longer.
  Duration MaxFrameAge = 5s;
  /// Most records of one node; a full table refuses new keys.
  std::size_t MaxRecords = 400'000;
  /// Largest answer that is kept for duplicates, in bytes.
  std::size_t MaxAnswer = 4'096;
  /// Most bytes of kept answers on one node; beyond it only the status of an
  /// answer is kept.
  std::size_t MaxAnswerBytes = 33'554'432;
  /// Time for which a leaving node waits until its records are handed over.
  Duration HandoverLimit = 10s;
  /// Time for which a member must be away before a roster drops it, so that
  /// a short suspicion writes nothing to the store.
  Duration RemoveAfter = 30s;
  /// Time for which a member must be present before a roster takes it.
  Duration JoinAfter = 2s;
  /// Rules to use instead of the standard ones, for tests; not owned.
  const KeyRules *Rules = nullptr;

  friend bool operator==(const KeySettings &, const KeySettings &) = default;
};

} // namespace hyssopford
