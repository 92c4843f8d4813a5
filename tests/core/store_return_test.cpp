/// @file
/// @brief Tests of nodes that start, or run on, beside a store that has come
/// back from an older copy.
#include "hyssopford/core/allotments/member_census.hpp"
#include "returning_site.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// What happens to nodes around the return of the store.
struct Restart {
  /// Nodes that are restarted, the first ones of the site.
  std::size_t Nodes = 1;
  /// Start of the nodes, counted from the return of the store.
  Duration Start{0};
  /// Time for which they reach no peer, from their start to so long after the
  /// last return.
  Duration Apart{0};
  bool IsPlanned = false;
  /// Restarted once more soon after the first start.
  bool IsTwice = false;
  /// Time from the first return to a second one; 0 for none.
  Duration SecondReturn{0};
  /// Time from the last return until the newest version is written again.
  Duration Rewritten = 1s;
};

std::vector<std::size_t> firstNodes(std::size_t Count) {
  std::vector<std::size_t> Result(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Result[Index] = Index;
  }
  return Result;
}

/// Plays a restart around a return of the store.
class RestartPlay {
public:
  RestartPlay(std::size_t Count, std::uint64_t Seed, const Restart &Chosen)
      : Site(Count, Seed), Plan(Chosen), Restarted(firstNodes(Chosen.Nodes)) {}

  void play() {
    Site.changeAfterCopy();
    for (const std::size_t Each : Restarted) {
      if (Plan.IsPlanned) {
        Site.send(Each, ShutdownRequested{});
        Site.run(20ms);
      }
      Site.crash(Each);
    }
    Site.silenceStore(true);
    Site.run(500ms + std::min(Plan.Start, Duration{0}));
    if (Plan.Start < Duration{0}) {
      start();
      Site.run(-Plan.Start);
    }
    Site.returnToCopy();
    Site.silenceStore(false);
    if (Plan.Start >= Duration{0}) {
      Site.run(Plan.Start);
      start();
    }
    if (Plan.SecondReturn > Duration{0}) {
      Site.run(Plan.SecondReturn);
      Site.returnToCopy();
    }
    Site.run(std::min(Plan.Apart, Plan.Rewritten));
    if (Plan.Apart <= Plan.Rewritten) {
      Site.reconnect();
      Site.run(Plan.Rewritten - Plan.Apart);
      Site.writeAgain();
    } else {
      Site.writeAgain();
      Site.run(Plan.Apart - Plan.Rewritten);
      Site.reconnect();
    }
  }

  bool wentBack() {
    return std::any_of(Restarted.begin(), Restarted.end(),
                       [&](std::size_t Each) { return Site.wentBack(Each); });
  }

  ReturningSite Site;
  Restart Plan;
  std::vector<std::size_t> Restarted;

private:
  void start() {
    if (Plan.Apart > Duration{0}) {
      Site.cutOff({Restarted.begin(), Restarted.end()});
    }
    for (const std::size_t Each : Restarted) {
      Site.start(Each);
    }
    if (Plan.IsTwice) {
      Site.run(80ms);
      for (const std::size_t Each : Restarted) {
        Site.crash(Each);
        Site.start(Each);
      }
    }
  }
};

} // namespace

// Guards against a node that takes the first answer of a store for the newest:
// a withdrawn key, or a dropped route, was in use again (review case 12).
TEST_CASE("a node that starts beside an older store stays with the newest",
          "[store-return]") {
  const std::size_t Count = GENERATE(5U, 13U);
  const Restart Plan = GENERATE(
      Restart{}, Restart{.Start = -400ms}, Restart{.Start = 50ms},
      Restart{.Start = 700ms}, Restart{.Start = 3s, .Rewritten = 6s},
      Restart{.IsPlanned = true}, Restart{.IsTwice = true}, Restart{.Nodes = 3},
      Restart{.Nodes = 4, .Rewritten = 5s},
      Restart{.Apart = 3s, .Rewritten = 4s},
      Restart{.Apart = 14s, .Rewritten = 13s},
      Restart{.Nodes = 2, .Start = 200ms, .Apart = 8s, .Rewritten = 8s},
      Restart{.SecondReturn = 600ms},
      Restart{.Start = -200ms, .SecondReturn = 2s, .Rewritten = 4s});
  const std::uint64_t Seed = GENERATE(1U, 2U);
  RestartPlay Play(Count, Seed, Plan);
  Play.play();
  CAPTURE(Count, Seed, Plan.Nodes, Plan.Start / 1ms, Plan.Apart / 1ms,
          Plan.IsPlanned, Plan.IsTwice, Plan.SecondReturn / 1ms);
  CHECK_FALSE(Play.wentBack());
  CHECK(Play.Site.timeToServe(Play.Restarted, 5s) < 3s);
  CHECK_FALSE(Play.wentBack());
}

