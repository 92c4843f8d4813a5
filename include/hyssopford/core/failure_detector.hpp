/// @file
/// @brief Direct and indirect pings.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/link_table.hpp"
#include "hyssopford/core/member_table.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Pings one member per period, first directly, then through others
/// (SWIM, section 3.1).
class FailureDetector {
public:
  /// Time between two pings of this node.
  static constexpr Duration Period = 1s;
  /// Time for a direct answer, opening a link between regions included.
  static constexpr Duration DirectTimeout = 400ms;
  /// Time after which an unanswered member is suspected.
  static constexpr Duration TotalTimeout = 1'200ms;
  /// Members asked to ping on behalf of this node.
  static constexpr std::size_t IndirectCount = 3;

  /// Chooses records to piggyback.
  using Piggyback = std::function<std::vector<MemberRecord>(TimePoint)>;

  FailureDetector(const MemberTable &Members, LinkTable &Connections,
                  RandomSource &Source, Piggyback Choice)
      : Table(Members), Links(Connections), Random(Source),
        Records(std::move(Choice)) {}

  /// @brief Pings a node unless a ping to it is pending.
  /// @param Target run to ping
  /// @param Address its peer address
  void ping(NodeRun Target, const std::string &Address, TimePoint Now,
            Actions &Out);

  /// @brief Pings on behalf of a peer.
  void relay(NodeId From, const PingRequest &Request, TimePoint Now,
             Actions &Out);

  /// @brief Takes a sign of life.
  void acknowledge(const Ack &Message, Actions &Out);

  /// @brief Sends pings that wait for a link.
  void linkUp(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Asks others at once about a target whose link cannot be opened.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  /// @return runs that did not answer in time
  std::vector<NodeRun> tick(TimePoint Now, Actions &Out);

  /// @brief Drops all pending pings, e.g. after a pause.
  void clear() { Pings.clear(); }

  /// @return the time of the next timer
  TimePoint nextWakeup() const;

  /// @brief Configuration version that pings and acknowledgements state.
  std::uint64_t ConfigVersion = 0;

private:
  struct PendingPing {
    NodeRun Target;
    std::string Address;
    TimePoint DirectEnd;
    TimePoint End;
    bool Sent = false;
    bool AskedOthers = false;
    /// Peer on whose behalf this ping is, and its number there.
    std::optional<NodeId> Requester;
    std::uint64_t RequesterSequence = 0;
  };

  bool isPending(NodeRun Target) const;
  void send(std::uint64_t Sequence, PendingPing &Row, TimePoint Now,
            Actions &Out);
  void askOthers(std::uint64_t Sequence, PendingPing &Row, Actions &Out);
  const MemberRecord *nextTarget();

  const MemberTable &Table;
  LinkTable &Links;
  RandomSource &Random;
  Piggyback Records;
  std::uint64_t LastSequence = 0;
  TimePoint NextPing;
  std::map<std::uint64_t, PendingPing> Pings;
  /// Members still to be pinged in this round, in random order.
  std::vector<NodeId> Round;
};

} // namespace hyssopford
