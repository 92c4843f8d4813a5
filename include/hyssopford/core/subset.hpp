/// @file
/// @brief Choice of the subset of a service that a node links to.
#pragma once

#include "hyssopford/core/candidate.hpp"
#include "hyssopford/core/decision_settings.hpp"

#include <string>
#include <vector>

namespace hyssopford {

/// @brief Picks a node's subset of a service by rendezvous hashing, taking the
/// failure domains in turn. Adding or removing a candidate changes few subsets.
/// @param All the candidates of one service
/// @param Self the node that links to the subset
/// @param Region the region of that node
/// @param FailureDomain the failure domain of that node
/// @param Settings settings of routing, with the subset sizes
/// @return the chosen candidates; all if the service is small or subsets are
/// disabled. A candidate on the node itself is always chosen.
/// @note Complexity: n log n in the number of candidates.
std::vector<Candidate> chooseSubset(std::vector<Candidate> All, NodeId Self,
                                    const std::string &Region,
                                    const std::string &FailureDomain,
                                    const RoutingSettings &Settings);

} // namespace hyssopford
