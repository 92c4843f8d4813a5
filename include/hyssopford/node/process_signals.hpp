/// @file
/// @brief Signals of a daemon.
#pragma once

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

namespace hyssopford {

/// @brief Waits for the signals of a daemon on a thread of its own: the first
/// SIGTERM or SIGINT asks it to end, each SIGHUP to read its settings again.
class ProcessSignals {
public:
  /// @brief Blocks these signals and SIGPIPE in the calling thread and those it
  /// starts. Called first by main().
  static void block();

  /// @param OnEnd is called once, on the waiting thread
  /// @param OnReload is called for each SIGHUP, on the waiting thread
  ProcessSignals(std::function<void()> OnEnd, std::function<void()> OnReload);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals &) = delete;
  ProcessSignals &operator=(const ProcessSignals &) = delete;

private:
  void wait(const std::function<void()> &OnEnd,
            const std::function<void()> &OnReload);

  std::atomic<bool> Done = false;
  std::thread Waiter;
};

} // namespace hyssopford
