/// @file
/// @brief Tests of the evidence of the number of members, in virtual time.
#include "allotment_site.hpp"

#include "hyssopford/core/allotments/member_census.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

constexpr const char *Name = "growers";
constexpr double Rate = 60.0;
constexpr double Burst = 40.0;

RoutingConfig limits() {
  RoutingConfig Config;
  Config.Version = 1;
  Config.Accounts.push_back({Name, {}, std::nullopt, Rate, Burst});
  return Config;
}

std::size_t bound() {
  return static_cast<std::size_t>((Rate * 5 + Burst) * 1.1 + 20);
}

/// Three times the limit, alike at all nodes.
void overload(AllotmentSite &Site, Duration Time) {
  Site.load(Name, 3 * Rate, std::vector<double>(Site.Nodes.size(), 1.0), Time);
  Site.run(Time);
}

std::size_t startedSince(AllotmentSite &Site, TimePoint Since) {
  const std::vector<TimePoint> &All = Site.Started[Name];
  return static_cast<std::size_t>(std::count_if(
      All.begin(), All.end(), [&](TimePoint Each) { return Each >= Since; }));
}

} // namespace

// Guards against nodes that restart in a cut, meet each other or nobody, and
// grant the whole limit beside the others.
TEST_CASE("nodes that restart in a cut keep to the shares of the whole site",
          "[allotments][census]") {
  const auto [Count, Lost] = GENERATE(table<std::size_t, std::size_t>(
      {{2, 1}, {4, 1}, {4, 2}, {4, 3}, {13, 1}, {13, 6}, {58, 1}, {58, 20}}));
  CAPTURE(Count, Lost);
  AllotmentSite Site(Count, limits(), 7);
  Site.startAll();
  overload(Site, 4s);
  std::vector<int> Groups(Count, 0);
  for (std::size_t Index = 0; Index < Lost; ++Index) {
    // Those with the entries in the directory, and others.
    const std::size_t Each = Index % 2 == 0 ? Index : Count - Index;
    Groups[Each] = 1;
    Site.kill(Each);
  }
  Site.split(Groups);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Groups[Index] == 1) {
      Site.start(Index);
    }
  }
  overload(Site, 12s);
  CHECK(Site.mostStarted(Name, 5s) <= bound());
  const TimePoint Healed = Site.Now;
  Site.heal();
  overload(Site, 10s);
  CHECK(Site.mostStarted(Name, 5s) <= bound());
  CHECK(startedSince(Site, Healed + 5s) >= 0.9 * Rate * 5);
}

// Guards against evidence that a site of one, or one that starts anew, waits
// for, and against calls of the store that each node makes.
TEST_CASE("a site that starts again grants its whole limit",
          "[allotments][census]") {
  const auto Count = GENERATE(std::size_t{1}, std::size_t{13}, std::size_t{58});
  CAPTURE(Count);
  AllotmentSite Site(Count, limits(), 3);
  Site.startAll();
  overload(Site, 2s);
  const std::uint64_t Before = Site.StoreCalls;
  // Only the granters of the account need evidence of their own.
  CHECK(Before <= 2);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Site.kill(Index);
  }
  Site.run(300ms);
  const TimePoint Restarted = Site.Now;
  Site.startAll();
  overload(Site, 5s);
  REQUIRE(startedSince(Site, Restarted) >= 0.9 * Rate * 5);
  const auto First =
      std::find_if(Site.Started[Name].begin(), Site.Started[Name].end(),
                   [&](TimePoint Each) { return Each >= Restarted; });
  WARN(Count << " nodes: first start " << (*First - Restarted) / 1ms
             << " ms after the restart, " << Site.StoreCalls - Before
             << " store calls");
  CHECK(*First - Restarted <= 500ms);
  CHECK(Site.StoreCalls - Before <= 2);
}

// Guards against whole limits without evidence, and against members without
// evidence beside others that have it.
TEST_CASE("without the store only members with evidence lend",
          "[allotments][census]") {
  constexpr std::size_t Count = 13;
  AllotmentSite Site(Count, limits(), 5);
  const bool HasSurvivors = GENERATE(true, false);
  CAPTURE(HasSurvivors);
  if (HasSurvivors) {
    Site.startAll();
    overload(Site, 2s);
    Site.StoreDown = true;
    for (std::size_t Index = 0; Index < Count - 1; ++Index) {
      Site.kill(Index);
      Site.start(Index);
    }
    const TimePoint Restarted = Site.Now;
    overload(Site, 10s);
    CHECK(startedSince(Site, Restarted + 5s) >= 0.9 * Rate * 5);
  } else {
    Site.StoreDown = true;
    Site.startAll();
    overload(Site, 10s);
    CHECK(Site.Started[Name].empty());
    CHECK(Site.StoreCalls <= 20);
    Site.StoreDown = false;
    const TimePoint Regained = Site.Now;
    overload(Site, 10s);
    CHECK(startedSince(Site, Regained + 5s) >= 0.9 * Rate * 5);
  }
  CHECK(Site.mostStarted(Name, 5s) <= bound());
}

// Guards against entries of other writers that take away the shares.
TEST_CASE("entries that no member wrote count for nothing",
          "[allotments][census]") {
  MemberCensus Census(nodeIdOf("10.0.0.1:1"));
  Actions Out;
  Census.setNeeded(true);
  Census.tick(TimePoint(), Out);
  REQUIRE(Out.size() == 1);
  StoreResult Result;
  Result.Status = StoreStatus::Done;
  Result.Values = {"members 70\n", "10.0.0.2:1\nmembers 4000000\n",
                   "10.0.0.1:1\n10.0.0.3:1\nmembers -5\nmembers 3x\n", ""};
  REQUIRE(Census.receive(StoreReplied{std::get<StoreCall>(Out[0]).Call, Result},
                         TimePoint()));
  CHECK(Census.isProven());
  CHECK(Census.atLeast(1, TimePoint()) == 3);
}
