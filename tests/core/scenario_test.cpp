/// @file
/// @brief Runs all scenarios in tests/scenarios.
#include "support/scenario.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

std::vector<std::filesystem::path> scenarioFiles() {
  std::vector<std::filesystem::path> Files;
  const std::filesystem::path Folder(HYSSOPFORD_SOURCE_DIR "/tests/scenarios");
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    if (Entry.path().extension() == ".scenario") {
      Files.push_back(Entry.path());
    }
  }
  std::sort(Files.begin(), Files.end());
  return Files;
}

std::vector<std::string> runText(const std::string &Text) {
  Error LastError;
  const auto Parsed = parseScenario(Text, LastError);
  INFO(toString(LastError));
  REQUIRE(Parsed);
  return runScenario(*Parsed);
}

} // namespace

TEST_CASE("scenarios", "[scenario]") {
  for (const std::filesystem::path &File : scenarioFiles()) {
    DYNAMIC_SECTION(File.stem().string()) {
      std::ifstream Input(File);
      std::stringstream Text;
      Text << Input.rdbuf();
      for (const std::string &Violation : runText(Text.str())) {
        FAIL_CHECK(Violation);
      }
    }
  }
}

// Guards against a runner that reports no violations.
TEST_CASE("a scenario reports a violated outcome", "[scenario]") {
  const auto Violations = runText("fleet nodes=3 seed=4 end=3s\n"
                                  "at 1s load 0 rate=10 for=1s\n"
                                  "expect answered < 50\n");
  REQUIRE(Violations.size() == 1);
  REQUIRE(Violations.front().find("seed 4: line 3") == 0);
}

// Guards against a parser that ignores invalid lines.
TEST_CASE("a scenario with an invalid line is rejected", "[scenario]") {
  Error LastError;
  REQUIRE_FALSE(parseScenario("fleet nodes=3\nafter 1s crash 2\n", LastError));
  REQUIRE(LastError.Peer == "line 2");
}
