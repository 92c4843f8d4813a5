/// @file
/// @brief Simulation of several cores with fake links and a fake store in
/// virtual time.
#pragma once

#include "fake_config_codec.hpp"
#include "hyssopford/core/node_core.hpp"
#include "store/store_table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Several cores, the links between them and the store, in virtual time.
class SiteFake {
public:
  /// Time without traffic after which a link counts as lost.
  static constexpr Duration LinkTimeout = 2'400ms;

  struct Node {
    NodeCoreSettings Settings;
    std::unique_ptr<NodeCore> Core;
    bool Paused = false;
    /// Wall clock minus virtual time, for the incarnation.
    Duration ClockOffset{0};
    std::vector<Notice> Notices;
    std::map<std::uint64_t, PatchResult> Results;
    std::map<std::uint64_t, HistoryResult> Histories;
    /// When each configuration version came into force.
    std::map<std::uint64_t, TimePoint> InForce;
    std::uint64_t BytesSent = 0;
    std::uint64_t LinksOpened = 0;
    /// True once the core has reported the end of its shutdown.
    bool Ended = false;
    /// Inputs that arrived while the node was paused.
    std::vector<Event> Waiting;
    TimePoint Wakeup;
  };

  explicit SiteFake(std::uint64_t RandomSeed = 1) : Seed(RandomSeed) {}
  SiteFake(const SiteFake &) = delete;
  SiteFake &operator=(const SiteFake &) = delete;

  /// @name Control
  /// @{

  /// @brief Adds nodes that are spread over failure domains, two per region.
  /// @param Count number of nodes
  /// @param Domains number of failure domains
  /// @param SeedCount number of nodes that all nodes have as seeds
  void addNodes(std::size_t Count, std::size_t Domains, std::size_t SeedCount);
  void start(std::size_t Index);
  void startAll();
  /// Gives every node the records of all nodes.
  void fillTables();
  /// Ends the process; its links close.
  void crash(std::size_t Index);
  /// Ends the VM; its links carry no more traffic and are lost later.
  void killVm(std::size_t Index);
  void pause(std::size_t Index);
  void resume(std::size_t Index);
  void run(Duration Time);
  /// @return whether the condition came true within the time
  bool runUntil(const std::function<bool()> &Condition, Duration Limit);
  void send(std::size_t Index, const Event &Input);
  void submit(std::size_t Index, std::uint64_t Request, const std::string &Id,
              std::uint64_t Base, const std::string &Patch,
              bool DryRun = false);
  /// Ends the store's answers: calls that are pending or follow get none until
  /// the end of the silence, and no later answer.
  void silenceStore(bool Silent);
  /// Ends all waiting watches without an answer.
  void cutWatches();
  /// Writes the next version to the store without a node.
  /// @return the version
  std::uint64_t writeVersion(const std::string &Document);
  /// How the store treats the calls of a node.
  enum class StoreAccess : std::uint8_t { Served, Refused, Silent };
  std::function<StoreAccess(std::size_t)> AccessOf = [](std::size_t) {
    return StoreAccess::Served;
  };
  /// Versions since its revision from which on a watch has an answer that is
  /// too large for the client; 0 means any number fits.
  std::uint64_t TooLargeSince = 0;
  /// Watches end without an event and with the current revision of the store,
  /// although the key has changed.
  bool HideChanges = false;
  /// Era that the answers of the store state. A test replaces store() by a copy
  /// and raises the era to let the store lose what it acknowledged.
  std::uint64_t StoreEra = 0;
  /// Tells whether two nodes cannot reach each other.
  std::function<bool(std::size_t, std::size_t)> Blocked =
      [](std::size_t, std::size_t) { return false; };
  /// Returns the size of a message in bytes, for Node::BytesSent.
  std::function<std::size_t(const PeerMessage &)> SizeOf =
      [](const PeerMessage &) { return std::size_t{0}; };
  /// @}

  /// @name State
  /// @{
  TimePoint now() const { return Now; }
  Node &node(std::size_t Index) { return *Nodes.at(Index); }
  NodeCore &core(std::size_t Index) { return *Nodes.at(Index)->Core; }
  std::size_t size() const { return Nodes.size(); }
  standin::StoreTable &store() { return Store; }
  std::uint64_t storeCalls() const { return StoreCalls; }
  /// @return the calls of the nodes for the configuration
  std::uint64_t configCalls() const { return ConfigCalls; }
  /// @return the calls of the nodes for the record of crash sightings
  std::uint64_t quarantineCalls() const { return QuarantineCalls; }
  /// @return the state of a node in the table of another; Dead if it is missing
  MemberState stateAt(std::size_t Observer, std::size_t Subject);
  /// @return whether all running nodes have each other's current run as alive
  bool allAlive();
  /// @return the lowest version in force at a running node
  std::uint64_t lowestVersion();
  bool hasNotice(std::size_t Index, const std::string &Name);
  /// @return the number of usable links of a node
  std::size_t linkCount(std::size_t Index);
  /// Real time spent in the cores, in ns.
  std::uint64_t CpuNanoseconds = 0;
  /// @}

private:
  using Pair = std::pair<std::size_t, std::size_t>;

  static Pair pairOf(std::size_t First, std::size_t Second);
  bool usable(std::size_t Index) const;
  bool connected(std::size_t First, std::size_t Second) const;
  Duration latency(std::size_t First, std::size_t Second) const;
  void at(TimePoint Time, std::function<void()> Function);
  void input(std::size_t Index, const Event &Input);
  void tick(std::size_t Index);
  void carryOut(std::size_t Index, Actions &Out);
  void openLink(std::size_t From, NodeId To);
  void dropLink(Pair Link);
  void dropLinks(std::size_t Index);
  void checkLinks();
  void deliver(std::size_t From, std::size_t To, const PeerMessage &Message);
  /// A call that the client of a node waits for.
  struct PendingCall {
    std::size_t Index = 0;
    const NodeCore *Caller = nullptr;
    std::uint64_t Call = 0;
    /// Silences of the store before the call.
    std::uint64_t Silences = 0;
    bool Ended = false;
  };

  struct Watch {
    std::shared_ptr<PendingCall> Pending;
    StoreWatch Operation;
    TimePoint End;
  };

  void callStore(std::size_t Index, const StoreCall &Call);
  void answerStore(const std::shared_ptr<PendingCall> &Pending,
                   const StoreResult &Result, Duration Delay);
  /// Ends a call at its caller, unless it has ended or its caller has.
  void endCall(PendingCall &Pending, const StoreResult &Result);
  std::optional<StoreResult> resultOfWatch(const Watch &Each);
  void checkWatches();

  std::uint64_t Seed;
  FakeConfigCodec Codec;
  TimePoint Now = TimePoint(1s);
  TimePoint NextCheck;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::map<NodeId, std::size_t> Indices;
  /// Links and when they could last carry messages.
  std::map<Pair, TimePoint> Links;
  std::multimap<TimePoint, std::function<void()>> Queue;
  standin::StoreTable Store;
  std::vector<Watch> Watches;
  std::set<std::pair<TimePoint, std::size_t>> Wakeups;
  std::uint64_t StoreCalls = 0;
  std::uint64_t ConfigCalls = 0;
  std::uint64_t QuarantineCalls = 0;
  bool StoreSilent = false;
  std::uint64_t StoreSilences = 0;
  /// Store revision from which the watches of each node continue.
  std::map<std::size_t, std::uint64_t> KnownRevisions;
};

} // namespace hyssopford
