/// @file
/// @brief Ordered set of timers.
#pragma once

#include "hyssopford/core/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Timers ordered by time, at most one for each identifier.
template <typename Id> class TimerSet {
public:
  /// @brief Sets or moves a timer.
  /// @note Complexity: logarithmic in the number of timers.
  void set(const Id &Row, TimePoint Due) {
    cancel(Row);
    Times.emplace(Row, Due);
    Order.emplace(Due, Row);
  }

  /// @brief Removes a timer if there is one.
  void cancel(const Id &Row) {
    const auto Found = Times.find(Row);
    if (Found != Times.end()) {
      Order.erase({Found->second, Row});
      Times.erase(Found);
    }
  }

  /// @brief Removes the timers that are due.
  /// @return their identifiers, the earliest first
  std::vector<Id> takeDue(TimePoint Now) {
    std::vector<Id> Due;
    while (!Order.empty() && Order.begin()->first <= Now) {
      Due.push_back(Order.begin()->second);
      Times.erase(Due.back());
      Order.erase(Order.begin());
    }
    return Due;
  }

  /// @return the time of the earliest timer, if any
  std::optional<TimePoint> next() const {
    return Order.empty() ? std::nullopt : std::optional(Order.begin()->first);
  }

private:
  std::map<Id, TimePoint> Times;
  std::set<std::pair<TimePoint, Id>> Order;
};

} // namespace hyssopford
