/// @file
/// @brief Tests of trace files and of replay.
#include "replay_report.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace hyssopford;
using namespace hyssopford::replay;

namespace {

constexpr const char *Header =
    R"({"trace":1,"site":"s","failure_domains":3,"round_trip_us":1000,)"
    R"("services":{"quotes":{"instances":3,"slots":4}}})";

std::optional<Trace> read(const std::string &Lines, Error &LastError) {
  std::istringstream Input(Lines);
  return readTrace(Input, LastError);
}

Trace committed(const std::string &Name) {
  std::ifstream Input(HYSSOPFORD_SOURCE_DIR "/traces/" + Name);
  Error LastError;
  const auto Result = readTrace(Input, LastError);
  INFO(toString(LastError));
  REQUIRE(Result);
  return *Result;
}

} // namespace

// Guards against lines that are skipped or misread without a word.
TEST_CASE("trace files", "[replay]") {
  Error LastError;
  const std::string Line =
      R"({"at_us":5,"service":"quotes","class":"high","idempotent":false,)"
      R"("work_us":900,"caller":"a"})";

  SECTION("a request is read with all fields") {
    const auto Result = read(std::string(Header) + "\n" + Line, LastError);
    REQUIRE(Result);
    const auto &Arrivals = Result->Services.at("quotes").Arrivals;
    REQUIRE(Arrivals.size() == 1);
    CHECK(Arrivals[0].At == TimePoint{5us});
    CHECK(Arrivals[0].Work == 900);
    CHECK(Arrivals[0].Class == Priority::High);
    CHECK_FALSE(Arrivals[0].Idempotent);
  }
  SECTION("faulty lines are named") {
    const std::string Unknown =
        R"({"at_us":5,"service":"crews","class":"high","idempotent":true,)"
        R"("work_us":900,"caller":"a"})";
    for (const std::string &Faulty :
         {Unknown, std::string("{}"), std::string("[")}) {
      CHECK_FALSE(read(std::string(Header) + "\n" + Faulty, LastError));
      CHECK(LastError.Peer == "line 2");
    }
    CHECK_FALSE(read("", LastError));
    CHECK_FALSE(read("{\"trace\":2}", LastError));
  }
}

TEST_CASE("stated outcomes", "[replay]") {
  const auto Outcome = parseOutcome("p99<=40.5");
  REQUIRE(Outcome == StatedOutcome{"p99", false, 40.5});
  for (const char *Faulty : {"p98<=4", "p99<4", "p99", "p99<=x", "p99>=4ms"}) {
    CHECK_FALSE(parseOutcome(Faulty));
  }
  ServiceReport Report;
  Report.Service = "quotes";
  Report.P99 = 41;
  CHECK(violations({Report}, {*Outcome}).size() == 1);
  Report.P99 = 40;
  CHECK(violations({Report}, {*Outcome}).empty());
}

// Guards the recorded sites against changes of the decisions that lose
// requests or slow them down, and replay against randomness.
TEST_CASE("the committed traces have their outcomes", "[replay]") {
  const std::vector<StatedOutcome> Stated{
      {"answered", true, 99.9}, {"extra", false, 10}, {"p99", false, 60}};
  for (const char *Name : {"cafea-deschisa.jsonl", "sunbelt-glazing.jsonl"}) {
    const Trace Recorded = committed(Name);
    const auto Reports =
        replayTrace(Recorded, experiment::Condition::Calm, tailProfile(), 1);
    REQUIRE(Reports.size() == 3);
    CHECK(violations(Reports, Stated).empty());
    CHECK(Reports ==
          replayTrace(Recorded, experiment::Condition::Calm, tailProfile(), 1));
  }
}
