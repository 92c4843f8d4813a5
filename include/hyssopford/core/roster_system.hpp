/// @file
/// @brief Creation, change and distribution of holder rosters.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/key_rules.hpp"
#include "hyssopford/core/member.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/roster.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Maintains the rosters of all services. For each service one node,
/// chosen by rendezvous hashing without election, writes the roster. If two
/// nodes choose themselves, compare-and-swap lets one of them succeed.
class RosterSystem {
public:
  using MemberRecords = std::map<NodeId, MemberRecord>;
  /// Returns the epoch in which this node is ready as a holder of a service; 0
  /// for none.
  using Readiness = std::function<std::uint64_t(const std::string &)>;

  /// Largest number of members of a roster; more would only lengthen transfers.
  static constexpr std::size_t MaxMembers = 9;
  /// Largest number of earlier epochs that are not settled yet.
  static constexpr std::size_t MaxPrevious = 8;
  /// Time between two evaluations of the member table.
  static constexpr Duration EvaluationPeriod = 500ms;
  /// Time between two requests to the writer for a newer roster of a service.
  static constexpr Duration RequestPeriod = 2s;
  /// The same while a request waits for the roster.
  static constexpr Duration UrgentRequestPeriod = 100ms;
  /// Time between two reads of an unchanged roster by its writer.
  static constexpr Duration ReadPeriod = 30s;
  /// Time after which a failed store call is retried.
  static constexpr Duration StoreRetryPeriod = 1s;
  /// Time after which a store call counts as lost.
  static constexpr Duration StoreTimeout = 10s;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Settings times after which members are added and removed
  /// @param Random source of jitter and of the choice of peers
  RosterSystem(NodeRun Self, const KeySettings &Settings, RandomSource &Random);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Requests the roster of a service from a peer, at a limited rate.
  /// @param Service name of the service
  /// @param Members the member table
  void requestRoster(const std::string &Service, const MemberRecords &Members,
                     TimePoint Now, Actions &Out);

  /// @brief Answers a request for a newer roster, and records whether its
  /// sender is ready.
  void receive(NodeRun From, const RosterRequest &Request, Actions &Out);

  /// @brief Adopts a roster from a peer if it is newer.
  void receive(const RosterUpdate &Update);

  /// @brief Handles the result of a store call; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Sends the known roster of a service, if any, to a peer.
  void sendRoster(NodeId Peer, const std::string &Service, Actions &Out) const;

  /// @brief Evaluates the member table, writes due changes and requests newer
  /// rosters.
  /// @param Members the member table
  /// @param Services services that have non-idempotent routes
  /// @param Ready readiness of this node
  /// @param Now the current time
  /// @param Out receives the actions
  void tick(const MemberRecords &Members,
            const std::vector<std::string> &Services, const Readiness &Ready,
            TimePoint Now, Actions &Out);

  /// @return the services whose roster changed since the last call
  std::vector<std::string> takeChanged();
  /// @}

  /// @name Observers
  /// @{

  /// @param Service name of a service
  /// @return its roster, or nullptr if it is not known
  const Roster *find(const std::string &Service) const;

  /// @return whether this run is a member of no epoch of any known roster
  bool isUnlisted() const;

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const { return NextEvaluation; }

  /// @return the number of writes sent to the store
  std::uint64_t storeWrites() const { return StoreWrites; }
  /// @}

private:
  struct ServiceRow {
    std::optional<Roster> Known;
    /// Members that reported to be ready in the current epoch.
    std::vector<NodeRun> Ready;
    /// Since when members of the roster are away, and runs that serve the
    /// service are present.
    std::map<NodeRun, TimePoint> AwaySince;
    std::map<NodeRun, TimePoint> PresentSince;
    TimePoint NextRequest;
    TimePoint NextRead;
    /// True if the last read found no roster.
    bool MissingInStore = false;
    /// Number of the pending store call; 0 for none.
    std::uint64_t Call = 0;
    TimePoint CallSent;
    /// Roster being written.
    std::optional<Roster> Writing;
  };

  bool adopt(const std::string &Service, const Roster &New);
  bool isAlive(const MemberRecords &Members, const RosterMember &Member) const;
  std::optional<NodeId> writerOf(const std::string &Service,
                                 const ServiceRow &Row,
                                 const MemberRecords &Members) const;
  void updatePresence(const std::string &Service, ServiceRow &Row,
                      const MemberRecords &Members, TimePoint Now) const;
  std::optional<Roster> planChange(const ServiceRow &Row,
                                   const MemberRecords &Members,
                                   TimePoint Now) const;
  std::vector<RosterMember> addJoining(const ServiceRow &Row,
                                       const MemberRecords &Members,
                                       std::vector<RosterMember> Kept,
                                       TimePoint Now) const;
  void evaluate(const std::string &Service, ServiceRow &Row,
                const MemberRecords &Members, TimePoint Now, Actions &Out);
  void callStore(ServiceRow &Row, StoreOperation Operation, TimePoint Now,
                 Actions &Out);
  void broadcast(const std::string &Service, const ServiceRow &Row,
                 Actions &Out) const;

  NodeRun Self;
  const KeySettings &Settings;
  RandomSource &Random;
  std::uint64_t NextCall = 1;
  std::uint64_t StoreWrites = 0;
  std::optional<TimePoint> NextEvaluation = TimePoint{};
  std::map<std::string, ServiceRow> Services;
  std::vector<std::string> Changed;
};

} // namespace hyssopford
