#include "codec.hpp"

#include <vector>

namespace hyssopford::codec {

flatbuffers::Offset<wire::Gossip> encode(Builder &Out, const Gossip &Value) {
  std::vector<flatbuffers::Offset<wire::MemberRecord>> Records;
  Records.reserve(Value.Records.size());
  for (const MemberRecord &Each : Value.Records) {
    const auto Address = Out.CreateSharedString(Each.Address);
    const auto Domain = Out.CreateSharedString(Each.FailureDomain);
    const auto Region = Out.CreateSharedString(Each.Region);
    const auto Service = Out.CreateSharedString(Each.Service);
    const wire::NodeRun Id = encodeRun(Each.Id);
    Records.push_back(wire::CreateMemberRecord(
        Out, &Id, Each.Update, static_cast<std::uint8_t>(Each.State), Address,
        Domain, Region, Service, static_cast<std::uint8_t>(Each.Upstream),
        Each.Slots));
  }
  const auto All = Out.CreateVector(Records);
  return wire::CreateGossip(Out, All);
}

std::optional<Gossip> decode(const wire::Gossip &Value) {
  Gossip Result;
  Result.Records.reserve(Value.records()->size());
  for (const wire::MemberRecord *Each : *Value.records()) {
    MemberRecord Record;
    if (!decodeEnum(Each->state(), MemberState::Dead, Record.State) ||
        !decodeEnum(Each->upstream(), UpstreamState::Draining,
                    Record.Upstream)) {
      return std::nullopt;
    }
    Record.Id = decodeRun(*Each->id());
    Record.Update = Each->update();
    Record.Address = text(*Each->address());
    Record.FailureDomain = text(*Each->failure_domain());
    Record.Region = text(*Each->region());
    Record.Service = text(*Each->service());
    Record.Slots = Each->slots();
    Result.Records.push_back(std::move(Record));
  }
  return Result;
}

} // namespace hyssopford::codec
