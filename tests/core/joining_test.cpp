/// @file
/// @brief Tests of nodes that join a site of hundreds of members together. They
/// run in virtual time over in-memory links and a store with rate limits.
#include "site_fake.hpp"
#include "support/decisions.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

constexpr std::size_t DomainCount = 5;
/// All nodes start within this time.
constexpr Duration StartSpread = 300ms;
constexpr std::size_t StartBatches = 15;
/// Approximate bytes of a member record and of a frame without records.
constexpr std::size_t RecordBytes = 90;
constexpr std::size_t FrameBytes = 40;
constexpr std::size_t HashBytes = 4;

std::size_t sizeOf(const PeerMessage &Message) {
  return std::visit(
      [](const auto &Each) {
        std::size_t Bytes = FrameBytes;
        if constexpr (requires { Each.Records; }) {
          Bytes += RecordBytes * Each.Records.size();
        }
        if constexpr (requires { Each.BucketHashes; }) {
          Bytes += HashBytes * Each.BucketHashes.size();
        }
        return Bytes;
      },
      Message);
}

void prepare(SiteFake &Site, std::size_t Size) {
  Site.store().faults().WriteLimit = 3'200;
  Site.store().faults().ReadLimit = 16'000;
  Site.SizeOf = sizeOf;
  Site.addNodes(Size, DomainCount, 0);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Site.node(Index).Settings.Decisions.Start = platformStart();
  }
}

std::size_t membersKnown(SiteFake &Site, std::size_t Index) {
  return Site.core(Index).membership().members().size();
}

std::size_t fewestKnown(SiteFake &Site) {
  std::size_t Fewest = Site.size();
  for (std::size_t Index = 0; Index < Site.size(); ++Index) {
    Fewest = std::min(Fewest, membersKnown(Site, Index));
  }
  return Fewest;
}

std::size_t mostLinks(SiteFake &Site) {
  std::size_t Most = 0;
  for (std::size_t Index = 0; Index < Site.size(); ++Index) {
    Most = std::max(Most, Site.linkCount(Index));
  }
  return Most;
}

std::uint64_t meanBytesSent(SiteFake &Site) {
  std::uint64_t Sum = 0;
  for (std::size_t Index = 0; Index < Site.size(); ++Index) {
    Sum += Site.node(Index).BytesSent;
  }
  return Sum / Site.size();
}

void startTogether(SiteFake &Site) {
  for (std::size_t Index = 0; Index < Site.size(); ++Index) {
    Site.start(Index);
    if (Index * StartBatches / Site.size() !=
        (Index + 1) * StartBatches / Site.size()) {
      Site.run(StartSpread / StartBatches);
    }
  }
}

} // namespace

TEST_CASE("nodes that start together soon know enough members to route",
          "[joining]") {
  // Guards against a hub: all nodes find the same first contact, whose table
  // went out at a capped rate, so that a quarter of 195 nodes knew only this
  // contact for more than 10 s.
  SiteFake Site(GENERATE(1, 2, 3));
  prepare(Site, 195);
  startTogether(Site);
  Site.run(2s);
  CHECK(fewestKnown(Site) >= 50);
  Site.run(4s);
  CHECK(fewestKnown(Site) == Site.size());
  // The first contact is released, and a node has received the table once or
  // twice, not from each peer.
  CHECK(mostLinks(Site) <= 48);
  CHECK(meanBytesSent(Site) <= 4 * RecordBytes * Site.size());
}

TEST_CASE("a start of the whole site makes few store calls", "[joining]") {
  // Guards against duties derived from tables that still grow: every node
  // believed to be among the first of its domain, read the configuration again
  // and again and wrote a directory slot.
  SiteFake Site(GENERATE(1, 2, 3));
  prepare(Site, 195);
  startTogether(Site);
  Site.run(2s);
  CHECK(Site.storeCalls() <= 3 * Site.size());
}

TEST_CASE("half of a site that restarts together joins the other half",
          "[joining]") {
  SiteFake Site;
  prepare(Site, 195);
  startTogether(Site);
  Site.run(6s);
  for (std::size_t Index = 0; Index < Site.size(); Index += 2) {
    Site.crash(Index);
  }
  Site.run(2s);
  const std::uint64_t CallsBefore = Site.storeCalls();
  for (std::size_t Index = 0; Index < Site.size(); Index += 2) {
    Site.start(Index);
  }
  Site.run(2s);
  CHECK(fewestKnown(Site) >= 50);
  CHECK(Site.storeCalls() - CallsBefore <= 3 * Site.size());
  Site.run(6s);
  CHECK(Site.allAlive());
}

TEST_CASE("a member that is alone keeps the duties of the site", "[joining]") {
  // Duties wait for a table that no longer grows, but not for a peer that does
  // not exist.
  SiteFake Site;
  prepare(Site, 1);
  Site.start(0);
  Site.submit(0, 1, "first", 0, "set one");
  REQUIRE(Site.runUntil([&] { return Site.lowestVersion() == 1; }, 3s));
  const std::uint64_t WatchesBefore = Site.store().counters().Watches;
  Site.run(30s);
  CHECK(Site.store().counters().Watches > WatchesBefore);
}

TEST_CASE("a thousand nodes that start together", "[.][thousand]") {
  SiteFake Site;
  prepare(Site, 1'060);
  startTogether(Site);
  Site.run(2s);
  CHECK(fewestKnown(Site) >= 100);
  CHECK(Site.storeCalls() <= 3 * Site.size());
  Site.run(8s);
  CHECK(fewestKnown(Site) >= Site.size() * 9 / 10);
}
