/// @file
/// @brief Records of all known nodes and the queue of updates to gossip.
#pragma once

#include "hyssopford/core/member.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Compares two records of one node by incarnation, then update number,
/// then state (Alive, Suspect, Leaving, Dead).
/// @return whether @p Left is newer than @p Right
bool isNewer(const MemberRecord &Left, const MemberRecord &Right);

/// @return the approximate size of a record in a frame, in bytes
std::size_t wireSize(const MemberRecord &Record);

/// @brief Records by node, with bucket hashes that show where two tables
/// differ.
class MemberTable {
public:
  using Records = std::map<NodeId, MemberRecord>;

  /// Number of hash buckets. With 1,100 members a bucket holds 9 records, and
  /// the hashes take 512 bytes.
  static constexpr std::uint32_t Buckets = 128;

  /// @param Own the record of this node
  explicit MemberTable(const MemberRecord &Own);

  const Records &records() const { return All; }
  const MemberRecord &self() const { return All.at(SelfId); }

  /// @return the record of a node, or nullptr
  const MemberRecord *find(NodeId Node) const;

  /// @param Record by value: it may be a record of this table
  void put(MemberRecord Record);

  void remove(NodeId Node);

  /// @return a number that grows with each change
  std::uint64_t revision() const { return Revision; }

  /// @return one hash for each bucket; dead members are left out, because nodes
  /// remove them at different times
  std::vector<std::uint32_t> bucketHashes() const;

  /// @brief Calls a function for each record of a bucket whose member is not
  /// dead.
  /// @param Bucket number of the bucket, below Buckets
  /// @param Each called with a const MemberRecord &
  template <typename Function>
  void forEachInBucket(std::uint32_t Bucket, Function &&Each) const {
    const NodeId First{static_cast<std::uint64_t>(Bucket) << BucketShift};
    for (auto Row = All.lower_bound(First);
         Row != All.end() && Row->first.Value >> BucketShift == Bucket; ++Row) {
      if (Row->second.State != MemberState::Dead) {
        Each(Row->second);
      }
    }
  }

  /// @return the number of members that are not dead
  std::size_t liveCount() const { return Live; }

private:
  /// The highest 7 bits of a node identifier select one of 128 buckets.
  static constexpr std::uint32_t BucketShift = 57;

  NodeId SelfId;
  std::uint64_t Revision = 1;
  std::size_t Live = 0;
  Records All;
};

/// @brief Queue of nodes whose records are to be gossiped, those sent least
/// often first.
class GossipQueue {
public:
  /// @brief Queues the record of a node, or resets its count of transmissions.
  void add(NodeId Node);

  /// @brief Takes records for one message.
  /// @param Table the table that holds the records
  /// @param MaxBytes upper limit of the sum of their sizes, in bytes
  /// @return the records, those with the fewest transmissions first
  std::vector<MemberRecord> take(const MemberTable &Table,
                                 std::int64_t MaxBytes);

  bool empty() const { return Order.empty(); }

private:
  /// Transmissions of each queued record so far.
  std::map<NodeId, std::uint32_t> Sent;
  /// The queue, ordered by transmissions.
  std::set<std::pair<std::uint32_t, NodeId>> Order;
};

} // namespace hyssopford
