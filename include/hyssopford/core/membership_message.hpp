/// @file
/// @brief Messages of the membership protocol.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/member.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Spreads member records.
struct Gossip {
  std::vector<MemberRecord> Records;

  friend bool operator==(const Gossip &, const Gossip &) = default;
};

/// @brief Asks a node to confirm that it is alive.
struct Ping {
  /// Number of the ping at its sender, repeated in the Ack.
  std::uint64_t Sequence = 0;
  /// Run that is pinged; another run of the node does not acknowledge.
  NodeRun Target;
  /// Configuration version in force at the sender.
  std::uint64_t ConfigVersion = 0;
  std::vector<MemberRecord> Records;

  friend bool operator==(const Ping &, const Ping &) = default;
};

/// @brief Asks a node to ping another one, because the link between the sender
/// and the target may have failed.
struct PingRequest {
  /// Number of the ping at the sender of this request.
  std::uint64_t Sequence = 0;
  NodeRun Target;
  /// Peer address of the target.
  std::string Address;

  friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

/// @brief Answers a Ping or a PingRequest: the target is alive.
struct Ack {
  /// Number of the answered ping.
  std::uint64_t Sequence = 0;
  NodeRun Target;
  /// Configuration version in force at the sender.
  std::uint64_t ConfigVersion = 0;
  std::vector<MemberRecord> Records;

  friend bool operator==(const Ack &, const Ack &) = default;
};

/// @brief Asks for the records in which the tables of two nodes differ.
struct SyncRequest {
  /// One hash for each bucket of the sender's table, see
  /// MemberTable::bucketHashes.
  std::vector<std::uint32_t> BucketHashes;
  /// First bucket to compare.
  std::uint32_t FirstBucket = 0;

  friend bool operator==(const SyncRequest &, const SyncRequest &) = default;
};

/// @brief A part of the records in the buckets that differ.
struct SyncReply {
  std::vector<MemberRecord> Records;
  /// First bucket of the next request; 0 if no bucket is left.
  std::uint32_t NextBucket = 0;
  /// True if the sender's byte budget is used up; the receiver should ask
  /// another peer.
  bool Busy = false;

  friend bool operator==(const SyncReply &, const SyncReply &) = default;
};

} // namespace hyssopford
