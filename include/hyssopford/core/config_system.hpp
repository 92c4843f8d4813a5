/// @file
/// @brief Distribution of the configuration among nodes and the store.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/config_codec.hpp"
#include "hyssopford/core/config_event.hpp"
#include "hyssopford/core/config_message.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/evidence/store_evidence.hpp"
#include "hyssopford/core/patch_writer.hpp"
#include "hyssopford/core/random_source.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Puts versions from peers and from the store in force if they are
/// higher than the current one, and announces them on all links.
/// docs/configuration.md describes the protocol.
class ConfigSystem {
public:
  /// @name Bounds of the calls
  /// docs/configuration.md sums them up.
  /// @{
  /// Time after which a watch of the store ends without a change, and by how
  /// much each one is longer or shorter, so that watches do not end in step.
  static constexpr Duration WatchTime = 1s;
  static constexpr Duration WatchJitter = 50ms;
  /// Time after which a call without an answer is overdue and another one is
  /// sent beside it.
  static constexpr Duration AnswerTime = 400ms;
  /// Bounds of the time between a failed call and the next one of a node that
  /// watches the store or stands in for one that does.
  static constexpr Duration MinRetry = 100ms;
  static constexpr Duration MaxRetry = 300ms;
  /// Time after which an overdue call is given up.
  static constexpr Duration ReadTimeout = 2s;
  /// Largest number of calls without an answer at a time.
  static constexpr std::size_t OpenCallLimit = 5;
  /// Interval at which a watching node sends its digest to a deputy, and the
  /// time without one after which the deputy reads the store.
  static constexpr Duration DeputyPeriod = 400ms;
  static constexpr Duration DeputyTimeout = 1s;
  /// Time for which a deputy reads the store, in which another node becomes a
  /// watching one, and the interval at which it does.
  static constexpr Duration StandInTime = 5s;
  static constexpr Duration StandInPeriod = 600ms;
  /// Least time between two reads on behalf of peers, and between two requests
  /// to read.
  static constexpr Duration CheckPeriod = 500ms;
  /// Number of peers asked at a time.
  static constexpr std::size_t AskedPeers = 2;
  /// Least time between two reads of a watching node without a reason, up to
  /// half as much longer. They find what watches passed over.
  static constexpr Duration PlainReadPeriod = 40s;
  /// @}
  /// Time for which a starting node waits for the versions of its peers if the
  /// store may serve an older value, or does not answer.
  static constexpr Duration StartWait = 2s;
  /// Time after the first peer's version in which a starting node waits for
  /// those of others.
  static constexpr Duration SettleTime = 300ms;
  /// Time after which the start ends although a version that is known to exist
  /// has not arrived, or nothing shows that there is no newer one. It counts
  /// again from a rise of the store's era.
  static constexpr Duration StartTimeout = StoreEvidence::Limit;
  /// The same if the store has lost a version that is known to exist: operators
  /// write it again.
  static constexpr Duration LostVersionTimeout = 30s;
  /// Least time between two reads of the store by a node that waits for
  /// evidence; up to half as much is added at random.
  static constexpr Duration StartReadPeriod = 250ms;
  /// Bounds of the time for the answer to a ConfigRequest, which grows by 1 ms
  /// for each kB of the document in force.
  static constexpr Duration MinFetchTimeout = 250ms;
  static constexpr Duration MaxFetchTimeout = 700ms;
  /// Bounds of the time between two calls to a store that does not answer, at a
  /// node that does not watch it.
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
  /// @param Value whether it is
  /// @param Candidates nodes that may read the store in its place, the first
  /// one with a link is chosen
  /// @param Now the current time
  /// @param Out receives the actions
  void setWatching(bool Value, std::vector<NodeId> Candidates, TimePoint Now,
                   Actions &Out);

  /// @brief Sets the addresses by which nodes that know no peer find this one.
  void setContacts(std::vector<std::string> Addresses) {
    Evidence.setContacts(std::move(Addresses));
  }

  /// @brief Notes that a member with a version in force is in contact.
  void noteContact(TimePoint Now) { Evidence.noteContact(Now); }

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return addresses of peers found in the store since the last call
  std::vector<std::string> takeContacts() { return Evidence.takeContacts(); }

  /// @return whether answers of the store in its present era count as the
  /// newest
  bool storeProven() const { return Evidence.isProven(); }

  /// @return the configuration that came into force since the last call, if any
  std::optional<RoutingConfig> takeAdopted();

  /// @return the start of a call whose answer showed that no version higher
  /// than the one in force was in the store then, since the last call of this
  /// function
  std::optional<TimePoint> takeProof() {
    return std::exchange(Proof, std::nullopt);
  }

  /// @return whether this node is one of those that watch the store
  bool watching() const { return Watching; }

  /// @return the version in force; 0 before the first
  std::uint64_t version() const { return Version; }

  /// @return the document in force as JSON
  const Payload &document() const { return Document; }

