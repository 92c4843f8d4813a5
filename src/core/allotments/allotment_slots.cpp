#include "hyssopford/core/allotments/allotment_slots.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

// Makes the ranking independent of other uses of rendezvous hashing.
constexpr std::uint64_t SlotSalt = 0x616c'6c6f'7400;

std::uint64_t rankOf(std::uint32_t Slot, NodeId Node) {
  return hashPair(SlotSalt + Slot, Node.Value);
}

} // namespace

std::uint32_t allotmentSlotOf(std::string_view Account) {
  return static_cast<std::uint32_t>(hashBytes(Account, SlotSalt) %
                                    AllotmentSlots);
}

bool precedes(std::uint32_t Slot, NodeId Left, NodeId Right) {
  return std::pair(rankOf(Slot, Left), Left) <
         std::pair(rankOf(Slot, Right), Right);
}

std::vector<NodeId>
allotmentGranters(const std::map<NodeId, MemberRecord> &Members,
                  std::uint32_t Slot) {
  std::vector<std::pair<std::uint64_t, NodeId>> Ranked;
  for (const auto &[Node, Record] : Members) {
    if (Record.State == MemberState::Alive ||
        Record.State == MemberState::Suspect) {
      Ranked.emplace_back(rankOf(Slot, Node), Node);
    }
  }
  const std::size_t Count = std::min(AllotmentRanks, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end());
  std::vector<NodeId> Granters;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Granters.push_back(Ranked[Index].second);
  }
  return Granters;
}

} // namespace hyssopford
