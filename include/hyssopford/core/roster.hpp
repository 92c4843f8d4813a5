/// @file
/// @brief Holder rosters: which nodes keep the idempotency records of a
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

/// @brief One run of a node that keeps records.
struct RosterMember {
  NodeRun Id;
  /// Peer address, "ip:port".
  std::string Address;
  std::string FailureDomain;

  friend bool operator==(const RosterMember &, const RosterMember &) = default;
};

/// @brief The nodes of one epoch. An epoch never changes its nodes.
struct RosterEpoch {
  std::uint64_t Epoch = 0;
  std::vector<RosterMember> Members;

  friend bool operator==(const RosterEpoch &, const RosterEpoch &) = default;
};

/// @brief The roster of one service as it is in the store.
struct Roster {
  /// Store revision of this value; not part of its text form.
  std::uint64_t Revision = 0;
  RosterEpoch Current;
  /// Earlier epochs whose records the current nodes may still lack, oldest
  /// first.
  std::vector<RosterEpoch> Previous;

  friend bool operator==(const Roster &, const Roster &) = default;
};

/// Most holders of one key.
inline constexpr std::size_t HoldersPerKey = 3;

/// @brief Chooses the holders of a key by rendezvous hashing: the first nodes
/// in different failure domains, then, if there are fewer domains than
/// holders, the first of the others.
/// @param Epoch the roster to choose from
/// @param Key the idempotency key
/// @return at most HoldersPerKey members; the same on every node
/// @note Complexity: n log n for n members.
std::vector<RosterMember> holdersOf(const RosterEpoch &Epoch,
                                    std::string_view Key);

/// @param Epoch the roster to search
/// @param Id the run to look for
/// @return whether the roster names this run
bool isMember(const RosterEpoch &Epoch, NodeRun Id);

/// @brief Bounds how many holders of any key a predicate can reject.
/// @param Epoch the roster
/// @param IsMissing says whether a member counts as missing
/// @return an upper bound over all keys
std::size_t
mostMissing(const RosterEpoch &Epoch,
            const std::function<bool(const RosterMember &)> &IsMissing);

/// @return the number of holders that each key of a roster has
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
/// @param Text the text
/// @param Revision the store revision of the text
/// @param Reason receives the error
/// @return the roster, or nothing if the text is not valid
std::optional<Roster> decodeRoster(std::string_view Text,
                                   std::uint64_t Revision, Error &Reason);

/// @param Service name of a service
/// @return the store key of its roster
std::string rosterStoreKey(std::string_view Service);

} // namespace hyssopford
