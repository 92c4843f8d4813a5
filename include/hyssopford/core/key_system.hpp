/// @file
/// @brief At-most-once execution by idempotency keys.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/key_holder.hpp"
#include "hyssopford/core/key_rules.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/roster_system.hpp"
#include "hyssopford/core/timer_set.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief A request whose key was granted, and which may therefore run.
struct ClaimedRequest {
  CallerRequest Request;
  Route Matched;
};

/// @brief Claims the keys of non-idempotent requests at their ingress, and runs
/// the holder and the rosters of this node.
class KeySystem {
public:
  /// Time after which unanswered claims are sent again.
  static constexpr Duration ClaimRetryPeriod = 50ms;
  /// Time after which a round with a refusal ends although some holders have
  /// not answered, so that two claims cannot block each other until their
  /// deadlines.
  static constexpr Duration RoundTimeout = 200ms;
  /// Bounds of the jittered wait between two rounds of claims.
  static constexpr Duration MinBackoff = 10ms;
  static constexpr Duration MaxBackoff = 200ms;
  /// Bounds of the time between two deliveries of a release or an outcome; it
  /// doubles with each delivery.
  static constexpr Duration MinDeliveryPeriod = 50ms;
  static constexpr Duration MaxDeliveryPeriod = 5s;
  /// Time after which the delivery to an unresponsive holder is given up.
  static constexpr Duration DeliveryTimeout = 10min;
  /// Largest number of pending deliveries; beyond it keyed requests are
  /// refused.
  static constexpr std::size_t MaxDeliveries = 100'000;
  /// Longest accepted key in bytes.
  static constexpr std::size_t MaxKeyLength = 255;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Settings limits and times of the tables of keys
  /// @param Random source of jitter
  KeySystem(NodeRun Self, const KeySettings &Settings, RandomSource &Random);
  KeySystem(const KeySystem &) = delete;
  KeySystem &operator=(const KeySystem &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Claims the key of a request that has one and is not idempotent. The
  /// request then either comes from takeClaimed or ends with ReplyToCaller.
  /// @param Request the request
  /// @param Matched its route
  /// @return false if the request may run without a claim
  bool beginClaim(const CallerRequest &Request, const Route &Matched,
                  TimePoint Now, Actions &Out);

  /// @brief Handles the disconnection of a caller. A request that already runs
  /// continues, so that a repeat gets its answer.
  /// @return whether this system handles the request
  bool callerGone(RequestId Id, TimePoint Now, Actions &Out);

  /// @brief Records the result of a request that ran under a claim, or releases
  /// the claim if the request did not run. Other requests are ignored.
  /// @param Reply the answer to the request
  /// @return false if the caller of a claimed request has disconnected
  bool finishRequest(const ReplyToCaller &Reply, TimePoint Now, Actions &Out);

  /// @brief Handles a message from a peer.
  /// @param From the run that sent the message
  void receive(NodeRun From, const KeyClaim &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const KeyClaimReply &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const KeyRelease &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const KeyOutcome &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const KeyAck &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const SealRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const SealReply &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const RosterRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const RosterUpdate &Message, TimePoint Now,
               Actions &Out);

  /// @brief Handles the result of a store call; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Records that a link to a peer has become usable.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Records that a link to a peer is lost.
  void linkDown(NodeId Peer);

  /// @brief Limits the wait for claims to the time left before the end of the
  /// node.
  /// @param AnswerBy when the last request must be answered
  void limitWork(TimePoint AnswerBy, TimePoint Now);

  /// @brief Starts the time limit of the handover of this node's records.
  void leave(TimePoint Now) { LeaveUntil = Now + Settings.HandoverLimit; }

  /// @brief Runs the timers.
  /// @param Members the member table
  /// @param Config the configuration in force
  void tick(const RosterSystem::MemberRecords &Members,
            const RoutingConfig &Config, TimePoint Now, Actions &Out);

  /// @return the requests whose keys were granted since the last call
  std::vector<ClaimedRequest> takeClaimed();
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether this node may end: no request has a claim, results are
  /// delivered, and records are handed over or the time for that is over
  bool idle() const;

  /// @return the number of requests that have or wait for a claim
  std::size_t inFlight() const { return Requests.size(); }

  /// @return the number of records that this node holds
  std::size_t records() const { return Holder.size(); }

  /// @return the largest number of records that this node can hold
  std::size_t capacity() const { return Settings.MaxRecords; }

  const KeyHolder &holder() const { return Holder; }
  const RosterSystem &rosters() const { return Rosters; }
  /// @}

private:
  struct HolderRow {
    RosterMember Member;
    std::optional<KeyVerdict> Verdict;
  };

  /// One round of claims of a request.
  struct ClaimRow {
    ClaimId Id;
    std::uint64_t Epoch = 0;
    TimePoint Started;
    std::vector<HolderRow> Holders;
  };

  struct RequestRow {
    CallerRequest Request;
    Route Matched;
    std::uint64_t Hash = 0;
    TimePoint Deadline;
    std::optional<ClaimRow> Claim;
    Duration Backoff = MinBackoff;
    bool Running = false;
    bool CallerWaits = true;
    /// True once a holder reported another claim, whose request may have run.
    bool SawOtherClaim = false;
    /// True once a holder reported that a different request has the key.
    bool SawReuse = false;
  };

  /// A release or an outcome that is being delivered to the holders.
  struct DeliveryRow {
    std::variant<KeyRelease, KeyOutcome> Message;
    std::uint64_t Epoch = 0;
    /// Holders that have not confirmed the message.
    std::vector<RosterMember> Unconfirmed;
    Duration Interval = MinDeliveryPeriod;
    TimePoint Until;
  };

  void startRound(RequestRow &Row, TimePoint Now, Actions &Out);
  void retryClaims(RequestRow &Row, TimePoint Now, Actions &Out);
  void sendClaims(const RequestRow &Row, std::optional<NodeId> Only,
                  TimePoint Now, Actions &Out);
  void evaluateVerdicts(RequestRow &Row, TimePoint Now, Actions &Out);
  void endRound(RequestRow &Row, TimePoint Now, Actions &Out);
  void expire(RequestRow &Row, TimePoint Now, Actions &Out);
  void reply(const RequestRow &Row, const ReplyToCaller &Answer, Actions &Out);
  void refuse(RequestId Id, Outcome Result, OutcomeReason Reason, TimePoint Now,
              Actions &Out);
  void replay(RequestId Id, const KeyResult &Result, TimePoint Now,
              Actions &Out);
  void erase(RequestId Id);
  void releaseClaim(RequestRow &Row, TimePoint Now, Actions &Out);
  void deliver(const RequestRow &Row,
               std::variant<KeyRelease, KeyOutcome> Message, TimePoint Now,
               Actions &Out);
  void sendDelivery(const ClaimId &Id, Actions &Out) const;
  void addHolders(DeliveryRow &Row) const;
  void adoptRosters(TimePoint Now, Actions &Out);
  void send(const RosterMember &To, PeerMessage Message, Actions &Out) const;

  NodeRun Self;
  KeySettings Settings;
  KeyRules StandardRules;
  const KeyRules &Rules;
  RandomSource &Random;
  KeyHolder Holder;
  RosterSystem Rosters;
  std::uint64_t NextSequence = 1;
  /// Latest deadline of a request; limitWork lowers it.
  TimePoint LatestDeadline = TimePoint::max();
  std::optional<TimePoint> LeaveUntil;
  bool HandoverTimedOut = false;
  std::set<NodeId> Links;
  std::map<RequestId, RequestRow> Requests;
  std::map<ClaimId, RequestId> Claims;
  std::map<ClaimId, DeliveryRow> Deliveries;
  TimerSet<RequestId> RequestTimers;
  TimerSet<ClaimId> DeliveryTimers;
  std::vector<ClaimedRequest> Claimed;
  /// Services whose roster is needed but not known or outdated.
  std::set<std::string> MissingRosters;
};

} // namespace hyssopford
