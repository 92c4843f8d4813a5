/// @file
/// @brief Signal handling of a daemon process.
#pragma once

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

namespace hyssopford {

/// @brief Handles signals on a dedicated thread: the first SIGTERM or SIGINT
/// requests termination, each SIGHUP a reload of the settings.
class ProcessSignals {
public:
  /// @brief Blocks the handled signals in the calling thread and all threads it
  /// starts later, and ignores SIGPIPE. Must be called first in main().
  static void block();

  /// @param OnTerminate called once, on the signal thread
  /// @param OnReload called for each SIGHUP, on the signal thread
  ProcessSignals(std::function<void()> OnTerminate,
                 std::function<void()> OnReload);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals &) = delete;
  ProcessSignals &operator=(const ProcessSignals &) = delete;

private:
  void wait(const std::function<void()> &OnTerminate,
            const std::function<void()> &OnReload);

  std::atomic<bool> Stopping = false;
  std::thread WaitThread;
};

} // namespace hyssopford
