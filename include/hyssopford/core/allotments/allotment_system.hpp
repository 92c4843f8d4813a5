/// @file
/// @brief Allotments of client accounts over all nodes.
#pragma once

#include "hyssopford/core/allotments/allotment_counters.hpp"
#include "hyssopford/core/allotments/allotment_granter.hpp"
#include "hyssopford/core/allotments/allotment_holder.hpp"
#include "hyssopford/core/allotments/member_census.hpp"
#include "hyssopford/core/allotments/member_count.hpp"
#include "hyssopford/core/allotments/share_lender.hpp"
#include "hyssopford/core/decision_settings.hpp"

#include <array>
#include <optional>
#include <set>
#include <vector>

namespace hyssopford {

/// @brief What the allotments need to know about the members.
struct AllotmentMembers {
  const std::map<NodeId, MemberRecord> &Records;
  /// Number that grows with each change of a record.
  std::uint64_t Revision = 0;
  /// Whether the table has stopped growing since the start.
  bool Settled = false;
};

/// @brief Limits the requests of client accounts over all nodes. Each member
/// lends its share of the limits to the granter of each slot; granters hold
/// token buckets; ingress nodes ask them for tokens.
/// docs/design/allotments.md describes the protocol.
class AllotmentSystem {
public:
  /// Time after which a node that has met no other member may be the only one.
  /// The directory then shows whether it is.
  static constexpr Duration AloneTime = 2s;

  /// @param Run this run of this node
  /// @param Chosen settings
  AllotmentSystem(NodeRun Run, const AllotmentSettings &Chosen);

  /// @name Inputs
  /// @{

  /// @brief Applies the limits of a configuration.
  void adopt(const RoutingConfig &Config);

  /// @brief Takes a token for a request of an account with a limit. The request
  /// then either comes from takeAllotted or ends with ReplyToCaller. Retries
  /// and hedges of a request need no further token.
  /// @param Request the request; Account is set
  /// @param Matched its route
  /// @return false if the request may start now
  bool acquire(const CallerRequest &Request, const Route &Matched,
               TimePoint Now, Actions &Out) {
    return !Request.Account.empty() &&
           Holder.acquire(Request, Matched, Now, Out);
  }

  /// @brief Handles the disconnection of a caller.
  /// @return whether the request was waiting for a token
  bool callerGone(RequestId Id) { return Holder.callerGone(Id); }

  /// @brief Handles a message.
  /// @param From the run that sent it
  void receive(NodeRun From, const AllotmentRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const AllotmentGrant &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ShareRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ShareReply &Message, TimePoint Now,
               Actions &Out);

  /// @brief Handles the result of a store call; others are ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Sets whether answers of the store count.
  void setStoreProven(bool Value) { Census.setStoreProven(Value); }

  void linkUp(NodeId Peer, TimePoint Now, Actions &Out);
  void linkDown(NodeId Peer, TimePoint Now, Actions &Out);

  /// @brief Returns all shares, because the node shuts down.
  void leave(Actions &Out);

  /// @brief Takes over changes of the members and the configuration; called
  /// after each input.
  void sync(const AllotmentMembers &Members, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);

  /// @return the requests that got a token since the last call
  std::vector<AllottedRequest> takeAllotted() { return Holder.takeAllotted(); }
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the peers to which this node needs links: the granters
  const std::set<NodeId> &neededPeers() const { return Needed; }

  /// @return a number that grows when neededPeers changes
  std::uint64_t neededRevision() const { return NeededRevision; }

  /// @return the number of requests that wait for a token
  std::size_t waiting() const { return Holder.waiting(); }

  /// @return the counters since the start
  AllotmentCounters counters() const;

  /// @return the first granter of an account in the view of this node, if any
  std::optional<NodeId> granterOf(std::string_view Account) const;

  const AllotmentGranter &granter() const { return Granter; }

  /// @return the members that this node counts; 0 without allotments
  std::uint32_t memberCount(TimePoint Now) const {
    return Enabled ? Members.count(Now) : 0;
  }
  /// @}

private:
  void updateGranters(const AllotmentMembers &Members, TimePoint Now,
                      Actions &Out);
  std::uint32_t countToLend(TimePoint Now) const;
  /// Whether the members have had time to be found.
  bool isSettled(TimePoint Now) const;
  /// Whether this node grants, so that it needs evidence of the members.
  bool isGranter() const;
  /// Takes over the evidence of another member; 0 if it has none.
  void learnCount(std::uint32_t Stated, TimePoint Now, Actions &Out);
  /// Passes a change of the evidence to the granter.
  void updateCount(TimePoint Now, Actions &Out);
  /// Counts the messages that were appended since a position.
  void countMessages(const Actions &Out, std::size_t First);

  NodeRun Self;
  bool Enabled;
  bool HasLimits = false;
  AllotmentHolder Holder;
  AllotmentGranter Granter;
  ShareLender Lender;
  MemberCount Members;
  MemberCensus Census;
  /// The directory names more members than this node knows.
  bool IsReduced = false;
  std::optional<std::vector<ClientAccount>> PendingAccounts;
  std::array<bool, AllotmentSlots> UsedSlots{};
  std::array<std::vector<NodeId>, AllotmentSlots> Ranked;
  std::optional<std::uint64_t> SeenRevision;
  std::optional<TimePoint> Started;
  bool Settled = false;
  bool HasMet = false;
  bool Left = false;
  std::set<NodeId> Needed;
  std::uint64_t NeededRevision = 0;
  std::uint64_t Messages = 0;
};

} // namespace hyssopford
