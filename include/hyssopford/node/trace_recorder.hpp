/// @file
/// @brief Records what the upstream on this VM ran, for replay.
#pragma once

#include "hyssopford/core/action.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Writes a line of JSON for each answered attempt; docs/replay.md
/// describes the format.
class TraceRecorder {
public:
  /// Takes one line without its end.
  using Sink = std::function<void(std::string_view)>;

  /// @param Target takes the lines
  explicit TraceRecorder(Sink Target) : Lines(std::move(Target)) {}

  /// @brief Notes that an attempt was forwarded.
  /// @param Service the service of the upstream
  /// @param Attempt the attempt
  /// @param Arrived time of day
  /// @param Now the current time
  void started(const std::string &Service, const ForwardToUpstream &Attempt,
               std::chrono::system_clock::time_point Arrived, TimePoint Now);

  /// @brief Writes the line of an answered attempt.
  void answered(AttemptId Id, TimePoint Now);

  /// @brief Forgets an attempt without a complete answer.
  void dropped(AttemptId Id) { Rows.erase(Id); }

private:
  struct Row {
    std::string Service;
    std::int64_t ArrivedUs = 0;
    TimePoint Started;
    Priority Class = Priority::Normal;
    bool Idempotent = false;
  };

  Sink Lines;
  std::map<AttemptId, Row> Rows;
};

} // namespace hyssopford
