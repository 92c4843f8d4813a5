#include "hyssopford/node/core_driver.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

CoreDriver::CoreDriver(EventLoop &EventSource, const NodeCoreSettings &Settings,
                       ActionHandler &Receiver, const ConfigCodec *Codec)
    : Loop(EventSource), Handler(Receiver), Core(Settings, Codec) {
  scheduleTimerUpdate();
}

CoreDriver::~CoreDriver() { Loop.cancel(Timer); }

void CoreDriver::submit(Event Input) {
  Events.push_back(std::move(Input));
  processEvents();
}

bool CoreDriver::adopt(RoutingConfig Config) {
  const bool Adopted = Core.adopt(std::move(Config));
  scheduleTimerUpdate();
  return Adopted;
}

void CoreDriver::processEvents() {
  if (Processing) {
    return;
  }
  Processing = true;
  while (!Events.empty()) {
    const Event Input = std::move(Events.front());
    Events.pop_front();
    Core.handle(Input, EventLoop::now(), PendingActions);
    executeActions();
  }
  Processing = false;
  scheduleTimerUpdate();
}

void CoreDriver::executeActions() {
  Actions Current;
  Current.swap(PendingActions);
  for (Action &Each : Current) {
    Handler.execute(Each);
  }
}

void CoreDriver::scheduleTimerUpdate() {
  // At most once per iteration of the event loop, since nextWakeup() may scan a
  // whole table.
  if (!TimerUpdateScheduled) {
    TimerUpdateScheduled = true;
    Loop.defer([this] {
      TimerUpdateScheduled = false;
      updateTimer();
    });
  }
}

void CoreDriver::updateTimer() {
  const std::optional<TimePoint> Next = Core.nextWakeup();
  if (!Next || (Timer != 0 && TimerDue <= *Next)) {
    return;
  }
  Loop.cancel(Timer);
  TimerDue = *Next;
  Timer = Loop.after(std::max(*Next - EventLoop::now(), Duration{0}),
                     [this] { tick(); });
}

void CoreDriver::tick() {
  Timer = 0;
  const std::optional<TimePoint> Next = Core.nextWakeup();
  if (Next && *Next <= EventLoop::now()) {
    Processing = true;
    Core.tick(EventLoop::now(), PendingActions);
    executeActions();
    Processing = false;
    processEvents();
  }
  scheduleTimerUpdate();
}

} // namespace hyssopford
