/// @file
/// @brief Tests of client accounts and the decision whether a request may be
/// served on its key.
#include "hyssopford/core/accounts/authorization.hpp"
#include "hyssopford/core/node_core.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

KeyDigest digest(std::uint8_t Value) {
  KeyDigest Result{};
  Result.fill(Value);
  return Result;
}

/// A site with two accounts, a public route "/open" and a route "/".
RoutingConfig siteWithAccounts() {
  RoutingConfig Config;
  Config.Version = 1;
  Route Open = seatsRoute();
  Open.Name = "open";
  Open.PathPrefix = "/open";
  Open.IsPublic = true;
  Route All = seatsRoute();
  All.Class = Priority::Normal;
  Config.Routes = {Open, All};
  Config.HasAccounts = true;
  ClientAccount First{"north", {digest(1), digest(2)}, Priority::Low, 0, 0};
  ClientAccount Second{"south", {digest(3)}, std::nullopt, 0, 0};
  Config.Accounts = {First, Second};
  return Config;
}

/// A node with an upstream of the service "seats".
struct AccountNode {
  NodeCore Core;
  std::uint64_t LastId = 0;

  explicit AccountNode(const RoutingConfig &Config) : Core(settings()) {
    Core.adopt(Config);
    Actions Out;
    Core.handle(UpstreamAnnounced{"seats", 8, UpstreamState::Serving}, at(0ms),
                Out);
  }

  static NodeCoreSettings settings() {
    NodeCoreSettings Result;
    Result.Address = "10.0.0.1:1";
    Result.Run = Incarnation{1};
    return Result;
  }

  Actions send(const std::string &Path, std::optional<KeyDigest> Key,
               bool FromUpstream = false) {
    CallerRequest Request = callerRequest(++LastId);
    Request.Path = Path;
    Request.Credential = Key;
    Request.FromUpstreamAddress = FromUpstream;
    // Set by the core only, so that no other part can claim an account.
    Request.Account = "forged";
    Actions Out;
    Core.handle(Request, at(Duration(LastId)), Out);
    return Out;
  }

  ForwardToUpstream forwarded(const std::string &Path,
                              std::optional<KeyDigest> Key,
                              bool FromUpstream = false) {
    const auto Found = all<ForwardToUpstream>(send(Path, Key, FromUpstream));
    REQUIRE(Found.size() == 1);
    return Found[0];
  }

  OutcomeReason refused(const std::string &Path, std::optional<KeyDigest> Key) {
    const Actions Out = send(Path, Key);
    CHECK(all<ForwardToUpstream>(Out).empty());
    const auto Found = all<ReplyToCaller>(Out);
    REQUIRE(Found.size() == 1);
    CHECK(Found[0].Result == Outcome::NotRun);
    return Found[0].Reason;
  }
};

} // namespace

TEST_CASE("the index finds accounts by whole digests only", "[accounts]") {
  const RoutingConfig Config = siteWithAccounts();
  const AccountIndex Index(Config.Accounts);
  CHECK(Index.find(digest(1))->Name == "north");
  CHECK(Index.find(digest(2))->Name == "north");
  CHECK(Index.find(digest(3))->Name == "south");
  CHECK(Index.find(digest(4)) == nullptr);
  CHECK(AccountIndex().find(digest(0)) == nullptr);
  // Guards against a comparison that leaves out a part of the digest.
  for (std::size_t Byte = 0; Byte < KeyDigest().size(); ++Byte) {
    KeyDigest Wrong = digest(3);
    Wrong[Byte] ^= 0x80U;
    CHECK(Index.find(Wrong) == nullptr);
  }
}

TEST_CASE("a route needs the key of an account unless it is public",
          "[accounts]") {
  AccountNode Test(siteWithAccounts());
  CHECK(Test.refused("/a", std::nullopt) == OutcomeReason::UnknownCredential);
  CHECK(Test.refused("/a", digest(9)) == OutcomeReason::UnknownCredential);
  CHECK(Test.forwarded("/a", digest(3)).Account == "south");
  // A public route has no account, whatever key the request carries.
  CHECK(Test.forwarded("/open/a", std::nullopt).Account.empty());
  CHECK(Test.forwarded("/open/a", digest(9)).Account.empty());
  CHECK(Test.forwarded("/open/a", digest(1)).Account.empty());
}

TEST_CASE("a node without configuration refuses as not configured",
          "[accounts]") {
  // Guards against 401, after which clients do not try again.
  AccountNode Test{RoutingConfig()};
  CHECK(Test.refused("/a", digest(1)) == OutcomeReason::NoConfig);
  CHECK(authorize(RoutingConfig(), AccountIndex(), seatsRoute(), digest(1))
            .Refusal == OutcomeReason::NoConfig);
}

TEST_CASE("a configuration without accounts needs no key", "[accounts]") {
  RoutingConfig Config = siteWithAccounts();
  Config.HasAccounts = false;
  Config.Accounts.clear();
  AccountNode Test(Config);
  CHECK(Test.forwarded("/a", std::nullopt).Account.empty());
  CHECK(Test.forwarded("/a", digest(1)).Account.empty());
}

TEST_CASE("a version without a key refuses requests that were read before it",
          "[accounts]") {
  AccountNode Test(siteWithAccounts());
  CHECK(Test.forwarded("/a", digest(1)).Account == "north");
  RoutingConfig Next = siteWithAccounts();
  Next.Version = 2;
  Next.Accounts[0].Keys = {digest(2)};
  Test.Core.adopt(Next);
  CHECK(Test.refused("/a", digest(1)) == OutcomeReason::UnknownCredential);
  CHECK(Test.forwarded("/a", digest(2)).Account == "north");
}

TEST_CASE("the class of the account takes precedence over that of the route",
          "[accounts]") {
  AccountNode Test(siteWithAccounts());
  CHECK(Test.forwarded("/a", digest(1)).Class == Priority::Low);
  CHECK(Test.forwarded("/a", digest(3)).Class == Priority::Normal);
}

TEST_CASE("a request with an account is not taken for a call of the upstream",
          "[accounts]") {
  // Guards against clients on the VM of an upstream that get the class of
  // nested calls instead of that of their account.
  AccountNode Test(siteWithAccounts());
  const ForwardToUpstream Client = Test.forwarded("/a", digest(1), true);
  CHECK(Client.Class == Priority::Low);
  const ForwardToUpstream Call = Test.forwarded("/open/a", std::nullopt, true);
  CHECK(Call.Class == Priority::High);
  CHECK(Call.Account.empty());
}
