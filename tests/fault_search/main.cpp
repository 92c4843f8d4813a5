/// @file
/// @brief Randomized search for schedules of faults in which a request runs
/// more than once, a request reported as not run has run, or a request gets the
/// answer to another one.
#include "schedule.hpp"

#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <mutex>
#include <tclap/CmdLine.h>
#include <thread>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

struct Totals {
  ScheduleResult Sum;
  std::uint64_t FailedSeed = 0;
  std::uint64_t Schedules = 0;
};

void add(const ScheduleResult &Each, ScheduleResult &Sum) {
  Sum.Submissions += Each.Submissions;
  Sum.Executions += Each.Executions;
  Sum.Answered += Each.Answered;
  Sum.Replayed += Each.Replayed;
  Sum.NotRun += Each.NotRun;
  Sum.Unknown += Each.Unknown;
  Sum.Frames += Each.Frames;
  Sum.StoreWrites += Each.StoreWrites;
}

/// Runs the seeds from First to First + Count - 1. The lowest failing seed is
/// reported, so that the result does not depend on the number of threads.
Totals search(std::uint64_t First, std::uint64_t Count, unsigned Threads,
              const KeyRules *Rules) {
  Totals Result;
  std::mutex Guard;
  std::atomic<std::uint64_t> Next{First};
  std::atomic<std::uint64_t> End{First + Count};
  const auto Work = [&] {
    for (std::uint64_t Seed = Next++; Seed < End; Seed = Next++) {
      const ScheduleResult Each = runSchedule(Seed, Rules, false);
      const std::lock_guard Lock(Guard);
      add(Each, Result.Sum);
      ++Result.Schedules;
      if (!Each.Violation.empty() && Seed < End) {
        Result.FailedSeed = Seed;
        End = Seed;
      }
    }
  };
  std::vector<std::thread> Workers;
  for (unsigned Index = 0; Index < Threads; ++Index) {
    Workers.emplace_back(Work);
  }
  for (std::thread &Worker : Workers) {
    Worker.join();
  }
  return Result;
}

void printSchedule(std::uint64_t Seed, const KeyRules *Rules) {
  const ScheduleResult Result = runSchedule(Seed, Rules, true);
  for (const std::string &Line : Result.Events) {
    fmt::print("{}\n", Line);
  }
  fmt::print("seed {}: {}\n", Seed,
             Result.Violation.empty() ? "no violation" : Result.Violation);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    TCLAP::CmdLine Line("Randomized fault search over complete cores");
    TCLAP::ValueArg<std::uint64_t> First("f", "first", "first seed", false, 1,
                                         "seed", Line);
    TCLAP::ValueArg<std::uint64_t> Count("n", "schedules", "number of seeds",
                                         false, 1000, "count", Line);
    TCLAP::ValueArg<unsigned> Threads("t", "threads", "parallel schedules",
                                      false, 4, "count", Line);
    TCLAP::ValueArg<std::string> Rule("r", "rule",
                                      "broken rule to use, or none", false,
                                      "none", "name", Line);
    TCLAP::ValueArg<std::uint64_t> Seed("s", "seed",
                                        "run one seed and print its events",
                                        false, 0, "seed", Line);
    TCLAP::SwitchArg Expect("x", "expect-fault",
                            "succeed only if a violation is found", Line);
    Line.parse(Argc, Argv);
    const KeyRules *Rules = brokenRules(Rule.getValue());
    if (Rules == nullptr && Rule.getValue() != "none") {
      fmt::print(stderr, "unknown rule {}; known: {}\n", Rule.getValue(),
                 fmt::join(brokenRuleNames(), ", "));
      return 2;
    }
    if (Seed.isSet()) {
      printSchedule(Seed.getValue(), Rules);
      return 0;
    }
    const auto Start = std::chrono::steady_clock::now();
    const Totals Result =
        search(First.getValue(), Count.getValue(), Threads.getValue(), Rules);
    const std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - Start;
    const ScheduleResult &Sum = Result.Sum;
    fmt::print(
        "{{\"bench\": \"fault_search\", \"rule\": \"{}\", \"schedules\": "
        "{}, \"seconds\": {:.1f}, \"submissions\": {}, \"executions\": "
        "{}, \"answered\": {}, \"replayed\": {}, \"not_run\": {}, "
        "\"unknown\": {}, \"frames\": {}, \"store_writes\": {}, "
        "\"failed_seed\": {}}}\n",
        Rule.getValue(), Result.Schedules, Elapsed.count(), Sum.Submissions,
        Sum.Executions, Sum.Answered, Sum.Replayed, Sum.NotRun, Sum.Unknown,
        Sum.Frames, Sum.StoreWrites, Result.FailedSeed);
    const bool Found = Result.FailedSeed != 0;
    if (Found && !Expect.getValue()) {
      printSchedule(Result.FailedSeed, Rules);
    }
    return Found == Expect.getValue() ? 0 : 1;
  } catch (const TCLAP::ArgException &Problem) {
    fmt::print(stderr, "{}: {}\n", Problem.argId(), Problem.error());
    return 2;
  }
}
