#include "codec.hpp"

#include <vector>

namespace hyssopford::codec {

namespace {

wire::ClaimId encodeClaim(const ClaimId &Value) {
  return {encodeRun(Value.Ingress), Value.Sequence};
}

ClaimId decodeClaim(const wire::ClaimId &Value) {
  return {decodeRun(Value.ingress()), Value.sequence()};
}

flatbuffers::Offset<wire::KeyResult> encodeResult(Builder &Out,
                                                  const KeyResult &Value) {
  const auto Answer = encodeBytes(Out, Value.Answer.bytes());
  return wire::CreateKeyResult(Out, static_cast<std::uint8_t>(Value.Result),
                               static_cast<std::uint8_t>(Value.Reason),
                               Value.Status, Value.AnswerKept, Answer,
                               Value.Owner.Value);
}

bool decodeResult(const wire::KeyResult &Value, KeyResult &Result) {
  if (!decodeEnum(Value.result(), Outcome::Unknown, Result.Result) ||
      !decodeEnum(Value.reason(), LastOutcomeReason, Result.Reason)) {
    return false;
  }
  Result.Status = Value.status();
  Result.AnswerKept = Value.answer_kept();
  Result.Answer = decodeBytes(*Value.answer());
  Result.Owner = NodeId{Value.owner()};
  return true;
}

flatbuffers::Offset<wire::KeyRecord> encodeRecord(Builder &Out,
                                                  const KeyRecord &Value) {
  flatbuffers::Offset<wire::KeyResult> Result;
  if (Value.Finished) {
    Result = encodeResult(Out, Value.Result);
  }
  std::vector<wire::ClaimId> Encoded;
  Encoded.reserve(Value.Claims.size());
  for (const ClaimId &Each : Value.Claims) {
    Encoded.push_back(encodeClaim(Each));
  }
  const auto Claims = Out.CreateVectorOfStructs(Encoded);
  const auto Key = Out.CreateString(Value.Key);
  return wire::CreateKeyRecord(Out, Key, Value.RequestHash, Claims, Result,
                               Value.Remaining.count());
}

bool decodeRecord(const wire::KeyRecord &Value, KeyRecord &Record) {
  Record.Finished = Value.result() != nullptr;
  if (Record.Finished && !decodeResult(*Value.result(), Record.Result)) {
    return false;
  }
  Record.Key = text(*Value.key());
  Record.RequestHash = Value.request_hash();
  Record.Remaining = Duration(Value.remaining_us());
  Record.Claims.reserve(Value.claims()->size());
  for (const wire::ClaimId *Each : *Value.claims()) {
    Record.Claims.push_back(decodeClaim(*Each));
  }
  return true;
}

} // namespace

flatbuffers::Offset<wire::KeyClaim> encode(Builder &Out,
                                           const KeyClaim &Value) {
  const auto Service = Out.CreateString(Value.Service);
  const auto Key = Out.CreateString(Value.Key);
  const wire::ClaimId Claim = encodeClaim(Value.Claim);
  return wire::CreateKeyClaim(Out, Service, Value.Epoch, Key, Value.RequestHash,
                              &Claim, Value.Remaining.count());
}

std::optional<KeyClaim> decode(const wire::KeyClaim &Value) {
  return KeyClaim{text(*Value.service()),      Value.epoch(),
                  text(*Value.key()),          Value.request_hash(),
                  decodeClaim(*Value.claim()), Duration(Value.remaining_us())};
}

flatbuffers::Offset<wire::KeyClaimReply> encode(Builder &Out,
                                                const KeyClaimReply &Value) {
  flatbuffers::Offset<wire::KeyResult> Result;
  if (Value.Verdict == KeyVerdict::Finished) {
    Result = encodeResult(Out, Value.Result);
  }
  const wire::ClaimId Claim = encodeClaim(Value.Claim);
  const wire::ClaimId HeldBy = encodeClaim(Value.HeldBy);
  return wire::CreateKeyClaimReply(
      Out, &Claim, static_cast<std::uint8_t>(Value.Verdict), &HeldBy, Result);
}

std::optional<KeyClaimReply> decode(const wire::KeyClaimReply &Value) {
  KeyClaimReply Reply;
  if (!decodeEnum(Value.verdict(), KeyVerdict::Barred, Reply.Verdict)) {
    return std::nullopt;
  }
  const bool IsFinished = Reply.Verdict == KeyVerdict::Finished;
  if (IsFinished && (Value.result() == nullptr ||
                     !decodeResult(*Value.result(), Reply.Result))) {
    return std::nullopt;
  }
  Reply.Claim = decodeClaim(*Value.claim());
  Reply.HeldBy = decodeClaim(*Value.held_by());
  return Reply;
}

flatbuffers::Offset<wire::KeyRelease> encode(Builder &Out,
                                             const KeyRelease &Value) {
  const auto Service = Out.CreateString(Value.Service);
  const auto Key = Out.CreateString(Value.Key);
  const wire::ClaimId Claim = encodeClaim(Value.Claim);
  return wire::CreateKeyRelease(Out, Service, Key, &Claim);
}

std::optional<KeyRelease> decode(const wire::KeyRelease &Value) {
  return KeyRelease{text(*Value.service()), text(*Value.key()),
                    decodeClaim(*Value.claim())};
}

flatbuffers::Offset<wire::KeyOutcome> encode(Builder &Out,
                                             const KeyOutcome &Value) {
  const auto Service = Out.CreateString(Value.Service);
  const auto Key = Out.CreateString(Value.Key);
  const auto Result = encodeResult(Out, Value.Result);
  const wire::ClaimId Claim = encodeClaim(Value.Claim);
  return wire::CreateKeyOutcome(Out, Service, Key, Value.RequestHash, &Claim,
                                Result);
}

std::optional<KeyOutcome> decode(const wire::KeyOutcome &Value) {
  KeyOutcome Outcome;
  if (!decodeResult(*Value.result(), Outcome.Result)) {
    return std::nullopt;
  }
  Outcome.Service = text(*Value.service());
  Outcome.Key = text(*Value.key());
  Outcome.RequestHash = Value.request_hash();
  Outcome.Claim = decodeClaim(*Value.claim());
  return Outcome;
}

flatbuffers::Offset<wire::KeyAck> encode(Builder &Out, const KeyAck &Value) {
  const wire::ClaimId Claim = encodeClaim(Value.Claim);
  return wire::CreateKeyAck(Out, &Claim, Value.Epoch);
}

std::optional<KeyAck> decode(const wire::KeyAck &Value) {
  return KeyAck{decodeClaim(*Value.claim()), Value.epoch()};
}

flatbuffers::Offset<wire::SealRequest> encode(Builder &Out,
                                              const SealRequest &Value) {
  const auto Service = Out.CreateString(Value.Service);
  const auto After = Out.CreateString(Value.After);
  return wire::CreateSealRequest(Out, Service, Value.Epoch, Value.Sealed,
                                 After);
}

std::optional<SealRequest> decode(const wire::SealRequest &Value) {
  return SealRequest{text(*Value.service()), Value.epoch(), Value.sealed(),
                     text(*Value.after())};
}

flatbuffers::Offset<wire::SealReply> encode(Builder &Out,
                                            const SealReply &Value) {
  std::vector<flatbuffers::Offset<wire::KeyRecord>> Encoded;
  Encoded.reserve(Value.Records.size());
  for (const KeyRecord &Each : Value.Records) {
    Encoded.push_back(encodeRecord(Out, Each));
  }
  const auto Records = Out.CreateVector(Encoded);
  const auto Service = Out.CreateString(Value.Service);
  const auto After = Out.CreateString(Value.After);
  const auto Next = Out.CreateString(Value.Next);
  return wire::CreateSealReply(Out, Service, Value.Epoch, Value.Sealed, After,
                               Next, Value.Last, Value.WasReady, Records);
}

std::optional<SealReply> decode(const wire::SealReply &Value) {
  SealReply Reply;
  Reply.Records.reserve(Value.records()->size());
  for (const wire::KeyRecord *Each : *Value.records()) {
    KeyRecord Record;
    if (!decodeRecord(*Each, Record)) {
      return std::nullopt;
    }
    Reply.Records.push_back(std::move(Record));
  }
  Reply.Service = text(*Value.service());
  Reply.Epoch = Value.epoch();
  Reply.Sealed = Value.sealed();
  Reply.After = text(*Value.after());
  Reply.Next = text(*Value.next());
  Reply.Last = Value.last();
  Reply.WasReady = Value.was_ready();
  return Reply;
}

flatbuffers::Offset<wire::RosterRequest> encode(Builder &Out,
                                                const RosterRequest &Value) {
  const auto Service = Out.CreateString(Value.Service);
  return wire::CreateRosterRequest(Out, Service, Value.Revision,
                                   Value.ReadyEpoch);
}

std::optional<RosterRequest> decode(const wire::RosterRequest &Value) {
  return RosterRequest{text(*Value.service()), Value.revision(),
                       Value.ready_epoch()};
}

flatbuffers::Offset<wire::RosterUpdate> encode(Builder &Out,
                                               const RosterUpdate &Value) {
  const auto Service = Out.CreateString(Value.Service);
  const auto Roster = Out.CreateString(Value.Value);
  return wire::CreateRosterUpdate(Out, Service, Value.Revision, Roster);
}

std::optional<RosterUpdate> decode(const wire::RosterUpdate &Value) {
  return RosterUpdate{text(*Value.service()), Value.revision(),
                      text(*Value.value())};
}

} // namespace hyssopford::codec
