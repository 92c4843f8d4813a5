#include "hyssopford/node/process_signals.hpp"

#include <pthread.h>
#include <utility>

namespace hyssopford {

namespace {

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  // Sent by the destructor to end the wait.
  sigaddset(&Signals, SIGUSR1);
  return Signals;
}

} // namespace

void ProcessSignals::block() {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // write() reports a closed connection as an error instead.
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::ProcessSignals(std::function<void()> OnTerminate,
                               std::function<void()> OnReload)
    : WaitThread([this, Terminate = std::move(OnTerminate),
                  Reload = std::move(OnReload)] { wait(Terminate, Reload); }) {}

ProcessSignals::~ProcessSignals() {
  Stopping = true;
  pthread_kill(WaitThread.native_handle(), SIGUSR1);
  WaitThread.join();
}

void ProcessSignals::wait(const std::function<void()> &OnTerminate,
                          const std::function<void()> &OnReload) {
  const sigset_t Signals = handledSignals();
  bool Terminated = false;
  while (true) {
    int Received = 0;
    sigwait(&Signals, &Received);
    if (Stopping) {
      return;
    }
    if (Received == SIGHUP) {
      OnReload();
    } else if (!std::exchange(Terminated, true)) {
      OnTerminate();
    }
  }
}

} // namespace hyssopford
