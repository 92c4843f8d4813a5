/// @file
/// @brief Budget of retries and hedges.
#pragma once

#include "hyssopford/core/decision_settings.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace hyssopford {

/// @brief Token bucket that original requests fill and that retries and hedges
/// draw from. It bounds their share of the traffic however many requests fail.
class RetryBudget {
public:
  /// @param Settings share, burst and initial tokens of retries
  explicit RetryBudget(const RoutingSettings &Settings)
      : SiteBurst(Settings.SiteBurst), PerRequest(Settings.ExtraPerThousand),
        Capacity(Settings.ExtraBurst * PerToken),
        Level(Settings.ExtraInitial * PerToken) {}

  /// @brief Adds the share of a token that one original request pays.
  void creditRequest() { Level = std::min(Capacity, Level + PerRequest); }

  /// @brief Limits the capacity to this node's share of the burst that the site
  /// is allowed.
  /// @param Nodes the number of nodes of the site; at least 1
  void limitBurst(std::size_t Nodes) {
    if (SiteBurst > 0.0) {
      const double Own = SiteBurst / static_cast<double>(Nodes);
      Capacity = std::max<std::uint64_t>(
          PerToken, static_cast<std::uint64_t>(Own * PerToken));
      Level = std::min(Level, Capacity);
    }
  }

  /// @brief Takes one token for a retry.
  /// @return false if no token is left
  bool takeRetry() { return take(PerToken); }

  /// @return whether a hedge may be sent. Half of the capacity beyond one token
  /// is reserved for retries, as requests fail without them. A node of a large
  /// site holds less than two tokens.
  bool allowsHedge() const {
    return Level >= PerToken + (Capacity - PerToken) / 2;
  }

  /// @brief Takes one token for a hedge.
  /// @return false if no hedge may be sent
  bool takeHedge() { return allowsHedge() && take(PerToken); }

private:
  /// Level of one token: the budget is kept in thousandths of a token.
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
