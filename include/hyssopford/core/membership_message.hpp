/// @file
/// @brief Messages about the members of the site.
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

/// @brief Asks a node for a sign of life.
struct Ping {
  /// Number of the question at its sender.
  std::uint64_t Sequence = 0;
  /// Run that is meant; another run does not acknowledge.
  NodeRun Target;
  /// Configuration version in force at the sender.
  std::uint64_t ConfigVersion = 0;
  std::vector<MemberRecord> Records;

  friend bool operator==(const Ping &, const Ping &) = default;
};

/// @brief Asks a node to ping another one, as the link between the sender and
/// the target may be at fault.
struct PingRequest {
  std::uint64_t Sequence = 0;
  NodeRun Target;
  /// Peer address of the target.
  std::string Address;

  friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

/// @brief Answers a Ping or a PingRequest: the target is alive.
struct Ack {
  std::uint64_t Sequence = 0;
  NodeRun Target;
  /// Configuration version in force at the sender.
  std::uint64_t ConfigVersion = 0;
  std::vector<MemberRecord> Records;

  friend bool operator==(const Ack &, const Ack &) = default;
};

/// @brief Asks for the records in which the tables of two nodes differ.
struct SyncRequest {
  /// One hash for each bucket of the sender's table.
  std::vector<std::uint32_t> BucketHashes;
  /// Bucket to begin with.
  std::uint32_t FirstBucket = 0;

  friend bool operator==(const SyncRequest &, const SyncRequest &) = default;
};

/// @brief One piece of the records of buckets that differ.
struct SyncReply {
  std::vector<MemberRecord> Records;
  /// Bucket to begin with in the next request; 0 if this was the last piece.
  std::uint32_t NextBucket = 0;
  /// True if the sender's byte budget is used up; another peer should be asked.
  bool Busy = false;

  friend bool operator==(const SyncReply &, const SyncReply &) = default;
};

} // namespace hyssopford
