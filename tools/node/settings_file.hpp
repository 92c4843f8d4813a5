/// @file
/// @brief Settings and routing configuration of the daemon from files.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/node/node_runtime.hpp"

#include <optional>
#include <string>

namespace hyssopford {

/// @brief What the daemon reads from its settings file.
struct DaemonSettings {
  NodeRuntimeSettings Node;
  /// File with the routing configuration; empty for none.
  std::string RoutingFile;
};

/// @brief Reads a settings file.
std::optional<DaemonSettings> readSettings(const std::string &Path,
                                           Error &Fault);

/// @brief Reads a routing configuration from a file.
std::optional<RoutingConfig> readRouting(const std::string &Path, Error &Fault);

} // namespace hyssopford
