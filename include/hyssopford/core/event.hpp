/// @file
/// @brief Inputs of the decision core.
#pragma once

#include "hyssopford/core/config_event.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/member.hpp"
#include "hyssopford/core/message.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/probe_purpose.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/store_call.hpp"
#include "hyssopford/core/time.hpp"
#include "hyssopford/core/trace_context.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace hyssopford {

/// @brief A complete, valid request of a caller was read.
struct CallerRequest {
  RequestId Id;
  std::string Method;
  /// Host without port, in lower case.
  std::string Host;
  /// Path without query.
  std::string Path;
  /// Remaining time stated by the caller.
  std::optional<Duration> Deadline;
  /// Priority class given by the previous hop, or High for a nested call; if
  /// empty, the class of the route applies.
  std::optional<Priority> Class;
  /// Value of the Idempotency-Key header; empty if there is none.
  std::string Key;
  /// Identifier that the caller gave the request; may be empty.
  std::string CallerRequestId;
  std::uint64_t BodyHash = 0;
  /// Hash of the credentials that the caller states; the same for all callers
  /// that state none.
  std::uint64_t CredentialsHash = 0;
  std::uint64_t BodySize = 0;
  /// True if the request is a retry or a hedge of an earlier hop.
  bool IsExtra = false;
  /// True if the sender has the address of the upstream on this VM: it is the
  /// upstream or a caller on the same VM.
  bool FromUpstreamAddress = false;
  /// True if the upstream on this VM makes the request while it runs another
  /// one. Set by the core.
  bool IsNestedCall = false;
  /// True if the request is served although the node is shutting down: it
  /// began to arrive before the shutdown, or the upstream on this VM makes it
  /// for a request that it is still running.
  bool ServeInShutdown = false;
  /// The only owner that may get the request; empty for any. Set by the core.
  std::optional<NodeId> OnlyOwner;
  /// Version of the configuration that chose the route. Set by the core.
  std::uint64_t ConfigVersion = 0;
  /// Digest of the API key that the request carries, if any.
  std::optional<KeyDigest> Credential;
  /// Name of the client account; empty for none. Set by the core.
  std::string Account;
  /// Time for which the credential may be relied on; 0 without limit. Set by
  /// the core.
  Duration CredentialTime{0};
  TraceContext Trace;
  /// The request in the form that is sent to the upstream.
  Payload Request;

  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

/// @brief The caller closed its connection before the answer was sent.
struct CallerGone {
  RequestId Id;

  friend bool operator==(const CallerGone &, const CallerGone &) = default;
};

/// @brief An authenticated link to a peer is usable.
struct PeerLinkUp {
  NodeRun Peer;

  friend bool operator==(const PeerLinkUp &, const PeerLinkUp &) = default;
};

/// @brief The link to a peer is lost, or could not be opened.
struct PeerLinkDown {
  NodeId Peer;

  friend bool operator==(const PeerLinkDown &, const PeerLinkDown &) = default;
};

/// @brief A peer sent a message.
struct PeerMessageReceived {
  NodeRun From;
  PeerMessage Message;

  friend bool operator==(const PeerMessageReceived &,
                         const PeerMessageReceived &) = default;
};

/// @brief The upstream answered an attempt completely.
struct UpstreamAnswered {
  AttemptId Attempt;
  std::uint16_t Status = 0;
  Payload Answer;
  /// True for status 503 with Retry-After: the upstream sheds load.
  bool Shedding = false;
  /// Time that a unit of work currently takes at the upstream, in percent of
  /// its normal time: 100 is normal, 200 is half the speed; 0 if not stated.
  std::uint32_t SlownessPercent = 0;

  friend bool operator==(const UpstreamAnswered &,
                         const UpstreamAnswered &) = default;
};

/// @brief An attempt ended without a complete answer.
struct UpstreamFailed {
  AttemptId Attempt;
  OutcomeReason Reason = OutcomeReason::UpstreamClosed;
  /// True if a byte of the request may have reached the upstream.
  bool BytesSent = true;

  friend bool operator==(const UpstreamFailed &,
                         const UpstreamFailed &) = default;
};

/// @brief The upstream on this VM announced itself or changed its state.
struct UpstreamAnnounced {
  std::string Service;
  std::uint32_t Slots = 1;
  UpstreamState State = UpstreamState::Serving;
  /// How long it states that it stays cold; 0 if it states none.
  Duration ColdTime{0};
  /// True if it has started, or returned after a crash, since the previous
  /// announcement.
  bool IsNewRun = false;

  friend bool operator==(const UpstreamAnnounced &,
                         const UpstreamAnnounced &) = default;
};

/// @brief The upstream on this VM is gone: it deregistered, did not renew its
/// announcement, or refuses connections.
struct UpstreamGone {
  /// True if it ended without deregistering.
  bool Crashed = false;
  /// Attempts that were forwarded but not sent yet, so that it ran none of
  /// them.
  std::vector<AttemptId> Unsent{};

  friend bool operator==(const UpstreamGone &, const UpstreamGone &) = default;
};

/// @brief A probe of the upstream ended.
struct ProbeFinished {
  bool Succeeded = false;
  Duration Elapsed{0};
  ProbePurpose Purpose = ProbePurpose::Health;
  /// As UpstreamAnswered::SlownessPercent.
  std::uint32_t SlownessPercent = 0;
  /// How long the answer states that the upstream stays cold; 0 if it does not
  /// state it.
  Duration ColdTime{0};
  /// Identifier of the upstream that answered; empty if it does not state it.
  std::string Instance{};

  friend bool operator==(const ProbeFinished &,
                         const ProbeFinished &) = default;
};

/// @brief A call to the store ended.
struct StoreReplied {
  /// Number of the StoreCall action that this replies to.
  std::uint64_t Call = 0;
  StoreResult Result;

  friend bool operator==(const StoreReplied &, const StoreReplied &) = default;
};

/// @brief The process is going to end. New requests are still served, but only
/// work that can be answered in time starts.
struct ShutdownScheduled {
  /// When the last request must be answered.
  TimePoint AnswerBy;

  friend bool operator==(const ShutdownScheduled &,
                         const ShutdownScheduled &) = default;
};

/// @brief The process was asked to shut down.
struct ShutdownRequested {
  friend bool operator==(const ShutdownRequested &,
                         const ShutdownRequested &) = default;
};

/// @brief Any input of the core.
using Event = std::variant<CallerRequest, CallerGone, PeerLinkUp, PeerLinkDown,
                           PeerMessageReceived, UpstreamAnswered,
                           UpstreamFailed, UpstreamAnnounced, UpstreamGone,
                           ProbeFinished, StoreReplied, ShutdownScheduled,
                           ShutdownRequested, PatchSubmitted, HistoryRequested>;

} // namespace hyssopford
