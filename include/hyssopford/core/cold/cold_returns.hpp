/// @file
/// @brief Spreads the returns of callers that cold upstreams refused.
#pragma once

#include "hyssopford/core/selection_policy.hpp"
#include "hyssopford/core/time.hpp"

#include <cstddef>
#include <span>

namespace hyssopford {

/// @brief Gives each refused caller a later time of return than the one before,
/// as far apart as the limits of the cold upstreams allow. Without this all
/// callers would return together and be refused again.
class ColdReturns {
public:
  /// @brief Reserves the next time of return.
  /// @param Candidates upstreams that this ingress uses
  /// @param Known number of upstreams of the service
  /// @param Members number of ingress nodes that share them
  /// @param Now the current time
  /// @return the time until the return, at most until the upstreams are no
  /// longer cold; 0 if any of them is not cold
  Duration reserve(std::span<const CandidateView> Candidates, std::size_t Known,
                   std::size_t Members, TimePoint Now);

private:
  TimePoint Latest;
};

} // namespace hyssopford
