/// @file
/// @brief Choice of the service of a request whose route is split.
#pragma once

#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <map>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Distributes the requests of each split route over its services by
/// smooth weighted round robin: after any number of requests, each service is
/// less than one request per part away from its share.
class TrafficSplit {
public:
  /// @brief Forgets the routes that a configuration no longer splits alike.
  /// @param Config the configuration now in force
  void adopt(const RoutingConfig &Config);

  /// @brief Chooses the service of the next request.
  /// @param Matched a route with a split
  /// @param Random chooses where a new round starts, so that the nodes of a
  /// site do not start with the same service
  /// @return the service's name
  const std::string &choose(const Route &Matched, RandomSource &Random);

private:
  struct Round {
    std::vector<ServiceShare> Shares;
    /// Credit of each part, in units of weight.
    std::vector<double> Credits;
  };

  std::map<std::string, Round> Rounds;
};

} // namespace hyssopford
