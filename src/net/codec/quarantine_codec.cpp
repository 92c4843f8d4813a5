#include "codec.hpp"

#include <vector>

namespace hyssopford::codec {

flatbuffers::Offset<wire::QuarantineNotice>
encode(Builder &Out, const QuarantineNotice &Value) {
  std::vector<flatbuffers::Offset<wire::CrashSighting>> Sightings;
  Sightings.reserve(Value.Sightings.size());
  for (const CrashSighting &Each : Value.Sightings) {
    const wire::NodeRun Owner = encodeRun(Each.Owner);
    Sightings.push_back(wire::CreateCrashSighting(
        Out, Each.Fingerprint, &Owner, Each.Crash, Each.LiftSerial, Each.Alone,
        Each.Cleared, Each.Age.count(), Each.Trial));
  }
  const auto AllSightings = Out.CreateVector(Sightings);
  return wire::CreateQuarantineNotice(Out, AllSightings, Value.Complete);
}

std::optional<QuarantineNotice> decode(const wire::QuarantineNotice &Value) {
  QuarantineNotice Notice;
  Notice.Sightings.reserve(Value.sightings()->size());
  for (const wire::CrashSighting *Each : *Value.sightings()) {
    Notice.Sightings.push_back(CrashSighting{
        Each->fingerprint(), decodeRun(*Each->owner()), Each->crash(),
        Each->lift_serial(), Each->alone(), Each->cleared(),
        Duration(Each->age_us()), Each->trial()});
  }
  Notice.Complete = Value.complete();
  return Notice;
}

} // namespace hyssopford::codec
