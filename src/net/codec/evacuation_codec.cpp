#include "codec.hpp"

namespace hyssopford::codec {

flatbuffers::Offset<wire::EvacuationNotice>
encode(Builder &Out, const EvacuationNotice &Value) {
  const auto Domains = Out.CreateVectorOfStrings(Value.Domains);
  return wire::CreateEvacuationNotice(Out, Value.StoreEra, Value.Revision,
                                      Domains);
}

std::optional<EvacuationNotice> decode(const wire::EvacuationNotice &Value) {
  EvacuationNotice Result{Value.store_era(), Value.revision(), {}};
  Result.Domains.reserve(Value.domains()->size());
  for (const flatbuffers::String *Each : *Value.domains()) {
    Result.Domains.push_back(text(*Each));
  }
  return Result;
}

} // namespace hyssopford::codec
