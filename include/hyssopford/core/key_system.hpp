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

/// @brief A keyed request whose key was granted and that may run now.
struct ClaimedRequest {
  CallerRequest Request;
  Route Matched;
};

/// @brief Claims the keys of non-idempotent requests at their ingress, and
/// joins the holder and the rosters of this node.
class KeySystem {
public:
  /// Time after which unanswered claims are repeated.
  static constexpr Duration ClaimRepeat = 50ms;
  /// Time after which a round with a refusal ends although holders are
  /// silent, so that two claims cannot block each other until their deadlines.
  static constexpr Duration RoundLimit = 200ms;
  /// Bounds of the jittered wait between two rounds of claims.
  static constexpr Duration BackoffStart = 10ms;
  static constexpr Duration BackoffLimit = 200ms;
  /// Bounds of the wait between two deliveries of a release or an outcome.
  static constexpr Duration DeliveryRepeat = 50ms;
  static constexpr Duration DeliveryLimit = 5s;
  /// Time after which the delivery to a silent holder is given up.
  static constexpr Duration DeliveryTime = 10min;
  /// Most deliveries under way; beyond it keyed requests are refused.
  static constexpr std::size_t MaxDeliveries = 100'000;
  /// Longest accepted key in bytes.
  static constexpr std::size_t MaxKeyLength = 255;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Settings limits and times
  /// @param Random source of jitter
  KeySystem(NodeRun Self, const KeySettings &Settings, RandomSource &Random);
  KeySystem(const KeySystem &) = delete;
  KeySystem &operator=(const KeySystem &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Takes a request if it needs a claim, i.e. it has a key and is not
  /// idempotent. It ends with takeClaimed or with ReplyToCaller.
  /// @return false if the request may run without a claim
  bool beginClaim(const CallerRequest &Request, const Route &Matched,
                  TimePoint Now, Actions &Out);

  /// @brief Notes that a caller has gone. A request that already runs goes on,
  /// so that a repeat gets its answer.
  /// @return whether the request has a claim here
  bool callerGone(RequestId Id, TimePoint Now, Actions &Out);

  /// @brief Takes the end of a request that may have run under a claim.
  /// @param Reply the answer; Result of a claimed request is recorded
  /// @return false if the caller of a claimed request has gone
  bool finishRequest(const ReplyToCaller &Reply, TimePoint Now, Actions &Out);

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

  /// @brief Takes the end of a store call; numbers of others are ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer can be reached.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer cannot be reached.
  void linkDown(NodeId Peer);

  /// @brief Starts the handover of this node's records.
  void leave(TimePoint Now) { LeaveUntil = Now + Settings.HandoverLimit; }

  /// @brief Runs the timers.
  /// @param Members the member table
  /// @param Config the configuration in force
  void tick(const RosterSystem::MemberTable &Members,
            const RoutingConfig &Config, TimePoint Now, Actions &Out);

  /// @return the requests that may run now; each is returned once
  std::vector<ClaimedRequest> takeClaimed();
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether nothing of this node is needed any more: no request has
  /// a claim, results are delivered, and records are handed over
  bool idle() const;

  /// @return the number of requests that have or seek a claim
  std::size_t inFlight() const { return Requests.size(); }

  /// @return the number of records that this node holds
  std::size_t records() const { return Holder.size(); }

  /// @return the most records that this node holds
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
    Duration Backoff = BackoffStart;
    bool Running = false;
    bool CallerWaits = true;
    /// True once a holder named another claim: that one may have run.
    bool SawOther = false;
    /// True once a holder had the key for another request.
    bool SawReuse = false;
  };

  /// A release or an outcome on its way to the holders.
  struct DeliveryRow {
    std::variant<KeyRelease, KeyOutcome> Message;
    std::uint64_t Epoch = 0;
    std::vector<RosterMember> Open;
    Duration Interval = DeliveryRepeat;
    TimePoint Until;
  };

  void startRound(RequestRow &Row, TimePoint Now, Actions &Out);
  void repeatClaims(RequestRow &Row, TimePoint Now, Actions &Out);
  void sendClaims(const RequestRow &Row, std::optional<NodeId> Only,
                  TimePoint Now, Actions &Out);
  void evaluate(RequestRow &Row, TimePoint Now, Actions &Out);
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
  std::optional<TimePoint> LeaveUntil;
  bool HandoverOver = false;
  std::set<NodeId> Links;
  std::map<RequestId, RequestRow> Requests;
  std::map<ClaimId, RequestId> Claims;
  std::map<ClaimId, DeliveryRow> Deliveries;
  TimerSet<RequestId> RequestTimers;
  TimerSet<ClaimId> DeliveryTimers;
  std::vector<ClaimedRequest> Claimed;
  /// Services for which a roster is wanted but not known.
  std::set<std::string> Asked;
};

} // namespace hyssopford
