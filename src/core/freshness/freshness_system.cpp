#include "hyssopford/core/freshness/freshness_system.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace hyssopford {

namespace {

/// Longest usual transit time of a link, which is added to each age that a peer
/// states: comparing messages shows only how much one was slower than another.
constexpr Duration UsualTransitMax = 20ms;

/// Time after the start of a link in which its first message shows the usual
/// transit time.
constexpr Duration FirstMessageTime = 1s;
/// Time without a message after which the usual transit time of a link is no
/// longer known: it may have risen by 100 ms by the drift of the clocks. The
/// next message shows it again but proves nothing.
constexpr Duration OffsetLifetime = 100s;
/// Stands for a transit time that is not known; above every limit.
constexpr Duration UnknownTransit = 24h;

/// Proofs of peers are not passed on to a peer whose own one is known to be
/// less than this older: in a site where most nodes are linked, it would get
/// the same proof from all of them. 250 ms gave three times as many messages.
constexpr Duration PeerStep = 1s;

std::string milliseconds(Duration Value) { return std::to_string(Value / 1ms); }

} // namespace

void FreshnessSystem::setVersion(std::uint64_t NewVersion) {
  if (!enabled() || NewVersion <= Version) {
    return;
  }
  Version = NewVersion;
  for (auto &[Peer, Each] : Links) {
    Each.Known = TimePoint{};
  }
  if (Later && Later->Version == Version) {
    ProvenAt = std::max(ProvenAt.value_or(Later->ProvenAt), Later->ProvenAt);
  }
  if (Later && Later->Version <= Version) {
    Later.reset();
  }
}

void FreshnessSystem::proveByStore(TimePoint Proof, bool IsWatching,
                                   TimePoint Now, Actions &Out) {
  if (!enabled()) {
    return;
  }
  OwnProofAt = Now;
  if (!improve(Proof, "store", Now, Out)) {
    return;
  }
  if (IsWatching) {
    sendToAll(Duration{1}, Now, Out);
  } else {
    passOn(Now, Out);
  }
}

void FreshnessSystem::receive(NodeRun From, const ConfigDigest &Message,
                              TimePoint Now, Actions &Out) {
  const auto Found = Links.find(From.Node);
  if (!enabled() || Found == Links.end() || Message.SentAt == Duration{0}) {
    return;
  }
  const Duration Excess = excessTransit(Found->second, Message.SentAt, Now);
  if (!Message.FreshAge || *Message.FreshAge < Duration{0} ||
      *Message.FreshAge > Settings.Limit || Excess > Settings.Limit) {
    return;
  }
  const TimePoint Proof = Now - *Message.FreshAge - UsualTransitMax - Excess;
  if (Message.Version > Version) {
    if (!Later || Later->Version < Message.Version) {
      Later = LaterProof{Message.Version, Proof};
    } else if (Later->Version == Message.Version) {
      Later->ProvenAt = std::max(Later->ProvenAt, Proof);
    }
    return;
  }
  if (Message.Version < Version) {
    // The store may have lost the version in force and serve an older one as
    // the newest.
    return;
  }
  Found->second.Known = std::max(Found->second.Known, Proof);
  if (improve(Proof, "peer", Now, Out) &&
      (!OwnProofAt || *OwnProofAt + OwnProofTime <= Now)) {
    passOn(Now, Out);
  }
}

void FreshnessSystem::linkUp(NodeRun Peer, TimePoint Now, Actions &Out) {
  if (!enabled()) {
    return;
  }
  Links[Peer.Node] = Link{std::nullopt, Now, TimePoint{}};
  if (timeLeft(Now) > Duration{0}) {
    send(Peer.Node, Now, Out);
  } else {
    // Lets the peer find the usual transit time while the link is known to
    // work.
    Out.emplace_back(SendToPeer{
        Peer.Node, ConfigDigest{Version, Duration{0}, false, std::nullopt,
                                Now.time_since_epoch()}});
  }
}

