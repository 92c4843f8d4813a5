/// @file
/// @brief The asking side of allotments.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/allotments/allotment_counters.hpp"
#include "hyssopford/core/allotments/allotment_message.hpp"
#include "hyssopford/core/allotments/allotment_slots.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/time.hpp"
#include "hyssopford/core/timer_set.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief A request that waited for a token and may start.
struct AllottedRequest {
  CallerRequest Request;
  Route Matched;
};

/// @brief Holds the tokens of an ingress, asks granters for more, and lets
/// requests wait for them.
class AllotmentHolder {
public:
  /// Time after it was asked for at which a token lapses. Requests of a window
  /// run on tokens granted at most this long before, so it must stay below the
  /// tolerance of a tenth of the window.
  static constexpr Duration TokenTime = 400ms;
  /// Time whose demand a batch covers.
  static constexpr Duration DemandTime = 200ms;
  /// Time after which the other granter is asked.
  static constexpr Duration AnswerTimeout = 100ms;
  /// Longest time for which a request waits for a token.
  static constexpr Duration WaitLimit = 2 * AnswerTimeout;
  /// Longest time until the next token for which a request waits instead of
  /// being refused.
  static constexpr Duration ShortWait = 25ms;
  /// Time for which the second granter is preferred after the first one did not
  /// answer.
  static constexpr Duration AvoidTime = 1s;
  /// Time stated to a refused request if no granter answered.
  static constexpr Duration NoAnswerRetryAfter = 500ms;
  /// Most requests of an account, and of all accounts, that wait.
  static constexpr std::size_t MaxWaitingOfAccount = 128;
  static constexpr std::size_t MaxWaiting = 1'024;
  /// Time between two log lines of an account.
  static constexpr Duration ReportPeriod = 1s;

  /// @param Run this run of this node
  explicit AllotmentHolder(NodeRun Run) : Self(Run) {}
  AllotmentHolder(const AllotmentHolder &) = delete;
  AllotmentHolder &operator=(const AllotmentHolder &) = delete;

  /// @name Inputs
  /// @{

  /// @brief Applies the limits of a configuration. Waiting requests of accounts
  /// that no longer have one may start.
  void adopt(const std::vector<ClientAccount> &Configured);

  /// @brief Sets the granters of a slot, the first one in rank first.
  void setGranters(std::uint32_t Slot, std::vector<NodeId> Nodes, TimePoint Now,
                   Actions &Out);

  /// @brief Takes a token for a request.
  /// @return true if the request waits, and then either comes from takeAllotted
  /// or ends with ReplyToCaller; false if it may start
  bool acquire(const CallerRequest &Request, const Route &Matched,
               TimePoint Now, Actions &Out);

  /// @brief Handles the disconnection of a caller.
  /// @return whether the request was waiting
  bool callerGone(RequestId Id);

  /// @brief Handles an answer of a granter.
  void receive(NodeRun From, const AllotmentGrant &Message, TimePoint Now,
               Actions &Out);

  void linkUp(NodeId Peer, TimePoint Now, Actions &Out);
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);

  /// @return the requests that got a token since the last call
  std::vector<AllottedRequest> takeAllotted();
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the number of waiting requests
  std::size_t waiting() const { return WaitingCount; }

  /// @return the counters; tokens granted and messages are not counted here
  const AllotmentCounters &counters() const { return Counters; }
  /// @}

private:
  struct WaitingRequest {
    CallerRequest Request;
    Route Matched;
    TimePoint Arrived;
    TimePoint Until;
  };

  struct Batch {
    std::uint32_t Count = 0;
    TimePoint Expires;
  };

  struct Ask {
    std::uint64_t Sequence = 0;
    NodeId To;
    std::size_t Rank = 0;
    TimePoint Sent;
    /// True if the other granter was asked before.
    bool Second = false;
  };

  /// Counts arrivals of the last DemandTime.
  struct Demand {
    TimePoint Start;
    std::uint32_t Current = 0;
    std::uint32_t Previous = 0;

    void add(TimePoint Now);
    std::uint32_t estimate(TimePoint Now) const;

  private:
    void advance(TimePoint Now);
  };

  struct AccountRow {
    std::string Name;
    std::uint32_t Slot = 0;
    Demand Arrivals;
    std::deque<Batch> Held;
    std::deque<WaitingRequest> Waiting;
    std::optional<Ask> Pending;
    /// Time before which the granter grants nothing.
    TimePoint NothingUntil;
    /// Until when the second granter is asked first.
    TimePoint AvoidFirstUntil;
    TimePoint ReportAt;
    std::uint64_t RefusedSinceReport = 0;
  };

  using Rows = std::map<std::string, AccountRow, std::less<>>;

  bool takeHeld(AccountRow &Row, TimePoint Now);
  void dropExpired(AccountRow &Row, TimePoint Now);
  void startWaiting(AccountRow &Row, TimePoint Now);
  /// Asks for tokens if requests wait and no answer is due.
  void ask(AccountRow &Row, TimePoint Now, Actions &Out);
  bool askRank(AccountRow &Row, std::size_t Rank, bool Second, TimePoint Now,
               Actions &Out);
  /// Handles the lack of an answer to the pending ask.
  void giveUpAsk(AccountRow &Row, TimePoint Now, Actions &Out);
  void refuse(AccountRow &Row, RequestId Id, Duration RetryAfter, TimePoint Now,
              Actions &Out);
  void refuseWaiting(AccountRow &Row, Duration RetryAfter, TimePoint Now,
                     Actions &Out);
  void expireWaiting(AccountRow &Row, TimePoint Now, Actions &Out);
  void setTimer(const AccountRow &Row, TimePoint Now);
  bool isLinked(NodeId Node) const {
    return Node == Self.Node || Links.contains(Node);
  }

  NodeRun Self;
  Rows Accounts;
  std::array<std::vector<NodeId>, AllotmentSlots> Granters;
  std::set<NodeId> Links;
  std::uint64_t NextSequence = 1;
  std::size_t WaitingCount = 0;
  AllotmentCounters Counters;
  std::vector<AllottedRequest> Allotted;
  /// Next time at which an account has something due, for accounts with
  /// waiting requests or a pending ask.
  TimerSet<std::string> Timers;
};

} // namespace hyssopford
