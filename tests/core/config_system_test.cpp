/// @file
/// @brief Tests of configuration changes over several nodes.
#include "hyssopford/core/error_codes.hpp"
#include "site_fake.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

/// A site whose nodes have joined and have version 1 in force.
class RunningSite : public SiteFake {
public:
  explicit RunningSite(std::size_t Count, std::size_t Domains = 3) {
    addNodes(Count, Domains, 2);
    startAll();
    REQUIRE(runUntil([&] { return allAlive(); }, 10s));
    run(3s);
    submit(0, 1, "first", 0, "set one");
    REQUIRE(awaitResult(0, 1).Status == PatchStatus::Accepted);
    REQUIRE(runUntil([&] { return lowestVersion() == 1; }, 3s));
  }

  PatchResult awaitResult(std::size_t Index, std::uint64_t Request) {
    REQUIRE(
        runUntil([&] { return node(Index).Results.contains(Request); }, 30s));
    return node(Index).Results.at(Request);
  }

  PatchResult patch(std::size_t Index, const std::string &Id,
                    std::uint64_t Base, const std::string &Patch,
                    bool DryRun = false) {
    submit(Index, ++LastRequest, Id, Base, Patch, DryRun);
    return awaitResult(Index, LastRequest);
  }

  bool inForceWithin(std::uint64_t Version, Duration Limit) {
    return runUntil([&] { return lowestVersion() >= Version; }, Limit);
  }

private:
  std::uint64_t LastRequest = 1'000;
};

ErrorCode errorOf(const PatchResult &Result) {
  return static_cast<ErrorCode>(
      Result.Errors.empty() ? 0 : Result.Errors.front().Code);
}

} // namespace

TEST_CASE("an accepted patch is in force everywhere within 3 s", "[config]") {
  RunningSite Site(13);
  const PatchResult Result = Site.patch(7, "p2", 1, "set two");
  CHECK(Result.Status == PatchStatus::Accepted);
  CHECK(Result.Version == 2);
  CHECK(Site.inForceWithin(2, 3s));

  SECTION("the history has author, base, identifier and patch of a change") {
    Site.send(3, HistoryRequested{9, 0});
    REQUIRE(
        Site.runUntil([&] { return Site.node(3).Histories.contains(9); }, 1s));
    const HistoryResult &History = Site.node(3).Histories.at(9);
    REQUIRE(History.Changes.size() == 2);
    CHECK(History.Changes[1].Author == "op");
    CHECK(History.Changes[1].Base == 1);
    CHECK(History.Changes[1].PatchId == "p2");
    CHECK(History.Changes[1].Patch == "set two");
    CHECK(History.Changes[1].TimeMs > 0);
  }
  SECTION("the same patch submitted again is applied once") {
    const PatchResult Again = Site.patch(2, "p2", 1, "set two");
    CHECK(Again.Status == PatchStatus::Accepted);
    CHECK(Again.Version == 2);
    CHECK(Site.core(2).config().Version == 2);
  }
  SECTION("another patch with the same identifier is rejected") {
    CHECK(errorOf(Site.patch(2, "p2", 2, "set other")) ==
          ErrorCode::PatchIdReused);
  }
  SECTION("a patch for an older base is rejected") {
    const PatchResult Stale = Site.patch(2, "p3", 1, "set other");
    CHECK(errorOf(Stale) == ErrorCode::BaseOutdated);
    CHECK(Stale.Version == 2);
  }
  SECTION("a patch that fails or makes an invalid document is rejected") {
    CHECK(errorOf(Site.patch(2, "p3", 2, "nonsense")) ==
          ErrorCode::PatchConflict);
    CHECK(Site.patch(2, "p4", 2, "set invalid").Errors.size() == 2);
    CHECK(Site.patch(2, "", 2, "set x").Status == PatchStatus::Rejected);
  }
  SECTION("a dry run checks without writing") {
    const PatchResult Dry = Site.patch(2, "p3", 2, "set three", true);
    CHECK(Dry.Status == PatchStatus::Accepted);
    CHECK(Dry.Version == 3);
    Site.run(3s);
    CHECK(Site.lowestVersion() == 2);
  }
}

