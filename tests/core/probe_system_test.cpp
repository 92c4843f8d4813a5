/// @file
/// @brief Tests of when probes run and of their budget.
#include "hyssopford/core/probe_system.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Runs probes with a fixed result until a time and returns their number.
int runUntil(ProbeSystem &Probes, Duration End, bool Succeeds) {
  int Count = 0;
  Actions Out;
  while (Probes.nextWakeup() && *Probes.nextWakeup() <= at(End)) {
    const TimePoint Now = *Probes.nextWakeup();
    Out.clear();
    Probes.tick(Now, Out);
    if (!all<ProbeUpstream>(Out).empty()) {
      ++Count;
      Probes.finish({Succeeds, 6ms}, Now + 6ms, Out);
    }
  }
  return Count;
}

} // namespace

TEST_CASE("probes", "[probe]") {
  ProbeSystem Probes{ProbeSettings{}};
  Probes.upstreamAnnounced({"seats", 10, UpstreamState::Serving}, at(0ms));
  Actions Out;

  SECTION("an idle upstream is probed once per second") {
    const int Count = runUntil(Probes, 10s, true);
    REQUIRE(Count >= 9);
    REQUIRE(Count <= 11);
  }
  SECTION("no probe runs while traffic is answered") {
    runUntil(Probes, 2s, true);
    for (Duration Now = 2s; Now < 10s; Now += 10ms) {
      Probes.observe(true, at(Now));
      Out.clear();
      Probes.tick(at(Now), Out);
      REQUIRE(Out.empty());
    }
  }
  SECTION("the budget holds even for an upstream that stays suspected") {
    runUntil(Probes, 100s, false);
    REQUIRE(Probes.suspected());
    REQUIRE(Probes.spent() <= 100s * 10 / 100);
    REQUIRE(Probes.spent() >= 1s);
  }
  SECTION("a single slot of the cost profile stays within its budget") {
    ProbeSystem Small{costProfile().Probing};
    Small.upstreamAnnounced({"seats", 1, UpstreamState::Cold}, at(0ms));
    runUntil(Small, 1000s, false);
    REQUIRE(Small.spent() <= 1000s * 3 / 1000);
  }
  SECTION(
      "failures of real traffic make the upstream suspected until an answer") {
    for (int Count = 0; Count < 3; ++Count) {
      Probes.observe(false, at(2s));
    }
    REQUIRE(Probes.suspected());
    Probes.observe(true, at(2s));
    REQUIRE_FALSE(Probes.suspected());
  }
  SECTION("no probe runs without an upstream") {
    Probes.upstreamGone();
    REQUIRE_FALSE(Probes.nextWakeup());
  }
}
