#include "hyssopford/core/member_table.hpp"

#include <tuple>
#include <utility>

namespace hyssopford {

namespace {

// Bytes of a record in a frame without its strings, measured with the codec.
constexpr std::size_t RecordOverhead = 56;
// Bytes of the references to the failure domain, region and service. These
// strings repeat and are stored once in a frame.
constexpr std::size_t SharedStringBytes = 12;

// Returns 4 * ceil(log10(Members + 1)): after that many transmissions an update
// has reached every member with high probability.
std::uint32_t transmissionLimit(std::size_t Members) {
  std::uint32_t Magnitude = 1;
  for (std::size_t Reach = 10; Reach < Members + 1; Reach *= 10) {
    ++Magnitude;
  }
  return 4 * Magnitude;
}

std::uint32_t recordHash(const MemberRecord &Record) {
  const std::uint64_t Run = hashPair(Record.Id.Node.Value, Record.Id.Run.Value);
  const std::uint64_t State = static_cast<std::uint64_t>(Record.UpdateNumber)
                                  << 8U |
                              static_cast<std::uint64_t>(Record.State);
  return static_cast<std::uint32_t>(hashPair(Run, State));
}

} // namespace

bool isNewer(const MemberRecord &Left, const MemberRecord &Right) {
  return std::tuple(Left.Id.Run, Left.UpdateNumber, Left.State) >
         std::tuple(Right.Id.Run, Right.UpdateNumber, Right.State);
}

std::size_t wireSize(const MemberRecord &Record) {
  return RecordOverhead + Record.Address.size() + SharedStringBytes;
}

MemberTable::MemberTable(const MemberRecord &Own) : SelfId(Own.Id.Node) {
  put(Own);
}

const MemberRecord *MemberTable::find(NodeId Node) const {
  const auto Row = All.find(Node);
  return Row == All.end() ? nullptr : &Row->second;
}

void MemberTable::put(MemberRecord Record) {
  remove(Record.Id.Node);
  Live += Record.State != MemberState::Dead ? 1 : 0;
  const NodeId Node = Record.Id.Node;
  All.emplace(Node, std::move(Record));
}

void MemberTable::remove(NodeId Node) {
  ++Revision;
  const auto Row = All.find(Node);
  if (Row != All.end()) {
    Live -= Row->second.State != MemberState::Dead ? 1 : 0;
    All.erase(Row);
  }
}

std::vector<std::uint32_t> MemberTable::bucketHashes() const {
  std::vector<std::uint32_t> Hashes(Buckets, 0);
  for (const auto &[Node, Record] : All) {
    if (Record.State != MemberState::Dead) {
      Hashes[Node.Value >> BucketShift] ^= recordHash(Record);
    }
  }
  return Hashes;
}

void GossipQueue::add(NodeId Node) {
  const auto Row = Sent.find(Node);
  if (Row != Sent.end()) {
    Order.erase({Row->second, Node});
  }
  Sent[Node] = 0;
  Order.emplace(0, Node);
}

std::vector<MemberRecord> GossipQueue::take(const MemberTable &Table,
                                            std::int64_t MaxBytes) {
  const std::uint32_t Limit = transmissionLimit(Table.liveCount());
  std::vector<MemberRecord> Chosen;
  std::vector<std::pair<std::uint32_t, NodeId>> Requeued;
  while (!Order.empty()) {
    const auto [Count, Node] = *Order.begin();
    const MemberRecord *Record = Table.find(Node);
    if (Record != nullptr) {
      const auto Size = static_cast<std::int64_t>(wireSize(*Record));
      if (Size > MaxBytes) {
        break;
      }
      MaxBytes -= Size;
      Chosen.push_back(*Record);
    }
    Order.erase(Order.begin());
    Sent.erase(Node);
    if (Record != nullptr && Count + 1 < Limit) {
      Requeued.emplace_back(Count + 1, Node);
    }
  }
  for (const auto &[Count, Node] : Requeued) {
    Sent[Node] = Count;
    Order.emplace(Count, Node);
  }
  return Chosen;
}

} // namespace hyssopford
