#include "report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

namespace hyssopford::experiment {

namespace {

/// Objectives of the default policy.
constexpr double CalmFactor = 1.25;
constexpr double FaultFactor = 2.0;
constexpr double WorseFactor = 1.05;
constexpr double GoodputObjective = 0.95;
constexpr double ExtraObjective = 0.10;
constexpr std::uint32_t LoadOfTailObjective = 85;
constexpr std::uint32_t Overload = 120;

using Place = std::tuple<std::string, Condition, std::uint32_t>;

/// Measurements of all policies for one deployment, condition and load.
using Group = std::map<std::string, const Measurement *>;

std::map<Place, Group> groups(const std::vector<Cell> &Cells,
                              const std::vector<Measurement> &Results) {
  std::map<Place, Group> All;
  for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
    const Cell &Each = Cells[Index];
    All[{Each.Site.Name, Each.Case, Each.LoadPercent}][Each.Chooser.Name] =
        &Results[Index];
  }
  return All;
}

std::string nameOf(const Place &At) {
  return fmt::format("{} {} {} %", std::get<0>(At), toString(std::get<1>(At)),
                     std::get<2>(At));
}

/// Figures of one objective over all cells.
struct Check {
  std::string Text;
  std::size_t Cells = 0;
  std::vector<std::string> Missed;

  void add(bool Met, const std::string &Detail) {
    ++Cells;
    if (!Met) {
      Missed.push_back(Detail);
    }
  }

  std::string render() const {
    std::string Out = fmt::format("- {}: {} of {} cells meet it.\n", Text,
                                  Cells - Missed.size(), Cells);
    for (const std::string &Each : Missed) {
      Out += fmt::format("  - missed: {}\n", Each);
    }
    return Out;
  }
};

void compareWithOracle(const Place &At, const Group &Each, Check &Calm,
                       Check &Fault) {
  const Condition Case = std::get<1>(At);
  const bool IsFault = Case != Condition::Calm && Case < Condition::Reports5;
  if (std::get<2>(At) > LoadOfTailObjective ||
      (Case != Condition::Calm && !IsFault)) {
    return;
  }
  const double Ours = Each.at("hyssopford")->percentile(999);
  const double Best = Each.at("oracle")->percentile(999);
  const double Factor = IsFault ? FaultFactor : CalmFactor;
  (IsFault ? Fault : Calm)
      .add(Ours <= Factor * Best,
           fmt::format("{}: {:.1f} ms, oracle {:.1f} ms ({:.2f})", nameOf(At),
                       Ours, Best, Ours / Best));
}

void compareWithBaselines(const Place &At, const Group &Each, Check &Worse) {
  const Measurement &Ours = *Each.at("hyssopford");
  std::string Detail;
  for (const auto &[Name, Other] : Each) {
    if (Name == "hyssopford" || Name == "oracle") {
      continue;
    }
    const bool LessGood = Ours.goodput() * WorseFactor < Other->goodput();
    // The latency of a policy that answers clearly fewer requests says nothing.
    const bool Comparable = Other->goodput() >= 0.99 * Ours.goodput();
    const double Ratio = Ours.percentile(999) / Other->percentile(999);
    if (LessGood || (Comparable && Ratio > WorseFactor)) {
      Detail += fmt::format(" {} (p99.9 {:.1f} against {:.1f} ms, goodput "
                            "{:.3f} against {:.3f})",
                            Name, Ours.percentile(999), Other->percentile(999),
                            Ours.goodput(), Other->goodput());
    }
  }
  Worse.add(Detail.empty(), nameOf(At) + ":" + Detail);
}

} // namespace

