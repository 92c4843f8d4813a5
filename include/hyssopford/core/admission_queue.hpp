/// @file
/// @brief Queue of attempts that wait for a slot of the upstream.
#pragma once

#include "hyssopford/core/message.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief An attempt that an owner has admitted.
struct AdmittedAttempt {
  NodeId From;
  Dispatch Attempt;
  TimePoint Arrived;
  TimePoint Deadline;
  TimePoint Started;
  /// Time after which an answer would come too late to be worth the wait.
  TimePoint StartDeadline = TimePoint::max();

  /// Time from which the credential of the request may not be relied on.
  TimePoint CredentialEnd = TimePoint::max();

  /// @return the time at which the attempt leaves the queue unstarted
  TimePoint expiry() const {
    return std::min({Deadline, StartDeadline, CredentialEnd});
  }
};

/// @brief Priority queue with one FIFO queue for each class. The most urgent
/// class goes first, but a class starts one attempt after each burst of more
/// urgent ones, so that none starves.
class AdmissionQueue {
public:
  /// @param Burst starts of more urgent attempts after which an attempt of a
  /// waiting class starts
  explicit AdmissionQueue(std::uint32_t Burst) : HighBurst(Burst) {}

  /// @brief Appends an attempt to the queue of its class.
  void push(AdmittedAttempt Row);

  /// @brief Removes the attempt to start next.
  /// @return the attempt, if the queue is not empty
  std::optional<AdmittedAttempt> pop();

  /// @brief Removes a given attempt.
  /// @return the attempt, if it was queued
  std::optional<AdmittedAttempt> remove(const AttemptId &Attempt);

  /// @brief Removes one attempt that has expired.
  /// @return the attempt, if any has expired at @p Now
  std::optional<AdmittedAttempt> popExpired(TimePoint Now);

  /// @brief Counts the queued attempts that start before a new one of a class.
  /// @note Complexity: constant.
  std::size_t countAhead(Priority Class) const;

  /// @return whether an attempt is queued
  bool contains(const AttemptId &Attempt) const {
    return Positions.contains(Attempt);
  }

  /// @brief Removes the attempts that may be handed back to their ingress.
  /// @return the attempts, most urgent first
  std::vector<AdmittedAttempt> takeHandBacks();

  /// @return the earliest expiry, if any
  std::optional<TimePoint> nextDeadline() const;

  /// @return the number of attempts queued
  std::size_t size() const { return Positions.size(); }

private:
  using ClassQueue = std::list<AdmittedAttempt>;

  AdmittedAttempt removeAt(ClassQueue &From, ClassQueue::iterator At);
  ClassQueue &classQueue(Priority Class) {
    return ClassQueues[static_cast<std::size_t>(Class)];
  }
  const ClassQueue &classQueue(Priority Class) const {
    return ClassQueues[static_cast<std::size_t>(Class)];
  }

  std::uint32_t HighBurst;
  /// Consecutive starts of more urgent attempts while this class waited.
  std::array<std::uint32_t, PriorityCount> PassedOver{};
  std::array<ClassQueue, PriorityCount> ClassQueues;
  std::unordered_map<AttemptId, ClassQueue::iterator> Positions;
  std::set<std::pair<TimePoint, AttemptId>> Deadlines;
};

} // namespace hyssopford
