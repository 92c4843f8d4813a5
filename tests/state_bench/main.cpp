/// @file
/// @brief Measures membership and configuration over in-memory links in virtual
/// time. Prints one JSON object per line.
#include "core/site_fake.hpp"
#include "hyssopford/net/message_codec.hpp"
#include "support/decisions.hpp"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <string>
#include <vector>

using namespace hyssopford;

namespace {

// Bytes of the length and the authentication code of a frame.
constexpr std::size_t FrameOverhead = 20;
// Bytes of the frames that both ends of a link exchange in the handshake.
constexpr std::uint64_t HandshakeBytes = 460;
// Heartbeats on an idle link: one frame without content every 0.8 s.
constexpr double HeartbeatsPerSecond = 1.0 / 0.8;

struct Totals {
  std::uint64_t Bytes = 0;
  std::uint64_t MaxNodeBytes = 0;
  std::uint64_t Opened = 0;
  std::uint64_t CpuNanoseconds = 0;
  std::size_t MaxLinks = 0;
  std::size_t Links = 0;
};

// Sites with more members start with filled tables and are measured for a
// shorter time.
constexpr std::size_t LargeSite = 200;

Duration measuringTime(std::size_t Count) {
  return Count > LargeSite ? 20s : 60s;
}

void prepare(SiteFake &Site, std::size_t Count, std::size_t SeedCount) {
  Site.SizeOf = [](const PeerMessage &Message) {
    return encodeMessage(Message).size() + FrameOverhead;
  };
  Site.addNodes(Count, 4, SeedCount);
  Site.startAll();
  if (Count > LargeSite) {
    Site.fillTables();
  }
}

bool hasFullTables(SiteFake &Site) {
  const std::size_t Count = Site.size();
  for (std::size_t Each = 0; Each < Count; ++Each) {
    if (Site.core(Each).membership().members().size() != Count) {
      return false;
    }
  }
  return true;
}

Totals measure(SiteFake &Site, Duration Time) {
  Totals Sum;
  std::vector<std::uint64_t> Before;
  std::uint64_t Opened = 0;
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    Before.push_back(Site.node(Each).BytesSent);
    Opened += Site.node(Each).LinksOpened;
  }
  const std::uint64_t Cpu = Site.CpuNanoseconds;
  Site.run(Time);
  for (std::size_t Each = 0; Each < Site.size(); ++Each) {
    const std::uint64_t Sent = Site.node(Each).BytesSent - Before[Each];
    Sum.Bytes += Sent;
    Sum.MaxNodeBytes = std::max(Sum.MaxNodeBytes, Sent);
    Sum.Opened += Site.node(Each).LinksOpened;
    Sum.Links += Site.linkCount(Each);
    Sum.MaxLinks = std::max(Sum.MaxLinks, Site.linkCount(Each));
  }
  Sum.Opened -= Opened;
  Sum.CpuNanoseconds = Site.CpuNanoseconds - Cpu;
  return Sum;
}

void printGossip(const char *Bench, std::size_t Count, const Totals &Sum,
                 Duration Time) {
  const double Seconds = static_cast<double>(Time / 1us) / 1e6;
  const double NodeSeconds = Seconds * static_cast<double>(Count);
  const double Messages = static_cast<double>(Sum.Bytes) / NodeSeconds;
  const double Handshakes =
      static_cast<double>(Sum.Opened * HandshakeBytes) / NodeSeconds;
  const double LinksPerNode =
      static_cast<double>(Sum.Links) / static_cast<double>(Count);
  const double Heartbeats = LinksPerNode * HeartbeatsPerSecond * FrameOverhead;
  fmt::print("{{\"bench\":\"{}\",\"members\":{},\"message_bytes_per_s\":{:.0f},"
             "\"handshake_bytes_per_s\":{:.0f},"
             "\"heartbeat_bytes_per_s\":{:.0f},\"total_bytes_per_s\":{:.0f},"
             "\"max_message_bytes_per_s\":{:.0f},\"links\":{:.1f},"
             "\"max_links\":{},\"core_cpu_share\":{:.5f}}}\n",
             Bench, Count, Messages, Handshakes, Heartbeats,
             Messages + Handshakes + Heartbeats,
             static_cast<double>(Sum.MaxNodeBytes) / Seconds, LinksPerNode,
             Sum.MaxLinks,
             static_cast<double>(Sum.CpuNanoseconds) / 1e9 / NodeSeconds);
}

void measureGossip(std::size_t Count) {
  SiteFake Site;
  prepare(Site, Count, 3);
  const TimePoint Begin = Site.now();
  const bool Complete =
      Site.runUntil([&] { return hasFullTables(Site); }, 180s);
  fmt::print("{{\"bench\":\"site_start\",\"members\":{},\"complete\":{},"
             "\"virtual_s\":{:.1f}}}\n",
             Count, Complete,
             static_cast<double>((Site.now() - Begin) / 1ms) / 1e3);
  const Duration Time = measuringTime(Count);
  Site.run(Time);
  printGossip("gossip_quiet", Count, measure(Site, Time), Time);
  // A restart every 10 s is 150 times the expected rate of 57 a day.
  Totals Sum;
  const std::size_t Rounds = Time / 10s;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::size_t Restarting = (Round * 5 + 4) % Count;
    Site.crash(Restarting);
    Site.run(1s);
    Site.start(Restarting);
    const Totals Part = measure(Site, 9s);
    Sum.Bytes += Part.Bytes;
    Sum.MaxNodeBytes += Part.MaxNodeBytes;
    Sum.Opened += Part.Opened;
    Sum.CpuNanoseconds += Part.CpuNanoseconds;
    Sum.Links = Part.Links;
    Sum.MaxLinks = std::max(Sum.MaxLinks, Part.MaxLinks);
  }
  printGossip("gossip_restarts", Count, Sum, 9s * static_cast<int>(Rounds));
}

