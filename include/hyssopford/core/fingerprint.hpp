/// @file
/// @brief Fingerprints by which repeats of a request are recognized.
#pragma once

#include "hyssopford/core/event.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstdint>

namespace hyssopford {

/// @brief Hashes what a repeat of a request has in common with it, whichever
/// node it goes through.
/// @param Request the request
/// @param Matched its route
/// @return a hash of route, method, path without query, and body
std::uint64_t fingerprintOf(const CallerRequest &Request, const Route &Matched);

} // namespace hyssopford
