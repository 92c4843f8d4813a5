/// @file
/// @brief Outputs of the decision core.
#pragma once

#include "hyssopford/core/config_event.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/message.hpp"
#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/probe_purpose.hpp"
#include "hyssopford/core/store_call.hpp"
#include "hyssopford/core/time.hpp"
#include "hyssopford/core/trace_context.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hyssopford {

/// @brief Sends a message to a peer; dropped if there is no usable link.
struct SendToPeer {
  NodeId To;
  PeerMessage Message;

  friend bool operator==(const SendToPeer &, const SendToPeer &) = default;
};

/// @brief Opens a link to a peer unless one exists.
struct OpenLink {
  NodeId Peer;
  /// Peer address, "ip:port".
  std::string Address;

  friend bool operator==(const OpenLink &, const OpenLink &) = default;
};

/// @brief Closes the link to a peer once its queued messages are sent.
struct CloseLink {
  NodeId Peer;

  friend bool operator==(const CloseLink &, const CloseLink &) = default;
};

/// @brief Sends a request to the upstream on this VM.
struct ForwardToUpstream {
  AttemptId Attempt;
  Duration Remaining{0};
  bool Idempotent = false;
  /// Passed on to the upstream, with the span of this hop as parent.
  TraceContext Trace;
  Priority Class = Priority::Normal;
  bool IsExtra = false;
  Payload Request;
  /// Name of the client account; empty for none.
  std::string Account{};

  friend bool operator==(const ForwardToUpstream &,
                         const ForwardToUpstream &) = default;
};

/// @brief Abandons a running attempt and closes its upstream connection.
struct CancelUpstream {
  AttemptId Attempt;

  friend bool operator==(const CancelUpstream &,
                         const CancelUpstream &) = default;
};

/// @brief Answers a caller.
struct ReplyToCaller {
  RequestId Id;
  Outcome Result = Outcome::Unknown;
  OutcomeReason Reason = OutcomeReason::None;
  std::uint16_t Status = 0;
  /// The upstream's answer; empty unless Result is Answered.
  Payload Answer;
  /// Time after which the caller may retry; 0 if unknown.
  Duration RetryAfter{0};
  /// Attempts made for this request, hedges included.
  std::uint32_t Attempts = 0;
  /// Node whose upstream answered.
  NodeId Owner;
  /// True if the answer is that of an earlier request with the same key.
  bool Replayed = false;

  friend bool operator==(const ReplyToCaller &,
                         const ReplyToCaller &) = default;
};

/// @brief Probes the upstream on this VM; ProbeFinished gives the result.
struct ProbeUpstream {
  Duration Timeout{0};
  ProbePurpose Purpose = ProbePurpose::Health;

  friend bool operator==(const ProbeUpstream &,
                         const ProbeUpstream &) = default;
};

/// @brief Calls the store; StoreReplied with the same number gives the result.
struct StoreCall {
  std::uint64_t Call = 0;
  StoreOperation Operation;
  /// Time for the answer, on top of the waiting time of a watch. A call without
  /// an answer by then ends as StoreStatus::NoAnswer. HttpStoreClient uses the
  /// limit of its settings instead.
  Duration Timeout = DefaultStoreTimeout;

  friend bool operator==(const StoreCall &, const StoreCall &) = default;
};

/// @brief Kind of hop that a span covers.
enum class SpanKind : std::uint8_t { Ingress, Peer, Queue, Upstream };

/// @brief Reports a finished span.
struct SpanFinished {
  SpanKind Kind = SpanKind::Ingress;
  /// Trace and parent of the span.
  TraceContext Trace;
  std::uint64_t Span = 0;
  TimePoint Start;
  TimePoint End;
  std::string Route;
  /// Peer of the hop, if any.
  NodeId Peer;
  Outcome Result = Outcome::Unknown;
  OutcomeReason Reason = OutcomeReason::None;
  bool IsExtra = false;

  friend bool operator==(const SpanFinished &, const SpanFinished &) = default;
};

/// @brief An event for the log and the metrics of the node.
struct Notice {
  /// Event name in snake case, e.g. "member_dead".
  std::string Event;
  /// Names and values of the event's log fields.
  std::vector<std::pair<std::string, std::string>> Fields;

  friend bool operator==(const Notice &, const Notice &) = default;
};

/// @brief Follows ShutdownRequested once nothing is in flight any more.
struct ShutdownComplete {
  friend bool operator==(const ShutdownComplete &,
                         const ShutdownComplete &) = default;
};

/// @brief Any output of the core.
using Action = std::variant<SendToPeer, OpenLink, CloseLink, ForwardToUpstream,
                            CancelUpstream, ReplyToCaller, ProbeUpstream,
                            StoreCall, SpanFinished, Notice, ShutdownComplete,
                            PatchResult, HistoryResult>;

/// @brief Outputs in the order in which they must be carried out.
using Actions = std::vector<Action>;

} // namespace hyssopford
