/// @file
/// @brief Assignment of client accounts to slots, and of slots to granters.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/member.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace hyssopford {

/// Number of slots, each with its own granter. Every member lends a share to
/// each granter, so one granter for each account would need messages between
/// all pairs of nodes; a single one would answer the requests of all accounts.
inline constexpr std::uint32_t AllotmentSlots = 4;

/// Granters of a slot that an ingress knows: the first one in rank and the one
/// that replaces it.
inline constexpr std::size_t AllotmentRanks = 2;

/// @brief Gives the slot of a client account.
/// @param Account the name of the account
/// @return a number below AllotmentSlots
std::uint32_t allotmentSlotOf(std::string_view Account);

/// @brief Compares two nodes by rendezvous hashing.
/// @param Slot the slot
/// @return whether @p Left precedes @p Right as granter of the slot
bool precedes(std::uint32_t Slot, NodeId Left, NodeId Right);

/// @brief Gives the granters of a slot.
/// @param Members the member table
/// @param Slot the slot
/// @return at most AllotmentRanks members that are alive or suspect, the first
/// one in rank first
/// @note Complexity: linear in the number of members.
std::vector<NodeId>
allotmentGranters(const std::map<NodeId, MemberRecord> &Members,
                  std::uint32_t Slot);

} // namespace hyssopford
