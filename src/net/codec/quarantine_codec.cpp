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
        Each.Age.count()));
  }
  std::vector<flatbuffers::Offset<wire::Clearance>> Cleared;
  Cleared.reserve(Value.Cleared.size());
  for (const Clearance &Each : Value.Cleared) {
    Cleared.push_back(
        wire::CreateClearance(Out, Each.Fingerprint, Each.Age.count()));
  }
  const auto AllSightings = Out.CreateVector(Sightings);
  const auto AllCleared = Out.CreateVector(Cleared);
  return wire::CreateQuarantineNotice(Out, AllSightings, AllCleared);
}

std::optional<QuarantineNotice> decode(const wire::QuarantineNotice &Value) {
  QuarantineNotice Notice;
  Notice.Sightings.reserve(Value.sightings()->size());
  for (const wire::CrashSighting *Each : *Value.sightings()) {
    Notice.Sightings.push_back(CrashSighting{
        Each->fingerprint(), decodeRun(*Each->owner()), Each->crash(),
        Each->lift_serial(), Each->alone(), Duration(Each->age_us())});
  }
  Notice.Cleared.reserve(Value.cleared()->size());
  for (const wire::Clearance *Each : *Value.cleared()) {
    Notice.Cleared.push_back(
        Clearance{Each->fingerprint(), Duration(Each->age_us())});
  }
  return Notice;
}

} // namespace hyssopford::codec
