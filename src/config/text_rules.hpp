/// @file
/// @brief Forms of texts in settings and configuration.
#pragma once

#include "json_reader.hpp"

namespace hyssopford::detail {

/// @name Forms that more than one document uses. The schemas hold the same
/// patterns.
/// @{
const TextRule &nameRule();
const TextRule &hostRule();
const TextRule &methodRule();
const TextRule &pathPrefixRule();
const TextRule &addressRule();
const TextRule &listenAddressRule();
const TextRule &fingerprintRule();
const TextRule &filePathRule();
/// @}

} // namespace hyssopford::detail
