#include "hyssopford/core/accounts/authorization.hpp"

namespace hyssopford {

Authorization authorize(const RoutingConfig &Config, const AccountIndex &Index,
                        const Route &Matched,
                        const std::optional<KeyDigest> &Key) {
  if (Config.Version == 0) {
    return Authorization{OutcomeReason::NoConfig, nullptr};
  }
  if (!Config.HasAccounts || Matched.IsPublic) {
    return {};
  }
  const ClientAccount *Account = Key ? Index.find(*Key) : nullptr;
  return Authorization{Account == nullptr ? OutcomeReason::UnknownCredential
                                          : OutcomeReason::None,
                       Account};
}

} // namespace hyssopford
