/// @file
/// @brief Holder rosters: the nodes that keep the idempotency records of a
/// service.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief One run of a node that keeps idempotency records.
struct RosterMember {
  NodeRun Id;
  /// Peer address, "ip:port".
  std::string Address;
  std::string FailureDomain;

  friend bool operator==(const RosterMember &, const RosterMember &) = default;
};

/// @brief The members of one epoch, which never change.
struct RosterEpoch {
  std::uint64_t Epoch = 0;
  std::vector<RosterMember> Members;

  friend bool operator==(const RosterEpoch &, const RosterEpoch &) = default;
};

/// @brief The roster of one service, as stored.
struct Roster {
  /// Store revision of this value; not part of its text form.
  std::uint64_t Revision = 0;
  RosterEpoch Current;
  /// Earlier epochs whose records the current members may still lack, oldest
  /// first.
  std::vector<RosterEpoch> Previous;

  friend bool operator==(const Roster &, const Roster &) = default;
};

/// Largest number of holders of one key.
inline constexpr std::size_t HoldersPerKey = 3;

/// @brief Chooses the holders of a key by rendezvous hashing: the
/// highest-ranked members in different failure domains, then, if there are
/// fewer domains than holders, the highest-ranked of the others.
/// @param Epoch the members to choose from
/// @param Key the idempotency key
/// @return at most HoldersPerKey members; the same on every node
/// @note Complexity: n log n for n members.
std::vector<RosterMember> holdersOf(const RosterEpoch &Epoch,
                                    std::string_view Key);

/// @param Epoch the members to search
/// @param Id the run to look for
/// @return whether this run is a member
bool isMember(const RosterEpoch &Epoch, NodeRun Id);

/// @brief Computes how many holders a single key can lack.
/// @param Epoch the members
/// @param IsMissing tells whether a member counts as missing
/// @return an upper bound, over all keys, of the number of missing holders
std::size_t
maxMissingHolders(const RosterEpoch &Epoch,
                  const std::function<bool(const RosterMember &)> &IsMissing);

/// @return the number of holders of each key in an epoch
std::size_t holderCount(const RosterEpoch &Epoch);

/// @return the smallest majority of a number of holders
constexpr std::size_t majorityOf(std::size_t Holders) {
  return Holders / 2 + 1;
}

/// @brief Renders a roster as text for the store.
/// @param Value the roster
/// @return lines of the form "epoch NUMBER" and "member ADDRESS RUN DOMAIN"
std::string encodeRoster(const Roster &Value);

/// @brief Parses the text form of a roster.
/// @param Text the text, as encodeRoster writes it
/// @param Revision the store revision of the text
/// @param Reason receives the error if the result is empty
/// @return the roster, or nothing if the text is not valid
std::optional<Roster> decodeRoster(std::string_view Text,
                                   std::uint64_t Revision, Error &Reason);

/// @param Service name of a service
/// @return the store key of its roster
std::string rosterStoreKey(std::string_view Service);

} // namespace hyssopford
