/// @file
/// @brief Check that a parser behaves as its published JSON Schema says.
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

/// @brief Visits every property of a schema and checks with variations of a
/// complete valid document that the parser knows the field, requires it exactly
/// if the schema does, and enforces the schema's bounds, patterns, enumerations
/// and item limits.
/// @param Schema the schema; references to #/$defs are followed
/// @param Full a valid document that holds every property
/// @param Parse the parser
void probeSchema(const nlohmann::json &Schema, const nlohmann::json &Full,
                 const ParseFunction &Parse);

/// @brief Reads a file of the repository.
/// @param Name path relative to the root
/// @return its content
std::string readRepositoryFile(const std::string &Name);

} // namespace hyssopford::test