TEST_CASE("exactly one of two concurrent patches is accepted", "[config]") {
  RunningSite Site(13);
  Site.submit(1, 5, "a", 1, "set a");
  Site.submit(2, 5, "b", 1, "set b");
  const PatchResult First = Site.awaitResult(1, 5);
  const PatchResult Second = Site.awaitResult(2, 5);
  CHECK((First.Status == PatchStatus::Accepted) !=
        (Second.Status == PatchStatus::Accepted));
  Site.run(3s);
  CHECK(Site.lowestVersion() == 2);

  SECTION("one patch submitted at two nodes at once is applied once") {
    Site.submit(1, 6, "c", 2, "set c");
    Site.submit(2, 6, "c", 2, "set c");
    CHECK(Site.awaitResult(1, 6).Status == PatchStatus::Accepted);
    CHECK(Site.awaitResult(2, 6).Status == PatchStatus::Accepted);
    CHECK(Site.awaitResult(2, 6).Version == 3);
  }
}

TEST_CASE("a patch whose store answer is lost", "[config]") {
  RunningSite Site(13);
  Site.store().faults().LoseWriteAnswers = 1;

  SECTION("is accepted if its write took effect") {
    CHECK(Site.patch(4, "p2", 1, "set two").Status == PatchStatus::Accepted);
    CHECK(Site.inForceWithin(2, 3s));
  }
  SECTION("is accepted although another patch follows before the retry") {
    Site.submit(4, 5, "p2", 1, "set two");
    Site.run(20ms);
    CHECK(Site.patch(5, "p3", 2, "set three").Status == PatchStatus::Accepted);
    CHECK(Site.awaitResult(4, 5).Status == PatchStatus::Accepted);
    CHECK(Site.awaitResult(4, 5).Version == 2);
    CHECK(Site.inForceWithin(3, 3s));
  }
  SECTION("is unresolved during an outage and resolved afterwards") {
    Site.submit(4, 5, "p2", 1, "set two");
    Site.run(4ms);
    Site.store().faults().Down = true;
    CHECK(Site.awaitResult(4, 5).Status == PatchStatus::Unresolved);
    CHECK(errorOf(Site.awaitResult(4, 5)) == ErrorCode::WriteUnresolved);
    Site.store().faults().Down = false;
    CHECK(Site.patch(4, "p2", 1, "set two").Version == 2);
    CHECK(Site.inForceWithin(2, 3s));
  }
}

TEST_CASE("patches and starts while the store is down or slow", "[config]") {
  RunningSite Site(13);

  SECTION("a patch is rejected with the reason and has no effect") {
    Site.store().faults().Down = true;
    const PatchResult Result = Site.patch(4, "p2", 1, "set two");
    CHECK(Result.Status == PatchStatus::Rejected);
    CHECK(errorOf(Result) == ErrorCode::StoreUnavailable);
    Site.run(60s);
    Site.store().faults().Down = false;
    Site.run(5s);
    CHECK(Site.lowestVersion() == 1);
    CHECK(Site.patch(4, "p2", 1, "set two").Status == PatchStatus::Accepted);
    CHECK(Site.inForceWithin(2, 3s));
  }
  SECTION("a node that starts during an outage gets its peers' version") {
    Site.store().faults().Down = true;
    Site.crash(3);
    Site.run(100ms);
    Site.start(3);
    CHECK(Site.inForceWithin(1, 3s));
  }
  SECTION("a slow store delays a patch without losing it") {
    Site.store().faults().Delay = 900ms;
    CHECK(Site.patch(4, "p2", 1, "set two").Status == PatchStatus::Accepted);
    CHECK(Site.inForceWithin(2, 3s));
  }
  SECTION("a patch is rejected while the store refuses writes by its rate") {
    Site.store().faults().WriteLimit = 0;
    CHECK(errorOf(Site.patch(4, "p2", 1, "set two")) ==
          ErrorCode::StoreUnavailable);
    Site.store().faults().WriteLimit = 300;
    CHECK(Site.patch(4, "p2", 1, "set two").Status == PatchStatus::Accepted);
  }
}

TEST_CASE("an older value of the store never comes into force", "[config]") {
  RunningSite Site(13);
  REQUIRE(Site.patch(4, "p2", 1, "set two").Status == PatchStatus::Accepted);
  REQUIRE(Site.inForceWithin(2, 3s));
  Site.store().faults().ServeOlder = true;

  SECTION("on running nodes, which also reject patches based on it") {
    CHECK(errorOf(Site.patch(4, "p3", 1, "set x")) == ErrorCode::StoreOlder);
    Site.run(40s);
    CHECK(Site.lowestVersion() == 2);
  }
  SECTION("on restarting nodes, even if all watching nodes restart") {
    for (std::size_t Each = 0; Each < 12; ++Each) {
      Site.crash(Each);
    }
    Site.run(100ms);
    for (std::size_t Each = 0; Each < 12; ++Each) {
      Site.start(Each);
    }
    CHECK(Site.inForceWithin(2, 5s));
    for (std::size_t Each = 0; Each < 12; ++Each) {
      CHECK_FALSE(Site.node(Each).InForce.contains(1));
    }
  }
  SECTION("and a patch with a lost answer is still reported as accepted") {
    Site.store().faults().ServeOlder = false;
    Site.store().faults().LoseWriteAnswers = 1;
    Site.submit(4, 5, "p3", 2, "set three");
    Site.run(4ms);
    Site.store().faults().ServeOlder = true;
    CHECK(Site.awaitResult(4, 5).Status == PatchStatus::Accepted);
  }
}

