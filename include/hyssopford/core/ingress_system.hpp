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
#include "hyssopford/core/shutdown_limit.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Counters of an ingress since its start.
struct IngressCounters {
  /// Requests started.
  std::uint64_t Requests = 0;
  /// Attempts sent after an earlier attempt of the request ended or lost its
  /// link.
  std::uint64_t Retries = 0;
  /// Attempts sent while an earlier attempt of the request was running.
  std::uint64_t Hedges = 0;
  /// Retries not sent because the budget was spent.
  std::uint64_t RetriesDenied = 0;
  /// Status queries sent to cancel a late attempt if it is still queued, so
  /// that it can be retried.
  std::uint64_t Recalls = 0;
  /// Attempts sent to upstreams outside of the subset, as those of the subset
  /// were busy.
  std::uint64_t OutsideAttempts = 0;
  /// Replies to attempts that had already ended.
  std::uint64_t LateReplies = 0;
  /// Requests that the end of a shutdown left with an unknown outcome.
  std::uint64_t Interrupted = 0;

  friend bool operator==(const IngressCounters &,
                         const IngressCounters &) = default;
};

/// @brief Handles the requests for which this node is the ingress.
class IngressSystem {
public:
  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Random source of random numbers
  /// @param Settings settings of routing
  /// @param Region region of this node, for the choice of subsets
  /// @param FailureDomain failure domain of this node
  IngressSystem(NodeRun Self, RandomSource &Random,
                const RoutingSettings &Settings = {}, std::string Region = {},
                std::string FailureDomain = {});

  /// @brief Replaces the policy that chooses upstreams.
  /// @param Chosen the policy; the default is EstimatedDelayPolicy
  void setPolicy(std::unique_ptr<SelectionPolicy> Chosen);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Starts a request, which ends with one ReplyToCaller unless the
  /// caller cancels it.
  /// @param Request the request
  /// @param Matched its route
  /// @param Now the current time
  /// @param Out receives the actions
  void start(const CallerRequest &Request, const Route &Matched, TimePoint Now,
             Actions &Out);

  /// @brief Ends a request whose caller closed its connection, and cancels its
  /// attempts.
  void cancel(RequestId Id, TimePoint Now, Actions &Out);

  /// @brief Handles the end of an attempt. A reply to an attempt that already
  /// ended is counted and dropped after its load report was used.
  /// @param From the run of the node that sent the reply
  /// @param Reply the reply
  /// @param Now the current time
  /// @param Out receives the actions
  void finishAttempt(NodeRun From, const DispatchReply &Reply, TimePoint Now,
                     Actions &Out);

  /// @brief Handles the reply to a status query. Has no effect unless the
  /// attempt is open and was sent to the node that replies.
  /// @param From the node that sent the reply
  /// @param Reply the reply
  /// @param Now the current time
  /// @param Out receives the actions
  void resolveStatus(NodeId From, const StatusReply &Reply, TimePoint Now,
                     Actions &Out);

  /// @brief Handles a new link to a peer or to this node itself. Sends status
  /// queries for attempts sent to the same run; those sent to an earlier run
  /// end as unknown.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Handles the loss of a link. Attempts at the peer end as unknown at
  /// their deadline unless a status query resolves them; idempotent requests
  /// are retried at once.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Sets the number of nodes that share the retry budgets.
  void setMemberCount(std::size_t Count) { Table.setMemberCount(Count); }

  /// @brief Announces the end of the node. From now on only attempts start that
  /// end in time; requests that are left at @p AnswerBy are answered then.
  void limitWork(TimePoint AnswerBy);

  /// @brief Replaces the table of candidates.
  void setCandidates(std::vector<Candidate> All);

  /// @brief Sets the services that have upstreams in evacuated failure domains
  /// only; their requests are refused at once.
  void setEvacuatedServices(std::set<std::string> Services) {
    EvacuatedServices = std::move(Services);
  }

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether limitWork was called
  bool isWorkLimited() const { return Shutdown.isSet(); }

  /// @brief Decides whether a request that arrives now may start, so that it
  /// can be refused before its body is read.
  /// @param Matched the route of the request
  /// @param Method the method of the request
  /// @param Stated remaining time stated by the caller
  /// @param Now the current time
  /// @return false if the node shuts down before the request can be answered
  bool mayStart(const Route &Matched, const std::string &Method,
                std::optional<Duration> Stated, TimePoint Now) const;

  /// @return the number of requests in flight
  std::size_t inFlight() const { return Requests.size(); }

  /// @return the number of replies to attempts that had already ended
  std::uint64_t lateReplies() const { return Counters.LateReplies; }

  /// @return counters since the start
  const IngressCounters &counters() const { return Counters; }

