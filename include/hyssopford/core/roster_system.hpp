/// @file
/// @brief Creation, change and spreading of holder rosters.
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

/// @brief Runs the table of rosters. For each service one node, chosen by
/// rendezvous hashing without election, writes the roster; if two nodes
/// believe to be that node, compare-and-swap lets one of them win.
class RosterSystem {
public:
  using MemberTable = std::map<NodeId, MemberRecord>;
  /// Says in which epoch this node is ready as a holder of a service.
  using Readiness = std::function<std::uint64_t(const std::string &)>;

  /// Most nodes of a roster; more would only lengthen transfers.
  static constexpr std::size_t MaxMembers = 9;
  /// Most unsettled earlier rosters.
  static constexpr std::size_t MaxPrevious = 8;
  /// Time between two evaluations of the member table.
  static constexpr Duration EvaluationPeriod = 500ms;
  /// Time between two questions for a newer roster to the same service.
  static constexpr Duration AskPeriod = 2s;
  static constexpr Duration UrgentAskPeriod = 100ms;
  /// Time between two reads of an unchanged roster by its writer.
  static constexpr Duration ReadPeriod = 30s;
  /// Time after which a failed store call is repeated.
  static constexpr Duration StoreRepeat = 1s;
  /// Time after which a store call counts as lost.
  static constexpr Duration StoreTimeout = 10s;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Settings times of joining and removal
  /// @param Random source of jitter and of the choice of peers
  RosterSystem(NodeRun Self, const KeySettings &Settings, RandomSource &Random);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Asks a peer for the roster of a service, at a limited rate.
  void ask(const std::string &Service, const MemberTable &Members,
           TimePoint Now, Actions &Out);

  /// @brief Answers a request for a newer roster, and notes who is ready.
  void receive(NodeRun From, const RosterRequest &Request, Actions &Out);

  /// @brief Takes a roster from a peer.
  void receive(const RosterUpdate &Update);

  /// @brief Takes the end of a store call.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Tells a peer that its roster is outdated.
  void inform(NodeId Peer, const std::string &Service, Actions &Out) const;

  /// @brief Evaluates the member table, writes due changes, asks for news.
  /// @param Members the member table
  /// @param Services services that have non-idempotent routes
  /// @param Ready readiness of this node
  /// @param Now the current time
  /// @param Out receives the actions
  void tick(const MemberTable &Members,
            const std::vector<std::string> &Services, const Readiness &Ready,
            TimePoint Now, Actions &Out);

  /// @return services whose roster changed since the last call
  std::vector<std::string> takeChanged();
  /// @}

  /// @name Observers
  /// @{

  /// @param Service name of a service
  /// @return its roster, or nullptr if it is not known
  const Roster *find(const std::string &Service) const;

  /// @return whether no known roster, settled or not, names this run
  bool released() const;

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const { return NextEvaluation; }

  /// @return the writes sent to the store
  std::uint64_t storeWrites() const { return StoreWrites; }
  /// @}

private:
  struct ServiceRow {
    std::optional<Roster> Known;
    /// Members known to be ready in the current epoch.
    std::vector<NodeRun> Ready;
    /// Since when members are away, and others present.
    std::map<NodeRun, TimePoint> AwaySince;
    std::map<NodeRun, TimePoint> PresentSince;
    TimePoint NextAsk;
    TimePoint NextRead;
    /// True if the last read found no roster.
    bool Missing = false;
    std::uint64_t Call = 0;
    TimePoint CallSent;
    /// Roster being written.
    std::optional<Roster> Writing;
  };

  bool adopt(const std::string &Service, const Roster &New);
  bool isAlive(const MemberTable &Members, const RosterMember &Member) const;
  std::optional<NodeId> writerOf(const std::string &Service,
                                 const ServiceRow &Row,
                                 const MemberTable &Members) const;
  void observe(const std::string &Service, ServiceRow &Row,
               const MemberTable &Members, TimePoint Now) const;
  std::optional<Roster> change(const ServiceRow &Row,
                               const MemberTable &Members, TimePoint Now) const;
  std::vector<RosterMember> joining(const ServiceRow &Row,
                                    const MemberTable &Members,
                                    std::vector<RosterMember> Kept,
                                    TimePoint Now) const;
  void evaluate(const std::string &Service, ServiceRow &Row,
                const MemberTable &Members, TimePoint Now, Actions &Out);
  void call(ServiceRow &Row, StoreOperation Operation, TimePoint Now,
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
