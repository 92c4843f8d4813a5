/// @file
/// @brief hyssopford-experiment: compares selection policies in virtual time.
#include "chain.hpp"
#include "report.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace {

using namespace hyssopford;
using namespace hyssopford::experiment;

constexpr std::uint32_t LoadPercents[] = {50, 70, 85, 95, 120};

/// Whether a filter is empty or equals a name.
bool matches(const std::string &Filter, const std::string &Name) {
  return Filter.empty() || Filter == Name;
}

std::vector<Cell> comparison(const std::string &Site, const std::string &Case,
                             const std::string &Policy) {
  std::vector<Cell> Cells;
  for (const Deployment &Each : deployments()) {
    for (const Condition Happens : conditions()) {
      for (const std::uint32_t Load : LoadPercents) {
        for (const Variant &Chooser : policies()) {
          if (matches(Site, Each.Name) && matches(Case, toString(Happens)) &&
              matches(Policy, Chooser.Name)) {
            Cells.push_back(Cell{Each, Happens, Load, Chooser});
          }
        }
      }
    }
  }
  return Cells;
}

std::vector<Cell> ablationCells() {
  std::vector<Cell> Cells;
  for (const Deployment &Each : deployments()) {
    for (const Condition Happens : conditions()) {
      for (const Variant &Chooser : ablations()) {
        // Services of this size have no subsets.
        if (Chooser.Name != "no-subset") {
          Cells.push_back(Cell{Each, Happens, 85, Chooser});
        }
      }
    }
  }
  for (const Condition Happens : {Condition::Calm, Condition::Straggler}) {
    for (const Variant &Chooser : ablations()) {
      if (Chooser.Name == "hyssopford" || Chooser.Name == "no-subset") {
        Cells.push_back(Cell{largeDeployment(), Happens, 85, Chooser});
      }
    }
  }
  return Cells;
}

int run(int Count, char **Arguments) {
  TCLAP::CmdLine Line("Compares selection policies in virtual time", ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> Site("", "deployment", "A or B; default both",
                                    false, "", "name", Line);
  TCLAP::ValueArg<std::string> Case("", "condition", "one condition only",
                                    false, "", "name", Line);
  TCLAP::ValueArg<std::string> Policy("", "policy", "one policy only", false,
                                      "", "name", Line);
  TCLAP::ValueArg<std::uint32_t> Seeds("", "seeds", "runs of each cell", false,
                                       2, "number", Line);
  TCLAP::ValueArg<std::uint32_t> Jobs("", "jobs", "threads", false, 4, "number",
                                      Line);
  TCLAP::ValueArg<std::string> Json("", "json", "file for JSON lines", false,
                                    "", "path", Line);
  TCLAP::SwitchArg Ablate("", "ablations", "switch off one mechanism at a time",
                          Line);
  TCLAP::SwitchArg Brief("", "brief", "objectives only, no table", Line);
  TCLAP::SwitchArg Chains("", "chains", "attempts in call chains 13 deep only",
                          Line);
  Line.parse(Count, Arguments);
  if (Chains.getValue()) {
    fmt::print("{}", chainTable());
    return 0;
  }
  const std::vector<Cell> Cells =
      Ablate.getValue()
          ? ablationCells()
          : comparison(Site.getValue(), Case.getValue(), Policy.getValue());
  const std::vector<Measurement> Results =
      runCells(Cells, Seeds.getValue(), Jobs.getValue());
  if (!Json.getValue().empty()) {
    std::ofstream(Json.getValue()) << jsonLines(Cells, Results);
  }
  if (!Brief.getValue()) {
    fmt::print("{}\n", markdownTable(Cells, Results));
  }
  if (!Ablate.getValue()) {
    fmt::print("{}", objectives(Cells, Results));
  }
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const TCLAP::ArgException &Wrong) {
    fmt::print(stderr, "hyssopford-experiment: {}: {}\n", Wrong.argId(),
               Wrong.error());
    return 2;
  }
}
