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

/// @brief A complete, valid request of a caller has been read.
struct CallerRequest {
  RequestId Id;
  std::string Method;
  /// Host without port, in lower case.
  std::string Host;
  /// Path without query.
  std::string Path;
  /// Time left that the caller states.
  std::optional<Duration> Deadline;
  /// Class that a request of the upstream on this VM inherits.
  std::optional<Priority> Class;
  /// Value of Idempotency-Key; empty if there is none.
  std::string Key;
  /// Identifier under which the caller knows the request; may be empty.
  std::string CallerRequestId;
  std::uint64_t BodyHash = 0;
  std::uint64_t BodySize = 0;
  /// True if the request is, at an earlier hop, a retry or a hedge.
  bool IsExtra = false;
  /// True if the upstream on this VM makes the request while it runs another.
  bool IsNestedCall = false;
  /// True if the request is served although the node is shutting down: it
  /// began to arrive before, or belongs to one that the upstream on this VM is
  /// still running.
  bool ServeInShutdown = false;
  TraceContext Trace;
  /// The request in the form in which upstreams get it.
  Payload Request;

  friend bool operator==(const CallerRequest &,
                         const CallerRequest &) = default;
};

/// @brief The caller closed its connection before it got the answer.
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
  /// True for a 503 with Retry-After: the upstream sheds load.
  bool Shedding = false;
  /// Time that work takes at the upstream now, in percent of the usual; 0 if
  /// not stated.
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

  friend bool operator==(const UpstreamAnnounced &,
                         const UpstreamAnnounced &) = default;
};

/// @brief The upstream on this VM is gone: it left, did not renew its
/// announcement, or refuses connections.
struct UpstreamGone {
  /// True if it ended without leaving.
  bool Crashed = false;

  friend bool operator==(const UpstreamGone &, const UpstreamGone &) = default;
};

/// @brief A probe of the upstream ended.
struct ProbeFinished {
  bool Succeeded = false;
  Duration Elapsed{0};
  ProbePurpose Purpose = ProbePurpose::Health;
  /// As in UpstreamAnswered.
  std::uint32_t SlownessPercent = 0;

  friend bool operator==(const ProbeFinished &,
                         const ProbeFinished &) = default;
};

/// @brief A call to the store ended.
struct StoreReplied {
  /// Number of the StoreCall action.
  std::uint64_t Call = 0;
  StoreResult Result;

  friend bool operator==(const StoreReplied &, const StoreReplied &) = default;
};

/// @brief The process was asked to end.
struct ShutdownRequested {
  friend bool operator==(const ShutdownRequested &,
                         const ShutdownRequested &) = default;
};

/// @brief Any input of the core.
using Event =
    std::variant<CallerRequest, CallerGone, PeerLinkUp, PeerLinkDown,
                 PeerMessageReceived, UpstreamAnswered, UpstreamFailed,
                 UpstreamAnnounced, UpstreamGone, ProbeFinished, StoreReplied,
                 ShutdownRequested, PatchSubmitted, HistoryRequested>;

} // namespace hyssopford
