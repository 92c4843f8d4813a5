/// @file
/// @brief An upstream as the membership describes it to the ingress.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/member.hpp"

#include <cstdint>
#include <string>

namespace hyssopford {

/// @brief An upstream that may get requests of one service.
struct Candidate {
  NodeRun Owner;
  std::string Service;
  std::string FailureDomain;
  std::string Region;
  std::uint32_t Slots = 1;
  UpstreamState State = UpstreamState::Serving;
  /// Starts a second that it gets while State is Cold; 0 for no limit.
  double ColdRate = 0.0;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

} // namespace hyssopford
