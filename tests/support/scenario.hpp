/// @file
/// @brief Parser and runner of the scenario language: load, timed faults and
/// expected outcomes for a fleet of cores in virtual time. docs/scenarios.md
/// describes it.
#pragma once

#include "hyssopford/core/error.hpp"
#include "support/fleet.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford::test {

/// @brief One line of a scenario.
struct ScenarioLine {
  std::size_t Number = 0;
  std::string Verb;
  /// Words after the verb that are not options.
  std::vector<std::string> Words;
  /// Options of the form name=value.
  std::map<std::string, std::string> Options;
  /// Time of an "at" line.
  TimePoint At{};
};

/// @brief A parsed scenario.
struct Scenario {
  ScenarioLine Fleet;
  std::vector<ScenarioLine> Steps;
  std::vector<ScenarioLine> Expectations;
};

/// @brief Parses a scenario.
/// @param Text the lines of the scenario
/// @param LastError receives the line and what was expected
/// @return the scenario, or nothing
std::optional<Scenario> parseScenario(std::string_view Text, Error &LastError);

/// @brief Runs a scenario and checks its expectations. In every scenario it
/// also checks that no non-idempotent request runs twice, that a request
/// answered with not-run did not run, and that each answer belongs to its
/// request.
/// @param Input the scenario
/// @return the violations, each with the seed and the line or request; empty if
/// there are none
std::vector<std::string> runScenario(const Scenario &Input);

} // namespace hyssopford::test
