/// @file
/// @brief Virtual time of one run.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace hyssopford::experiment {

/// @brief Runs functions in the order of their times; those of the same time
/// run in the order in which they were added.
class EventQueue {
public:
  /// @return the time of the function that runs now
  TimePoint now() const { return Now; }

  /// @brief Adds a function.
  /// @param At its time; not before now
  /// @param Run the function
  void add(TimePoint At, std::function<void()> Run) {
    Events.push(Entry{At, NextOrder++, std::move(Run)});
  }

  /// @brief Runs all functions up to a time.
  void runUntil(TimePoint End) {
    while (!Events.empty() && Events.top().At <= End) {
      // The entry is popped before it runs, as it may add others.
      std::function<void()> Run = std::move(Events.top().Run);
      Now = Events.top().At;
      Events.pop();
      Run();
    }
    Now = End;
  }

private:
  struct Entry {
    TimePoint At;
    std::uint64_t Order = 0;
    mutable std::function<void()> Run;

    bool operator<(const Entry &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  TimePoint Now;
  std::uint64_t NextOrder = 0;
  std::priority_queue<Entry> Events;
};

} // namespace hyssopford::experiment
