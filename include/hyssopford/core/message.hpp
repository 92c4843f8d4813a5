/// @file
/// @brief Messages between nodes.
#pragma once

#include "hyssopford/core/config_message.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/key_message.hpp"
#include "hyssopford/core/load_report.hpp"
#include "hyssopford/core/membership_message.hpp"
#include "hyssopford/core/outcome.hpp"
#include "hyssopford/core/payload.hpp"
#include "hyssopford/core/quarantine_message.hpp"
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
  /// Run of the owner that is meant; any other run refuses.
  Incarnation Owner;
  std::string Service;
  std::string Route;
  /// Time left when the frame was sent.
  Duration Remaining{0};
  Priority Class = Priority::Normal;
  bool Idempotent = false;
  /// True for a retry or a hedge, here or at an earlier hop.
  bool IsExtra = false;
  /// Hash of route, method and body.
  std::uint64_t Fingerprint = 0;
  TraceContext Trace;
  Payload Request;
  /// True if the ingress knows other candidates, so that the owner may refuse
  /// what it could only start later.
  bool MayHandBack = false;
  /// Time left in which the answer is wanted; 0 if none is stated.
  Duration Target{0};

  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// @brief Ends one attempt.
struct DispatchReply {
  AttemptId Attempt;
  Outcome Result = Outcome::Unknown;
  OutcomeReason Reason = OutcomeReason::None;
  /// HTTP status of the upstream's answer; 0 if there is none.
  std::uint16_t Status = 0;
  /// Time from the arrival of the Dispatch at the owner to this reply; the
  /// ingress subtracts it to get the round trip. 0 means not stated.
  Duration Held{0};
  LoadReport Load;
  Payload Answer;

  friend bool operator==(const DispatchReply &,
                         const DispatchReply &) = default;
};

/// @brief Tells an owner that nobody waits for an attempt any more.
struct Cancel {
  AttemptId Attempt;

  friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// @brief Asks what became of an attempt after its link was lost. A queued
/// attempt is cancelled by this query.
struct StatusQuery {
  AttemptId Attempt;
  /// Run of the owner that received the attempt.
  Incarnation Owner;

  friend bool operator==(const StatusQuery &, const StatusQuery &) = default;
};

/// @brief What an owner knows of an attempt.
enum class AttemptState : std::uint8_t {
  /// It will never run: unknown to this run and now barred, or cancelled.
  WillNotRun,
  /// It runs; a DispatchReply follows on this link.
  Running,
  /// It has ended; a DispatchReply follows on this link.
  Finished,
  /// This run of the owner cannot tell.
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
                 SealReply, RosterRequest, RosterUpdate, QuarantineNotice>;

} // namespace hyssopford
