/// @file
/// @brief Tests of how soon a starting node has a configuration and peers.
#include "hyssopford/core/config_system.hpp"
#include "hyssopford/core/directory_system.hpp"
#include "hyssopford/core/membership_system.hpp"
#include "hyssopford/core/node_core.hpp"

#include "fake_config_codec.hpp"
#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Returns the only store call; fails if there is none or more than one.
StoreCall onlyCall(const Actions &Out) {
  const auto Calls = all<StoreCall>(Out);
  REQUIRE(Calls.size() == 1);
  return Calls[0];
}

} // namespace

TEST_CASE("a store without a configuration is read again soon", "[start]") {
  // Guards against a late start: nodes may start before the first configuration
  // is written, and with 5 to 10 s between reads none is ready when traffic
  // begins.
  const FakeConfigCodec Codec;
  SeededRandomSource Random(1);
  ConfigSystem System(Codec, Random, platformStart());
  Actions Out;
  System.tick(at(0ms), Out);
  Out.clear();
  System.tick(at(50ms), Out);
  StoreReplied Missing{onlyCall(Out).Call, {}};
  Missing.Result.Status = StoreStatus::Missing;
  System.receive(Missing, at(54ms), Out);
  REQUIRE(System.nextWakeup().has_value());
  Out.clear();
  System.tick(at(54ms + 2 * platformStart().MissingConfigPeriod), Out);
  CHECK(all<StoreCall>(Out).size() == 1);
}

TEST_CASE("the value of a trusted store comes into force at once", "[start]") {
  const FakeConfigCodec Codec;
  SeededRandomSource Random(1);
  const bool Trusted = GENERATE(true, false);
  StartSettings Settings = platformStart();
  Settings.StoreIsAuthoritative = Trusted;
  ConfigSystem System(Codec, Random, Settings);
  Actions Out;
  System.tick(at(0ms), Out);
  Out.clear();
  System.tick(at(50ms), Out);
  ConfigHead Head;
  Head.Version = 3;
  Head.Document = "three";
  StoreReplied Reply{onlyCall(Out).Call, {}};
  Reply.Result.Status = StoreStatus::Done;
  Reply.Result.Revision = 7;
  Reply.Result.Value = Codec.renderHead(Head);
  System.receive(Reply, at(54ms), Out);
  CHECK(System.version() == (Trusted ? 3 : 0));
}

TEST_CASE("a node without a configuration answers requests as not run",
          "[start]") {
  NodeCoreSettings Settings;
  Settings.Address = "10.0.0.1:1";
  Settings.Run = Incarnation{1};
  NodeCore Core(Settings);
  Actions Out;
  Core.handle(callerRequest(1), at(0ms), Out);
  REQUIRE(all<ReplyToCaller>(Out).size() == 1);
  CHECK(all<ReplyToCaller>(Out)[0].Result == Outcome::NotRun);
  CHECK(all<ReplyToCaller>(Out)[0].Reason == OutcomeReason::NoConfig);
}

TEST_CASE("members that left recently are contacted repeatedly", "[start]") {
  // Guards against a node that restarts while the store is down and stays
  // isolated: it knows no peer, but its peers know its address.
  MemberRecord Self;
  Self.Id = nodeRun(1);
  Self.Address = "10.0.0.1:1";
  SeededRandomSource Random(1);
  MembershipSystem System(Self, {}, Random, platformStart());
  Actions Out;
  MemberRecord Peer;
  Peer.Address = "10.0.0.2:1";
  Peer.Id = NodeRun{nodeIdOf(Peer.Address), Incarnation{1}};
  System.receive(Peer.Id, Gossip{{Peer}}, at(0ms), Out);
  System.linkUp(Peer.Id, at(0ms), Out);
  Peer.State = MemberState::Leaving;
  Peer.UpdateNumber = 1;
  System.receive(Peer.Id, Gossip{{Peer}}, at(10ms), Out);
  System.linkDown(Peer.Id.Node, at(20ms), Out);
  std::size_t Opened = 0;
  for (Duration Now = 100ms; Now < 3s; Now += 100ms) {
    Out.clear();
    System.tick(at(Now), Out);
    for (const OpenLink &Each : all<OpenLink>(Out)) {
      Opened += Each.Peer == Peer.Id.Node ? 1 : 0;
      System.linkDown(Peer.Id.Node, at(Now), Out);
    }
  }
  CHECK(Opened >= 2);
}

TEST_CASE("a directory slot with only dead contacts is taken over", "[start]") {
  // Guards against a slow recovery: if all nodes of a site restart while a slot
  // holds the address of a removed node, each tries that address until the
  // lease of the slot lapses, and the site does not recover for 15 s.
  SeededRandomSource Random(1);
  DirectorySystem System("10.0.0.1:1", Random, platformStart());
  System.setDirectorySlot(0, {"10.0.0.1:1"}, at(0ms));
  System.setIsolated(true, at(0ms));
  std::optional<StoreWrite> Takeover;
  for (Duration Now = 0ms; Now < 5s && !Takeover; Now += 10ms) {
    Actions Out;
    System.tick(at(Now), Out);
    for (const StoreCall &Each : all<StoreCall>(Out)) {
      StoreReplied Reply{Each.Call, {}};
      Reply.Result.Status = StoreStatus::Done;
      if (std::holds_alternative<StoreRead>(Each.Operation)) {
        Reply.Result.Value = "10.0.0.9:1\n";
        Reply.Result.Revision = 42;
      } else if (std::holds_alternative<StoreLease>(Each.Operation)) {
        Reply.Result.Lease = 5;
      } else if (const auto *Write = std::get_if<StoreWrite>(&Each.Operation)) {
        Takeover = *Write;
      }
      System.receive(Reply, at(Now));
    }
  }
  REQUIRE(Takeover.has_value());
  // The expected revision lets only one of the readers replace the value.
  CHECK(Takeover->ExpectedRevision == 42);
  CHECK(Takeover->Value.starts_with("10.0.0.1:1\n"));
  CHECK(System.takeContacts().front() == "10.0.0.9:1");
}
