/// @file
/// @brief Messages between nodes.
#pragma once

#include "hyssopford/core/allotments/allotment_message.hpp"
#include "hyssopford/core/config_message.hpp"
#include "hyssopford/core/evacuation/evacuation_message.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/key_message.hpp"
#include "hyssopford/core/load_report.hpp"
#include "hyssopford/core/membership_message.hpp"
#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/quarantine/quarantine_message.hpp"
#include "hyssopford/core/routing_config.hpp"
#include "hyssopford/core/time.hpp"
#include "hyssopford/core/trace_context.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssopford {

/// @brief Asks an owner to run one attempt.
struct Dispatch {
  AttemptId Attempt;
  /// Run of the owner that is addressed; any other run refuses the attempt.
  Incarnation Owner;
  std::string Service;
  std::string Route;
  /// Time left until the deadline when the frame was sent.
  Duration Remaining{0};
  Priority Class = Priority::Normal;
  bool Idempotent = false;
  /// True for a retry or a hedge, here or at an earlier hop.
  bool IsExtra = false;
  /// Identifies repeats of the request; see fingerprintOf.
  std::uint64_t Fingerprint = 0;
  TraceContext Trace;
  Payload Request;
  /// True if the ingress knows other candidates, so that the owner may refuse
  /// the attempt instead of queueing it.
  bool MayHandBack = false;
  /// Time left until the latency target of the route; 0 if there is none.
  Duration Target{0};
  /// Name of the client account; empty for none.
  std::string Account;
  /// Time left in which the attempt may start on the credential of its
  /// request; 0 without limit.
  Duration CredentialTime{0};

  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// @brief Tells the ingress how an attempt ended.
struct DispatchReply {
  AttemptId Attempt;
  Outcome Result = Outcome::Unknown;
  OutcomeReason Reason = OutcomeReason::None;
  /// HTTP status of the upstream's answer; 0 if there is none.
  std::uint16_t Status = 0;
  /// Time between the arrival of the Dispatch at the owner and this reply. The
  /// ingress subtracts it to measure the round trip. 0 means not stated.
  Duration Held{0};
  LoadReport Load;
  Payload Answer;

  friend bool operator==(const DispatchReply &,
                         const DispatchReply &) = default;
};

/// @brief Tells an owner that the result of an attempt is no longer needed.
struct Cancel {
  AttemptId Attempt;

  friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// @brief Asks for the state of an attempt, e.g. after its link was lost. The
/// query cancels an attempt that is still queued.
struct StatusQuery {
  AttemptId Attempt;
  /// Run of the owner that received the attempt.
  Incarnation Owner;

  friend bool operator==(const StatusQuery &, const StatusQuery &) = default;
};

/// @brief State of an attempt at its owner.
enum class AttemptState : std::uint8_t {
  /// It never runs: it was cancelled, or had not arrived and is refused from
  /// now on.
  WillNotRun,
  /// It runs; a DispatchReply follows on this link when it ends.
  Running,
  /// It has ended; a DispatchReply follows on this link.
  Finished,
  /// Unknown: it was sent to another run of the owner, or its reply is no
  /// longer kept.
  CannotTell
};

/// @brief Answers a StatusQuery.
struct StatusReply {
  AttemptId Attempt;
  AttemptState State = AttemptState::CannotTell;

  friend bool operator==(const StatusReply &, const StatusReply &) = default;
};

/// @brief Any message between nodes.
using PeerMessage =
    std::variant<Dispatch, DispatchReply, Cancel, StatusQuery, StatusReply,
                 Gossip, Ping, PingRequest, Ack, SyncRequest, SyncReply,
                 ConfigDigest, ConfigRequest, ConfigPush, KeyClaim,
                 KeyClaimReply, KeyRelease, KeyOutcome, KeyAck, SealRequest,
                 SealReply, RosterRequest, RosterUpdate, QuarantineNotice,
                 AllotmentRequest, AllotmentGrant, EvacuationNotice,
                 ShareRequest, ShareReply>;

} // namespace hyssopford
