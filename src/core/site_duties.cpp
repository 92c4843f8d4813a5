#include "hyssopford/core/site_duties.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

// Makes the ranking independent of other uses of rendezvous hashing.
constexpr std::uint64_t DutySalt = 0x6475'7479;
// Deputies named to a watching node, which may have no link to some of them.
constexpr std::size_t DeputyChoices = 8;
static_assert(DeputyChoices + 1 >= DutyNodesPerDomain);

} // namespace

SiteDuties dutiesOf(const std::map<NodeId, MemberRecord> &Members, NodeId Self,
                    std::uint32_t Slots) {
  using Ranked = std::vector<std::pair<std::uint64_t, const MemberRecord *>>;
  std::map<std::string, Ranked> Domains;
  for (const auto &[Node, Record] : Members) {
    if (Record.State == MemberState::Alive) {
      Domains[Record.FailureDomain].emplace_back(hashPair(DutySalt, Node.Value),
                                                 &Record);
    }
  }
  SiteDuties Duties;
  const auto Own = Members.find(Self);
  if (Own != Members.end()) {
    Duties.Contacts.push_back(Own->second.Address);
  }
  std::uint32_t Index = 0;
  for (auto &[Domain, Nodes] : Domains) {
    const std::size_t Count = std::min(DutyNodesPerDomain, Nodes.size());
    const std::size_t Sorted = std::min(DeputyChoices + 1, Nodes.size());
    std::partial_sort(Nodes.begin(),
                      Nodes.begin() + static_cast<std::ptrdiff_t>(Sorted),
                      Nodes.end());
    for (std::size_t Rank = 0; Rank < Count; ++Rank, ++Index) {
      const MemberRecord &Record = *Nodes[Rank].second;
      if (Record.Id.Node == Self) {
        Duties.WatchesConfig = Rank == 0;
        for (std::size_t Next = 1; Rank == 0 && Next < Sorted; ++Next) {
          Duties.Deputies.push_back(Nodes[Next].second->Id.Node);
        }
        Duties.DirectorySlot = Index % Slots;
      } else {
        Duties.Contacts.push_back(Record.Address);
      }
    }
  }
  return Duties;
}

} // namespace hyssopford
