/// @file
/// @brief Runs the decision core on an event loop.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/node_core.hpp"
#include "hyssopford/net/event_loop.hpp"

#include <deque>

namespace hyssopford {

/// @brief Carries out the actions of the core.
class ActionHandler {
public:
  virtual ~ActionHandler() = default;

  /// @brief Carries out one action.
  virtual void carryOut(Action &What) = 0;
};

/// @brief Feeds events and ticks to a core, one after the other.
class CoreDriver {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop on which the core runs
  /// @param Settings what the core must know of its node
  /// @param Handler carries out the actions
  /// @param Codec the JSON form of the configuration; nullptr if the
  /// configuration comes only through adopt
  CoreDriver(EventLoop &Loop, const NodeCoreSettings &Settings,
             ActionHandler &Handler, const ConfigCodec *Codec = nullptr);
  ~CoreDriver();
  CoreDriver(const CoreDriver &) = delete;
  CoreDriver &operator=(const CoreDriver &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Handles an event and carries out the actions. An event submitted
  /// meanwhile is handled after it.
  void submit(Event Input);

  /// @brief Adopts a configuration.
  /// @return whether its version is higher than the one in force
  bool adopt(RoutingConfig Config);

  /// @brief Sets the operators' port that other nodes learn.
  void setOperatorsPort(std::uint16_t Port) { Core.setOperatorsPort(Port); }
  /// @}

  /// @return the core
  const NodeCore &core() const { return Core; }

private:
  void drain();
  void carryOutAll();
  void scheduleTick();
  void armTick();
  void tick();

  EventLoop &Loop;
  ActionHandler &Handler;
  NodeCore Core;
  std::deque<Event> Events;
  Actions Produced;
  bool Busy = false;
  bool ArmScheduled = false;
  TimePoint ArmedFor;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
