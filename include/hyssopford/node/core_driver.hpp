/// @file
/// @brief Runs the decision core on an event loop.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/node_core.hpp"
#include "hyssopford/net/event_loop.hpp"

#include <deque>

namespace hyssopford {

/// @brief Executes the actions that the core decides on.
class ActionHandler {
public:
  virtual ~ActionHandler() = default;

  /// @brief Executes one action.
  /// @param Next the action; its content may be moved from
  virtual void execute(Action &Next) = 0;
};

/// @brief Passes events and timer ticks to a core, one at a time.
class CoreDriver {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop on which the core runs
  /// @param Settings settings of the core
  /// @param Handler executes the actions; must outlive this object
  /// @param Codec format of the configuration in the store; nullptr if the
  /// configuration is set only by adopt
  CoreDriver(EventLoop &Loop, const NodeCoreSettings &Settings,
             ActionHandler &Handler, const ConfigCodec *Codec = nullptr);
  ~CoreDriver();
  CoreDriver(const CoreDriver &) = delete;
  CoreDriver &operator=(const CoreDriver &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Handles an event and executes the resulting actions. An event
  /// submitted by an action is queued and handled afterwards.
  void submit(Event Input);

  /// @brief Adopts a configuration.
  /// @return whether its version is higher than the one in force
  bool adopt(RoutingConfig Config);

  /// @brief Sets the number of the operators' port that is sent to other nodes.
  void setOperatorsPort(std::uint16_t Port) { Core.setOperatorsPort(Port); }
  /// @}

  /// @return the core
  const NodeCore &core() const { return Core; }

private:
  void processEvents();
  void executeActions();
  void scheduleTimerUpdate();
  void updateTimer();
  void tick();

  EventLoop &Loop;
  ActionHandler &Handler;
  NodeCore Core;
  std::deque<Event> Events;
  Actions PendingActions;
  bool Processing = false;
  bool TimerUpdateScheduled = false;
  TimePoint TimerDue;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