void measureConfig(std::size_t Count, std::size_t Patches) {
  SiteFake Site;
  prepare(Site, Count, 3);
  Site.runUntil([&] { return hasFullTables(Site); }, 180s);
  Site.run(5s);
  std::vector<double> Times;
  for (std::uint64_t Version = 1; Version <= Patches; ++Version) {
    const std::size_t At = Version * 7 % Count;
    Site.submit(At, Version, std::to_string(Version), Version - 1,
                "set " + std::string(40'000, 'd'));
    const TimePoint Begin = Site.now();
    Site.runUntil([&] { return Site.lowestVersion() >= Version; }, 30s);
    Times.push_back(static_cast<double>((Site.now() - Begin) / 1us) / 1e3);
  }
  std::sort(Times.begin(), Times.end());
  fmt::print("{{\"bench\":\"config_in_force\",\"members\":{},\"patches\":{},"
             "\"document_bytes\":40000,\"p50_ms\":{:.1f},\"max_ms\":{:.1f}}}\n",
             Count, Patches, Times[Times.size() / 2], Times.back());
}

void measureStoreCalls(std::size_t Count) {
  SiteFake Site;
  prepare(Site, Count, 3);
  Site.runUntil([&] { return hasFullTables(Site); }, 180s);
  const Duration Time = measuringTime(Count) * 2;
  Site.run(Time);
  const std::uint64_t Before = Site.storeCalls();
  Site.run(Time);
  fmt::print("{{\"bench\":\"store_calls\",\"members\":{},"
             "\"calls_per_s\":{:.3f},\"peak_reads_per_s\":{},"
             "\"peak_writes_per_s\":{}}}\n",
             Count,
             static_cast<double>(Site.storeCalls() - Before) /
                 static_cast<double>(Time / 1s),
             Site.store().counters().PeakReads,
             Site.store().counters().PeakWrites);
}

bool isServing(SiteFake &Site, std::size_t Index) {
  return Site.core(Index).config().Version != 0 &&
         (Site.linkCount(Index) > 0 || Site.size() == 1);
}

/// Kills nodes of a site with the settings of the platform, starts them again
/// and measures the time until the slowest one serves.
void measureRestarts(std::size_t Count, std::size_t Restarted) {
  constexpr std::size_t Rounds = 40;
  SiteFake Site;
  Site.StoreEra = 1;
  Site.store().faults().ReadLimit = 100'000;
  Site.store().faults().WriteLimit = 100'000;
  Site.addNodes(Count, 4, 0);
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Site.node(Each).Settings.Decisions.Start = test::platformStart();
  }
  Site.writeVersion("document");
  Site.startAll();
  if (Count > LargeSite) {
    Site.run(2s);
    Site.fillTables();
  }
  Site.run(30s);
  std::vector<double> Times;
  std::uint64_t Calls = 0;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::size_t First = Round * 7;
    for (std::size_t Each = 0; Each < Restarted; ++Each) {
      Site.crash((First + Each) % Count);
    }
    Site.run(300ms);
    const std::uint64_t Before = Site.storeCalls();
    const TimePoint Begin = Site.now();
    for (std::size_t Each = 0; Each < Restarted; ++Each) {
      Site.start((First + Each) % Count);
    }
    Site.runUntil(
        [&] {
          for (std::size_t Each = 0; Each < Restarted; ++Each) {
            if (!isServing(Site, (First + Each) % Count)) {
              return false;
            }
          }
          return true;
        },
        30s);
    Times.push_back(static_cast<double>((Site.now() - Begin) / 1us) / 1e3);
    Calls += Site.storeCalls() - Before;
    Site.run(10s);
  }
  std::sort(Times.begin(), Times.end());
  fmt::print("{{\"bench\":\"restart\",\"members\":{},\"restarted\":{},"
             "\"rounds\":{},\"p50_ms\":{:.1f},\"max_ms\":{:.1f},"
             "\"store_calls\":{:.1f}}}\n",
             Count, Restarted, Rounds, Times[Times.size() / 2], Times.back(),
             static_cast<double>(Calls) / static_cast<double>(Rounds));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  // The arguments are numbers of members; the defaults are the sizes that the
  // requirements name.
  std::vector<std::size_t> Sizes = {13, 60, 1'100};
  if (ArgumentCount > 1) {
    Sizes.clear();
    for (int Index = 1; Index < ArgumentCount; ++Index) {
      Sizes.push_back(std::stoul(Arguments[Index]));
    }
  }
  for (const std::size_t Count : Sizes) {
    measureGossip(Count);
    std::fflush(stdout);
    measureConfig(Count, Count > LargeSite ? 5 : 20);
    std::fflush(stdout);
    measureStoreCalls(Count);
    std::fflush(stdout);
    for (const std::size_t Restarted :
         {std::size_t{1}, std::size_t{5}, Count}) {
      measureRestarts(Count, std::min(Restarted, Count));
      std::fflush(stdout);
    }
  }
  return 0;
}
