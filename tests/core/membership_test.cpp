/// @file
/// @brief Tests of gossip membership and the directory.
#include "site_fake.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

bool allBelieve(SiteFake &Site, std::size_t Subject, MemberState State) {
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    if (Each != Subject && Site.node(Each).Core &&
        Site.stateAt(Each, Subject) != State) {
      return false;
    }
  }
  return true;
}

bool hasCandidate(SiteFake &Site, std::size_t Observer, std::size_t Subject) {
  const MemberState State = Site.stateAt(Observer, Subject);
  const auto &Links = Site.core(Observer).membership().linkedPeers();
  const bool Linked =
      std::find(Links.begin(), Links.end(),
                nodeIdOf(Site.node(Subject).Settings.Address)) != Links.end();
  return Linked &&
         (State == MemberState::Alive || State == MemberState::Suspect);
}

} // namespace

TEST_CASE("members find each other through seeds", "[membership]") {
  SiteFake Site;
  Site.addNodes(13, 3, 2);
  Site.startAll();
  REQUIRE(Site.runUntil([&] { return Site.allAlive(); }, 5s));

  SECTION("a lost VM gets no new requests after 3 s and is declared dead") {
    Site.killVm(5);
    Site.run(3s);
    for (std::size_t Each = 0; Each < Site.size(); ++Each) {
      if (Each != 5) {
        CHECK_FALSE(hasCandidate(Site, Each, 5));
      }
    }
    CHECK(Site.runUntil([&] { return allBelieve(Site, 5, MemberState::Dead); },
                        10s));
  }
  SECTION("a leaving node is known as leaving, then as dead after its exit") {
    Site.send(5, ShutdownRequested{});
    Site.run(100ms);
    CHECK(allBelieve(Site, 5, MemberState::Leaving));
    Site.crash(5);
    Site.run(100ms);
    CHECK(allBelieve(Site, 5, MemberState::Dead));
  }
  SECTION("a process that restarts replaces its earlier run") {
    Site.crash(5);
    Site.run(200ms);
    Site.start(5);
    CHECK(Site.runUntil([&] { return Site.allAlive(); }, 5s));
  }
  SECTION("a process resumed after a pause rejoins and ignores stale pings") {
    Site.pause(5);
    REQUIRE(Site.runUntil(
        [&] { return allBelieve(Site, 5, MemberState::Dead); }, 15s));
    Site.run(20s);
    Site.resume(5);
    CHECK(Site.hasNotice(5, "process_paused"));
    CHECK(Site.runUntil([&] { return Site.allAlive(); }, 10s));
    // It must not declare members dead whose answers it missed in the pause.
    CHECK_FALSE(Site.hasNotice(5, "member_dead"));
  }
  SECTION("a single broken link does not make a member suspected") {
    Site.Blocked = [](std::size_t First, std::size_t Second) {
      return First + Second == 3 && First * Second == 2;
    };
    Site.run(20s);
    CHECK(allBelieve(Site, 1, MemberState::Alive));
    CHECK(allBelieve(Site, 2, MemberState::Alive));
  }
}

TEST_CASE("a partition between regions heals", "[membership]") {
  SiteFake Site;
  Site.addNodes(24, 4, 2);
  Site.startAll();
  REQUIRE(Site.runUntil([&] { return Site.allAlive(); }, 5s));
  Site.Blocked = [](std::size_t First, std::size_t Second) {
    return First % 4 / 2 != Second % 4 / 2;
  };
  Site.run(60s);
  CHECK(Site.stateAt(0, 2) == MemberState::Dead);
  CHECK(Site.stateAt(0, 4) == MemberState::Alive);

  SECTION("both sides find each other again") {
    Site.Blocked = [](std::size_t, std::size_t) { return false; };
    CHECK(Site.runUntil([&] { return Site.allAlive(); }, 15s));
  }
  SECTION("also after a restart and a death during the partition") {
    Site.killVm(7);
    Site.crash(6);
    Site.run(1s);
    Site.start(6);
    Site.run(10s);
    Site.Blocked = [](std::size_t, std::size_t) { return false; };
    CHECK(Site.runUntil([&] { return Site.allAlive(); }, 15s));
    CHECK(Site.runUntil([&] { return allBelieve(Site, 7, MemberState::Dead); },
                        15s));
  }
}

TEST_CASE("a node restarts after its clock was set back", "[membership]") {
  SiteFake Site;
  Site.addNodes(6, 3, 2);
  Site.node(3).ClockOffset = std::chrono::hours(24);
  Site.startAll();
  REQUIRE(Site.runUntil([&] { return Site.allAlive(); }, 5s));
  Site.crash(3);
  Site.node(3).ClockOffset = 0s;

  SECTION("a run with a lower incarnation must restart with a higher one") {
    Site.start(3);
    REQUIRE(Site.runUntil([&] { return Site.node(3).Ended; }, 20s));
    const auto Required = Site.core(3).requiredIncarnation();
    REQUIRE(Required);
    Site.node(3).ClockOffset =
        Duration(static_cast<std::int64_t>(Required->Value -
                                           Site.node(3).Settings.Run.Value)) +
        1s;
    Site.crash(3);
    Site.start(3);
    CHECK(Site.runUntil([&] { return Site.allAlive(); }, 10s));
  }
}

