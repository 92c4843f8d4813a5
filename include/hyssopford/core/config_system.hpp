/// @file
/// @brief How a node learns, spreads and changes the configuration.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/config_codec.hpp"
#include "hyssopford/core/config_event.hpp"
#include "hyssopford/core/config_message.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/patch_writer.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Adopts only higher versions, from peers and from the store, and
/// announces them on all links. docs/configuration.md describes the protocol.
class ConfigSystem {
public:
  /// Waiting time of one watch.
  static constexpr Duration WatchTime = 30s;
  /// Time in which a starting node learns what its peers have. Without this a
  /// restarted node could put an older value of the store in force.
  static constexpr Duration StartTime = 2s;
  /// Time after the first peer's answer in which others are heard as well.
  static constexpr Duration SettleTime = 300ms;
  /// Latest end of the start, if a version that a peer announced never comes.
  static constexpr Duration StartLimit = 10s;
  /// Time for the answer to a ConfigRequest.
  static constexpr Duration FetchTimeout = 700ms;
  /// First and longest time between two tries to reach the store.
  static constexpr Duration FirstBackoff = 250ms;
  static constexpr Duration LastBackoff = 2s;
  /// Time between two notices about a store that serves an older version.
  static constexpr Duration OlderNoticePeriod = 60s;

  /// @param Json the JSON form of the configuration
  /// @param Source source of jitter and of the choice of peers
  ConfigSystem(const ConfigCodec &Json, RandomSource &Source,
               const StartSettings &Chosen = {});
  ConfigSystem(const ConfigSystem &) = delete;
  ConfigSystem &operator=(const ConfigSystem &) = delete;

  /// @name Inputs
  /// @{
  void submit(const PatchSubmitted &Input, TimePoint Now, Actions &Out);
  void requestHistory(const HistoryRequested &Input, TimePoint Now,
                      Actions &Out);
  void receive(NodeRun From, const ConfigDigest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ConfigRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ConfigPush &Message, TimePoint Now,
               Actions &Out);
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);
  void linkDown(NodeId Peer);

  /// @brief Says whether this node is one of those that watch the store.
  void setWatching(bool Value, TimePoint Now);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return a configuration that came into force since the last call
  std::optional<RoutingConfig> takeAdopted();

  /// @return the version in force; 0 before the first
  std::uint64_t version() const { return Version; }

  /// @return the document in force as JSON
  const Payload &document() const { return Document; }

  /// @return whether the start is over
  bool started() const { return Started; }
  /// @}

private:
  struct Candidate {
    std::uint64_t Version = 0;
    Payload Document;
  };

  void offer(std::uint64_t Offered, const Payload &Text, TimePoint Now,
             Actions &Out);
  void putInForce(const Candidate &Next, Actions &Out);
  void endStart(TimePoint Now, Actions &Out);
  std::uint64_t highestOffer() const;
  void fetch(TimePoint Now, Actions &Out);
  void call(StoreOperation Operation, TimePoint End, Actions &Out);
  void readStore(TimePoint Now, Actions &Out);
  void takeStored(const StoreResult &Result, TimePoint Now, Actions &Out);
  void storeFailed(TimePoint Now);
  void finishHistory(const StoreResult &Result, std::uint64_t Call,
                     Actions &Out);

  const ConfigCodec &Codec;
  RandomSource &Random;
  StartSettings Settings;
  PatchWriter Writer;

  /// @name In force
  /// @{
  std::uint64_t Version = 0;
  Payload Document;
  /// The document as peers get it; empty until one asks.
  Payload Packed;
  std::optional<RoutingConfig> Adopted;
  /// Highest version whose document this node cannot read.
  std::uint64_t Unreadable = 0;
  /// @}

  /// @name Start
  /// @{
  bool Started = false;
  std::optional<TimePoint> Begin;
  std::optional<TimePoint> FirstOffer;
  std::optional<Candidate> Pending;
  /// @}

  /// @name Peers
  /// @{
  std::map<NodeId, bool> Links;
  /// Versions that linked peers have stated.
  std::map<NodeId, std::uint64_t> Offers;
  std::optional<NodeId> Asked;
  TimePoint AskEnd;
  /// @}

  /// @name Store
  /// @{
  bool Watching = false;
  bool StoreAnswered = false;
  std::uint64_t LastCall = 0;
  std::uint64_t OpenCall = 0;
  TimePoint CallEnd;
  TimePoint LastTick;
  std::uint64_t Revision = 0;
  Duration Backoff = FirstBackoff;
  TimePoint NextStoreCall;
  std::optional<TimePoint> NextOlderNotice;
  std::map<std::uint64_t, HistoryRequested> HistoryCalls;
  /// @}
};

} // namespace hyssopford
