/// @file
/// @brief One randomized schedule of faults and its result.
#pragma once

#include "hyssopford/core/key_rules.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford::test {

/// @brief Result and counters of one schedule.
struct ScheduleResult {
  /// Description of a violation; empty if there is none.
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
/// @param Seed determines the whole schedule
/// @param Rules rules of idempotency keys; nullptr for the standard ones
/// @param Log whether events are recorded
/// @return the result
ScheduleResult runSchedule(std::uint64_t Seed, const KeyRules *Rules, bool Log);

/// @return a set of rules with a deliberate fault, or nullptr for an unknown
/// name
const KeyRules *brokenRules(const std::string &Name);

/// @return the names that brokenRules accepts
std::vector<std::string> brokenRuleNames();

} // namespace hyssopford::test
