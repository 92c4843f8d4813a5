/// @file
/// @brief Fingerprints that identify repeats of a request.
#pragma once

#include "hyssopford/core/event.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Hashes the parts of a request that are the same in all its repeats,
/// whichever node is their ingress.
/// @param Request the request
/// @param Matched its route
/// @return a hash of route, method, path without query, and body
std::uint64_t fingerprintOf(const CallerRequest &Request, const Route &Matched);

} // namespace hyssopford
