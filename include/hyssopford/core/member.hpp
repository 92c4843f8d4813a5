/// @file
/// @brief What nodes tell each other about a node and the upstream on its VM.
#pragma once

#include "hyssopford/core/ids.hpp"

#include <cstdint>
#include <string>

namespace hyssopford {

/// @brief Liveness of a node as gossip sees it, in order of precedence within
/// one incarnation.
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// @brief State of the upstream on a node's VM.
enum class UpstreamState : std::uint8_t {
  /// No upstream has announced itself or it has left.
  None,
  /// Announced a short time ago; its limit ramps up.
  Cold,
  Serving,
  /// Finishes what runs, takes no new work.
  Draining
};

/// @brief Gossip record of one node. Within one incarnation a higher update
/// number is newer.
struct MemberRecord {
  NodeRun Id;
  std::uint32_t UpdateNumber = 0;
  MemberState State = MemberState::Alive;
  /// Peer address, "ip:port".
  std::string Address;
  std::string FailureDomain;
  std::string Region;
  /// Service of the upstream; empty if there is none.
  std::string Service;
  UpstreamState Upstream = UpstreamState::None;
  std::uint32_t Slots = 0;
  /// Operators' port, at the IP number of the peer address; 0 if it is
  /// elsewhere.
  std::uint16_t OperatorsPort = 0;

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

} // namespace hyssopford
