#include "account_json.hpp"

#include "text_rules.hpp"

#include <cstddef>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace hyssopford::detail {

namespace {

/// @name Bounds, the same as in schema/routing.schema.json
/// @{
constexpr std::size_t MaxAccounts = 4'096;
constexpr std::size_t MaxKeys = 64;
constexpr std::uint64_t MaxRate = 1'000'000'000;
/// @}

std::string accountPointer(std::size_t Index) {
  return fmt::format("/accounts/{}", Index);
}

ClientAccount readAccount(const Json &Value, const std::string &Pointer,
                          FaultList &Faults) {
  ClientAccount Result;
  ObjectReader Reader(Value, Pointer, Faults);
  Reader.readString("name", nameRule(), Result.Name, true);
  std::vector<std::string> Digests;
  Reader.readStrings("key_digests", keyDigestRule(), MaxKeys, Digests, true);
  for (const std::string &Text : Digests) {
    if (const std::optional<KeyDigest> Digest = digestFromHex(Text)) {
      Result.Keys.push_back(*Digest);
    }
  }
  if (const auto Class = Reader.readEnum("priority", {"high", "normal"})) {
    Result.Class = *Class == 0 ? Priority::High : Priority::Normal;
  }
  std::uint64_t Rate = 0;
  std::uint64_t Burst = 0;
  Reader.readInteger("rate_per_second", 0, MaxRate, Rate);
  Reader.readInteger("burst", 0, MaxRate, Burst);
  Result.RatePerSecond = static_cast<double>(Rate);
  Result.Burst = static_cast<double>(Burst);
  Reader.reportUnknownFields();
  return Result;
}

void checkAccounts(const std::vector<ClientAccount> &Accounts,
                   FaultList &Faults) {
  std::map<std::string, std::size_t> IndexByName;
  std::map<KeyDigest, std::size_t> IndexByKey;
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index) {
    const ClientAccount &Each = Accounts[Index];
    const auto [Entry, Added] = IndexByName.emplace(Each.Name, Index);
    if (!Added && !Each.Name.empty()) {
      Faults.add(ErrorCode::NotUnique, accountPointer(Index) + "/name",
                 fmt::format("the name \"{}\" is that of {} too; expected "
                             "distinct names",
                             Each.Name, accountPointer(Entry->second)));
    }
    for (std::size_t Key = 0; Key < Each.Keys.size(); ++Key) {
      const auto Owner = IndexByKey.emplace(Each.Keys[Key], Index).first;
      if (Owner->second != Index) {
        Faults.add(ErrorCode::NotUnique,
                   fmt::format("{}/key_digests/{}", accountPointer(Index), Key),
                   fmt::format("the key is that of {} too; expected a key of "
                               "one account",
                               accountPointer(Owner->second)));
      }
    }
  }
}

} // namespace

void readAccounts(ObjectReader &Reader, RoutingConfig &Target,
                  FaultList &Faults) {
  const Json *Rows = Reader.findArray("accounts", MaxAccounts);
  if (Rows == nullptr) {
    return;
  }
  Target.HasAccounts = true;
  for (std::size_t Index = 0; Index < Rows->size(); ++Index) {
    Target.Accounts.push_back(
        readAccount((*Rows)[Index], accountPointer(Index), Faults));
  }
  checkAccounts(Target.Accounts, Faults);
}

Json renderAccounts(const std::vector<ClientAccount> &Accounts) {
  Json Result = Json::array();
  for (const ClientAccount &Each : Accounts) {
    Json Digests = Json::array();
    for (const KeyDigest &Key : Each.Keys) {
      Digests.push_back(toHex(Key));
    }
    Json Entry{
        {"name", Each.Name},
        {"key_digests", std::move(Digests)},
        {"rate_per_second", static_cast<std::uint64_t>(Each.RatePerSecond)},
        {"burst", static_cast<std::uint64_t>(Each.Burst)}};
    if (Each.Class) {
      Entry["priority"] = *Each.Class == Priority::High ? "high" : "normal";
    }
    Result.push_back(std::move(Entry));
  }
  return Result;
}

} // namespace hyssopford::detail
