/// @file
/// @brief Finds the client account that a key belongs to.
#pragma once

#include "hyssopford/core/accounts/client_account.hpp"

#include <cstddef>
#include <vector>

namespace hyssopford {

/// @brief Immutable index of the keys of all client accounts. The time of a
/// lookup depends only on the number of keys, so that callers cannot learn from
/// it how much of a guessed key is right.
class AccountIndex {
public:
  AccountIndex() = default;

  /// @param Accounts the accounts; the index keeps a copy
  explicit AccountIndex(std::vector<ClientAccount> Accounts);

  /// @brief Finds the account of a key.
  /// @param Key digest of the key
  /// @return the account, valid as long as the index, or nullptr if no account
  /// has the key
  /// @note Complexity: linear in the number of keys, for every result.
  const ClientAccount *find(const KeyDigest &Key) const;

  /// @return all accounts in the order of the configuration
  const std::vector<ClientAccount> &accounts() const { return Accounts; }

  friend bool operator==(const AccountIndex &, const AccountIndex &) = default;

private:
  struct Entry {
    KeyDigest Key;
    std::size_t Account = 0;

    friend bool operator==(const Entry &, const Entry &) = default;
  };

  std::vector<ClientAccount> Accounts;
  /// All keys, in the order of the accounts.
  std::vector<Entry> Entries;
};

} // namespace hyssopford
