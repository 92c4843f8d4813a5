/// @file
/// @brief Replies of finished attempts that an owner keeps.
#pragma once

#include "hyssopford/core/message.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace hyssopford {

/// @brief Keeps the replies of finished attempts for a limited time. For each
/// ingress run, the highest sequence whose reply was dropped is kept.
class FinishedAttempts {
public:
  /// @param KeptFor how long replies are kept
  /// @param MaxBytes most bytes of replies kept; the oldest are dropped first
  FinishedAttempts(Duration KeptFor, std::size_t MaxBytes)
      : Retention(KeptFor), BytesMax(MaxBytes) {}

  /// @brief Adds the reply of an ended attempt unless it has one.
  /// @note Complexity: amortised constant.
  void add(const DispatchReply &Reply, TimePoint Now);

  /// @brief Drops replies older than the retention, or beyond the byte limit.
  void dropExpired(TimePoint Now);

  /// @return the reply of an attempt, or nullptr if none is kept
  const DispatchReply *find(const AttemptId &Attempt) const;

  /// @return whether a reply that is not found may have been dropped
  bool mayHaveDropped(const AttemptId &Attempt) const;

  /// @return the number of replies kept
  std::size_t size() const { return Replies.size(); }

private:
  void dropOldest();

  struct EndedRow {
    AttemptId Attempt;
    TimePoint Ended;
  };

  Duration Retention;
  std::size_t BytesMax;
  std::size_t Bytes = 0;
  std::deque<EndedRow> Order;
  std::unordered_map<AttemptId, DispatchReply> Replies;
  /// Highest sequence of each ingress run whose reply was dropped.
  std::unordered_map<NodeId, std::unordered_map<std::uint64_t, std::uint64_t>>
      LowWaterMarks;
};

} // namespace hyssopford