std::string jsonLines(const std::vector<Cell> &Cells,
                      const std::vector<Measurement> &Results) {
  std::string Out;
  for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
    const Cell &Each = Cells[Index];
    const Measurement &Got = Results[Index];
    nlohmann::ordered_json Line;
    Line["deployment"] = Each.Site.Name;
    Line["condition"] = toString(Each.Case);
    Line["load"] = Each.LoadPercent;
    Line["policy"] = Each.Chooser.Name;
    Line["requests"] = Got.Offered;
    Line["p50_ms"] = Got.percentile(500);
    Line["p99_ms"] = Got.percentile(990);
    Line["p999_ms"] = Got.percentile(999);
    Line["goodput"] = Got.goodput();
    Line["goodput_of_capacity"] = Got.goodputOfCapacity(Each.Site);
    Line["not_run"] = Got.NotRun;
    Line["unknown"] = Got.Unknown;
    Line["failed"] = Got.Failed;
    Line["dropped"] = Got.Dropped;
    Line["retries"] = Got.Retries;
    Line["hedges"] = Got.Hedges;
    Line["extra_share"] = Got.extraShare();
    Line["probe_share"] = Got.probeShare();
    Line["links_per_node"] = Measurement::share(Got.Links, Got.Nodes);
    Out += Line.dump() + "\n";
  }
  return Out;
}

std::string markdownTable(const std::vector<Cell> &Cells,
                          const std::vector<Measurement> &Results) {
  std::string Out =
      "| site | condition | load % | policy | p50 ms | p99 ms | p99.9 ms | "
      "goodput % | of capacity % | not-run % | unknown % | retries % | hedges "
      "% | probes % |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---"
      "|\n";
  for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
    const Cell &Each = Cells[Index];
    const Measurement &Got = Results[Index];
    const auto Percent = [&](std::uint64_t Part) {
      return 100.0 * Measurement::share(Part, Got.Offered);
    };
    fmt::format_to(
        std::back_inserter(Out),
        "| {} | {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.1f} | "
        "{:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.3f} |\n",
        Each.Site.Name, toString(Each.Case), Each.LoadPercent,
        Each.Chooser.Name, Got.percentile(500), Got.percentile(990),
        Got.percentile(999), 100.0 * Got.goodput(),
        100.0 * Got.goodputOfCapacity(Each.Site), Percent(Got.NotRun),
        Percent(Got.Unknown),
        100.0 * Measurement::share(Got.Retries, Got.Requests),
        100.0 * Measurement::share(Got.Hedges, Got.Requests),
        100.0 * Got.probeShare());
  }
  return Out;
}

std::string objectives(const std::vector<Cell> &Cells,
                       const std::vector<Measurement> &Results) {
  Check Calm{"p99.9 at most 1.25 times the oracle's, calm up to 85 %", 0, {}};
  Check Fault{
      "p99.9 at most 2 times the oracle's, one fault, up to 85 %", 0, {}};
  Check Worse{"never more than 5 % worse than a baseline", 0, {}};
  Check Goodput{"goodput at 120 % at least 95 % of capacity, calm", 0, {}};
  Check Extra{"at most 10 % extra calls", 0, {}};
  Check Cost{"probes below 1 % (A) and 0.3 % (B) of slots", 0, {}};
  for (const auto &[At, Each] : groups(Cells, Results)) {
    if (!Each.contains("hyssopford") || !Each.contains("oracle")) {
      continue;
    }
    const Measurement &Ours = *Each.at("hyssopford");
    compareWithOracle(At, Each, Calm, Fault);
    compareWithBaselines(At, Each, Worse);
    const std::string &Name = std::get<0>(At);
    const auto Of =
        std::find_if(Cells.begin(), Cells.end(),
                     [&Name](const Cell &C) { return C.Site.Name == Name; });
    if (std::get<2>(At) == Overload && std::get<1>(At) == Condition::Calm) {
      const double Share = Ours.goodputOfCapacity(Of->Site);
      Goodput.add(Share >= GoodputObjective,
                  fmt::format("{}: {:.1f} %", nameOf(At), 100.0 * Share));
    }
    Extra.add(Ours.extraShare() <= ExtraObjective,
              fmt::format("{}: {:.2f} %", nameOf(At), 100 * Ours.extraShare()));
    const double Budget = Name == "A" ? 0.01 : 0.003;
    Cost.add(Ours.probeShare() < Budget,
             fmt::format("{}: {:.3f} %", nameOf(At), 100 * Ours.probeShare()));
  }
  return Calm.render() + Fault.render() + Worse.render() + Goodput.render() +
         Extra.render() + Cost.render();
}

} // namespace hyssopford::experiment
