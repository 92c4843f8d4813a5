/// @file
/// @brief Fake links and a fake store that drive several cores in virtual time.
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

/// @brief Several cores, the links between them and the store.
class SiteFake {
public:
  /// Silence after which a link counts as lost.
  static constexpr Duration Silence = 2'400ms;

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
    bool Ended = false;
    std::vector<Event> Waiting;
    TimePoint Wakeup;
  };

  explicit SiteFake(std::uint64_t RandomSeed = 1) : Seed(RandomSeed) {}
  SiteFake(const SiteFake &) = delete;
  SiteFake &operator=(const SiteFake &) = delete;

  /// @name Control
  /// @{

  /// @brief Adds nodes spread over failure domains, two of them a region.
  void addNodes(std::size_t Count, std::size_t Domains, std::size_t SeedCount);
  void start(std::size_t Index);
  void startAll();
  /// Tells every node of all others at once.
  void fillTables();
  /// Ends the process; its connections close.
  void crash(std::size_t Index);
  /// Ends the VM; its links fall silent.
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
  /// Nodes for which this is true of both cannot reach each other.
  std::function<bool(std::size_t, std::size_t)> Blocked =
      [](std::size_t, std::size_t) { return false; };
  /// Measures messages.
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
  /// @return what a node believes of another; Dead if it does not know it
  MemberState stateAt(std::size_t Observer, std::size_t Subject);
  /// @return whether all running nodes believe each other to be alive
  bool allAlive();
  /// @return the lowest version in force at a running node
  std::uint64_t lowestVersion();
  bool hasNotice(std::size_t Index, const std::string &Name);
  /// @return the number of usable links of a node
  std::size_t linkCount(std::size_t Index);
  /// Real time spent in the cores.
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
  void callStore(std::size_t Index, const StoreCall &Call);
  void answerStore(std::size_t Index, const Node *Caller, std::uint64_t Call,
                   const StoreResult &Result, Duration Delay);
  void checkWatches();

  struct Watch {
    std::size_t Index;
    const NodeCore *Caller;
    std::uint64_t Call;
    StoreWatch Operation;
    TimePoint End;
  };

  std::uint64_t Seed;
  FakeConfigCodec Codec;
  TimePoint Now = TimePoint(1s);
  TimePoint NextCheck;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::map<NodeId, std::size_t> Indices;
  /// Links and when they last could carry something.
  std::map<Pair, TimePoint> Links;
  std::multimap<TimePoint, std::function<void()>> Queue;
  standin::StoreTable Store;
  std::vector<Watch> Watches;
  std::set<std::pair<TimePoint, std::size_t>> Wakeups;
  std::uint64_t StoreCalls = 0;
};

} // namespace hyssopford
