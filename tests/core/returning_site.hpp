/// @file
/// @brief Sites whose store comes back from an older copy, in virtual time.
#pragma once

#include "site_fake.hpp"
#include "support/decisions.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

namespace hyssopford::test {

/// @brief A site with the settings of the platform. Its store can lose what it
/// has acknowledged since a copy was made.
class ReturningSite : public SiteFake {
public:
  /// Age of the proof above which credentials are refused.
  static constexpr Duration FreshLimit = 5s;

  explicit ReturningSite(std::size_t Count, std::uint64_t RandomSeed = 1)
      : SiteFake(RandomSeed) {
    StoreEra = 1;
    addNodes(Count, std::min<std::size_t>(Count, 3), 0);
    for (std::size_t Each = 0; Each < Count; ++Each) {
      node(Each).Settings.Decisions.Start = platformStart();
      node(Each).Settings.Decisions.Freshness.Limit = FreshLimit;
    }
    store().faults().WriteLimit = 100'000;
    store().faults().ReadLimit = 100'000;
    writeVersion("older");
    startAll();
    if (Count > 60) {
      fillTables();
    }
    REQUIRE(runUntil([&] { return allAlive() && lowestVersion() == 1; }, 60s));
    run(3s);
  }

  /// Makes the copy, then writes a version that the copy lacks and waits until
  /// it is in force everywhere.
  void changeAfterCopy(Duration Time = FreshLimit) {
    Copy = store();
    Newest = writeVersion("newer");
    run(Time);
    REQUIRE(lowestVersion() == Newest);
  }

  /// Lets the store come back from the copy, without leases.
  void returnToCopy() {
    store() = Copy;
    store().lapse(0);
    ++StoreEra;
    cutWatches();
  }

  /// Writes the newest version again, as the operator does.
  void writeAgain() {
    while (writeVersion("newer") < Newest) {
    }
  }

  void cutOff(std::set<std::size_t> Chosen) {
    Blocked = [Apart = std::move(Chosen)](std::size_t From, std::size_t To) {
      return Apart.contains(From) != Apart.contains(To);
    };
  }

  void reconnect() {
    Blocked = [](std::size_t, std::size_t) { return false; };
  }

  bool accepts(std::size_t Index) {
    return core(Index).freshness().timeLeft(now()) > Duration{0};
  }

  /// @return whether a node had a version below the newest in force in its
  /// latest run
  bool wentBack(std::size_t Index) {
    const auto &Versions = node(Index).InForce;
    return !Versions.empty() && Versions.begin()->first < Newest;
  }

  std::uint64_t versionAt(std::size_t Index) {
    return core(Index).config().Version;
  }

  /// Runs until nodes have the newest version in force and a link to a peer.
  /// @return the time that it took, or the limit
  Duration timeToServe(const std::vector<std::size_t> &Chosen, Duration Limit) {
    const TimePoint Begin = now();
    runUntil(
        [&] {
          return std::all_of(Chosen.begin(), Chosen.end(),
                             [&](std::size_t Each) {
                               return versionAt(Each) >= Newest &&
                                      (linkCount(Each) > 0 || size() == 1);
                             });
        },
        Limit);
    return now() - Begin;
  }

  std::uint64_t Newest = 1;
  standin::StoreTable Copy;
};

} // namespace hyssopford::test
