/// @file
/// @brief Limit of the starts at a cold upstream.
#pragma once

#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Tells whether the upstream on this VM is cold and when it may get its
/// next request. Starts before it became cold count as well, because the
/// upstream counts them from the moment at which it became cold.
class ColdMeter {
public:
  /// @param Settings settings of the limits
  explicit ColdMeter(const ColdSettings &Settings)
      : Enabled(Settings.Enabled) {}

  /// @name Inputs
  /// @{

  /// @brief Sets the limits of the services; a service that is not listed has
  /// none.
  void setServices(const std::vector<ServiceSettings> &Services);

  /// @brief Handles the announcement of an upstream.
  /// @param Service its service
  /// @param IsNewRun whether it has started since the last announcement, so
  /// that it is cold for ServiceSettings::ColdTime
  /// @param Now the current time
  void announce(const std::string &Service, bool IsNewRun, TimePoint Now);

  /// @brief Handles a statement of the upstream that it is cold. A statement
  /// never shortens the time: an earlier one, or the start, may prove a later
  /// end, and statements can arrive in any order.
  /// @param Remaining how long it stays cold; 0 changes nothing
  /// @param Now the current time
  void state(Duration Remaining, TimePoint Now);

  /// @brief Records a request or probe that is sent to the upstream.
  void recordStart(TimePoint Now);
  /// @}

  /// @name Observers
  /// @{

  /// @return whether the upstream is cold and its service has a limit
  bool isCold(TimePoint Now) const;

  /// @return starts a second; 0 if the service has no limit
  double rate() const { return Rate; }

  /// @return when the upstream is no longer cold; past if it is not
  TimePoint end() const;

  /// @brief Gives the time at which a request may start.
  /// @param Ahead number of requests that start before it
  /// @param Now the current time
  /// @return the time, Now or later; Now if the upstream is not cold
  /// @note Complexity: constant.
  TimePoint startTime(std::size_t Ahead, TimePoint Now) const;
  /// @}

private:
  struct Limit {
    Duration Time{0};
    double Rate = 0.0;
  };

  void applyLimit();

  bool Enabled;
  std::unordered_map<std::string, Limit> Limits;
  std::string Service;
  /// Time for which a new run is cold.
  Duration RunTime{0};
  double Rate = 0.0;
  /// Most starts in one Window.
  std::size_t StartsMax = 0;
  Duration Window{0};
  /// Start of the current run, if this node saw it.
  TimePoint RunStart = TimePoint::min();
  /// Latest end that the upstream stated.
  TimePoint StatedEnd = TimePoint::min();
  /// Times of the latest StartsMax starts.
  std::deque<TimePoint> Starts;
};

} // namespace hyssopford
