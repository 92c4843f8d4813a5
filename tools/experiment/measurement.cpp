#include "measurement.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace hyssopford::experiment {

void Measurement::add(const Measurement &Other) {
  Latencies.insert(Latencies.end(), Other.Latencies.begin(),
                   Other.Latencies.end());
  Offered += Other.Offered;
  Good += Other.Good;
  NotRun += Other.NotRun;
  Unknown += Other.Unknown;
  Failed += Other.Failed;
  Dropped += Other.Dropped;
  Requests += Other.Requests;
  Retries += Other.Retries;
  Hedges += Other.Hedges;
  ProbeTime += Other.ProbeTime;
  SlotTime += Other.SlotTime;
  Seconds += Other.Seconds;
  Links += Other.Links;
  Nodes += Other.Nodes;
}

void Measurement::finish() { std::sort(Latencies.begin(), Latencies.end()); }

double Measurement::percentile(std::uint32_t PerMille) const {
  if (Latencies.empty()) {
    return 0.0;
  }
  const std::size_t Rank =
      std::min(Latencies.size() - 1, Latencies.size() * PerMille / 1000);
  return static_cast<double>(Latencies[Rank]) / 1000.0;
}

double Measurement::goodputOfCapacity(const Deployment &Site) const {
  return Seconds > 0.0
             ? static_cast<double>(Good) / (Seconds * capacityOf(Site))
             : 0.0;
}

double capacityOf(const Deployment &Site) {
  return 1e6 * Site.Instances * Site.Slots /
         static_cast<double>(Site.ServiceTime.count());
}

std::vector<Measurement> runCells(const std::vector<Cell> &Tasks,
                                  std::uint32_t Seeds, std::uint32_t Jobs) {
  std::vector<Measurement> Results(Tasks.size());
  std::atomic<std::size_t> Next = 0;
  const auto Work = [&] {
    for (std::size_t Index = Next++; Index < Tasks.size(); Index = Next++) {
      for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
        Results[Index].add(runCell(Tasks[Index], Seed));
      }
      Results[Index].finish();
    }
  };
  std::vector<std::thread> Threads;
  for (std::uint32_t Count = 0; Count < std::max(Jobs, 1U); ++Count) {
    Threads.emplace_back(Work);
  }
  for (std::thread &Each : Threads) {
    Each.join();
  }
  return Results;
}

} // namespace hyssopford::experiment
