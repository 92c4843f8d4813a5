/// @file
/// @brief Memory of an owner for attempts that have ended.
#pragma once

#include "hyssopford/core/message.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace hyssopford {

/// @brief Keeps the replies of finished attempts for a time. A low-water mark
/// per ingress run covers those it has forgotten.
class FinishedAttempts {
public:
  /// @param KeptFor how long replies are kept
  /// @param MostBytes answers kept at most; the oldest are forgotten first
  FinishedAttempts(Duration KeptFor, std::size_t MostBytes)
      : Retention(KeptFor), BytesMax(MostBytes) {}

  /// @brief Adds the reply of an attempt that ended.
  /// @note Complexity: amortised constant.
  void add(const DispatchReply &Reply, TimePoint Now);

  /// @brief Forgets replies older than the retention.
  void forget(TimePoint Now);

  /// @return the reply of an attempt, or nullptr
  const DispatchReply *find(const AttemptId &Attempt) const;

  /// @return whether an attempt that is not found may have been forgotten
  bool mayBeForgotten(const AttemptId &Attempt) const;

  /// @return the number of replies kept
  std::size_t size() const { return Replies.size(); }

private:
  void forgetOldest();

  struct EndedRow {
    AttemptId Attempt;
    TimePoint Ended;
  };

  Duration Retention;
  std::size_t BytesMax;
  std::size_t Bytes = 0;
  std::deque<EndedRow> Order;
  std::unordered_map<AttemptId, DispatchReply> Replies;
  /// Highest forgotten sequence of each ingress run.
  std::unordered_map<NodeId, std::unordered_map<std::uint64_t, std::uint64_t>>
      LowWaterMarks;
};

} // namespace hyssopford
