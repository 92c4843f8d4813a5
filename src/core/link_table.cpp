#include "hyssopford/core/link_table.hpp"

#include <algorithm>
#include <tuple>

namespace hyssopford {

namespace {

// Peers next on the ring, which keep the site connected.
constexpr std::size_t RingPeers = 2;
// Peers in other failure domains and regions, which keep paths short.
constexpr std::size_t SpreadPeers = 3;
// Time after which opening a link is given up; exceeds the handshake timeout.
constexpr Duration OpenTimeout = 5s;

bool isUsable(const MemberRecord &Record) {
  return Record.State == MemberState::Alive ||
         Record.State == MemberState::Suspect;
}

} // namespace

std::set<NodeId> gossipPeers(const MemberTable &Table) {
  const MemberRecord &Self = Table.self();
  std::vector<const MemberRecord *> Others;
  // The other members in ring order, beginning after this node.
  const auto &Records = Table.records();
  auto Row = Records.upper_bound(Self.Id.Node);
  for (std::size_t Step = 1; Step < Records.size(); ++Step, ++Row) {
    if (Row == Records.end()) {
      Row = Records.begin();
    }
    if (isUsable(Row->second)) {
      Others.push_back(&Row->second);
    }
  }
  std::set<NodeId> Peers;
  const bool Mesh = Others.size() < MeshLimit;
  const std::size_t Neighbours = Mesh ? Others.size() : RingPeers;
  for (std::size_t Index = 0; Index < Neighbours; ++Index) {
    Peers.insert(Others[Index]->Id.Node);
  }
  if (Mesh) {
    return Peers;
  }
  std::set<std::string> Domains = {Self.FailureDomain};
  std::set<std::string> Regions = {Self.Region};
  for (std::size_t Count = 0; Count < SpreadPeers; ++Count) {
    const auto Rank = [&](const MemberRecord *Each) {
      return std::tuple(!Peers.contains(Each->Id.Node),
                        !Regions.contains(Each->Region),
                        !Domains.contains(Each->FailureDomain),
                        hashPair(Self.Id.Node.Value, Each->Id.Node.Value));
    };
    const MemberRecord *Best = *std::max_element(
        Others.begin(), Others.end(), [&](const auto *Left, const auto *Right) {
          return Rank(Left) < Rank(Right);
        });
    Peers.insert(Best->Id.Node);
    Domains.insert(Best->FailureDomain);
    Regions.insert(Best->Region);
  }
  return Peers;
}

bool LinkTable::open(NodeId Peer, const std::string &Address, TimePoint Now,
                     Actions &Out) {
  Row &Link = Rows[Peer];
  Link.LastUse = Now;
  if (!Link.Up && (!Link.Opened || Link.RetryAt + OpenTimeout <= Now)) {
    Link.Opened = true;
    Link.RetryAt = Now;
    Out.emplace_back(OpenLink{Peer, Address});
  }
  return Link.Up;
}

void LinkTable::markUp(NodeRun Peer, TimePoint Now) {
  Row &Link = Rows[Peer.Node];
  Link.Peer = Peer;
  Link.LastUse = Now;
  if (!Link.Up) {
    Link.Up = true;
    Usable.push_back(Peer.Node);
  }
}

bool LinkTable::markDown(NodeId Peer, TimePoint Now) {
  const auto Found = Rows.find(Peer);
  if (Found == Rows.end()) {
    return false;
  }
  Row &Link = Found->second;
  const bool WasUp = Link.Up;
  std::erase(Usable, Peer);
  Link.Up = false;
  Link.Opened = false;
  // A usable link may be reopened at once, a refused one after a delay.
  Link.RetryAt = WasUp ? Now : Now + RetryPeriod;
  return WasUp;
}

void LinkTable::touch(NodeId Peer, TimePoint Now) {
  const auto Found = Rows.find(Peer);
  if (Found != Rows.end()) {
    Found->second.LastUse = Now;
  }
}

void LinkTable::reconcile(const std::set<NodeId> &Wanted,
                          const MemberTable &Table, TimePoint Now,
                          Actions &Out) {
  for (const NodeId Peer : Wanted) {
    const MemberRecord *Record = Table.find(Peer);
    const auto Found = Rows.find(Peer);
    const bool Waits = Found != Rows.end() && Found->second.RetryAt > Now;
    if (Record != nullptr && isUsable(*Record) && !Waits) {
      open(Peer, Record->Address, Now, Out);
    }
  }
  for (auto Entry = Rows.begin(); Entry != Rows.end();) {
    Row &Link = Entry->second;
    const bool Idle = Link.LastUse + Linger <= Now;
    if (Link.Up && Link.Opened && Idle && !Wanted.contains(Entry->first)) {
      Out.emplace_back(CloseLink{Entry->first});
      Link.Opened = false;
    }
    const bool Forget = !Link.Up && Idle && Link.RetryAt + OpenTimeout <= Now;
    Entry = Forget ? Rows.erase(Entry) : std::next(Entry);
  }
}

bool LinkTable::isUp(NodeRun Peer) const {
  const auto Found = Rows.find(Peer.Node);
  return Found != Rows.end() && Found->second.Up && Found->second.Peer == Peer;
}

bool LinkTable::isUp(NodeId Peer) const {
  const auto Found = Rows.find(Peer);
  return Found != Rows.end() && Found->second.Up;
}

} // namespace hyssopford
