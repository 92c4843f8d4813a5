/// @file
/// @brief Requests of callers at their ingress node: choice of the upstream,
/// deadline, retries and hedges.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/candidate.hpp"
#include "hyssopford/core/candidate_table.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/selection_policy.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Counters of an ingress since its start.
struct IngressCounters {
  /// Requests started.
  std::uint64_t Requests = 0;
  /// Attempts sent after an earlier attempt of the request ended or was lost.
  std::uint64_t Retries = 0;
  /// Attempts sent while an earlier attempt of the request was running.
  std::uint64_t Hedges = 0;
  /// Retries not sent because the budget was spent.
  std::uint64_t RetriesDenied = 0;
  /// Status queries sent to take a late attempt out of a queue.
  std::uint64_t Recalls = 0;
  /// Replies to attempts already settled.
  std::uint64_t LateReplies = 0;

  friend bool operator==(const IngressCounters &,
                         const IngressCounters &) = default;
};

/// @brief Runs the table of requests for which this node is the ingress.
class IngressSystem {
public:
  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Random source of the samples
  /// @param Settings constants of routing
  /// @param Region region of this node, for the choice of subsets
  IngressSystem(NodeRun Self, RandomSource &Random,
                const RoutingSettings &Settings = {}, std::string Region = {},
                std::string FailureDomain = {});

  /// @brief Replaces the policy that chooses upstreams.
  /// @param Chosen the policy; the default is EstimatedDelayPolicy
  void setPolicy(std::unique_ptr<SelectionPolicy> Chosen);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Starts a request that may run now. Ends with ReplyToCaller.
  /// @param Request the request
  /// @param Matched its route
  /// @param Now the current time
  /// @param Out receives the actions
  void start(const CallerRequest &Request, const Route &Matched, TimePoint Now,
             Actions &Out);

  /// @brief Cancels the attempts of a request whose caller has gone.
  void cancel(RequestId Id, TimePoint Now, Actions &Out);

  /// @brief Takes the end of an attempt. A reply to an attempt already settled
  /// is counted and dropped; its load report is used.
  /// @param From the node that sent the reply
  /// @param Reply the reply
  /// @param Now the current time
  /// @param Out receives the actions
  void finishAttempt(NodeId From, const DispatchReply &Reply, TimePoint Now,
                     Actions &Out);

