/// @file
/// @brief Output of the experiment.
#pragma once

#include "measurement.hpp"

#include <string>
#include <vector>

namespace hyssopford::experiment {

/// @brief Renders each cell as one line of JSON.
std::string jsonLines(const std::vector<Cell> &Cells,
                      const std::vector<Measurement> &Results);

/// @brief Renders a Markdown table with one row per cell.
std::string markdownTable(const std::vector<Cell> &Cells,
                          const std::vector<Measurement> &Results);

/// @brief Compares the default policy with the objectives.
/// @return a Markdown list of the objectives and the cells that miss them
std::string objectives(const std::vector<Cell> &Cells,
                       const std::vector<Measurement> &Results);

} // namespace hyssopford::experiment
