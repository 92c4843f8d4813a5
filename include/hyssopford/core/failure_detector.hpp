/// @file
/// @brief Failure detection by direct and indirect pings.
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

/// @brief Pings one member per period, first directly, then through other
/// members (SWIM, section 3.1).
class FailureDetector {
public:
  /// Mean time between two pings of this node.
  static constexpr Duration PingPeriod = 1s;
  /// Time for a direct answer, including the opening of a link between regions.
  static constexpr Duration DirectTimeout = 400ms;
  /// Time after which an unanswered member is suspected.
  static constexpr Duration TotalTimeout = 1'200ms;
  /// Members that are asked to ping on behalf of this node.
  static constexpr std::size_t IndirectCount = 3;

  /// Chooses the records that a ping carries.
  using Piggyback = std::function<std::vector<MemberRecord>(TimePoint)>;

  /// @param Members the member table
  /// @param Connections links to send pings on
  /// @param Source source of jitter and of the choice of targets
  /// @param Choice chooses the records that a ping carries
  FailureDetector(const MemberTable &Members, LinkTable &Connections,
                  RandomSource &Source, Piggyback Choice)
      : Table(Members), Links(Connections), Random(Source),
        ChooseRecords(std::move(Choice)) {}

  /// @brief Pings a node unless this node already waits for its answer.
  /// @param Target run to ping
  /// @param Address its peer address
  void ping(NodeRun Target, const std::string &Address, TimePoint Now,
            Actions &Out);

  /// @brief Pings on behalf of a peer.
  void relayPing(NodeId From, const PingRequest &Request, TimePoint Now,
                 Actions &Out);

  /// @brief Handles the acknowledgement of a ping.
  void acknowledge(const Ack &Message, Actions &Out);

  /// @brief Sends the pings that wait for a link to a peer.
  void linkUp(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Requests indirect pings at once for a target whose link failed.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  /// @return runs that did not answer in time
  std::vector<NodeRun> tick(TimePoint Now, Actions &Out);

  /// @brief Drops all pending pings, which are stale after a pause.
  void clear() { Pings.clear(); }

  /// @return the time of the next timer
  TimePoint nextWakeup() const;

  /// Configuration version that pings and acknowledgements carry.
  std::uint64_t ConfigVersion = 0;

private:
  struct PendingPing {
    NodeRun Target;
    std::string Address;
    TimePoint DirectDeadline;
    TimePoint Deadline;
    bool Sent = false;
    bool IndirectSent = false;
    /// Peer that requested this ping, and the number of the ping there.
    std::optional<NodeId> Requester;
    std::uint64_t RequesterSequence = 0;
  };

  bool isPending(NodeRun Target) const;
  void send(std::uint64_t Sequence, PendingPing &Row, TimePoint Now,
            Actions &Out);
  void requestIndirectPings(std::uint64_t Sequence, PendingPing &Row,
                            Actions &Out);
  const MemberRecord *nextTarget();

  const MemberTable &Table;
  LinkTable &Links;
  RandomSource &Random;
  Piggyback ChooseRecords;
  std::uint64_t LastSequence = 0;
  TimePoint NextPing;
  std::map<std::uint64_t, PendingPing> Pings;
  /// Members still to be pinged in this round, in random order. A round pings
  /// each member once.
  std::vector<NodeId> RoundTargets;
};

} // namespace hyssopford
