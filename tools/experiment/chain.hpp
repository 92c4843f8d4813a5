/// @file
/// @brief Attempts in deep call chains.
#pragma once

#include <string>

namespace hyssopford::experiment {

/// @brief Measures the attempts per original call in chains of 13 services,
/// with and without the retry budget and the mark of extra requests.
/// @return a Markdown table
std::string chainTable();

} // namespace hyssopford::experiment
