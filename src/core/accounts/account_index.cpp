#include "hyssopford/core/accounts/account_index.hpp"

#include <cstdint>
#include <cstring>
#include <utility>

namespace hyssopford {

namespace {

using Words = std::array<std::uint64_t, 4>;
static_assert(sizeof(Words) == sizeof(KeyDigest));

Words wordsOf(const KeyDigest &Key) {
  Words Result{};
  std::memcpy(Result.data(), Key.data(), sizeof(Result));
  return Result;
}

/// All bits set if the digests are equal, else 0. Has no branch that depends on
/// them.
std::uint64_t equalMask(const Words &Left, const Words &Right) {
  const std::uint64_t Difference = (Left[0] ^ Right[0]) | (Left[1] ^ Right[1]) |
                                   (Left[2] ^ Right[2]) | (Left[3] ^ Right[3]);
  // The highest bit of Difference | -Difference is set unless it is 0.
  const std::uint64_t IsDifferent = (Difference | (0 - Difference)) >> 63U;
  return IsDifferent - 1;
}

} // namespace

AccountIndex::AccountIndex(std::vector<ClientAccount> Configured)
    : Accounts(std::move(Configured)) {
  for (std::size_t Account = 0; Account < Accounts.size(); ++Account) {
    for (const KeyDigest &Key : Accounts[Account].Keys) {
      Entries.push_back(Entry{Key, Account});
    }
  }
}

const ClientAccount *AccountIndex::find(const KeyDigest &Key) const {
  const Words Wanted = wordsOf(Key);
  std::uint64_t Found = 0;
  for (const Entry &Each : Entries) {
    // Position + 1, so that 0 stands for none.
    Found |= equalMask(wordsOf(Each.Key), Wanted) & (Each.Account + 1);
  }
  return Found == 0 || Found > Accounts.size() ? nullptr : &Accounts[Found - 1];
}

} // namespace hyssopford
