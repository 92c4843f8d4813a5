/// @file
/// @brief The evacuated failure domains and how nodes learn of them.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/evacuation/evacuation_message.hpp"
#include "hyssopford/core/event.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hyssopford {

/// Prefix of the keys that name the evacuated failure domains.
inline constexpr const char *EvacuationPrefix = "evacuations/";

/// @brief Keeps the set of evacuated failure domains. Watching nodes read it
/// from the store; each node passes a changed set on to all linked peers, and
/// its set to each new link. The newer of two sets is that with the higher era
/// of the store, then with the higher revision.
class EvacuationSystem {
public:
  /// Time for which one watch waits. Every third call lists the keys, so that a
  /// node calls the store about once a second and finds changes that its
  /// watches missed within two waits.
  static constexpr Duration WatchTime = 1'500ms;
  /// Time for the answer on top of the wait. A lost watch must be noticed early
  /// enough to read the set within the bound of 5 s.
  static constexpr Duration AnswerTime = 700ms;
  /// Time after a failed call until the next one.
  static constexpr Duration RetryPeriod = 1s;
  /// Least time between the starts of two calls.
  static constexpr Duration CallPeriod = 250ms;

  /// @param Settings settings of evacuations
  explicit EvacuationSystem(const EvacuationSettings &Settings)
      : Enabled(Settings.Enabled) {}

  /// @name Inputs
  /// @{

  /// @brief Sets whether this node reads the store.
  void setWatching(bool Value, TimePoint Now);

  /// @brief Handles the set of a peer. An older one that differs is answered
  /// with the own set.
  void receive(NodeRun From, const EvacuationNotice &Message, Actions &Out);

  /// @brief Handles the end of a call to the store; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Sends the set to a new link, unless none is known.
  void linkUp(NodeRun Peer, Actions &Out);

  /// @brief Handles the loss of a link.
  void linkDown(NodeId Peer) { Links.erase(Peer); }

  /// @brief Calls the store if a call is due.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next call to the store, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return whether a failure domain is evacuated
  bool isEvacuated(const std::string &Domain) const {
    return Evacuated.contains(Domain);
  }

  /// @return the set in force; revision 0 before the first is known
  const EvacuationNotice &current() const { return Current; }

  /// @return a number that grows each time the set changes
  std::uint64_t changes() const { return Changes; }
  /// @}

private:
  void apply(EvacuationNotice New, std::optional<NodeId> From, Actions &Out);
  void call(TimePoint Now, Actions &Out);

  bool Enabled;
  EvacuationNotice Current;
  std::set<std::string> Evacuated;
  std::uint64_t Changes = 0;
  std::set<NodeId> Links;
  bool Watching = false;
  std::uint64_t LastCall = 0;
  /// Number of the call without an answer; 0 for none.
  std::uint64_t OpenCall = 0;
  /// When the next call is due or, while one is open, when it is given up.
  TimePoint NextCall;
  TimePoint CallStart;
  /// Revision up to which the store's keys are known; 0 to list them next.
  std::uint64_t KnownRevision = 0;
  /// Watches without a change since the keys were listed.
  std::uint32_t QuietWatches = 0;
};

} // namespace hyssopford
