/// @file
/// @brief Holds a published JSON Schema and a parser together by behaviour.
#pragma once

#include "hyssopford/core/error.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopford::test {

/// @brief Parses a document and returns its faults.
using ParseFunction =
    std::function<std::vector<Error>(const std::string &Document)>;

/// @brief Visits every property of a schema and checks on variations of a full
/// valid document that the parser knows the field, requires it exactly if the
/// schema does, and has the schema's bounds, patterns, words and item limits.
/// @param Schema the schema; references to #/$defs are followed
/// @param Full a valid document that holds every property
/// @param Parse the parser
void probeSchema(const nlohmann::json &Schema, const nlohmann::json &Full,
                 const ParseFunction &Parse);

/// @brief Reads a file of the repository.
std::string readRepositoryFile(const std::string &Name);

} // namespace hyssopford::test
