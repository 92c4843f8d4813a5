/// @file
/// @brief Tests of the time from an acknowledged change to its being in force.
#include "site_fake.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hyssopford;

namespace {

/// Longest time from the acknowledgement of a version until it is in force
/// (docs/configuration.md).
constexpr Duration ApplyLimit = 2s;

/// A site that has a version in force and whose watching nodes watch.
class DelaySite : public SiteFake {
public:
  explicit DelaySite(std::size_t Count, std::uint64_t RandomSeed = 1)
      : SiteFake(RandomSeed) {
    addNodes(Count, 3, 2);
    writeVersion("one");
    startAll();
    REQUIRE(runUntil([&] { return allAlive() && lowestVersion() == 1; }, 30s));
    run(20s);
  }

  bool watches(std::size_t Index) {
    const auto &All = node(Index).Notices;
    const auto Last =
        std::find_if(All.rbegin(), All.rend(), [](const Notice &Each) {
          return Each.Event.starts_with("config_watch_");
        });
    return Last != All.rend() && Last->Event == "config_watch_started";
  }

  std::vector<std::size_t> watchers() {
    std::vector<std::size_t> Result;
    for (std::size_t Each = 0; Each < size(); ++Each) {
      if (node(Each).Core && watches(Each)) {
        Result.push_back(Each);
      }
    }
    return Result;
  }

  /// @return the lowest version in force at the nodes that run and are not
  /// paused
  std::uint64_t lowestAwake() {
    std::uint64_t Lowest = UINT64_MAX;
    for (std::size_t Each = 0; Each < size(); ++Each) {
      if (node(Each).Core && !node(Each).Paused) {
        Lowest = std::min(Lowest, core(Each).config().Version);
      }
    }
    return Lowest;
  }

  /// Writes a version and measures until it is in force on all nodes that run.
  Duration delayOfChange(Duration Limit = 30s) {
    const std::uint64_t Version = writeVersion("next");
    const TimePoint Begin = now();
    runUntil([&] { return lowestAwake() >= Version; }, Limit);
    return now() - Begin;
  }
};

} // namespace

// Guards against watching nodes that wait for calls which a silent store will
// never answer, all at the same time.
TEST_CASE("a change after a silent store is in force within 2 s",
          "[config][delay]") {
  Duration Worst{0};
  for (const Duration Silence :
       {100ms, 500ms, 1'000ms, 2'000ms, 2'600ms, 3'500ms, 4'200ms, 6'000ms}) {
    for (Duration Offset = 5ms; Offset < 2'500ms; Offset += 245ms) {
      DelaySite Site(13);
      Site.delayOfChange(); // Answers all watches at the same moment.
      Site.run(Offset);
      Site.silenceStore(true);
      Site.run(Silence);
      Site.silenceStore(false);
      Worst = std::max(Worst, Site.delayOfChange());
    }
  }
  CAPTURE(Worst / 1ms);
  CHECK(Worst <= ApplyLimit);
}

// Guards against nodes that learn of a change only from nodes that have ended.
TEST_CASE("a change is in force within 2 s if all watching nodes are lost",
          "[config][delay]") {
  const std::size_t Count = GENERATE(13U, 60U);
  const std::uint64_t Seed = GENERATE(range(1U, 6U));
  DelaySite Site(Count, Seed);
  const std::vector<std::size_t> Lost = Site.watchers();
  REQUIRE(Lost.size() >= 3);
  const int How = GENERATE(0, 1, 2);
  for (const std::size_t Each : Lost) {
    if (How == 0) {
      Site.pause(Each);
    } else if (How == 1) {
      Site.crash(Each);
    } else {
      Site.killVm(Each);
    }
  }
  const Duration Delay = Site.delayOfChange();
  CAPTURE(Count, Seed, How, Delay / 1ms);
  CHECK(Delay <= ApplyLimit);
}

// Guards against nodes that the store serves and that still wait for watching
// nodes which it does not serve.
TEST_CASE("a change is in force within 2 s if a third cannot use the store",
          "[config][delay]") {
  const std::size_t Count = GENERATE(13U, 60U);
  const auto How =
      GENERATE(SiteFake::StoreAccess::Refused, SiteFake::StoreAccess::Silent);
  DelaySite Site(Count);
  std::vector<std::size_t> Lost = Site.watchers();
  for (std::size_t Each = 0; Lost.size() < Count / 3; ++Each) {
    if (std::find(Lost.begin(), Lost.end(), Each) == Lost.end()) {
      Lost.push_back(Each);
    }
  }
  Site.AccessOf = [&](std::size_t Index) {
    return std::find(Lost.begin(), Lost.end(), Index) == Lost.end()
               ? SiteFake::StoreAccess::Served
               : How;
  };
  Site.run(10s);
  const Duration Delay = Site.delayOfChange();
  CAPTURE(Count, Delay / 1ms);
  CHECK(Delay <= ApplyLimit);
}

// Guards against a node that counts on watching nodes to which it has no link.
TEST_CASE("a change is in force within 2 s at a node without links to peers",
          "[config][delay]") {
  const std::size_t Count = GENERATE(13U, 60U);
  DelaySite Site(Count);
  std::size_t Alone = 0;
  while (Site.watches(Alone)) {
    ++Alone;
  }
  Site.Blocked = [Alone](std::size_t From, std::size_t To) {
    return From == Alone || To == Alone;
  };
  Site.run(10s);
  const Duration Delay = Site.delayOfChange();
  CAPTURE(Count, Delay / 1ms);
  CHECK(Delay <= ApplyLimit);
}

