/// @file
/// @brief Several complete cores in virtual time, joined by small fakes of
/// links, upstreams and the store that can fail on command.
#pragma once

#include "hyssopford/core/node_core.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford::test {

/// @brief Faults of links, upstreams and the store, as probabilities in 1/1000.
struct FaultRates {
  std::uint64_t Lost = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Late = 0;
  std::uint64_t ConnectFailed = 0;
  std::uint64_t ConnectionLost = 0;
  std::uint64_t StoreAnswerLost = 0;
};

struct FleetSettings {
  std::size_t Nodes = 6;
  std::size_t Domains = 3;
  std::uint64_t Seed = 1;
  KeySettings Keys;
  /// One-way delay between two nodes.
  Duration Delay = 500us;
  /// Time a frame may arrive earlier or later than others.
  Duration Jitter{0};
  Duration ServiceTime = 5ms;
  std::uint32_t Slots = 10;
  /// Most links a node opens, 0 for no limit; only for fleets without faults.
  std::size_t MaxLinks = 0;
  bool Log = false;
};

/// @brief One run of a request on an upstream.
struct Execution {
  std::uint64_t Submission = 0;
  std::size_t Node = 0;
  TimePoint At;
};

/// @brief Joins the cores. All randomness comes from the seed.
class Fleet {
public:
  explicit Fleet(const FleetSettings &Settings);

  /// @name Time
  /// @{
  void at(TimePoint When, std::function<void()> Step);
  void run(TimePoint Until);
  TimePoint now() const { return Now; }
  SeededRandomSource &random() { return Random; }
  /// @}

  /// @name Commands
  /// @{

  /// @brief Sends a request of a caller. Its Request payload is replaced by
  /// the number of the submission, which names it in all records.
  std::uint64_t submit(std::size_t Node, CallerRequest Request);
  void dropCaller(std::size_t Node, std::uint64_t Submission);
  void crash(std::size_t Node);
  void restart(std::size_t Node);
  void leave(std::size_t Node);
  void pause(std::size_t Node);
  void resume(std::size_t Node);
  void crashUpstream(std::size_t Node);
  /// @brief Multiplies the service time of an upstream.
  void setSlowdown(std::size_t Node, std::uint64_t Factor);
  /// @brief Makes an upstream answer each request with status 500 at once.
  void setFailFast(std::size_t Node, bool Enabled);
  /// @brief Announces a state of an upstream to its node.
  void announce(std::size_t Node, UpstreamState State);
  void partition(const std::set<std::size_t> &Side);
  void heal();
  void log(std::string Line);
  /// @}

  /// @name Records
  /// @{
  std::size_t size() const { return Nodes.size(); }
  bool isUp(std::size_t Node) const { return Nodes[Node].Core != nullptr; }
  bool isPaused(std::size_t Node) const { return Nodes[Node].Paused; }
  NodeCore &core(std::size_t Node) { return *Nodes[Node].Core; }
  /// @brief Time spent on probes as a share of the time of all slots.
  double probeShare() const;
  std::vector<Execution> Executions;
  std::map<std::uint64_t, ReplyToCaller> Replies;
  std::map<std::uint64_t, TimePoint> RepliedAt;
  std::vector<std::string> Events;
  std::uint64_t Frames = 0;
  std::uint64_t UpstreamCrashes = 0;
  /// Counts frames by the index of their message type, and may look at them.
  std::function<void(const PeerMessage &)> OnFrame;
  /// Says whether a request crashes its upstream.
  std::function<bool(const Execution &)> IsDeadly;
  FaultRates Rates;
  bool StoreDown = false;
  std::uint64_t StoreWrites = 0;
  RoutingConfig Config;
  /// @}

private:
  struct NodeRow {
    NodeCoreSettings Settings;
    std::unique_ptr<NodeCore> Core;
    bool Paused = false;
    std::vector<Event> Backlog;
    TimePoint TickAt = TimePoint::max();
    std::map<AttemptId, std::uint64_t> Running;
    bool UpstreamUp = false;
    std::uint64_t Slowdown = 1;
    bool FailsFast = false;
  };
  struct Step {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Step &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  void start(std::size_t Node);
  void deliver(std::size_t Node, Incarnation Run, const Event &Input);
  void handle(std::size_t Node, const Event &Input);
  void perform(std::size_t Node, Actions &Out);
  void scheduleTick(std::size_t Node);
  void sendFrame(std::size_t From, const SendToPeer &Frame);
  void openLink(std::size_t From, NodeId Peer);
  void breakLink(std::size_t Left, std::size_t Right);
  void execute(std::size_t Node, const ForwardToUpstream &Forward);
  void probe(std::size_t Node);
  void callStore(std::size_t Node, const StoreCall &Call);
  StoreResult apply(const StoreOperation &Operation);
  bool chance(std::uint64_t Rate) { return Random.below(1000) < Rate; }
  bool blocked(std::size_t Left, std::size_t Right) const;
  static std::pair<std::size_t, std::size_t> pairOf(std::size_t Left,
                                                    std::size_t Right);

  FleetSettings Settings;
  SeededRandomSource Random;
  TimePoint Now{};
  std::uint64_t NextOrder = 0;
  std::uint64_t NextSubmission = 1;
  Duration ProbeTime{0};
  std::priority_queue<Step> Steps;
  std::vector<NodeRow> Nodes;
  std::map<NodeId, std::size_t> Index;
  std::set<std::pair<std::size_t, std::size_t>> Links;
  std::set<std::size_t> Isolated;
  std::map<std::string, std::pair<std::string, std::uint64_t>> Store;
};

} // namespace hyssopford::test
