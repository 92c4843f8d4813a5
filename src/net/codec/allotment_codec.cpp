#include "codec.hpp"

namespace hyssopford::codec {

flatbuffers::Offset<wire::AllotmentRequest>
encode(Builder &Out, const AllotmentRequest &Value) {
  const auto Account = Out.CreateString(Value.Account);
  return wire::CreateAllotmentRequest(Out, Account, Value.Count,
                                      Value.Sequence);
}

std::optional<AllotmentRequest> decode(const wire::AllotmentRequest &Value) {
  return AllotmentRequest{text(*Value.account()), Value.count(),
                          Value.sequence()};
}

flatbuffers::Offset<wire::AllotmentGrant> encode(Builder &Out,
                                                 const AllotmentGrant &Value) {
  const auto Account = Out.CreateString(Value.Account);
  return wire::CreateAllotmentGrant(Out, Account, Value.Count, Value.Sequence,
                                    Value.RetryAfter.count());
}

std::optional<AllotmentGrant> decode(const wire::AllotmentGrant &Value) {
  return AllotmentGrant{text(*Value.account()), Value.count(), Value.sequence(),
                        Duration(Value.retry_after_us())};
}

} // namespace hyssopford::codec
