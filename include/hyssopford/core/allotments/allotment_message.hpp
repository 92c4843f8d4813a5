/// @file
/// @brief Messages that share the allotments of client accounts.
#pragma once

#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <string>

namespace hyssopford {

/// @brief Asks the granting node of a client account for tokens.
struct AllotmentRequest {
  std::string Account;
  /// Number of tokens that are wanted.
  std::uint32_t Count = 0;
  /// Number of the request at its sender.
  std::uint64_t Sequence = 0;

  friend bool operator==(const AllotmentRequest &,
                         const AllotmentRequest &) = default;
};

/// @brief Answers an AllotmentRequest. The tokens were debited before the
/// message was sent.
struct AllotmentGrant {
  std::string Account;
  /// Number of tokens granted; may be 0.
  std::uint32_t Count = 0;
  /// Number of the request.
  std::uint64_t Sequence = 0;
  /// Time until a further token may be granted.
  Duration RetryAfter{0};

  friend bool operator==(const AllotmentGrant &,
                         const AllotmentGrant &) = default;
};

} // namespace hyssopford
