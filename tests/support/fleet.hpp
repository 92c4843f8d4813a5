/// @file
/// @brief Simulation of several complete cores in virtual time, with fakes of
/// links, upstreams and the store into which faults can be injected.
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

/// @brief Faults of links, upstreams and the store, as probabilities in per
/// mille.
struct FaultRates {
  /// Frames that are lost.
  std::uint64_t Lost = 0;
  /// Frames that arrive twice.
  std::uint64_t Duplicated = 0;
  /// Frames that are delayed by up to another 3 s.
  std::uint64_t Late = 0;
  /// Attempts that fail to connect to their upstream, and so do not run.
  std::uint64_t ConnectFailed = 0;
  /// Attempts that run, but whose upstream closes the connection unanswered.
  std::uint64_t ConnectionLost = 0;
  /// Store calls that take effect, but whose answer is lost.
  std::uint64_t StoreAnswerLost = 0;
};

/// @brief Size, times and seed of a fleet.
struct FleetSettings {
  std::size_t Nodes = 6;
  std::size_t Domains = 3;
  std::uint64_t Seed = 1;
  KeySettings Keys;
  /// One-way delay between two nodes.
  Duration Delay = 500us;
  /// Upper bound of a random extra delay of each frame, which reorders frames.
  Duration Jitter{0};
  /// Shortest service time of a request; the longest is twice as long.
  Duration ServiceTime = 5ms;
  /// Concurrent requests that each upstream announces.
  std::uint32_t Slots = 10;
  /// Number of links at which a node opens no more, 0 for no limit; only for
  /// fleets without faults.
  std::size_t MaxLinks = 0;
  /// Whether crash sightings are kept in the store.
  bool StoresQuarantine = false;
  /// Whether Fleet::Events records a line for each event.
  bool Log = false;
};

/// @brief One run of a request on an upstream.
struct Execution {
  std::uint64_t Submission = 0;
  std::size_t Node = 0;
  TimePoint At;
};

/// @brief Runs the cores and the fakes around them. All random choices derive
/// from the seed.
class Fleet {
public:
  explicit Fleet(const FleetSettings &Settings);

  /// @name Time
  /// @{
  /// @brief Schedules a step; a time in the past means now.
  void at(TimePoint When, std::function<void()> Step);
  /// @brief Runs the scheduled steps up to a time.
  void run(TimePoint Until);
  TimePoint now() const { return Now; }
  SeededRandomSource &random() { return Random; }
  /// @}

  /// @name Commands
  /// @{

  /// @brief Sends a request of a caller to a node. Its payload is replaced by
  /// the number of the submission, which identifies it in all records.
  /// @return the number of the submission
  std::uint64_t submit(std::size_t Node, CallerRequest Request);
  /// @brief Disconnects the caller of a submission.
  void dropCaller(std::size_t Node, std::uint64_t Submission);
  /// @brief Ends a node without a shutdown and breaks its links.
  void crash(std::size_t Node);
  /// @brief Starts a node that is down with a new incarnation.
  void restart(std::size_t Node);
  /// @brief Requests the graceful shutdown of a node.
  void leave(std::size_t Node);
  /// @brief Stops a process; its inputs are queued until it resumes.
  void pause(std::size_t Node);
  /// @brief Continues a paused process, which handles the queued inputs.
  void resume(std::size_t Node);
  /// @brief Crashes an upstream, which is announced again 500 ms later.
  void crashUpstream(std::size_t Node);
  /// @brief Multiplies the service time of an upstream.
  void setSlowdown(std::size_t Node, std::uint64_t Factor);
  /// @brief Makes an upstream answer each request with status 500 at once.
  void setFailFast(std::size_t Node, bool Enabled);
  /// @brief Announces a state of an upstream to its node.
  void announce(std::size_t Node, UpstreamState State);
  /// @brief Separates a set of nodes from the others; links between them break.
  void partition(const std::set<std::size_t> &Side);
  /// @brief Writes a value as another program would.
  void writeStore(const std::string &Key, const std::string &Value) {
    Store[Key] = {Value, Store[Key].second + 1};
  }
  const std::string &readStore(const std::string &Key) {
    return Store[Key].first;
  }
  /// @brief Ends the partition. Nodes open links again by themselves.
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
  /// Called with each frame that is sent on a link, also if it is then lost.
  std::function<void(const PeerMessage &)> OnFrame;
  /// Returns whether the run of a request crashes its upstream.
  std::function<bool(const Execution &)> IsDeadly;
  FaultRates Rates;
  bool StoreDown = false;
  std::uint64_t StoreWrites = 0;
  /// Calls for the record of crash sightings.
  std::uint64_t QuarantineCalls = 0;
  std::vector<Notice> Notices;
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
  StoreResult apply(const StoreCall &Call);
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
  std::map<NodeId, std::size_t> NodeIndex;
  std::set<std::pair<std::size_t, std::size_t>> Links;
  std::set<std::size_t> Isolated;
  std::map<std::string, std::pair<std::string, std::uint64_t>> Store;
};

} // namespace hyssopford::test
