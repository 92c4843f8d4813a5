/// @file
/// @brief Tests of idempotency keys at a single holder and over complete cores.
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

constexpr NodeRun Self{NodeId{1}, Incarnation{1}};
constexpr NodeRun Ingress{NodeId{9}, Incarnation{1}};

Roster rosterOf(std::uint64_t Epoch, const std::vector<NodeRun> &Runs) {
  Roster Result;
  Result.Revision = Epoch;
  Result.Current.Epoch = Epoch;
  for (const NodeRun &Each : Runs) {
    Result.Current.Members.push_back(RosterMember{Each, "a", "fd"});
  }
  return Result;
}

KeyClaim claim(std::uint64_t Sequence, std::uint64_t Epoch = 1) {
  return KeyClaim{"s", Epoch, "key", 7, ClaimId{Ingress, Sequence}, 1s};
}

CallerRequest post(const std::string &Key, std::uint64_t Body = 1) {
  CallerRequest Request;
  Request.Method = "POST";
  Request.Path = "/enrol";
  Request.Key = Key;
  Request.BodyHash = Body;
  return Request;
}

} // namespace

TEST_CASE("a holder grants a key to one claim", "[keys]") {
  KeySettings Settings;
  Settings.MaxRecords = 1;
  const KeyRules Rules;
  KeyHolder Holder(Self, Settings, Rules);
  const TimePoint Now{1s};
  Holder.adopt("s", rosterOf(1, {Self}), Now);

  SECTION("a claim that arrives after its release is not granted") {
    Holder.release(KeyRelease{"s", "key", claim(1).Claim}, Now);
    CHECK(Holder.claim(claim(1), Now)->Verdict == KeyVerdict::Barred);
    const TimePoint Later = Now + KeyHolder::ReleaseRetention + 1s;
    Actions Out;
    Holder.tick(Later, Out);
    CHECK(Holder.claim(claim(1), Later)->Verdict == KeyVerdict::Barred);
    CHECK(Holder.claim(claim(2), Later)->Verdict == KeyVerdict::Granted);
  }
  SECTION("a repeated claim is granted again, a different one is not") {
    CHECK(Holder.claim(claim(1), Now)->Verdict == KeyVerdict::Granted);
    CHECK(Holder.claim(claim(1), Now)->Verdict == KeyVerdict::Granted);
    CHECK(Holder.claim(claim(2), Now)->Verdict == KeyVerdict::Held);
    KeyClaim Other = claim(3);
    Other.RequestHash = 8;
    CHECK(Holder.claim(Other, Now)->Verdict == KeyVerdict::Reused);
  }
  SECTION("a full table refuses new keys until old ones expire") {
    CHECK(Holder.claim(claim(1), Now)->Verdict == KeyVerdict::Granted);
    KeyClaim Other = claim(2);
    Other.Key = "other";
    CHECK(Holder.claim(Other, Now)->Verdict == KeyVerdict::Full);
    const TimePoint Later =
        Now + 2s + Settings.Retention + Settings.MaxFrameAge;
    Actions Out;
    Holder.tick(Later, Out);
    CHECK(Holder.claim(Other, Later)->Verdict == KeyVerdict::Granted);
  }
  SECTION("a new holder grants keys only after the old ones are sealed") {
    const NodeRun Old{NodeId{2}, Incarnation{1}};
    Roster Next = rosterOf(2, {Self});
    Next.Previous = {rosterOf(1, {Old}).Current};
    Holder.adopt("s", Next, Now);
    CHECK(Holder.claim(claim(1, 2), Now)->Verdict == KeyVerdict::NotReady);
    CHECK(Holder.claim(claim(1, 1), Now)->Verdict == KeyVerdict::StaleEpoch);
    Actions Out;
    SealReply Sealed{"s", 2, 1, "", "key", true, true, {}};
    Sealed.Records = {
        KeyRecord{"key", 7, {ClaimId{Ingress, 5}}, false, KeyResult{}, 1h}};
    Holder.collectRecords(Old, Sealed, Now, Out);
    CHECK(Holder.readyEpoch("s") == 2);
    CHECK(Holder.claim(claim(1, 2), Now)->Verdict == KeyVerdict::Held);
  }
}

TEST_CASE("keyed requests over complete cores", "[keys]") {
  FleetSettings Settings;
  Settings.Keys.MaxAnswer = 64;
  Fleet Cores(Settings);
  Cores.run(TimePoint{6s});

  SECTION("repeats through all nodes run once and get the same answer") {
    for (std::size_t Node = 0; Node < Cores.size(); ++Node) {
      Cores.submit(Node, post("k"));
    }
    Cores.run(TimePoint{9s});
    CHECK(Cores.Executions.size() == 1);
    for (std::uint64_t Id = 1; Id <= Cores.size(); ++Id) {
      CHECK(Cores.Replies.at(Id).Answer == Cores.Replies.at(1).Answer);
    }
  }
  SECTION("another body under the same key is rejected") {
    Cores.submit(0, post("k", 1));
    Cores.run(TimePoint{8s});
    Cores.submit(1, post("k", 2));
    Cores.run(TimePoint{9s});
    CHECK(Cores.Replies.at(2).Reason == OutcomeReason::KeyReused);
  }
  SECTION("answers are kept when nodes leave one after the other") {
    Cores.submit(0, post("k"));
    Cores.run(TimePoint{8s});
    for (std::size_t Node = 1; Node < 5; ++Node) {
      Cores.leave(Node);
      Cores.run(Cores.now() + 12s);
      CHECK_FALSE(Cores.isUp(Node));
    }
    Cores.submit(0, post("k"));
    Cores.run(Cores.now() + 2s);
    CHECK(Cores.Replies.at(2).Replayed);
    CHECK(Cores.Executions.size() == 1);
  }
  SECTION("a short absence of a member causes no write to the store") {
    const std::uint64_t Writes = Cores.StoreWrites;
    Cores.partition({2});
    Cores.run(TimePoint{10s});
    Cores.heal();
    Cores.run(TimePoint{60s});
    CHECK(Cores.StoreWrites == Writes);
  }
}

TEST_CASE("rosters are unchanged by encoding and decoding", "[keys]") {
  Roster Value = rosterOf(3, {});
  Value.Current.Members = {RosterMember{
      NodeRun{nodeIdOf("127.0.0.1:1"), Incarnation{4}}, "127.0.0.1:1", "fd 1"}};
  Value.Previous = {RosterEpoch{2, Value.Current.Members}};
  Error Reason;
  CHECK(decodeRoster(encodeRoster(Value), 3, Reason) == Value);
  CHECK_FALSE(decodeRoster("hyssopford-roster 1\nepoch x\n", 1, Reason));
  CHECK(Reason.Code == 602);
}
