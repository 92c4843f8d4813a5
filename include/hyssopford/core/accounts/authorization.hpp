/// @file
/// @brief Decides whether a request may be served on the key that it carries.
#pragma once

#include "hyssopford/core/accounts/account_index.hpp"
#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <optional>

namespace hyssopford {

/// @brief Result of authorize().
struct Authorization {
  /// Why the request is refused; None if it may be served.
  OutcomeReason Refusal = OutcomeReason::None;
  /// Account of the request; nullptr if the route or the configuration needs
  /// none, or if it is refused. Valid until the configuration changes.
  const ClientAccount *Account = nullptr;

  friend bool operator==(const Authorization &,
                         const Authorization &) = default;
};

/// @brief Decides by the key of a request whether it may be served.
/// @param Config the configuration in force
/// @param Index index of the accounts of @p Config
/// @param Matched route of the request
/// @param Key digest of the key that the request carries, if any
/// @return NoConfig as the refusal if there is no configuration, and
/// UnknownCredential if the route needs a key and no account has this one
Authorization authorize(const RoutingConfig &Config, const AccountIndex &Index,
                        const Route &Matched,
                        const std::optional<KeyDigest> &Key);

} // namespace hyssopford
