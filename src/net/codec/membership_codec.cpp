#include "codec.hpp"

#include <vector>

namespace hyssopford::codec {

namespace {

using RecordVector =
    flatbuffers::Vector<flatbuffers::Offset<wire::MemberRecord>>;

flatbuffers::Offset<RecordVector>
encodeRecords(Builder &Out, const std::vector<MemberRecord> &Records) {
  std::vector<flatbuffers::Offset<wire::MemberRecord>> Encoded;
  Encoded.reserve(Records.size());
  for (const MemberRecord &Each : Records) {
    const auto Address = Out.CreateSharedString(Each.Address);
    const auto Domain = Out.CreateSharedString(Each.FailureDomain);
    const auto Region = Out.CreateSharedString(Each.Region);
    const auto Service = Out.CreateSharedString(Each.Service);
    const wire::NodeRun Id = encodeRun(Each.Id);
    Encoded.push_back(wire::CreateMemberRecord(
        Out, &Id, Each.UpdateNumber, static_cast<std::uint8_t>(Each.State),
        Address, Domain, Region, Service,
        static_cast<std::uint8_t>(Each.Upstream), Each.Slots,
        Each.OperatorsPort));
  }
  return Out.CreateVector(Encoded);
}

bool decodeRecords(const RecordVector &Encoded,
                   std::vector<MemberRecord> &Records) {
  Records.reserve(Encoded.size());
  for (const wire::MemberRecord *Each : Encoded) {
    MemberRecord Record;
    if (!decodeEnum(Each->state(), MemberState::Dead, Record.State) ||
        !decodeEnum(Each->upstream(), UpstreamState::Draining,
                    Record.Upstream)) {
      return false;
    }
    Record.Id = decodeRun(*Each->id());
    Record.UpdateNumber = Each->update();
    Record.Address = text(*Each->address());
    Record.FailureDomain = text(*Each->failure_domain());
    Record.Region = text(*Each->region());
    Record.Service = text(*Each->service());
    Record.Slots = Each->slots();
    Record.OperatorsPort = Each->operators_port();
    Records.push_back(std::move(Record));
  }
  return true;
}

/// Ping and Ack have the same fields.
template <typename Message, typename Table>
std::optional<Message> decodeProbe(const Table &Value) {
  Message Result;
  Result.Sequence = Value.sequence();
  Result.Target = decodeRun(*Value.target());
  Result.ConfigVersion = Value.config_version();
  if (!decodeRecords(*Value.records(), Result.Records)) {
    return std::nullopt;
  }
  return Result;
}

} // namespace

flatbuffers::Offset<wire::Gossip> encode(Builder &Out, const Gossip &Value) {
  const auto Records = encodeRecords(Out, Value.Records);
  return wire::CreateGossip(Out, Records);
}

std::optional<Gossip> decode(const wire::Gossip &Value) {
  Gossip Result;
  if (!decodeRecords(*Value.records(), Result.Records)) {
    return std::nullopt;
  }
  return Result;
}

flatbuffers::Offset<wire::Ping> encode(Builder &Out, const Ping &Value) {
  const auto Records = encodeRecords(Out, Value.Records);
  const wire::NodeRun Target = encodeRun(Value.Target);
  return wire::CreatePing(Out, Value.Sequence, &Target, Value.ConfigVersion,
                          Records);
}

std::optional<Ping> decode(const wire::Ping &Value) {
  return decodeProbe<Ping>(Value);
}

flatbuffers::Offset<wire::PingRequest> encode(Builder &Out,
                                              const PingRequest &Value) {
  const auto Address = Out.CreateString(Value.Address);
  const wire::NodeRun Target = encodeRun(Value.Target);
  return wire::CreatePingRequest(Out, Value.Sequence, &Target, Address);
}

std::optional<PingRequest> decode(const wire::PingRequest &Value) {
  return PingRequest{Value.sequence(), decodeRun(*Value.target()),
                     text(*Value.address())};
}

flatbuffers::Offset<wire::Ack> encode(Builder &Out, const Ack &Value) {
  const auto Records = encodeRecords(Out, Value.Records);
  const wire::NodeRun Target = encodeRun(Value.Target);
  return wire::CreateAck(Out, Value.Sequence, &Target, Value.ConfigVersion,
                         Records);
}

std::optional<Ack> decode(const wire::Ack &Value) {
  return decodeProbe<Ack>(Value);
}

flatbuffers::Offset<wire::SyncRequest> encode(Builder &Out,
                                              const SyncRequest &Value) {
  const auto Hashes = Out.CreateVector(Value.BucketHashes);
  return wire::CreateSyncRequest(Out, Hashes, Value.FirstBucket);
}

std::optional<SyncRequest> decode(const wire::SyncRequest &Value) {
  SyncRequest Result;
  Result.BucketHashes.assign(Value.bucket_hashes()->begin(),
                             Value.bucket_hashes()->end());
  Result.FirstBucket = Value.first_bucket();
  return Result;
}

flatbuffers::Offset<wire::SyncReply> encode(Builder &Out,
                                            const SyncReply &Value) {
  const auto Records = encodeRecords(Out, Value.Records);
  return wire::CreateSyncReply(Out, Records, Value.NextBucket, Value.Busy);
}

std::optional<SyncReply> decode(const wire::SyncReply &Value) {
  SyncReply Result;
  if (!decodeRecords(*Value.records(), Result.Records)) {
    return std::nullopt;
  }
  Result.NextBucket = Value.next_bucket();
  Result.Busy = Value.busy();
  return Result;
}

} // namespace hyssopford::codec
