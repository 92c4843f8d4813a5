/// @file
/// @brief Client accounts in the routing configuration.
#pragma once

#include "json_reader.hpp"

#include "hyssopford/core/routing_config.hpp"

#include <vector>

namespace hyssopford::detail {

/// @brief Reads and validates the member "accounts", which may be absent.
/// @param Reader reads the configuration
/// @param Target receives the accounts and whether there is a list of them
/// @param Faults receives the faults
void readAccounts(ObjectReader &Reader, RoutingConfig &Target,
                  FaultList &Faults);

/// @return the accounts as readAccounts() reads them
Json renderAccounts(const std::vector<ClientAccount> &Accounts);

} // namespace hyssopford::detail