  /// @return nodes that this ingress needs links to: the subsets of the
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
    /// The deadline without regard to a shutdown.
    TimePoint FullDeadline;
    bool Idempotent = false;
    /// An attempt ended as unknown, so the request cannot end as not-run.
    bool MayHaveRun = false;
    std::uint32_t Attempts = 0;
    /// Hand-backs by owners that were not counted as attempts.
    std::uint32_t HandBacks = 0;
    /// Attempts sent to upstreams outside of the subset.
    std::uint32_t OutsideAttempts = 0;
    /// One entry for each attempt that ended, for the log.
    std::string Steps;
    /// Owners that handed the request back and may accept it later.
    std::vector<NodeId> BusyOwners;
    /// Set when all candidates have handed the request back: from then on
    /// owners must not hand it back.
    bool LastChance = false;
    /// Latency target from the start of the request; not above 0 if there is
    /// none or it has passed.
    Duration Target{0};
    /// The first 5xx answer of an upstream, kept while others are tried.
    std::optional<FailedAnswer> FirstFailure;
    OutcomeReason LastReason = OutcomeReason::None;
    std::vector<NodeId> TriedOwners;
    /// Sequences of the attempts that have not ended.
    std::vector<std::uint64_t> OpenAttempts;
    std::optional<TimePoint> HedgeAt;
    std::optional<TimePoint> LinkCheckAt;
  };

  struct AttemptRow {
    RequestId Request;
    NodeRun Owner;
    TimePoint Sent;
    std::uint64_t Span = 0;
    bool IsExtra = false;
    /// The link was lost, so that it is not known whether the attempt runs.
    bool InDoubt = false;
  };

  /// Whether an attempt that starts now ends before the node does.
  bool fitsShutdown(const RequestRow &Row, const ServicePool *Pool,
                    TimePoint Now) const;
  /// Sends the first attempt, or waits for a link if no candidate has one.
  void startAttempt(RequestRow &Row, TimePoint Now, Actions &Out);
  /// Sends another attempt after one ended or lost its link, or ends the
  /// request if no other attempt may follow.
  /// @param IsHandBack whether an owner returned the ended attempt unrun, so
  /// that the retry uses no budget
  void retry(RequestRow &Row, TimePoint Now, Actions &Out,
             bool IsHandBack = false);
  /// @return the number of hand-backs after which a request is refused
  std::uint32_t handBackLimit(const RequestRow &Row) const;
  /// Chooses the next owner of a request that was handed back: another one of
  /// the subset, then one outside of it, then the best one that is busy.
  std::optional<NodeRun> chooseAfterHandBack(RequestRow &Row, ServicePool &Pool,
                                             TimePoint Now);
  /// Retries a request that an upstream answered with a 5xx status.
  /// @return false if the answer must be passed on to the caller
  bool retryFailedAnswer(RequestRow &Row, const DispatchReply &Reply,
                         NodeId Owner, TimePoint Now, Actions &Out);
  void sendHedge(RequestRow &Row, TimePoint Now, Actions &Out);
  /// Asks the owner to cancel a late attempt if it is still queued.
  void recall(RequestRow &Row, TimePoint Now, Actions &Out);
  std::optional<NodeRun> chooseOwner(const RequestRow &Row, ServicePool &Pool,
                                     TimePoint Now);
  void dispatch(RequestRow &Row, ServicePool &Pool, NodeRun Owner,
                TimePoint Now, Actions &Out);
  void recordResult(const AttemptRow &Attempt, const DispatchReply &Reply,
                    const RequestRow &Row, TimePoint Now, Actions &Out);
  void closeAttempt(RequestRow &Row, std::uint64_t Sequence, Outcome Result,
                    OutcomeReason Reason, TimePoint Now, Actions &Out);
  void cancelOpenAttempts(RequestRow &Row, TimePoint Now, Actions &Out);
  void expireRequest(RequestRow &Row, TimePoint Now, Actions &Out);
  /// Ends a request without a successful answer. A 5xx answer kept from an
  /// earlier attempt is passed on to the caller.
  void finishWithoutAnswer(RequestRow &Row, Outcome Result,
                           OutcomeReason Reason, TimePoint Now, Actions &Out);
  void finishWithAnswer(RequestRow &Row, const DispatchReply &Reply,
                        NodeId Owner, TimePoint Now, Actions &Out);
  void appendStep(RequestRow &Row, const AttemptRow &Attempt,
                  std::uint64_t Sequence, Outcome Result, OutcomeReason Reason,
                  TimePoint Now);
  void reportRequest(const RequestRow &Row, Outcome Result,
                     OutcomeReason Reason, TimePoint Now, Actions &Out);
  void eraseRequest(RequestRow &Row, Outcome Result, OutcomeReason Reason,
                    TimePoint Now, Actions &Out);

  NodeRun Self;
  RandomSource &Random;
  RoutingSettings Settings;
  CandidateTable Table;
  std::set<std::string> EvacuatedServices;
  ShutdownLimit Shutdown;
  std::unique_ptr<SelectionPolicy> Policy;
  std::uint64_t NextSequence = 1;
  TimePoint NextUnusedCheck;
  IngressCounters Counters;
  /// Requests answered by their first attempt since one was logged.
  std::uint32_t RoutineSinceReport = 0;
  std::unordered_map<RequestId, RequestRow> Requests;
  std::unordered_map<std::uint64_t, AttemptRow> Attempts;
  std::unordered_map<NodeId, std::set<std::uint64_t>> AttemptsByOwner;
  std::set<Timer> Timers;
};

} // namespace hyssopford
