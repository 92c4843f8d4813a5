/// @file
/// @brief Deployments, conditions and variants that the experiment compares.
#pragma once

#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford::experiment {

/// @brief The part of a deployment that one service and its callers use.
struct Deployment {
  std::string Name;
  std::uint32_t Domains = 3;
  /// Instances of the service; each has its node.
  std::uint32_t Instances = 1;
  std::uint32_t Slots = 1;
  /// Nodes that are ingress for callers; the first ones have the instances.
  std::uint32_t Nodes = 1;
  /// Round trip between two failure domains, and within one.
  Duration RoundTrip{0};
  Duration LocalRoundTrip = 200us;
  /// Mean time that one request takes on an unloaded upstream.
  Duration ServiceTime = 8ms;
  Duration ProbeCost = 6ms;
  /// Simulated time of one run; the first WarmUp does not count.
  Duration Length{0};
  DecisionSettings Settings;
};

/// Requests that arrive before this time are not measured.
inline constexpr Duration WarmUp = 500ms;
/// Time that callers allow for an answer.
inline constexpr Duration CallerDeadline = 300ms;

/// @brief What happens during a run.
enum class Condition : std::uint8_t {
  Calm,
  /// One instance is 10 times slower for 300 ms of each second, another one
  /// each time.
  Straggler,
  /// One instance has half of its slots in the middle half of the run.
  NoisyNeighbour,
  /// One instance fails all requests within 200 µs in the middle half.
  FailFast,
  /// One instance fails every third request within 200 µs in the middle half.
  Flaky,
  /// An additional instance joins, 5 times slower at first.
  ColdStart,
  /// One instance drains.
  Drain,
  /// All VMs of one failure domain vanish; links are found dead after 2 s.
  DomainLoss,
  /// Load reports are delayed by 5, 50 or 500 ms.
  Reports5,
  Reports50,
  Reports500
};

/// @brief One way of choosing upstreams with its constants.
struct Variant {
  std::string Name;
  /// Policy; the empty name is the default one of the core.
  std::string Policy;
  /// Changes the deployment's settings; may be null.
  void (*Change)(DecisionSettings &) = nullptr;
};

/// @brief One cell of the comparison.
struct Cell {
  Deployment Site;
  Condition Case = Condition::Calm;
  /// Offered load in percent of the capacity.
  std::uint32_t LoadPercent = 50;
  Variant Chooser;
};

/// @return deployments A and B
std::vector<Deployment> deployments();

/// @return a large service, for subsets
Deployment largeDeployment();

/// @return all conditions
std::vector<Condition> conditions();

/// @return the baselines, the default policy and the oracle
std::vector<Variant> policies();

/// @return the default policy with one mechanism switched off in each
std::vector<Variant> ablations();

/// @param Value the condition to name
/// @return the name, e.g. "noisy-neighbour"
const char *toString(Condition Value);

} // namespace hyssopford::experiment
