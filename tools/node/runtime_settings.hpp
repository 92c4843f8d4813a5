/// @file
/// @brief Conversion of node settings to runtime settings.
#pragma once

#include "hyssopford/config/node_settings.hpp"
#include "hyssopford/node/node_runtime.hpp"

namespace hyssopford {

/// @brief Converts the settings of a node.
/// @param Settings the validated settings
/// @param Secrets content of the secret files that the settings name
/// @return the settings of the runtime
NodeRuntimeSettings runtimeSettings(const NodeSettings &Settings,
                                    const NodeSecrets &Secrets);

} // namespace hyssopford
