/// @file
/// @brief The routing configuration as a JSON document.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief Parses and validates a configuration document. Its schema is
/// schema/routing.schema.json.
/// @param Json the document
/// @param Version version number of the result
/// @param Errors receives every fault of the document, each with its JSON
/// pointer in Error::Peer; errors 101 to 109
/// @return the configuration, or nothing if the document has any fault
/// @note Complexity: O(n log n) in the length of the document.
std::optional<RoutingConfig> parseRoutingConfig(std::string_view Json,
                                                std::uint64_t Version,
                                                std::vector<Error> &Errors);

/// @brief Renders a configuration as a document with every field.
/// @param Config the configuration; its version is not part of the document
/// @return the document, indented, as parseRoutingConfig accepts it
std::string renderRoutingConfig(const RoutingConfig &Config);

/// @brief Applies a JSON Patch (RFC 6902) to a document. The result is not
/// validated as a configuration.
/// @param Document the document to change
/// @param Patch the array of operations
/// @param LastError receives the reason if the result is empty; errors 101,
/// 102, 110 and 111, with the pointer of the failed operation in Error::Peer
/// @return the changed document, or nothing if any operation failed
std::optional<std::string> applyJsonPatch(std::string_view Document,
                                          std::string_view Patch,
                                          Error &LastError);

} // namespace hyssopford
