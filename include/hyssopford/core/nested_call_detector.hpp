/// @file
/// @brief Tells calls of the upstream from requests of callers on its VM.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hyssopford {

/// @brief Classifies requests whose sender has the address of the upstream. The
/// upstream makes calls only while it runs a request, so a route whose requests
/// also arrive while the upstream is idle is used by callers. Until that has
/// been seen, requests of a route count as nested calls.
class NestedCallDetector {
public:
  /// Arrivals at an idle upstream after which a route may be a caller's; one
  /// can be a call of a request that was cancelled.
  static constexpr std::uint32_t IdleArrivalsMin = 2;
  /// A route is a caller's if at least one in this many of its requests arrives
  /// at an idle upstream.
  static constexpr std::uint32_t IdleShare = 64;
  /// Most routes remembered.
  static constexpr std::size_t RoutesMax = 4'096;

  /// @brief Records a request and classifies it.
  /// @param Route name of its route
  /// @param UpstreamBusy whether the upstream runs a request now
  /// @return whether the request counts as a nested call
  bool observe(const std::string &Route, bool UpstreamBusy);

private:
  struct Arrivals {
    std::uint32_t All = 0;
    std::uint32_t Idle = 0;
  };

  std::unordered_map<std::string, Arrivals> Routes;
};

} // namespace hyssopford
