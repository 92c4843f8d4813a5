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
  // Ends the wait itself.
  sigaddset(&Signals, SIGUSR1);
  return Signals;
}

} // namespace

void ProcessSignals::block() {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes while it is written to is reported by the write.
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::ProcessSignals(std::function<void()> OnEnd,
                               std::function<void()> OnReload)
    : Waiter([this, End = std::move(OnEnd), Reload = std::move(OnReload)] {
        wait(End, Reload);
      }) {}

ProcessSignals::~ProcessSignals() {
  Done = true;
  pthread_kill(Waiter.native_handle(), SIGUSR1);
  Waiter.join();
}

void ProcessSignals::wait(const std::function<void()> &OnEnd,
                          const std::function<void()> &OnReload) {
  const sigset_t Signals = handledSignals();
  bool Ended = false;
  while (true) {
    int Received = 0;
    sigwait(&Signals, &Received);
    if (Done) {
      return;
    }
    if (Received == SIGHUP) {
      OnReload();
    } else if (!std::exchange(Ended, true)) {
      OnEnd();
    }
  }
}

} // namespace hyssopford
