/// @file
/// @brief hyssopford-replay: replays a recorded trace through the core.
#include "replay_report.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace hyssopford;
using namespace hyssopford::replay;

namespace {

constexpr int ExitViolated = 1;
constexpr int ExitFaultyInput = 2;

std::optional<experiment::Condition> conditionOf(const std::string &Name) {
  for (const experiment::Condition Each : experiment::conditions()) {
    if (Name == toString(Each)) {
      return Each;
    }
  }
  return std::nullopt;
}

void printTable(const std::vector<ServiceReport> &Reports) {
  fmt::print("{:<12} {:>8} {:>9} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8}\n",
             "service", "requests", "answered%", "not-run%", "unknown%",
             "extra%", "p50 ms", "p99 ms", "p99.9 ms");
  for (const ServiceReport &Each : Reports) {
    fmt::print("{:<12} {:>8} {:>9.3f} {:>8.3f} {:>8.3f} {:>7.2f} {:>8.2f} "
               "{:>8.2f} {:>8.2f}\n",
               Each.Service, Each.Requests, Each.Answered, Each.NotRun,
               Each.Unknown, Each.Extra, Each.P50, Each.P99, Each.P999);
  }
}

void printJson(const std::vector<ServiceReport> &Reports) {
  for (const ServiceReport &Each : Reports) {
    const nlohmann::ordered_json Line{
        {"service", Each.Service},   {"requests", Each.Requests},
        {"answered", Each.Answered}, {"not_run", Each.NotRun},
        {"unknown", Each.Unknown},   {"extra", Each.Extra},
        {"p50_ms", Each.P50},        {"p99_ms", Each.P99},
        {"p999_ms", Each.P999}};
    fmt::print("{}\n", Line.dump());
  }
}

int faultyInput(const Error &Fault) {
  fmt::print(stderr, "{}\n", toString(Fault));
  return ExitFaultyInput;
}

int run(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Replays a recorded trace through the decision core and "
                      "compares it with stated outcomes. Exit code 1 if an "
                      "outcome is violated, 2 if the input is faulty.",
                      ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> File("trace", "the trace", true, "",
                                             "file", Line);
  TCLAP::MultiArg<std::string> Expected(
      "e", "expect", "stated outcome, e.g. answered>=99.9 or p99<=40", false,
      "outcome", Line);
  TCLAP::ValueArg<std::string> Case("c", "condition",
                                    "what happens during the replay", false,
                                    "calm", "condition", Line);
  TCLAP::ValueArg<std::string> Chosen("p", "profile", "tail or cost", false,
                                      "tail", "profile", Line);
  TCLAP::ValueArg<std::uint64_t> Seed("s", "seed", "seed of the core", false, 1,
                                      "seed", Line);
  TCLAP::SwitchArg Json("j", "json", "print JSON lines", Line);
  Line.parse(Count, Arguments);
  std::vector<StatedOutcome> Stated;
  for (const std::string &Each : Expected.getValue()) {
    const auto Parsed = parseOutcome(Each);
    if (!Parsed) {
      return faultyInput(Error{numberOf(ErrorCode::MalformedOutcome),
                               "replay.expect", Each,
                               "expected MEASURE>=BOUND or MEASURE<=BOUND"});
    }
    Stated.push_back(*Parsed);
  }
  const auto Condition = conditionOf(Case.getValue());
  if (!Condition) {
    return faultyInput(Error{numberOf(ErrorCode::UnknownCondition),
                             "replay.condition", Case.getValue(),
                             "unknown condition"});
  }
  std::ifstream Input(File.getValue());
  Error LastError;
  const auto Recorded = readTrace(Input, LastError);
  if (!Recorded) {
    LastError.Peer = File.getValue() + ", " + LastError.Peer;
    return faultyInput(LastError);
  }
  const auto Reports =
      replayTrace(*Recorded, *Condition,
                  Chosen.getValue() == "cost" ? costProfile() : tailProfile(),
                  Seed.getValue());
  Json.getValue() ? printJson(Reports) : printTable(Reports);
  const auto Violated = violations(Reports, Stated);
  for (const std::string &Each : Violated) {
    fmt::print(stderr, "{}\n", Each);
  }
  return Violated.empty() ? 0 : ExitViolated;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const TCLAP::ArgException &Fault) {
    return faultyInput(Error{numberOf(ErrorCode::InvalidCommand),
                             "replay.arguments", Fault.argId(), Fault.error()});
  }
}
