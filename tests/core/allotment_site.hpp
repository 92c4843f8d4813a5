/// @file
/// @brief Allotment systems of several nodes in virtual time.
#pragma once

#include "hyssopford/core/allotments/allotment_system.hpp"
#include "hyssopford/core/directory_system.hpp"
#include "hyssopford/core/directory_value.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Nodes with allotments, their views of the members and the messages
/// between them. Steps of 1 ms, a message takes 1 ms.
class AllotmentSite {
public:
  struct Node {
    NodeRun Run;
    std::unique_ptr<AllotmentSystem> System;
    std::map<NodeId, MemberRecord> View;
    std::uint64_t Revision = 1;
    bool Up = false;
    bool Frozen = false;
    /// End of its entry in the directory once it is down.
    TimePoint ListedUntil;
    /// Nodes reach each other within a group.
    int Group = 0;
    std::vector<std::function<void()>> Delayed;
  };

  AllotmentSite(std::size_t Count, RoutingConfig Limits, std::uint64_t Seed);

  /// Starts all nodes with complete views.
  void startAll();
  void start(std::size_t Index);
  void kill(std::size_t Index);
  void leave(std::size_t Index);
  void freeze(std::size_t Index) { Nodes[Index].Frozen = true; }
  void thaw(std::size_t Index);
  void adopt(std::size_t Index, const RoutingConfig &Limits);
  void run(Duration Time);
  void request(std::size_t Index, const std::string &Account);
  /// Changes the state of a node in the views of the others, each after a
  /// random time up to a limit.
  void publish(std::size_t Subject, MemberState State, Duration Earliest,
               Duration Latest, bool OnlyIfSplit = false);
  /// Cuts the links between groups, and later the views of the members.
  void split(const std::vector<int> &Groups);
  void heal();
  /// Sends requests of an account as a Poisson process, spread over the nodes
  /// by weights.
  void load(const std::string &Account, double PerSecond,
            const std::vector<double> &Weights, Duration Time);

  /// @return the most requests of an account that started within a window
  std::size_t mostStarted(const std::string &Account, Duration Window) const;
  std::size_t indexOf(NodeId Id) const;
  /// @return messages sent by all nodes since their start
  std::uint64_t messages() const;
  double uniform() {
    return static_cast<double>(Random.next() >> 11) * 0x1p-53;
  }

  std::vector<Node> Nodes;
  TimePoint Now{std::chrono::hours(1)};
  double Loss = 0.0;
  /// The store answers no call.
  bool StoreDown = false;
  std::uint64_t StoreCalls = 0;
  RoutingConfig Config;
  SeededRandomSource Random;
  std::map<std::string, std::vector<TimePoint>> Started;
  std::vector<ReplyToCaller> Refused;

private:
  void create(std::size_t Index);
  void introduce(std::size_t Index);

  using Key = std::pair<TimePoint, std::uint64_t>;

  void at(TimePoint Due, std::function<void()> Work) {
    Queue.emplace(Key{Due, NextEvent++}, std::move(Work));
  }
  void input(std::size_t Index,
             const std::function<void(Node &, Actions &)> &Work);
  void carryOut(std::size_t Index, Actions &Out);
  void answerStore(std::size_t Index, std::uint64_t Call);
  static std::string addressOf(std::size_t Index) {
    return "10.0.0.1:" + std::to_string(Index + 1);
  }
  void send(std::size_t From, const SendToPeer &Message);

  std::map<Key, std::function<void()>> Queue;
  std::uint64_t NextEvent = 0;
  std::uint64_t NextRequest = 1;
  std::uint64_t EndedMessages = 0;
};

} // namespace hyssopford
