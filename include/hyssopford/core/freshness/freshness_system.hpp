/// @file
/// @brief Proof that the configuration in force is recent.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/config_message.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace hyssopford {

/// @brief Holds since when the configuration in force is proven to be the
/// newest: every version acknowledged before that time is at most the one in
/// force. Decides whether requests with a credential may be accepted.
/// docs/design/freshness.md describes the protocol.
class FreshnessSystem {
public:
  /// Least improvement of the proof that is passed on to peers, and least time
  /// between two such messages to a peer.
  static constexpr Duration PassOnStep = 250ms;
  static constexpr Duration PassOnPeriod = 500ms;
  /// A node whose own calls renewed the proof within this time does not pass on
  /// proofs of peers. Above the longest watch (1.05 s) and its answer time.
  static constexpr Duration OwnProofTime = 1500ms;
  /// Time that a caller is told to wait after a refusal.
  static constexpr Duration RetryAfter = 250ms;
  /// The usual transit time of a link, found from two clocks, may rise by one
  /// part in this many: clocks differ by at most 500 ppm each.
  static constexpr std::int64_t DriftDivisor = 1'000;

  /// @param Chosen limit of the age and reserve below it
  explicit FreshnessSystem(const FreshnessSettings &Chosen)
      : Settings(Chosen) {}

  /// @name Inputs
  /// All do nothing if the system is not enabled.
  /// @{

  /// @brief Sets the version in force. The proof stays valid, as the version
  /// only rises.
  void setVersion(std::uint64_t NewVersion);

  /// @brief Records an answer of the store without a newer version.
  /// @param ProvenAt start of the call, by the clock of this node
  /// @param IsWatching whether this node watches the store for others
  /// @param Now the current time
  /// @param Out receives the messages to peers
  void proveByStore(TimePoint ProvenAt, bool IsWatching, TimePoint Now,
                    Actions &Out);

  /// @brief Takes over the proof that a peer states, if it is of the version in
  /// force and better than the own one. A proof of a higher version is kept
  /// until that version is in force.
  void receive(NodeRun From, const ConfigDigest &Message, TimePoint Now,
               Actions &Out);

  /// @brief Sends the proof on a link that has become usable.
  void linkUp(NodeRun Peer, TimePoint Now, Actions &Out);
  void linkDown(NodeId Peer) { Links.erase(Peer); }

  /// @brief Passes on a proof that is due and reports that it has lapsed.
  void tick(TimePoint Now, Actions &Out);

  /// @brief Counts a request that was refused because timeLeft() was not
  /// positive.
  void countRefusal() { ++Refused; }
  /// @}

  /// @name Observers
  /// @{

  /// @return whether credentials need a proof
  bool enabled() const { return Settings.Limit > Duration{0}; }

  /// @return the age of the proof; none if there is no proof
  std::optional<Duration> age(TimePoint Now) const {
    return ProvenAt ? std::optional(Now - *ProvenAt) : std::nullopt;
  }

  /// @return the time for which a credential may be relied on; not positive if
  /// it must be refused
  Duration timeLeft(TimePoint Now) const {
    return ProvenAt ? *ProvenAt + validity() - Now : Duration{0};
  }

  /// @return the number of requests refused
  std::uint64_t refused() const { return Refused; }

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;
  /// @}

private:
  struct Link {
    /// Least difference between the clock of this node and the time stated in a
    /// message, and when it was found.
    std::optional<Duration> Offset;
    TimePoint OffsetAt;
    /// Proof of the version in force that the peer is known to have.
    TimePoint Known;
  };

  /// Proof of a version that is not in force yet.
  struct LaterProof {
    std::uint64_t Version = 0;
    TimePoint ProvenAt;
  };

  Duration validity() const { return Settings.Limit - Settings.Margin; }
  /// Time by which a message was under way longer than the fastest one.
  static Duration excessTransit(Link &From, Duration SentAt, TimePoint Now);
  /// @return whether the proof became better
  bool improve(TimePoint Proof, const char *Source, TimePoint Now,
               Actions &Out);
  /// Reports that the proof is valid again, if it had lapsed.
  void reportRecovery(const char *Source, TimePoint Now, Actions &Out);
  void send(NodeId Peer, TimePoint Now, Actions &Out);
  /// Sends the proof to the peers not known to have one almost as good.
  void sendToAll(Duration LeastGain, TimePoint Now, Actions &Out);
  void passOn(TimePoint Now, Actions &Out);

  FreshnessSettings Settings;
  std::uint64_t Version = 0;
  std::optional<TimePoint> ProvenAt;
  std::optional<LaterProof> Later;
  std::map<NodeId, Link> Links;
  /// The proof that was sent to all peers last, and when.
  TimePoint SentProof;
  TimePoint SentAt;
  /// When a proof of a peer is passed on, if one waits for it.
  std::optional<TimePoint> PassOnAt;
  /// When an answer of the store renewed the proof last.
  std::optional<TimePoint> OwnProofAt;
  /// When the node began to need a proof.
  std::optional<TimePoint> Begin;
  std::optional<TimePoint> LapsedAt;
  std::uint64_t Refused = 0;
};

} // namespace hyssopford
