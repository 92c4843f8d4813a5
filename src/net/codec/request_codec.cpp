#include "codec.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace hyssopford::codec {

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
encodeBytes(Builder &Out, std::string_view Bytes) {
  return Out.CreateVector(reinterpret_cast<const std::uint8_t *>(Bytes.data()),
                          Bytes.size());
}

Payload decodeBytes(const flatbuffers::Vector<std::uint8_t> &Bytes,
                    const Payload *Source) {
  const char *const Data = reinterpret_cast<const char *>(Bytes.data());
  if (Source != nullptr) {
    const auto Offset = static_cast<std::size_t>(Data - Source->bytes().data());
    return Source->part(Offset, Bytes.size());
  }
  return Payload(std::string(Data, Bytes.size()));
}

namespace {

/// Longest cold time that is read; keeps sums of times from overflowing.
constexpr Duration ColdTimeMax = 3'600s;

wire::TraceContext encodeTrace(const TraceContext &Value) {
  return {Value.TraceHigh, Value.TraceLow, Value.ParentSpan, Value.Sampled};
}

TraceContext decodeTrace(const wire::TraceContext &Value) {
  return {Value.trace_high(), Value.trace_low(), Value.parent_span(),
          Value.sampled()};
}

} // namespace

wire::NodeRun encodeRun(const NodeRun &Value) {
  return {Value.Node.Value, Value.Run.Value};
}

NodeRun decodeRun(const wire::NodeRun &Value) {
  return {NodeId{Value.node()}, Incarnation{Value.run()}};
}

wire::AttemptId encodeAttempt(const AttemptId &Value) {
  return {encodeRun(Value.Ingress), Value.Sequence};
}

AttemptId decodeAttempt(const wire::AttemptId &Value) {
  return {decodeRun(Value.ingress()), Value.sequence()};
}

flatbuffers::Offset<wire::Dispatch> encode(Builder &Out,
                                           const Dispatch &Value) {
  const auto Request = encodeBytes(Out, Value.Request.bytes());
  const auto Service = Out.CreateString(Value.Service);
  const auto Route = Out.CreateString(Value.Route);
  const auto Account = Value.Account.empty()
                           ? flatbuffers::Offset<flatbuffers::String>()
                           : Out.CreateString(Value.Account);
  const wire::AttemptId Attempt = encodeAttempt(Value.Attempt);
  const wire::TraceContext Trace = encodeTrace(Value.Trace);
  return wire::CreateDispatch(
      Out, &Attempt, Value.Owner.Value, Service, Route, Value.Remaining.count(),
      static_cast<std::uint8_t>(Value.Class), Value.Idempotent, Value.IsExtra,
      Value.Fingerprint, &Trace, Request, Value.MayHandBack,
      Value.Target.count(), Account, Value.CredentialTime.count());
}

std::optional<Dispatch> decode(const wire::Dispatch &Value,
                               const Payload *Source) {
  Dispatch Result;
  if (!decodeEnum(Value.priority(), Priority::Lowest, Result.Class)) {
    return std::nullopt;
  }
  Result.Attempt = decodeAttempt(*Value.attempt());
  Result.Owner = Incarnation{Value.owner()};
  Result.Service = text(*Value.service());
  Result.Route = text(*Value.route());
  Result.Remaining = Duration(Value.remaining_us());
  Result.Idempotent = Value.idempotent();
  Result.IsExtra = Value.is_extra();
  Result.Fingerprint = Value.fingerprint();
  Result.Trace = decodeTrace(*Value.trace());
  Result.Request = decodeBytes(*Value.request(), Source);
  Result.MayHandBack = Value.may_hand_back();
  Result.Target = Duration(Value.target_us());
  if (Value.account() != nullptr) {
    Result.Account = text(*Value.account());
  }
  Result.CredentialTime = Duration(Value.credential_us());
  return Result;
}

flatbuffers::Offset<wire::DispatchReply> encode(Builder &Out,
                                                const DispatchReply &Value) {
  const auto Answer = encodeBytes(Out, Value.Answer.bytes());
  const wire::AttemptId Attempt = encodeAttempt(Value.Attempt);
  const wire::LoadReport Load(Value.Load.Sequence, Value.Load.InFlight,
                              Value.Load.Queued, Value.Load.Limit,
                              Value.Load.ServiceTime.count(),
                              Value.Load.Age.count(), Value.Load.Slow);
  return wire::CreateDispatchReply(
      Out, &Attempt, static_cast<std::uint8_t>(Value.Result),
      static_cast<std::uint8_t>(Value.Reason), Value.Status, &Load, Answer,
      Value.Held.count(), Value.Load.ColdRate, Value.Load.ColdTime.count());
}

std::optional<DispatchReply> decode(const wire::DispatchReply &Value,
                                    const Payload *Source) {
  DispatchReply Result;
  if (!decodeEnum(Value.result(), Outcome::Unknown, Result.Result) ||
      !decodeEnum(Value.reason(), LastOutcomeReason, Result.Reason)) {
    return std::nullopt;
  }
  Result.Attempt = decodeAttempt(*Value.attempt());
  Result.Status = Value.status();
  Result.Held = Duration(Value.held_us());
  const wire::LoadReport &Load = *Value.load();
  Result.Load = LoadReport{
      Load.sequence(),
      Load.in_flight(),
      Load.queued(),
      Load.limit(),
      Duration(Load.service_time_us()),
      Duration(Load.age_us()),
      Load.slow(),
      std::isfinite(Value.cold_rate()) && Value.cold_rate() > 0.0
          ? Value.cold_rate()
          : 0.0,
      std::clamp(Duration(Value.cold_us()), Duration{0}, ColdTimeMax)};
  Result.Answer = decodeBytes(*Value.answer(), Source);
  return Result;
}

flatbuffers::Offset<wire::Cancel> encode(Builder &Out, const Cancel &Value) {
  const wire::AttemptId Attempt = encodeAttempt(Value.Attempt);
  return wire::CreateCancel(Out, &Attempt);
}

std::optional<Cancel> decode(const wire::Cancel &Value) {
  return Cancel{decodeAttempt(*Value.attempt())};
}

flatbuffers::Offset<wire::StatusQuery> encode(Builder &Out,
                                              const StatusQuery &Value) {
  const wire::AttemptId Attempt = encodeAttempt(Value.Attempt);
  return wire::CreateStatusQuery(Out, &Attempt, Value.Owner.Value);
}

std::optional<StatusQuery> decode(const wire::StatusQuery &Value) {
  return StatusQuery{decodeAttempt(*Value.attempt()),
                     Incarnation{Value.owner()}};
}

flatbuffers::Offset<wire::StatusReply> encode(Builder &Out,
                                              const StatusReply &Value) {
  const wire::AttemptId Attempt = encodeAttempt(Value.Attempt);
  return wire::CreateStatusReply(Out, &Attempt,
                                 static_cast<std::uint8_t>(Value.State));
}

std::optional<StatusReply> decode(const wire::StatusReply &Value) {
  StatusReply Result;
  if (!decodeEnum(Value.state(), AttemptState::CannotTell, Result.State)) {
    return std::nullopt;
  }
  Result.Attempt = decodeAttempt(*Value.attempt());
  return Result;
}

} // namespace hyssopford::codec
