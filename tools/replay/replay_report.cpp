#include "replay_report.hpp"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace hyssopford::replay {

namespace {

using MeasureName = std::pair<const char *, double ServiceReport::*>;

constexpr std::array<MeasureName, 7> Measures{{
    {"answered", &ServiceReport::Answered},
    {"not-run", &ServiceReport::NotRun},
    {"unknown", &ServiceReport::Unknown},
    {"extra", &ServiceReport::Extra},
    {"p50", &ServiceReport::P50},
    {"p99", &ServiceReport::P99},
    {"p99.9", &ServiceReport::P999},
}};

const MeasureName *measureOf(const std::string &Name) {
  for (const MeasureName &Each : Measures) {
    if (Name == Each.first) {
      return &Each;
    }
  }
  return nullptr;
}

ServiceReport replayService(const std::string &Name,
                            const TracedService &Service, experiment::Cell Task,
                            std::uint64_t Seed) {
  Task.Site.Instances = Service.Instances;
  Task.Site.Nodes = Service.Instances;
  Task.Site.Slots = Service.Slots;
  // Nothing is measured during the warm-up, so the trace starts after it.
  const Duration Offset = experiment::WarmUp;
  std::vector<experiment::Arrival> Shifted = Service.Arrivals;
  for (experiment::Arrival &Each : Shifted) {
    Each.At += Offset;
  }
  const TimePoint End = Shifted.empty() ? TimePoint{} : Shifted.back().At;
  Task.Site.Length = End.time_since_epoch() + 1ms;
  experiment::Site Cores(Task, Seed);
  Cores.replay(std::move(Shifted));
  experiment::Measurement Result = Cores.run();
  Result.finish();
  const auto Percent = [&](std::uint64_t Part) {
    return 100 * experiment::Measurement::share(Part, Result.Offered);
  };
  return ServiceReport{Name,
                       Service.Arrivals.size(),
                       Percent(Result.Good),
                       Percent(Result.NotRun),
                       Percent(Result.Unknown),
                       100 * Result.extraShare(),
                       Result.percentile(500),
                       Result.percentile(990),
                       Result.percentile(999)};
}

} // namespace

std::optional<StatedOutcome> parseOutcome(const std::string &Text) {
  const std::size_t Relation = Text.find_first_of("<>");
  if (Relation == std::string::npos || Text.size() < Relation + 3 ||
      Text[Relation + 1] != '=') {
    return std::nullopt;
  }
  StatedOutcome Result;
  Result.Measure = Text.substr(0, Relation);
  Result.AtLeast = Text[Relation] == '>';
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] =
      std::from_chars(Text.data() + Relation + 2, Last, Result.Bound);
  const bool IsValid = Code == std::errc() && End == Last &&
                       measureOf(Result.Measure) != nullptr;
  return IsValid ? std::optional(Result) : std::nullopt;
}

std::vector<ServiceReport> replayTrace(const Trace &Recorded,
                                       experiment::Condition Case,
                                       const DecisionSettings &Settings,
                                       std::uint64_t Seed) {
  experiment::Cell Task;
  Task.Case = Case;
  Task.Site.Name = Recorded.Site;
  Task.Site.Domains = Recorded.FailureDomains;
  Task.Site.RoundTrip = Recorded.RoundTrip;
  Task.Site.Settings = Settings;
  std::vector<ServiceReport> Reports;
  for (const auto &[Name, Service] : Recorded.Services) {
    if (!Service.Arrivals.empty()) {
      Reports.push_back(replayService(Name, Service, Task, Seed));
    }
  }
  return Reports;
}

std::vector<std::string> violations(const std::vector<ServiceReport> &Reports,
                                    const std::vector<StatedOutcome> &Stated) {
  std::vector<std::string> Result;
  for (const StatedOutcome &Each : Stated) {
    for (const ServiceReport &Report : Reports) {
      const double Value = Report.*(measureOf(Each.Measure)->second);
      const bool Holds =
          Each.AtLeast ? Value >= Each.Bound : Value <= Each.Bound;
      if (!Holds) {
        Result.push_back(fmt::format(
            "{}: expected {} {} {}, was {:.3f}", Report.Service, Each.Measure,
            Each.AtLeast ? ">=" : "<=", Each.Bound, Value));
      }
    }
  }
  return Result;
}

} // namespace hyssopford::replay
