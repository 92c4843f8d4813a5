#include "hyssopford/core/subset.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hyssopford {

namespace {

/// Moves up to Size candidates to Chosen, taking the failure domains in turn
/// and the highest hash of each first.
void takeInTurn(std::vector<Candidate> From, NodeId Self, std::size_t Size,
                std::vector<Candidate> &Chosen) {
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::size_t>>>
      ByDomain;
  for (std::size_t Index = 0; Index < From.size(); ++Index) {
    const NodeId Node = From[Index].Owner.Node;
    const std::uint64_t Weight =
        Node == Self ? UINT64_MAX : hashPair(Self.Value, Node.Value);
    ByDomain[From[Index].FailureDomain].emplace_back(Weight, Index);
  }
  // Starts with the domain of the highest hash, so that the remainder of the
  // division by domains falls on different domains for different nodes.
  std::vector<std::vector<std::pair<std::uint64_t, std::size_t>>> Lists;
  for (auto &[Domain, List] : ByDomain) {
    std::sort(List.begin(), List.end(), std::greater<>());
    Lists.push_back(std::move(List));
  }
  std::sort(Lists.begin(), Lists.end(),
            [](const auto &Left, const auto &Right) {
              return Left.front() > Right.front();
            });
  std::size_t Taken = 0;
  for (std::size_t Rank = 0; Taken < std::min(Size, From.size()); ++Rank) {
    for (const auto &List : Lists) {
      if (Rank < List.size() && Taken < Size) {
        Chosen.push_back(std::move(From[List[Rank].second]));
        ++Taken;
      }
    }
  }
}

} // namespace

std::vector<Candidate> chooseSubset(std::vector<Candidate> All, NodeId Self,
                                    const std::string &Region,
                                    const std::string &FailureDomain,
                                    const RoutingSettings &Settings) {
  if (Settings.SubsetSize == 0 || All.size() <= Settings.SubsetSize) {
    return All;
  }
  std::vector<Candidate> Local;
  std::vector<Candidate> Near;
  std::vector<Candidate> Remote;
  for (Candidate &Each : All) {
    const bool IsLocal =
        Settings.LocalSubsetSize > 0 && Each.FailureDomain == FailureDomain;
    (IsLocal                 ? Local
     : Each.Region == Region ? Near
                             : Remote)
        .push_back(std::move(Each));
  }
  std::vector<Candidate> Chosen;
  // Local candidates fill the subset if there are few others.
  const std::size_t Others = std::min(Near.size(), Settings.SubsetSize);
  const std::size_t LocalSize =
      std::max(std::min(Settings.LocalSubsetSize, Settings.SubsetSize),
               Settings.SubsetSize - Others);
  takeInTurn(std::move(Local), Self, LocalSize, Chosen);
  takeInTurn(std::move(Near), Self, Settings.SubsetSize - Chosen.size(),
             Chosen);
  // If the own region has fewer upstreams than the subset size, others fill it.
  const std::size_t RemoteSize =
      std::max(Settings.RemoteSubsetSize, Settings.SubsetSize - Chosen.size());
  takeInTurn(std::move(Remote), Self, RemoteSize, Chosen);
  return Chosen;
}

} // namespace hyssopford