TEST_CASE("two nodes with the same address", "[membership]") {
  // The run with the lower incarnation must detect the other and stop serving.
  SeededRandomSource Random(1);
  MemberRecord Self;
  Self.Id = NodeRun{nodeIdOf("10.0.0.1:1"), Incarnation{5}};
  Self.Address = "10.0.0.1:1";
  MembershipSystem System(Self, {}, Random);
  MemberRecord Other = Self;
  Other.Id.Run = Incarnation{9};
  const NodeRun Peer{NodeId{77}, Incarnation{1}};
  const TimePoint Now(1s);
  Actions Out;
  System.receive(Peer, Gossip{{Other}}, Now, Out);
  CHECK(System.superseded());
  REQUIRE(Out.size() == 1);
  CHECK(std::get<Notice>(Out[0]).Event == "address_conflict");
  CHECK_FALSE(System.requiredIncarnation());

  SECTION("it no longer sends its record to peers") {
    Out.clear();
    System.linkUp(Peer, Now, Out);
    CHECK(Out.empty());
  }
  SECTION("it may restart with a higher incarnation once the other is dead") {
    Other.State = MemberState::Dead;
    System.receive(Peer, Gossip{{Other}}, Now, Out);
    CHECK(System.requiredIncarnation() == Incarnation{10});
  }
}

TEST_CASE("suspicion is refuted by a higher update number", "[membership]") {
  SiteFake Site;
  Site.addNodes(6, 3, 2);
  Site.startAll();
  REQUIRE(Site.runUntil([&] { return Site.allAlive(); }, 5s));
  const auto &Members = Site.core(0).membership().members();
  MemberRecord Wrong = Members.at(Site.core(4).self().Node);
  Wrong.State = GENERATE(MemberState::Suspect, MemberState::Dead);
  const std::uint32_t Before = Wrong.UpdateNumber;
  Site.send(4, PeerMessageReceived{Site.core(0).self(), Gossip{{Wrong}}});
  REQUIRE(Site.runUntil(
      [&] { return Members.at(Wrong.Id.Node).UpdateNumber > Before; }, 3s));
  CHECK(Site.allAlive());
}

TEST_CASE("above the mesh limit the links per node are bounded",
          "[membership]") {
  SiteFake Site;
  Site.addNodes(60, 4, 3);
  Site.startAll();
  REQUIRE(Site.runUntil([&] { return Site.allAlive(); }, 10s));
  Site.run(20s);
  std::size_t Most = 0;
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    Most = std::max(Most, Site.linkCount(Each));
  }
  // Five chosen by the node, on average five by others, and those for pings.
  CHECK(Most <= 32);

  SECTION("a death and a departure still reach every node") {
    Site.killVm(7);
    Site.send(9, ShutdownRequested{});
    CHECK(Site.runUntil(
        [&] { return allBelieve(Site, 9, MemberState::Leaving); }, 2s));
    CHECK(Site.runUntil([&] { return allBelieve(Site, 7, MemberState::Dead); },
                        15s));
  }
  SECTION("a whole failure domain dies") {
    for (std::size_t Each = 0; Each < 60; Each += 4) {
      Site.killVm(Each);
    }
    CHECK(Site.runUntil(
        [&] {
          return allBelieve(Site, 0, MemberState::Dead) &&
                 allBelieve(Site, 56, MemberState::Dead);
        },
        30s));
    CHECK(Site.allAlive());
  }
}

TEST_CASE("a node without seeds joins through the directory", "[membership]") {
  SiteFake Site;
  Site.addNodes(9, 3, 0);
  Site.startAll();
  REQUIRE(Site.runUntil([&] { return Site.allAlive(); }, 40s));

  SECTION("a slot whose lease lapsed is written again") {
    Site.run(40s);
    Site.store().lapse(0);
    Site.run(40s);
    CHECK(Site.store()
              .call(StoreRead{"hyssopford/directory/0"}, Site.now())
              .Status == StoreStatus::Done);
  }
  SECTION("a node that restarts while the store is down joins afterwards") {
    Site.run(20s);
    Site.store().faults().Down = true;
    Site.crash(4);
    Site.start(4);
    Site.run(10s);
    Site.store().faults().Down = false;
    CHECK(Site.runUntil([&] { return Site.allAlive(); }, 30s));
  }
}