TEST_CASE("the submitting node crashes right after the write", "[config]") {
  RunningSite Site(24, 4);
  Site.submit(5, 5, "p2", 1, "set two");
  Site.run(3ms); // The head has been read and the write has been sent.
  Site.crash(5);
  CHECK(Site.inForceWithin(2, 3s));
}

TEST_CASE("patches during a partition between regions", "[config]") {
  RunningSite Site(24, 4);
  Site.Blocked = [](std::size_t First, std::size_t Second) {
    return First % 4 / 2 != Second % 4 / 2;
  };
  Site.run(30s);
  // Both sides reach the store, from which they must get the new version.
  CHECK(Site.patch(0, "p2", 1, "set two").Status == PatchStatus::Accepted);
  CHECK(Site.inForceWithin(2, 3s));

  SECTION("a node restarted in the partition accepts a patch after it heals") {
    Site.crash(1);
    Site.run(1s);
    Site.start(1);
    Site.Blocked = [](std::size_t, std::size_t) { return false; };
    CHECK(Site.patch(1, "p3", 2, "set three").Status == PatchStatus::Accepted);
    CHECK(Site.inForceWithin(3, 3s));
  }
}

TEST_CASE("the changes of a long history move to archives", "[config]") {
  RunningSite Site(6);
  for (std::uint64_t Version = 2; Version <= 200; ++Version) {
    // Every eighth patch loses an answer, also of writes of archives.
    Site.store().faults().LoseWriteAnswers = Version % 8 == 0 ? 1 : 0;
    const PatchResult Result =
        Site.patch(Version % 6, "p" + std::to_string(Version), Version - 1,
                   "set " + std::to_string(Version));
    REQUIRE(Result.Status == PatchStatus::Accepted);
    REQUIRE(Result.Version == Version);
    REQUIRE(Site.inForceWithin(Version, 3s));
  }
  Site.send(0, HistoryRequested{1, 0});
  Site.run(100ms);
  const HistoryResult Head = Site.node(0).Histories.at(1);
  CHECK(Head.Changes.size() <= PatchWriter::HistoryLimit);
  std::uint64_t Expected = 1;
  for (const ConfigArchive &Each : Head.Archives) {
    Site.send(0,
              HistoryRequested{Each.FirstVersion + 1'000, Each.FirstVersion});
    Site.run(100ms);
    for (const ConfigChange &Change :
         Site.node(0).Histories.at(Each.FirstVersion + 1'000).Changes) {
      CHECK(Change.Version == Expected++);
    }
  }
  CHECK(Head.Changes.front().Version == Expected);
  CHECK(Head.Changes.back().Version == 200);

  SECTION("an archived patch submitted again is applied once") {
    const PatchResult Again = Site.patch(1, "p5", 4, "set 5");
    CHECK(Again.Status == PatchStatus::Accepted);
    CHECK(Again.Version == 5);
    CHECK(Site.lowestVersion() == 200);
  }
}

TEST_CASE("a head value above 900 kB is rejected with its size", "[config]") {
  RunningSite Site(3);
  const PatchResult Result =
      Site.patch(0, "big", 1, "set " + std::string(460'000, 'x'));
  CHECK(errorOf(Result) == ErrorCode::DocumentTooLarge);
  CHECK(Result.Errors.at(0).Reason.find("900000") != std::string::npos);
  CHECK(Site.lowestVersion() == 1);
}

TEST_CASE("200 patches on 60 nodes while 20 of them restart", "[config]") {
  RunningSite Site(60, 4);
  Duration Worst{0};
  for (std::uint64_t Version = 2; Version <= 201; ++Version) {
    const std::size_t Restarting =
        Version % 10 == 0 ? Version / 10 * 3 % 60 : 60;
    if (Restarting < 60) {
      Site.crash(Restarting);
    }
    const std::size_t At = (Version * 7 + 1) % 60;
    const std::size_t Submitter = At == Restarting ? At - 1 : At;
    REQUIRE(Site.patch(Submitter, std::to_string(Version), Version - 1, "set x")
                .Status == PatchStatus::Accepted);
    const TimePoint Accepted = Site.now();
    if (Restarting < 60) {
      Site.start(Restarting);
    }
    REQUIRE(Site.inForceWithin(Version, 3s));
    Worst = std::max(Worst, Site.now() - Accepted);
  }
  CHECK(Worst <= 3s);
}

// Guards against a busy loop: the time limits of the start lie in the past
// while a node waits for a peer's configuration, and must not cause a wake-up.
TEST_CASE("a starting node requests no wake-up in the past", "[config]") {
  const FakeConfigCodec Codec;
  SeededRandomSource Random(1);
  ConfigSystem System(Codec, Random);
  const NodeRun Peer{NodeId{2}, Incarnation{1}};
  Actions Out;
  System.tick(TimePoint{}, Out);
  System.linkUp(Peer, TimePoint{}, Out);
  System.receive(Peer, ConfigDigest{1}, TimePoint{10ms}, Out);
  for (TimePoint Now{20ms}; Now < TimePoint{12s}; Now += 20ms) {
    System.tick(Now, Out);
    const auto Next = System.nextWakeup();
    INFO("after " << Now.time_since_epoch().count() << " us");
    REQUIRE((!Next || *Next > Now));
  }
}

// Guards against a record that cannot tell how a node learned of a version.
TEST_CASE("the log names the source and the delay of a version", "[config]") {
  RunningSite Site(13);
  Site.run(30s); // All watching nodes have found the key.
  REQUIRE(Site.patch(4, "p2", 1, "set two").Version == 2);
  REQUIRE(Site.inForceWithin(2, 3s));
  std::map<std::string, std::size_t> Sources;
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    const auto &All = Site.node(Each).Notices;
    const auto Found =
        std::find_if(All.rbegin(), All.rend(), [](const Notice &Entry) {
          return Entry.Event == "config_in_force";
        });
    REQUIRE(Found != All.rend());
    const std::map<std::string, std::string> Fields(Found->Fields.begin(),
                                                    Found->Fields.end());
    CHECK(Fields.at("version") == "2");
    CHECK((Fields.at("source") == "peer") == (Fields.at("peer") != "-"));
    CHECK(std::stoul(Fields.at("delay_ms")) < 1'000);
    ++Sources[Fields.at("source")];
  }
  CHECK(Sources["store-write"] == 1);
  CHECK(Sources["store-watch"] + Sources["peer"] == 12);
  CHECK(Sources["store-watch"] > 0);
}

// Guards against failed calls of the configuration that leave no trace.
TEST_CASE("the log names each failed call of the configuration", "[config]") {
  RunningSite Site(13);
  Site.store().faults().Down = true;
  Site.run(10s);
  std::size_t Failed = 0;
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    Failed += Site.hasNotice(Each, "config_watch_started") &&
                      Site.hasNotice(Each, "config_call_failed")
                  ? 1U
                  : 0U;
  }
  CHECK(Failed >= 6);
}

// Guards against an invalid value whose version number bars all later versions.
TEST_CASE("an invalid version with a high number does not bar later ones",
          "[config]") {
  RunningSite Site(13);
  FakeConfigCodec Codec;
  ConfigHead Invalid;
  Invalid.Version = 1'000;
  Invalid.Document = "invalid";
  const auto Write = [&](const ConfigHead &Head) {
    const StoreResult Stored =
        Site.store().call(StoreRead{ConfigHeadKey}, Site.now());
    Site.store().call(
        StoreWrite{ConfigHeadKey, Codec.renderHead(Head), Stored.Revision, 0},
        Site.now());
  };
  Write(Invalid);
  Site.run(5s);
  CHECK(Site.lowestVersion() == 1);

  ConfigHead Valid;
  Valid.Version = 2;
  Valid.Document = "two";
  Write(Valid);
  CHECK(Site.inForceWithin(2, 3s));

  SECTION("nor on nodes that start while it is stored") {
    Write(Invalid);
    Site.crash(3);
    Site.run(1s);
    Site.start(3);
    CHECK(Site.inForceWithin(2, 5s));
    Valid.Version = 3;
    Write(Valid);
    CHECK(Site.inForceWithin(3, 3s));
  }
}
