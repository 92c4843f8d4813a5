/// @file
/// @brief Conversion of checked settings to those of the runtime.
#pragma once

#include "hyssopford/config/node_settings.hpp"
#include "hyssopford/node/node_runtime.hpp"

namespace hyssopford {

/// @brief Converts the settings of a node.
/// @param Settings the checked settings
/// @param Secrets the content of the files that they name
/// @return the settings of the runtime
NodeRuntimeSettings runtimeSettings(const NodeSettings &Settings,
                                    const NodeSecrets &Secrets);

} // namespace hyssopford
