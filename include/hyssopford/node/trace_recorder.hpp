/// @file
/// @brief Recording of the attempts that the upstream on this VM answered, for
/// replay.
#pragma once

#include "hyssopford/core/action.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Writes one line of JSON for each answered attempt (docs/replay.md).
class TraceRecorder {
public:
  /// Receives one line without line feed.
  using Sink = std::function<void(std::string_view)>;

  /// @param Target receives the lines
  explicit TraceRecorder(Sink Target) : WriteLine(std::move(Target)) {}

  /// @brief Notes that an attempt was forwarded to the upstream.
  /// @param Service the service of the upstream
  /// @param Attempt the attempt
  /// @param Arrived wall-clock time of arrival
  /// @param Now the current time, for the duration
  void started(const std::string &Service, const ForwardToUpstream &Attempt,
               std::chrono::system_clock::time_point Arrived, TimePoint Now);

  /// @brief Writes the line of an answered attempt.
  void answered(AttemptId Id, TimePoint Now);

  /// @brief Discards an attempt that got no complete answer.
  void dropped(AttemptId Id) { OpenAttempts.erase(Id); }

private:
  struct OpenAttempt {
    std::string Service;
    std::int64_t ArrivedUs = 0;
    TimePoint Started;
    Priority Class = Priority::Normal;
    bool Idempotent = false;
  };

  Sink WriteLine;
  std::map<AttemptId, OpenAttempt> OpenAttempts;
};

} // namespace hyssopford
