/// @file
/// @brief Membership record of a node and of the upstream on its VM.
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
  /// No upstream is announced.
  None,
  /// Announced recently; its concurrency limit still grows.
  Cold,
  Serving,
  /// Finishes running requests and accepts no new ones.
  Draining
};

/// @brief Gossip record of one node.
struct MemberRecord {
  NodeRun Id;
  /// Version of the record within one incarnation; only the node itself
  /// increments it.
  std::uint32_t UpdateNumber = 0;
  MemberState State = MemberState::Alive;
  /// Peer address, "ip:port".
  std::string Address;
  std::string FailureDomain;
  std::string Region;
  /// Service of the upstream; empty if there is none.
  std::string Service;
  UpstreamState Upstream = UpstreamState::None;
  /// Requests that the upstream can serve at the same time.
  std::uint32_t Slots = 0;
  /// Port of the operators' interface at the IP address of the peer address; 0
  /// if the interface listens on another IP address.
  std::uint16_t OperatorsPort = 0;

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

} // namespace hyssopford
