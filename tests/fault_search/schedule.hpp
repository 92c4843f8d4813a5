/// @file
/// @brief One randomized schedule of faults and its verdict.
#pragma once

#include "hyssopford/core/key_rules.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford::test {

/// @brief Verdict and figures of one schedule.
struct ScheduleResult {
  /// Violated rule; empty if there is none.
  std::string Violation;
  std::vector<std::string> Events;
  std::uint64_t Submissions = 0;
  std::uint64_t Executions = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Replayed = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Frames = 0;
  std::uint64_t StoreWrites = 0;
};

/// @brief Runs one schedule.
/// @param Seed determines everything in it
/// @param Rules rules of idempotency keys; nullptr for those of the product
/// @param Log whether events are recorded
ScheduleResult runSchedule(std::uint64_t Seed, const KeyRules *Rules, bool Log);

/// @return a deliberately broken rule set, or nullptr for an unknown name
const KeyRules *brokenRules(const std::string &Name);

/// @return the names that brokenRules knows
std::vector<std::string> brokenRuleNames();

} // namespace hyssopford::test
