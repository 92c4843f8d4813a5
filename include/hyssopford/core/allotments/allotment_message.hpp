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
  /// True if the sender holds most of the shares of the members, so that no
  /// other node can grant more.
  bool HasShares = false;

  friend bool operator==(const AllotmentGrant &,
                         const AllotmentGrant &) = default;
};

/// @brief Asks a member to lend its share of all limits of a slot to the
/// sender, or returns the share.
struct ShareRequest {
  std::uint32_t Slot = 0;
  /// Number of the request at its sender.
  std::uint64_t Sequence = 0;
  /// Members of which the sender has evidence; 0 for none. A restarted receiver
  /// may know fewer.
  std::uint32_t Members = 0;
  /// True if the sender no longer grants from the share.
  bool Release = false;

  friend bool operator==(const ShareRequest &, const ShareRequest &) = default;
};

/// @brief Answers a ShareRequest.
struct ShareReply {
  std::uint32_t Slot = 0;
  /// Number of the request.
  std::uint64_t Sequence = 0;
  /// Members that the sender counts: the share is one of so many. 0 if the
  /// share is not lent. The sender has evidence of them.
  std::uint32_t Members = 0;
  /// Time until the share may be lent; 0 if it is lent.
  Duration RetryAfter{0};

  friend bool operator==(const ShareReply &, const ShareReply &) = default;
};

} // namespace hyssopford