// Guards against any course of starts and returns after which a node that could
// have learned of a newer version puts an older one in force.
TEST_CASE("random restarts around returns of the store put nothing older in "
          "force",
          "[store-return][search]") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    SeededRandomSource Random(Seed);
    const auto UpTo = [&](Duration Most) {
      return Duration(Random.below(static_cast<std::uint64_t>(Most.count())));
    };
    const auto OneIn = [&](std::uint64_t Of) { return Random.below(Of) == 0; };
    const std::size_t Count = 3 + Random.below(11);
    Restart Plan;
    Plan.Nodes = 1 + Random.below(Count - 1);
    Plan.Start = UpTo(4s) - 450ms;
    Plan.Apart = OneIn(3) ? UpTo(8s) : Duration{0};
    Plan.IsPlanned = OneIn(2);
    Plan.IsTwice = OneIn(3);
    Plan.SecondReturn = OneIn(3) ? UpTo(3s) : Duration{0};
    Plan.Rewritten = UpTo(8s);
    RestartPlay Play(Count, Seed, Plan);
    Play.play();
    Play.Site.run(12s);
    CAPTURE(Seed, Count, Plan.Nodes, Plan.Start / 1ms, Plan.Apart / 1ms,
            Plan.SecondReturn / 1ms, Plan.Rewritten / 1ms);
    CHECK_FALSE(Play.wentBack());
    CHECK(Play.Site.lowestVersion() == Play.Site.Newest);
  }
}

// Guards against a node that runs, missed a change, and takes the answer of an
// older store for the proof that nothing is newer.
TEST_CASE("an older store proves nothing to a node that missed the change",
          "[store-return]") {
  ReturningSite Site(5);
  Site.Copy = Site.store();
  Site.pause(0);
  Site.Newest = Site.writeVersion("newer");
  Site.run(7s);
  const bool IsApart = GENERATE(false, true);
  if (IsApart) {
    Site.cutOff({0});
  }
  Site.returnToCopy();
  Site.run(200ms);
  Site.resume(0);
  const TimePoint End = Site.now() + 6s;
  while (Site.now() < End) {
    Site.run(10ms);
    CHECK_FALSE((Site.accepts(0) && Site.versionAt(0) < Site.Newest));
  }
  Site.reconnect();
  Site.writeAgain();
  CHECK(Site.runUntil(
      [&] { return Site.accepts(0) && Site.versionAt(0) == Site.Newest; }, 5s));
}

// Guards against a site that waits forever for members that do not exist.
TEST_CASE("a site without a member that knows more starts in a bounded time",
          "[store-return]") {
  const std::size_t Count = GENERATE(1U, 5U);
  ReturningSite Site(Count);
  Site.changeAfterCopy();
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Site.crash(Each);
  }
  Site.returnToCopy();
  Site.Newest = 1;
  Site.startAll();
  const Duration Time = Site.timeToServe(firstNodes(Count), 30s);
  CAPTURE(Count, Time / 1ms);
  CHECK(Time <= 11s);
  CHECK(Site.hasNotice(0, "store_era_unproven"));
  CHECK(Site.hasNotice(0, "store_era_assumed"));
  // The next start in the same era is as fast as in calm.
  Site.run(1s);
  Site.crash(0);
  Site.start(0);
  CHECK(Site.timeToServe({0}, 5s) <= 400ms);
}

// Guards against a wait in calm: nothing was lost, so the store is believed at
// once.
TEST_CASE("a start beside a store that lost nothing does not wait",
          "[store-return]") {
  const auto [Count, Restarted] = GENERATE(table<std::size_t, std::size_t>(
      {{1, 1}, {5, 1}, {5, 5}, {13, 1}, {13, 13}, {84, 1}}));
  ReturningSite Site(Count);
  for (std::size_t Each = 0; Each < Restarted; ++Each) {
    Site.crash(Each);
  }
  Site.run(300ms);
  const TimePoint Begin = Site.now();
  for (std::size_t Each = 0; Each < Restarted; ++Each) {
    Site.start(Each);
  }
  CHECK(Site.runUntil([&] { return Site.lowestVersion() == 1; }, 5s));
  CHECK(Site.now() - Begin <= 100ms);
}

// Guards against a node that restarts beside an older store and takes the empty
// directory for a site of one: it granted the whole limits of all accounts.
TEST_CASE("the directory of a store that lost its leases shows no number of "
          "members",
          "[store-return][census]") {
  MemberCensus Census(NodeId{1});
  Census.setNeeded(true);
  for (const bool IsProven : {false, false, true}) {
    Actions Out;
    REQUIRE(Census.nextWakeup());
    const TimePoint Now = *Census.nextWakeup();
    Census.tick(Now, Out);
    StoreReplied Reply{all<StoreCall>(Out).at(0).Call, {}};
    Reply.Result.Status = StoreStatus::Done;
    Census.setStoreProven(IsProven);
    CHECK(Census.receive(Reply, Now + 4ms));
    CHECK(Census.isProven() == IsProven);
  }
}
