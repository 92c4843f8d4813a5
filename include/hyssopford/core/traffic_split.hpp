/// @file
/// @brief Choice of the service for requests of a split route.
#pragma once

#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <map>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Distributes the requests of each split route over its services by
/// smooth weighted round robin: after any number of requests, each service is
/// less than one request per service of the split away from its share.
class TrafficSplit {
public:
  /// @brief Discards the state of routes whose split has changed.
  /// @param Config the new configuration
  void adopt(const RoutingConfig &Config);

  /// @brief Chooses the service of the next request.
  /// @param Matched a route with a split
  /// @param Random draws the initial credits, so that the nodes of a site do
  /// not start with the same service
  /// @return the service's name
  const std::string &choose(const Route &Matched, RandomSource &Random);

private:
  struct SplitState {
    std::vector<ServiceShare> Shares;
    /// Credit of each service, in units of weight.
    std::vector<double> Credits;
  };

  std::map<std::string, SplitState> States;
};

} // namespace hyssopford
