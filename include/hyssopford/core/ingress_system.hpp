/// @file
/// @brief Requests of callers at their ingress node: choice of the upstream,
/// deadline, retries.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/routing_config.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief An upstream that may get requests of one service.
struct Candidate {
  NodeRun Owner;
  std::string Service;
  std::string FailureDomain;
  std::string Region;
  std::uint32_t Slots = 1;
  UpstreamState State = UpstreamState::Serving;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// @brief Runs the table of requests for which this node is the ingress.
class IngressSystem {
public:
  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Random source of the samples
  IngressSystem(NodeRun Self, RandomSource &Random);
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

  /// @brief Takes the end of an attempt.
  void finishAttempt(NodeId From, const DispatchReply &Reply, TimePoint Now,
                     Actions &Out);

  /// @brief Takes the answer to a status query.
  void resolveStatus(const StatusReply &Reply, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer, or this node itself, can be reached.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer cannot be reached; its attempts become unknown
  /// unless a status query resolves them.
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

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
  std::uint64_t lateReplies() const { return LateReplies; }
  /// @}

private:
  struct RequestRow {
    CallerRequest Request;
    Route Matched;
    TimePoint Deadline;
    bool Idempotent = false;
    std::uint32_t Attempts = 0;
    std::vector<NodeId> Tried;
    std::optional<std::uint64_t> Current;
  };

  struct AttemptRow {
    RequestId Request;
    NodeRun Owner;
  };

  void tryNext(RequestRow &Row, TimePoint Now, Actions &Out);
  const Candidate *choose(const RequestRow &Row);
  void settle(RequestRow &Row, Outcome Result, OutcomeReason Reason,
              Actions &Out);

  NodeRun Self;
  RandomSource &Random;
  std::uint64_t NextSequence = 1;
  std::uint64_t LateReplies = 0;
  std::vector<Candidate> Candidates;
  std::map<NodeId, Incarnation> Reachable;
  std::map<RequestId, RequestRow> Requests;
  std::map<std::uint64_t, AttemptRow> Attempts;
};

} // namespace hyssopford