  /// @brief Takes the answer to a status query.
  void resolveStatus(const StatusReply &Reply, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer, or this node itself, can be reached. Attempts
  /// sent to the same run are queried; those of an earlier run are unknown.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer cannot be reached. Its attempts are unknown at
  /// their deadline unless a status query resolves them; idempotent requests
  /// are retried at once.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Sets the number of nodes that share the budgets of retries.
  void setMembers(std::size_t Count) { Table.setMembers(Count); }

  /// @brief Replaces the table of candidates.
  void setCandidates(std::vector<Candidate> All);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the number of requests in flight
  std::size_t inFlight() const { return Requests.size(); }

  /// @return replies that arrived for attempts already settled
  std::uint64_t lateReplies() const { return Counters.LateReplies; }

  /// @return counters since the start
  const IngressCounters &counters() const { return Counters; }

  /// @return nodes to which this ingress needs a link: the subsets of the
  /// services that its callers use
  const std::set<NodeId> &neededPeers() const { return Table.neededPeers(); }

  /// @return a number that grows when neededPeers changes
  std::uint64_t neededRevision() const { return Table.neededRevision(); }
  /// @}

private:
  enum class TimerKind : std::uint8_t { Deadline, Hedge, LinkCheck };

  struct Timer {
    TimePoint At;
    TimerKind Kind = TimerKind::Deadline;
    RequestId Request;

    friend auto operator<=>(const Timer &, const Timer &) = default;
  };

  struct FailedAnswer {
    DispatchReply Reply;
    NodeId Owner;
  };

  struct RequestRow {
    CallerRequest Request;
    std::string Service;
    std::string Route;
    Priority Class = Priority::Normal;
    std::uint32_t AttemptLimit = 1;
    std::uint64_t Fingerprint = 0;
    std::uint64_t Span = 0;
    TimePoint Started;
    TimePoint Deadline;
    bool Idempotent = false;
    /// An attempt ended as unknown, so the request can't end as not-run.
    bool MayHaveRun = false;
    std::uint32_t Attempts = 0;
    /// Attempts handed back by owners without cost.
    std::uint32_t HandBacks = 0;
    /// One entry for each attempt that ended, for the report.
    std::string Steps;
    /// Owners that handed the request back and might take it later.
    std::vector<NodeId> Busy;
    /// Set when all candidates have handed the request back.
    bool LastChance = false;
    /// Time in which the answer is wanted; not above 0 if none is stated.
    Duration Target{0};
    /// The first failure that an upstream answered, while others are tried.
    std::optional<FailedAnswer> Failed;
    OutcomeReason LastReason = OutcomeReason::None;
    std::vector<NodeId> Tried;
    /// Sequences of the attempts without a reply.
    std::vector<std::uint64_t> Open;
    std::optional<TimePoint> HedgeAt;
    std::optional<TimePoint> LinkCheckAt;
  };

  struct AttemptRow {
    RequestId Request;
    NodeRun Owner;
    TimePoint Sent;
    std::uint64_t Span = 0;
    bool IsExtra = false;
    /// The link was lost after the attempt was sent.
    bool InDoubt = false;
  };

  void startAttempt(RequestRow &Row, TimePoint Now, Actions &Out);
  /// @param Free true if the attempt that ended cost nothing
  void retry(RequestRow &Row, TimePoint Now, Actions &Out, bool Free = false);
  /// Tries another upstream instead of passing on a failure.
  /// @return whether the request goes on
  bool retryFailedAnswer(RequestRow &Row, const DispatchReply &Reply,
                         NodeId Owner, TimePoint Now, Actions &Out);
  void hedge(RequestRow &Row, TimePoint Now, Actions &Out);
  void recall(RequestRow &Row, TimePoint Now, Actions &Out);
  std::optional<NodeRun> choose(const RequestRow &Row, ServicePool &Pool,
                                TimePoint Now);
  void dispatch(RequestRow &Row, ServicePool &Pool, NodeRun Owner,
                TimePoint Now, Actions &Out);
  void observe(const AttemptRow &Attempt, const DispatchReply &Reply,
               const RequestRow &Row, TimePoint Now, Actions &Out);
  void closeAttempt(RequestRow &Row, std::uint64_t Sequence, Outcome Result,
                    OutcomeReason Reason, TimePoint Now, Actions &Out);
  void abandonOpen(RequestRow &Row, TimePoint Now, Actions &Out);
  void expire(RequestRow &Row, TimePoint Now, Actions &Out);
  void settle(RequestRow &Row, Outcome Result, OutcomeReason Reason,
              TimePoint Now, Actions &Out);
  void answer(RequestRow &Row, const DispatchReply &Reply, NodeId Owner,
              TimePoint Now, Actions &Out);
  void noteStep(RequestRow &Row, const AttemptRow &Attempt,
                std::uint64_t Sequence, Outcome Result, OutcomeReason Reason,
                TimePoint Now);
  void report(const RequestRow &Row, Outcome Result, OutcomeReason Reason,
              TimePoint Now, Actions &Out);
  void erase(RequestRow &Row, Outcome Result, OutcomeReason Reason,
             TimePoint Now, Actions &Out);

  NodeRun Self;
  RandomSource &Random;
  RoutingSettings Settings;
  CandidateTable Table;
  std::unique_ptr<SelectionPolicy> Policy;
  std::uint64_t NextSequence = 1;
  TimePoint NextUnusedCheck;
  IngressCounters Counters;
  std::uint32_t Unreported = 0;
  std::unordered_map<RequestId, RequestRow> Requests;
  std::unordered_map<std::uint64_t, AttemptRow> Attempts;
  std::unordered_map<NodeId, std::set<std::uint64_t>> AttemptsByOwner;
  std::set<Timer> Timers;
};

} // namespace hyssopford