// Guards against a watch that passes over a change and is continued behind it.
TEST_CASE("a change that the watches did not report is found",
          "[config][delay]") {
  DelaySite Site(13);
  Site.HideChanges = true;
  const std::uint64_t Version = Site.writeVersion("hidden");
  Site.run(5s);
  Site.HideChanges = false;
  CHECK(Site.runUntil([&] { return Site.lowestVersion() >= Version; }, 60s));
}

// Guards against a watch with an answer that the client cannot take, which is
// repeated in the same way.
TEST_CASE("changes whose watch has a too large answer are in force within 2 s",
          "[config][delay]") {
  DelaySite Site(13);
  Site.silenceStore(true);
  Site.run(8s);
  Site.writeVersion("two");
  Site.writeVersion("three");
  Site.TooLargeSince = 2;
  Site.silenceStore(false);
  const Duration Delay = Site.delayOfChange();
  CAPTURE(Delay / 1ms);
  CHECK(Delay <= ApplyLimit);
}

// Guards against a slow store whose answers are all given up.
TEST_CASE("a change is in force within 2 s at a store that answers in 0.3 s",
          "[config][delay]") {
  DelaySite Site(13);
  Site.store().faults().Delay = 300ms;
  for (int Round = 0; Round < 10; ++Round) {
    Site.run(330ms);
    CHECK(Site.delayOfChange() <= ApplyLimit);
  }
  Site.store().faults().Delay = 1'200ms;
  Site.run(5s);
  CHECK(Site.delayOfChange() <= 5s);
}

namespace {

/// Plays random troubles of the store and the nodes, each with changes in
/// series, and measures the changes at the nodes that nothing befell.
class DelaySearch {
public:
  DelaySearch(std::size_t Count, std::uint64_t Seed)
      : Random(Seed), Site(Count, Seed) {}

  /// @return the longest delay of a change
  Duration play(std::size_t Rounds) {
    for (std::size_t Round = 0; Round < Rounds; ++Round) {
      Site.run(Duration(Random.below(2'500'000)));
      beginTrouble();
      const std::size_t Changes = 1 + Random.below(3);
      for (std::size_t Each = 0; Each < Changes; ++Each) {
        Worst = std::max(Worst, Site.delayOfChange());
        Site.run(Duration(Random.below(600'000)));
      }
      endTrouble();
    }
    return Worst;
  }

private:
  void beginTrouble() {
    if (chance(2)) {
      Site.store().faults().Delay = Duration(Random.below(300'000));
    }
    if (chance(2)) {
      const bool IsLong = chance(2);
      Site.silenceStore(true);
      Site.run(Duration(Random.below(IsLong ? 8'000'000 : 3'000'000)));
      Site.silenceStore(false);
    }
    if (chance(3)) {
      Site.cutWatches();
    }
    if (chance(3)) {
      const auto How = chance(2) ? SiteFake::StoreAccess::Refused
                                 : SiteFake::StoreAccess::Silent;
      const std::set<std::size_t> Denied = draw(Site.size() / 3);
      Site.AccessOf = [=](std::size_t Index) {
        return Denied.contains(Index) ? How : SiteFake::StoreAccess::Served;
      };
    }
    if (chance(2)) {
      for (const std::size_t Each : draw(3)) {
        Lost.insert(Each);
        if (chance(2)) {
          Site.pause(Each);
        } else if (chance(2)) {
          Site.crash(Each);
        } else {
          Site.killVm(Each);
        }
      }
    }
  }

  void endTrouble() {
    Site.store().faults().Delay = Duration{0};
    Site.AccessOf = [](std::size_t) { return SiteFake::StoreAccess::Served; };
    // The links of an ended VM are lost before it starts again.
    Site.run(SiteFake::LinkTimeout + 200ms);
    for (const std::size_t Each : Lost) {
      if (Site.node(Each).Core) {
        Site.resume(Each);
      } else {
        Site.start(Each);
      }
    }
    Lost.clear();
    Site.run(8s);
  }

  bool chance(std::uint64_t OneIn) { return Random.below(OneIn) == 0; }

  /// Draws nodes, in half of the cases the watching ones first.
  std::set<std::size_t> draw(std::size_t Count) {
    std::set<std::size_t> Result;
    if (chance(2)) {
      const std::vector<std::size_t> Watching = Site.watchers();
      Result.insert(Watching.begin(), Watching.end());
    }
    while (Result.size() < Count) {
      Result.insert(Random.below(Site.size()));
    }
    return Result;
  }

  SeededRandomSource Random;
  DelaySite Site;
  std::set<std::size_t> Lost;
  Duration Worst{0};
};

} // namespace

// Guards against any course of troubles after which a change is late.
TEST_CASE("random troubles do not delay a change by more than 2 s",
          "[config][delay][search]") {
  const auto [Count, Seed, Rounds] =
      GENERATE(table<std::size_t, std::uint64_t, std::size_t>(
          {{13, 1, 40}, {13, 2, 40}, {60, 3, 12}, {84, 4, 8}}));
  const Duration Worst = DelaySearch(Count, Seed).play(Rounds);
  WARN("largest delay with " << Count << " nodes and seed " << Seed << ": "
                             << Worst / 1ms << " ms");
  CHECK(Worst <= ApplyLimit);
}

// Guards against store calls that grow with the bounds: before, two nodes of
// each of the three failure domains made a call each 2 s.
TEST_CASE("a calm site makes few calls to the store", "[config][delay]") {
  const std::size_t Count = GENERATE(13U, 60U);
  DelaySite Site(Count);
  const std::uint64_t Before = Site.configCalls();
  Site.run(200s);
  const double PerSecond =
      static_cast<double>(Site.configCalls() - Before) / 200.0;
  CAPTURE(Count);
  CHECK(PerSecond <= 3.0 * 1.1);
}
