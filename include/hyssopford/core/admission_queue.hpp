/// @file
/// @brief Attempts that wait for a slot of the upstream.
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
  /// When an answer would no longer be worth the wait.
  TimePoint StartBy = TimePoint::max();

  /// @return when waiting any longer makes no sense
  TimePoint expiry() const { return std::min(Deadline, StartBy); }
};

/// @brief Queue with a line for each priority class. The most urgent goes
/// first, but a class that others passed for a whole burst has its turn, so
/// none starves.
class AdmissionQueue {
public:
  /// @param Burst starts of more urgent classes after which a class follows
  explicit AdmissionQueue(std::uint32_t Burst) : HighBurst(Burst) {}

  /// @brief Appends an attempt to its class.
  void push(AdmittedAttempt Row);

  /// @brief Takes the attempt to start next.
  /// @return the attempt; empty if the queue is
  std::optional<AdmittedAttempt> pop();

  /// @brief Takes a given attempt out.
  std::optional<AdmittedAttempt> remove(const AttemptId &Attempt);

  /// @brief Takes one attempt whose deadline has passed.
  std::optional<AdmittedAttempt> popExpired(TimePoint Now);

  /// @brief Counts the attempts that start before a new one of a class.
  /// @note Complexity: constant.
  std::size_t ahead(Priority Class) const;

  /// @return whether an attempt is queued
  bool contains(const AttemptId &Attempt) const {
    return Positions.contains(Attempt);
  }

  /// @brief Removes the attempts that the ingress may send elsewhere.
  /// @return the attempts, most urgent first
  std::vector<AdmittedAttempt> takeHandBacks();

  /// @return the earliest deadline, if any
  std::optional<TimePoint> nextDeadline() const;

  /// @return the number of attempts queued
  std::size_t size() const { return Positions.size(); }

private:
  using Line = std::list<AdmittedAttempt>;

  AdmittedAttempt take(Line &From, Line::iterator At);
  Line &lineOf(Priority Class) {
    return Lines[static_cast<std::size_t>(Class)];
  }
  const Line &lineOf(Priority Class) const {
    return Lines[static_cast<std::size_t>(Class)];
  }

  std::uint32_t HighBurst;
  /// Starts of more urgent attempts while this class waited.
  std::array<std::uint32_t, PriorityCount> Passed{};
  std::array<Line, PriorityCount> Lines;
  std::unordered_map<AttemptId, Line::iterator> Positions;
  std::set<std::pair<TimePoint, AttemptId>> Deadlines;
};

} // namespace hyssopford
