/// @file
/// @brief Budget of retries and hedges in proportion to traffic.
#pragma once

#include "hyssopford/core/decision_settings.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace hyssopford {

/// @brief Token bucket that original requests fill and that retries and hedges
/// draw from, so their share stays bounded however many requests fail.
class RetryBudget {
public:
  /// @param Settings share and burst
  explicit RetryBudget(const RoutingSettings &Settings)
      : SiteBurst(Settings.SiteBurst), PerRequest(Settings.ExtraPerThousand),
        Capacity(Settings.ExtraBurst * PerToken),
        Level(Settings.ExtraInitial * PerToken) {}

  /// @brief Adds the share of one original request.
  void fund() { Level = std::min(Capacity, Level + PerRequest); }

  /// @brief Limits the burst to this node's share of that of the site.
  /// @param Nodes the number of nodes of the site, at least 1
  void share(std::size_t Nodes) {
    if (SiteBurst > 0.0) {
      const double Own = SiteBurst / static_cast<double>(Nodes);
      Capacity = std::max<std::uint64_t>(
          PerToken, static_cast<std::uint64_t>(Own * PerToken));
      Level = std::min(Level, Capacity);
    }
  }

  /// @brief Takes one token for a retry.
  /// @return false if the budget is spent
  bool takeRetry() { return take(PerToken); }

  /// @return whether a hedge may be sent. Half of the capacity stays reserved
  /// for retries, which settle requests that otherwise fail.
  bool allowsHedge() const { return Level >= PerToken + Capacity / 2; }

  /// @brief Takes one token for a hedge.
  /// @return false if too little is left
  bool takeHedge() { return allowsHedge() && take(PerToken); }

private:
  /// One retry in thousandths, the unit of the level.
  static constexpr std::uint64_t PerToken = 1000;

  bool take(std::uint64_t Needed) {
    if (Level < Needed) {
      return false;
    }
    Level -= PerToken;
    return true;
  }

  double SiteBurst;
  std::uint64_t PerRequest;
  std::uint64_t Capacity;
  std::uint64_t Level;
};

} // namespace hyssopford
