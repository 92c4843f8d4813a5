/// @file
/// @brief Counters of allotments.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief Counters since the start of the node.
struct AllotmentCounters {
  /// Tokens that this node asked for as ingress.
  std::uint64_t Asked = 0;
  /// Tokens that this node granted.
  std::uint64_t Granted = 0;
  /// Requests that were refused here.
  std::uint64_t Refused = 0;
  /// Tokens that lapsed here unused.
  std::uint64_t Expired = 0;
  /// Messages about allotments and shares sent to other nodes.
  std::uint64_t Messages = 0;

  friend bool operator==(const AllotmentCounters &,
                         const AllotmentCounters &) = default;
};

} // namespace hyssopford