  /// @return the node that reads the store if this one fails to watch it, to
  /// which it needs a link; none if this node does not watch
  std::optional<NodeId> deputy() const {
    return Watching && !Deputies.empty() ? std::optional(Deputies.front())
                                         : std::nullopt;
  }

  /// @return whether this node calls the store regularly: as a watching node,
  /// in place of one, or because it has no links
  bool readsStore(TimePoint Now) const { return Watching || standsIn(Now); }

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

  /// A call that has not ended.
  struct OpenCall {
    TimePoint Start;
    /// Time after which the client has given it up.
    TimePoint Deadline;
    bool IsWatch = false;
    /// Era of the store when the call started.
    std::uint64_t Era = 0;
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
  void callStore(StoreOperation Operation, TimePoint Now, Duration Wait,
                 Actions &Out);
  /// Reads or watches the head value, if this node has a reason to.
  void readStore(TimePoint Now, Actions &Out);
  void receiveHead(const OpenCall &Call, const StoreResult &Result,
                   TimePoint Now, Actions &Out);
  /// Whether the start may end with the pending version.
  bool hasStartEvidence(TimePoint Now) const;
  TimePoint startLimit() const;
  /// Whether the start waits although the store has answered.
  bool awaitsEvidence() const {
    return !Started && Settings.StoreIsAuthoritative && StoreAnsweredAt &&
           Pending;
  }
  /// Handles a value that is not a head value or has a lower version than the
  /// one in force.
  void rejectHead(const OpenCall &Call, const StoreResult &Result,
                  std::uint64_t HeadVersion, const std::string &Reason,
                  TimePoint Now, Actions &Out);
  /// Notes the era that a result states. After a rise, the revisions held are
  /// void.
  /// @return false if the result is of an earlier era
  bool noteEra(const StoreResult &Result, TimePoint Now, Actions &Out);
  /// Whether the store is known to hold the version in force or a higher one,
  /// in the era in which a call started.
  bool startedAtVersionInForce(const OpenCall &Call) const {
    return Call.Era == Evidence.era() && Revision != 0 &&
           StoredVersion >= Version;
  }
  /// Records that the version in force was the newest when a call started, if
  /// the store is known to hold the newest one.
  void recordProof(const OpenCall &Call) {
    if (Evidence.isProven() && StoredVersion >= Evidence.leastVersion()) {
      Proof = std::max(Proof.value_or(Call.Start), Call.Start);
    }
  }
  /// Plans the call after the latest one, which failed or is overdue.
  void storeFailed(const OpenCall &Call, const std::string &Reason,
                   TimePoint Now, Actions &Out);
  void endOverdueCalls(TimePoint Now, Actions &Out);
  /// Whether no peer can tell this node of a newer version.
  bool isIsolated() const { return Links.empty() && Version != 0; }
  /// Whether this node reads the store in place of a watching one.
  bool standsIn(TimePoint Now) const {
    return Now < StandInUntil || isIsolated();
  }
  void standIn(TimePoint Now);
  /// Asks some peers, each time others, to read the store.
  void askPeers(TimePoint Now, Actions &Out);
  void superviseWatchers(TimePoint Now, Actions &Out);
  Duration fetchTimeout() const;
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
  /// Hash of the last document that this node could not parse.
  std::optional<std::uint64_t> UnreadableDocument;
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
  /// Calls without an answer, by number.
  std::map<std::uint64_t, OpenCall> OpenCalls;
  /// The latest call until it has ended or is overdue, otherwise 0.
  std::uint64_t CurrentCall = 0;
  TimePoint OverdueAt;
  /// True from a failed call to the next answer: a watch might hang again, so
  /// the value is read first.
  bool Failing = false;
  TimePoint NextPlainRead;
  std::optional<TimePoint> StoreAnsweredAt;
  TimePoint LastTick;
  /// Revision of the highest head value read in this era of the store; 0 for
  /// none.
  std::uint64_t Revision = 0;
  /// Version of the head value that the store showed last.
  std::uint64_t StoredVersion = 0;
  StoreEvidence Evidence;
  std::optional<TimePoint> Proof;
  Duration Backoff = MinBackoff;
  TimePoint NextStoreCall;
  std::optional<TimePoint> NextOlderNotice;
  std::map<std::uint64_t, HistoryRequested> HistoryCalls;
  /// @}

  /// @name Supervision of the watching nodes
  /// @{
  std::vector<NodeId> Deputies;
  TimePoint NextDeputyDigest;
  /// Watching nodes for which this one is the deputy, and when the next digest
  /// of each is due.
  std::map<NodeId, TimePoint> Supervised;
  TimePoint StandInUntil;
  bool CheckRequested = false;
  TimePoint NextCheckRead;
  TimePoint NextAsk;
  /// The peer asked last.
  NodeId LastAsked;
  /// @}
};

} // namespace hyssopford
