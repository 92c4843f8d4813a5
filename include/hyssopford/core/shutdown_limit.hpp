/// @file
/// @brief Which work still fits into the time left to a node that shuts down.
#pragma once

#include "hyssopford/core/time.hpp"

namespace hyssopford {

/// @brief The end of a graceful shutdown. Attempts end first, then the requests
/// that wait for them, so that each learns the outcome of the one before.
/// Without a shutdown everything fits.
class ShutdownLimit {
public:
  /// Time in which the end of an attempt reaches the request that waits for it.
  static constexpr Duration ReplyMargin = 75ms;
  /// Multiples of the expected time that must be left to an attempt.
  static constexpr int IdempotentMargin = 2;
  /// The same for requests that must not be repeated: for these a refusal is
  /// better than an unknown outcome.
  static constexpr int NonIdempotentMargin = 4;
  /// Part of its time that must be left to an attempt without an expected time,
  /// in percent.
  static constexpr int UnmeasuredPercent = 75;

  /// @brief Starts the limit.
  /// @param AnswerBy when the last request must be answered
  void set(TimePoint AnswerBy) { RequestEnd = AnswerBy; }

  /// @return whether the node shuts down
  bool isSet() const { return RequestEnd != TimePoint::max(); }

  /// @return when requests without an answer end
  TimePoint requestEnd() const { return RequestEnd; }

  /// @return when attempts that are queued or running at this node end
  TimePoint attemptEnd() const { return RequestEnd - ReplyMargin; }

  /// @return the latest deadline of an attempt, so that an upstream that gives
  /// up at its deadline can still say so
  TimePoint latestDeadline() const { return attemptEnd() - ReplyMargin; }

  /// @brief Gives the time until which an attempt may start and still end
  /// before the node does: at its deadline, or because its expected time leaves
  /// a margin.
  /// @param Deadline the deadline without regard to the shutdown
  /// @param Expected expected time until the answer; 0 if it is not known
  /// @param Idempotent whether the request may run again
  /// @param Now the current time
  /// @return the latest start
  TimePoint latestStart(TimePoint Deadline, Duration Expected, bool Idempotent,
                        TimePoint Now) const {
    if (Deadline <= latestDeadline()) {
      return TimePoint::max();
    }
    const Duration Needed =
        Expected > Duration{0}
            ? Expected * (Idempotent ? IdempotentMargin : NonIdempotentMargin)
            : (Deadline - Now) * UnmeasuredPercent / 100;
    return latestDeadline() - Needed;
  }

private:
  TimePoint RequestEnd = TimePoint::max();
};

} // namespace hyssopford
