/// @file
/// @brief What one cell of the experiment measured.
#pragma once

#include "scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford::experiment {

/// @brief Counts and latencies of one cell, over all its seeds.
struct Measurement {
  /// Times from the arrival at the ingress to a good answer, in µs.
  std::vector<std::uint32_t> Latencies;
  std::uint64_t Offered = 0;
  /// Answered below status 500 within the deadline.
  std::uint64_t Good = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Failed = 0;
  /// Lost with their ingress node.
  std::uint64_t Dropped = 0;
  /// Requests, retries and hedges of the whole run with its warm-up.
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  /// Probe time and time of all slots, in µs.
  double ProbeTime = 0.0;
  double SlotTime = 0.0;
  /// Measured time of all seeds in seconds.
  double Seconds = 0.0;
  /// Links that the ingress nodes asked for, all nodes together.
  std::uint64_t Links = 0;
  std::uint64_t Nodes = 0;

  /// @brief Adds the run of another seed.
  void add(const Measurement &Other);

  /// @brief Orders the latencies, which percentile needs.
  void finish();

  /// @param PerMille rank, e.g. 999 for p99.9
  /// @return the latency in ms
  double percentile(std::uint32_t PerMille) const;

  /// @return good answers per offered request
  double goodput() const { return share(Good, Offered); }
  /// @return good answers per request of the nominal capacity
  double goodputOfCapacity(const Deployment &Site) const;
  /// @return probe time per time of all slots
  double probeShare() const { return SlotTime > 0 ? ProbeTime / SlotTime : 0; }
  /// @return retries and hedges per original request
  double extraShare() const { return share(Retries + Hedges, Requests); }

  /// @return Part / Whole, or 0
  static double share(std::uint64_t Part, std::uint64_t Whole) {
    return Whole == 0 ? 0.0
                      : static_cast<double>(Part) / static_cast<double>(Whole);
  }
};

/// @brief Requests per second that the instances of a site can answer.
double capacityOf(const Deployment &Site);

/// @brief Runs one cell.
/// @param Task the cell
/// @param Seed start value of arrivals, work and choices
Measurement runCell(const Cell &Task, std::uint64_t Seed);

/// @brief Runs cells in parallel.
/// @param Tasks the cells
/// @param Seeds runs of each cell, with seeds 1, 2, ...
/// @param Jobs threads
/// @return the measurements in the order of the cells
std::vector<Measurement> runCells(const std::vector<Cell> &Tasks,
                                  std::uint32_t Seeds, std::uint32_t Jobs);

} // namespace hyssopford::experiment
