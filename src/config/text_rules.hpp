/// @file
/// @brief Formats of strings in settings and configuration.
#pragma once

#include "json_reader.hpp"

namespace hyssopford::detail {

/// @name Formats that several documents share. The schemas hold the same
/// patterns.
/// @{
const TextRule &nameRule();
const TextRule &hostRule();
const TextRule &methodRule();
const TextRule &pathPrefixRule();
const TextRule &addressRule();
const TextRule &listenAddressRule();
const TextRule &fingerprintRule();
const TextRule &keyDigestRule();
const TextRule &filePathRule();
/// @}

} // namespace hyssopford::detail
