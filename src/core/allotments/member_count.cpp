#include "hyssopford/core/allotments/member_count.hpp"

namespace hyssopford {

void MemberCount::observe(const std::map<NodeId, MemberRecord> &Members,
                          TimePoint Now) {
  for (auto Entry = Rows.begin(); Entry != Rows.end();) {
    if (Entry->second.IsAlive) {
      Entry->second.LastAlive = Now;
    }
    Entry =
        Members.contains(Entry->first) ? std::next(Entry) : Rows.erase(Entry);
  }
  for (const auto &[Node, Record] : Members) {
    if (Record.State == MemberState::Leaving) {
      Rows.erase(Node);
    } else if (Record.State != MemberState::Dead) {
      Rows[Node] = Row{true, Now};
    } else if (const auto Found = Rows.find(Node); Found != Rows.end()) {
      Found->second.IsAlive = false;
    }
  }
}

std::uint32_t MemberCount::count(TimePoint Now) const {
  std::uint32_t Alive = 0;
  std::uint32_t RecentlyDead = 0;
  for (const auto &[Node, Each] : Rows) {
    if (Each.IsAlive) {
      ++Alive;
    } else if (Each.LastAlive + DeadTime > Now) {
      ++RecentlyDead;
    }
  }
  const auto All = static_cast<std::uint32_t>(Rows.size());
  const bool HasMajority = 2 * Alive > All;
  return HasMajority ? Alive + RecentlyDead : All;
}

} // namespace hyssopford