void FreshnessSystem::tick(TimePoint Now, Actions &Out) {
  if (!enabled() || Version == 0) {
    return;
  }
  if (!Begin) {
    Begin = Now;
  }
  if (!LapsedAt && ProvenAt.value_or(*Begin) + validity() <= Now) {
    LapsedAt = Now;
    Out.emplace_back(
        Notice{"credentials_stale",
               {{"version", std::to_string(Version)},
                {"age_ms", ProvenAt ? milliseconds(Now - *ProvenAt) : "-"},
                {"limit_ms", milliseconds(Settings.Limit)}}});
  }
  // A peer may have stated the proof before its version came into force.
  reportRecovery("peer", Now, Out);
  if (PassOnAt && *PassOnAt <= Now) {
    PassOnAt.reset();
    sendToAll(PeerStep, Now, Out);
  }
}

std::optional<TimePoint> FreshnessSystem::nextWakeup() const {
  if (!enabled() || Version == 0) {
    return std::nullopt;
  }
  std::optional<TimePoint> Next = PassOnAt;
  if (!LapsedAt) {
    const TimePoint Lapse =
        Begin ? ProvenAt.value_or(*Begin) + validity() : TimePoint{};
    Next = Next ? std::min(*Next, Lapse) : Lapse;
  }
  return Next;
}

Duration FreshnessSystem::excessTransit(Link &From, Duration Stated,
                                        TimePoint Now) {
  // The clocks have different origins, so only the difference between messages
  // of a link has a meaning. It shows time in buffers of a frozen node, and in
  // retransmissions after a cut.
  const Duration Sample = Now.time_since_epoch() - Stated;
  const Duration Since = Now - std::exchange(From.OffsetAt, Now);
  if (!From.Offset && Since <= FirstMessageTime) {
    // It cannot have been under way for longer than the link exists.
    From.Offset = Sample - Since;
    return Since;
  }
  const bool IsKnown = From.Offset && Since <= OffsetLifetime;
  const Duration Usual =
      From.Offset ? *From.Offset + Since / DriftDivisor : Sample;
  From.Offset = std::min(Usual, Sample);
  return IsKnown ? Sample - *From.Offset : UnknownTransit;
}

bool FreshnessSystem::improve(TimePoint Proof, const char *Source,
                              TimePoint Now, Actions &Out) {
  if (ProvenAt && Proof <= *ProvenAt) {
    return false;
  }
  ProvenAt = Proof;
  reportRecovery(Source, Now, Out);
  return true;
}

void FreshnessSystem::reportRecovery(const char *Source, TimePoint Now,
                                     Actions &Out) {
  if (!LapsedAt || timeLeft(Now) <= Duration{0}) {
    return;
  }
  Out.emplace_back(Notice{"credentials_fresh",
                          {{"version", std::to_string(Version)},
                           {"source", Source},
                           {"age_ms", milliseconds(Now - *ProvenAt)},
                           {"stale_ms", milliseconds(Now - *LapsedAt)},
                           {"refused", std::to_string(Refused)}}});
  LapsedAt.reset();
}

void FreshnessSystem::send(NodeId Peer, TimePoint Now, Actions &Out) {
  Links[Peer].Known = *ProvenAt;
  Out.emplace_back(
      SendToPeer{Peer, ConfigDigest{Version, Duration{0}, false,
                                    Now - *ProvenAt, Now.time_since_epoch()}});
}

void FreshnessSystem::sendToAll(Duration LeastGain, TimePoint Now,
                                Actions &Out) {
  if (timeLeft(Now) <= Duration{0}) {
    return;
  }
  SentProof = *ProvenAt;
  SentAt = Now;
  PassOnAt.reset();
  for (const auto &[Peer, Each] : Links) {
    if (Each.Known + LeastGain <= *ProvenAt) {
      send(Peer, Now, Out);
    }
  }
}

void FreshnessSystem::passOn(TimePoint Now, Actions &Out) {
  if (*ProvenAt < SentProof + PassOnStep || PassOnAt) {
    return;
  }
  if (SentAt + PassOnPeriod <= Now) {
    sendToAll(PeerStep, Now, Out);
  } else {
    PassOnAt = SentAt + PassOnPeriod;
  }
}

} // namespace hyssopford
