/// @file
/// @brief The outcomes of a request that every caller learns.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief What became of a request or of one attempt.
enum class Outcome : std::uint8_t {
  /// The upstream answered; the answer is complete.
  Answered,
  /// The request ran nowhere.
  NotRun,
  /// The request may have run.
  Unknown
};

/// @brief Why a request or an attempt did not end as Answered.
enum class OutcomeReason : std::uint8_t {
  None,
  NoRoute,
  NoUpstream,
  QueueFull,
  DeadlineTooClose,
  DeadlineExceeded,
  Draining,
  StaleFrame,
  WrongIncarnation,
  CancelledByCaller,
  Quarantined,
  KeyReused,
  KeyInProgress,
  KeyUnavailable,
  AttemptLimit,
  RetryBudget,
  ConnectFailed,
  UpstreamClosed,
  UpstreamTimeout,
  LinkLost,
  AnswerTooLarge,
  ShuttingDown,
  /// The upstream stated that it did not run the request.
  UpstreamRefused,
  /// The node has no configuration yet.
  NoConfig,
  /// The upstream runs slowly for a moment; others may not.
  UpstreamSlow
};

/// @param Value the reason of an attempt's end
/// @return whether it is a fault of the upstream itself
constexpr bool isUpstreamFault(OutcomeReason Value) {
  return Value == OutcomeReason::ConnectFailed ||
         Value == OutcomeReason::UpstreamClosed ||
         Value == OutcomeReason::UpstreamTimeout;
}

/// @param Value the outcome to name
/// @return "answered", "not-run" or "unknown"
const char *toString(Outcome Value);

/// @param Value the reason to name
/// @return the reason in kebab case, e.g. "deadline-too-close"
const char *toString(OutcomeReason Value);

} // namespace hyssopford
