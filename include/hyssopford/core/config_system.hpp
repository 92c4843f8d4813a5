/// @file
/// @brief Distribution of the configuration among nodes and the store.
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

/// @brief Puts versions from peers and from the store in force if they are
/// higher than the current one, and announces them on all links.
/// docs/configuration.md describes the protocol.
class ConfigSystem {
public:
  /// Time after which a watch of the store ends without a change.
  static constexpr Duration WatchTimeout = 30s;
  /// Time for which a starting node waits for the versions of its peers.
  /// Without this wait a restarted node could put an older value of the store
  /// in force.
  static constexpr Duration StartWait = 2s;
  /// Time after the first peer's version in which a starting node waits for
  /// those of others.
  static constexpr Duration SettleTime = 300ms;
  /// Time after which the start ends although a version that a peer announced
  /// has not arrived.
  static constexpr Duration StartTimeout = 10s;
  /// Time for the answer to a ConfigRequest.
  static constexpr Duration FetchTimeout = 700ms;
  /// Bounds of the time between two calls to a store that does not answer.
  static constexpr Duration MinBackoff = 250ms;
  static constexpr Duration MaxBackoff = 2s;
  /// Time between two notices about a store that serves an older version or an
  /// unreadable value.
  static constexpr Duration OlderNoticePeriod = 60s;

  /// @param Json codec of the JSON form of the configuration
  /// @param Source source of jitter and of the choice of peers
  /// @param Chosen constants of the start
  ConfigSystem(const ConfigCodec &Json, RandomSource &Source,
               const StartSettings &Chosen = {});
  ConfigSystem(const ConfigSystem &) = delete;
  ConfigSystem &operator=(const ConfigSystem &) = delete;

  /// @name Inputs
  /// @{
  /// @brief Submits an operator's patch. Ends with PatchResult.
  void submit(const PatchSubmitted &Input, TimePoint Now, Actions &Out);

  /// @brief Reads the history of changes. Ends with HistoryResult.
  void requestHistory(const HistoryRequested &Input, TimePoint Now,
                      Actions &Out);

  /// @brief Handles a message from a peer.
  /// @param From the run that sent the message
  void receive(NodeRun From, const ConfigDigest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ConfigRequest &Message, TimePoint Now,
               Actions &Out);
  void receive(NodeRun From, const ConfigPush &Message, TimePoint Now,
               Actions &Out);

  /// @brief Handles the result of a store call; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Records that a link to a peer has become usable.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);

  /// @brief Records that a link to a peer is lost.
  void linkDown(NodeId Peer);

  /// @brief Sets whether this node is one of those that watch the store.
  void setWatching(bool Value, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the configuration that came into force since the last call, if any
  std::optional<RoutingConfig> takeAdopted();

  /// @return the version in force; 0 before the first
  std::uint64_t version() const { return Version; }

  /// @return the document in force as JSON
  const Payload &document() const { return Document; }

  /// @return whether the start is over
  bool started() const { return Started; }

  /// @return when the store last answered a call of this system, if ever
  std::optional<TimePoint> storeAnsweredAt() const { return StoreAnsweredAt; }

  /// @return the time from the first message or answer that named the version
  /// in force until it came into force
  Duration applyDelay() const { return ApplyDelay; }
  /// @}

private:
  /// Where a version came from, for the log.
  struct Origin {
    const char *Source = "";
    /// The peer that sent it, if any.
    std::optional<NodeId> Peer;
    /// Revision in the store; 0 if a peer sent it.
    std::uint64_t Revision = 0;
  };

  struct Candidate {
    std::uint64_t Version = 0;
    Payload Document;
    Origin From;
  };

  /// Takes over a version that a submission found in or wrote to the store.
  void takeStored(TimePoint Now, Actions &Out);
  std::uint64_t heldVersion() const;
  void considerVersion(Candidate Offered, TimePoint Now, Actions &Out);
  void putInForce(const Candidate &Next, TimePoint Now, Actions &Out);
  void reportInForce(const Origin &From, TimePoint Now, Actions &Out);
  /// Records when a version higher than the one in force was first named.
  void noteVersion(std::uint64_t Named, TimePoint Now);
  void endStartIfReady(TimePoint Now, Actions &Out);
  std::uint64_t highestPeerVersion() const;
  void fetchFromPeer(TimePoint Now, Actions &Out);
  void callStore(StoreOperation Operation, TimePoint Now, TimePoint End,
                 Actions &Out);
  void readStore(TimePoint Now, Actions &Out);
  void receiveHead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void storeFailed(const std::string &Reason, TimePoint Now, Actions &Out);
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
  /// The compressed document for peers; empty until one requests it.
  Payload CompressedDocument;
  std::optional<RoutingConfig> Adopted;
  /// Last version whose document this node could not parse; 0 for none.
  std::uint64_t UnreadableVersion = 0;
  /// @}

  /// @name Delay of a version
  /// @{
  /// When each version above the one in force was first named to this node.
  std::map<std::uint64_t, TimePoint> NamedAt;
  Duration ApplyDelay{0};
  /// @}

  /// @name Start
  /// @{
  bool Started = false;
  std::optional<TimePoint> StartBegin;
  std::optional<TimePoint> FirstPeerVersionAt;
  std::optional<Candidate> Pending;
  /// @}

  /// @name Peers
  /// @{
  std::map<NodeId, bool> Links;
  /// Versions that linked peers have announced.
  std::map<NodeId, std::uint64_t> PeerVersions;
  std::optional<NodeId> FetchPeer;
  TimePoint FetchDeadline;
  TimePoint FetchStart;
  /// @}

  /// @name Store
  /// @{
  bool Watching = false;
  /// True once a call succeeded, or failed while peers were linked. Nodes that
  /// do not watch then leave further reads to those that do.
  bool StoreTried = false;
  std::uint64_t LastCall = 0;
  std::uint64_t OpenCall = 0;
  TimePoint CallDeadline;
  TimePoint CallStart;
  bool CallIsWatch = false;
  std::optional<TimePoint> StoreAnsweredAt;
  TimePoint LastTick;
  std::uint64_t Revision = 0;
  Duration Backoff = MinBackoff;
  TimePoint NextStoreCall;
  std::optional<TimePoint> NextOlderNotice;
  std::map<std::uint64_t, HistoryRequested> HistoryCalls;
  /// @}
};

} // namespace hyssopford
