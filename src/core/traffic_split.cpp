#include "hyssopford/core/traffic_split.hpp"

#include <algorithm>

namespace hyssopford {

void TrafficSplit::adopt(const RoutingConfig &Config) {
  std::map<std::string, SplitState> Kept;
  for (const Route &Each : Config.Routes) {
    const auto Found = States.find(Each.Name);
    if (Found != States.end() && Found->second.Shares == Each.Split) {
      Kept.insert(States.extract(Found));
    }
  }
  States = std::move(Kept);
}

const std::string &TrafficSplit::choose(const Route &Matched,
                                        RandomSource &Random) {
  double Total = 0.0;
  for (const ServiceShare &Each : Matched.Split) {
    Total += Each.Weight;
  }
  const auto [At, IsNew] = States.try_emplace(Matched.Name);
  SplitState &Current = At->second;
  if (IsNew || Current.Shares != Matched.Split) {
    Current.Shares = Matched.Split;
    Current.Credits.assign(Current.Shares.size(), 0.0);
    for (double &Credit : Current.Credits) {
      Credit = Total * static_cast<double>(Random.below(1'000)) / 1'000.0;
    }
  }
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Current.Shares.size(); ++Index) {
    Current.Credits[Index] += Current.Shares[Index].Weight;
    if (Current.Credits[Index] > Current.Credits[Best] ||
        Current.Shares[Best].Weight == 0) {
      Best = Index;
    }
  }
  Current.Credits[Best] -= Total;
  return Current.Shares[Best].Service;
}

} // namespace hyssopford
