/// @file
/// @brief Fingerprints that identify repeats of a request.
#pragma once

#include "hyssopford/core/event.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Hashes what a request asks for.
/// @param Request the request
/// @return a hash of host, method, path without query, and body
std::uint64_t requestHash(const CallerRequest &Request);

/// @brief Hashes the parts of a request that are the same in all its repeats,
/// whichever node is their ingress and whatever the configuration. Requests of
/// client accounts that state different credentials differ.
/// @param Request the request
/// @return a hash of host, method, path without query, body and credentials
std::uint64_t fingerprintOf(const CallerRequest &Request);

} // namespace hyssopford
