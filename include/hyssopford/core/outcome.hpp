/// @file
/// @brief Outcomes of requests and attempts, and their reasons.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief How a request or an attempt ended.
enum class Outcome : std::uint8_t {
  /// The upstream gave a complete answer.
  Answered,
  /// The request was not run by any upstream.
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
  /// The node has not received a configuration yet.
  NoConfig,
  /// The upstream is slowed down for a short time; others may not be.
  UpstreamSlow,
  /// The node has no memory for the request.
  NoMemory,
  /// The request carries no valid credential of a client account.
  UnknownCredential,
  /// The node cannot prove that its configuration is recent enough to accept
  /// credentials.
  CredentialsStale,
  /// The client account has used its allotment.
  AllotmentExceeded,
  /// The upstream is cold and gets no more requests for now.
  ColdLimit,
  /// The failure domain of the upstream is being evacuated.
  Evacuated
};

/// The reason with the highest number.
inline constexpr OutcomeReason LastOutcomeReason = OutcomeReason::Evacuated;

/// @brief Tells faults of the upstream from other reasons.
/// @param Value the reason why an attempt ended
/// @return whether the upstream itself caused it
constexpr bool isUpstreamFault(OutcomeReason Value) {
  return Value == OutcomeReason::ConnectFailed ||
         Value == OutcomeReason::UpstreamClosed ||
         Value == OutcomeReason::UpstreamTimeout;
}

/// @brief Gives the name of an outcome in headers, logs and metrics.
/// @param Value the outcome
/// @return "answered", "not-run" or "unknown"
const char *toString(Outcome Value);

/// @brief Gives the name of a reason in headers, logs and metrics.
/// @param Value the reason
/// @return the reason in kebab case, e.g. "deadline-too-close"
const char *toString(OutcomeReason Value);

} // namespace hyssopford
