/// @file
/// @brief The records of all known nodes and the queue of news about them.
#pragma once

#include "hyssopford/core/member.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Says which of two records of one node is newer: by run, then update
/// number, then state (Alive, Suspect, Leaving, Dead).
/// @return whether @p Left is newer than @p Right
bool isNewer(const MemberRecord &Left, const MemberRecord &Right);

/// @return the approximate size of a record in a frame, in bytes
std::size_t wireSize(const MemberRecord &Record);

/// @brief Records by node, with hashes that show where two tables differ.
class MemberTable {
public:
  using Records = std::map<NodeId, MemberRecord>;

  /// Buckets of the hashes. At 1,100 members a bucket holds 9 records, and the
  /// hashes take 512 bytes.
  static constexpr std::uint32_t Buckets = 128;

  /// @param Own the record of this node
  explicit MemberTable(const MemberRecord &Own);

  const Records &records() const { return All; }
  const MemberRecord &self() const { return All.at(SelfId); }

  /// @return the record of a node, or nullptr
  const MemberRecord *find(NodeId Node) const;

  /// @brief Inserts or replaces a record.
  void put(const MemberRecord &Record);

  /// @brief Removes a record.
  void remove(NodeId Node);

  /// @return a number that grows with each change
  std::uint64_t revision() const { return Revision; }

  /// @return one hash for each bucket; dead members are left out, as nodes
  /// forget them at different times
  std::vector<std::uint32_t> bucketHashes() const;

  /// @brief Calls a function for each record of a bucket that is not dead.
  template <typename Function>
  void forBucket(std::uint32_t Bucket, Function &&Each) const {
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
  static constexpr std::uint32_t BucketShift = 57;

  NodeId SelfId;
  std::uint64_t Revision = 1;
  std::size_t Live = 0;
  Records All;
};

/// @brief Chooses which records to piggyback: those sent least often first.
class GossipQueue {
public:
  /// @brief Adds news about a node, or starts its count anew.
  void add(NodeId Node);

  /// @brief Takes records for one message.
  /// @param Table the records
  /// @param MaxBytes most bytes to take
  /// @return the records, fewest transmissions first
  std::vector<MemberRecord> take(const MemberTable &Table,
                                 std::int64_t MaxBytes);

  bool empty() const { return Order.empty(); }

private:
  std::map<NodeId, std::uint32_t> Sent;
  std::set<std::pair<std::uint32_t, NodeId>> Order;
};

} // namespace hyssopford
