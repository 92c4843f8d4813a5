#include "hyssopford/node/core_driver.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

CoreDriver::CoreDriver(EventLoop &EventSource, const NodeCoreSettings &Settings,
                       ActionHandler &Receiver, const ConfigCodec *Codec)
    : Loop(EventSource), Handler(Receiver), Core(Settings, Codec) {
  scheduleTick();
}

CoreDriver::~CoreDriver() { Loop.cancel(Timer); }

void CoreDriver::submit(Event Input) {
  Events.push_back(std::move(Input));
  drain();
}

bool CoreDriver::adopt(RoutingConfig Config) {
  const bool Adopted = Core.adopt(std::move(Config));
  scheduleTick();
  return Adopted;
}

void CoreDriver::drain() {
  if (Busy) {
    return;
  }
  Busy = true;
  while (!Events.empty()) {
    const Event Input = std::move(Events.front());
    Events.pop_front();
    Core.handle(Input, EventLoop::now(), Produced);
    carryOutAll();
  }
  Busy = false;
  scheduleTick();
}

void CoreDriver::carryOutAll() {
  Actions Current;
  Current.swap(Produced);
  for (Action &Each : Current) {
    Handler.carryOut(Each);
  }
}

void CoreDriver::scheduleTick() {
  // Once per round of the loop, as the next wake-up may cost a table scan.
  if (!ArmScheduled) {
    ArmScheduled = true;
    Loop.defer([this] {
      ArmScheduled = false;
      armTick();
    });
  }
}

void CoreDriver::armTick() {
  const std::optional<TimePoint> Next = Core.nextWakeup();
  if (!Next || (Timer != 0 && ArmedFor <= *Next)) {
    return;
  }
  Loop.cancel(Timer);
  ArmedFor = *Next;
  Timer = Loop.after(std::max(*Next - EventLoop::now(), Duration{0}),
                     [this] { tick(); });
}

void CoreDriver::tick() {
  Timer = 0;
  const std::optional<TimePoint> Next = Core.nextWakeup();
  if (Next && *Next <= EventLoop::now()) {
    Busy = true;
    Core.tick(EventLoop::now(), Produced);
    carryOutAll();
    Busy = false;
    drain();
  }
  scheduleTick();
}

} // namespace hyssopford
