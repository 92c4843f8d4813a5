/// @file
/// @brief An upstream with slots in virtual time.
#pragma once

#include "event_queue.hpp"

#include "hyssopford/core/event.hpp"
#include "hyssopford/core/ids.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace hyssopford::experiment {

/// @brief Works on up to Cores requests at full speed; more share the cores.
class FakeUpstream {
public:
  /// Receives the end of each request.
  using Sink = std::function<void(const Event &)>;

  /// @param Queue virtual time
  /// @param Slots requests that run at full speed at once
  /// @param Ended receives the end of each request and probe
  FakeUpstream(EventQueue &Queue, std::uint32_t Slots, Sink Ended);
  FakeUpstream(const FakeUpstream &) = delete;
  FakeUpstream &operator=(const FakeUpstream &) = delete;

  /// @brief Starts a request.
  /// @param Attempt its identifier
  /// @param Work time it takes at full speed
  void start(AttemptId Attempt, Duration Work);

  /// @brief Starts a probe.
  void startProbe(Duration Work);

  /// @brief Abandons a request.
  void cancel(AttemptId Attempt);

  /// @brief Changes the speed.
  /// @param SlowFactor how many times longer a request takes
  /// @param CoreCount requests that run at that speed at once
  void setSpeed(double SlowFactor, double CoreCount);

  /// @brief Makes every n-th request fail fast; 0 stops it.
  void setFailing(std::uint32_t Every) { FailEvery = Every; }

  /// @return how many times longer a request takes now
  double slowdown() const { return Slow; }
  /// @return requests that run at once without slowing each other down
  double cores() const { return Cores; }
  /// @return whether some or all requests fail
  bool failing() const { return FailEvery != 0; }

private:
  struct Job {
    AttemptId Attempt;
    bool IsProbe = false;
    /// Work left in µs at full speed.
    double Left = 0.0;
    TimePoint Started;
  };

  void failFast(AttemptId Attempt);
  void advance();
  void schedule();
  void finishDue(std::uint64_t Scheduled);
  double rate() const;

  EventQueue &Time;
  Sink Done;
  double Slow = 1.0;
  double Cores = 1.0;
  std::uint32_t FailEvery = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Generation = 0;
  TimePoint Advanced;
  std::vector<Job> Jobs;
};

} // namespace hyssopford::experiment
