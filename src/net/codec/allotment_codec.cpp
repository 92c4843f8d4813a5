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
                                    Value.RetryAfter.count(), Value.HasShares);
}

std::optional<AllotmentGrant> decode(const wire::AllotmentGrant &Value) {
  return AllotmentGrant{text(*Value.account()), Value.count(), Value.sequence(),
                        Duration(Value.retry_after_us()), Value.has_shares()};
}

flatbuffers::Offset<wire::ShareRequest> encode(Builder &Out,
                                               const ShareRequest &Value) {
  return wire::CreateShareRequest(Out, Value.Slot, Value.Sequence,
                                  Value.Members, Value.Release);
}

std::optional<ShareRequest> decode(const wire::ShareRequest &Value) {
  return ShareRequest{Value.slot(), Value.sequence(), Value.members(),
                      Value.release()};
}

flatbuffers::Offset<wire::ShareReply> encode(Builder &Out,
                                             const ShareReply &Value) {
  return wire::CreateShareReply(Out, Value.Slot, Value.Sequence, Value.Members,
                                Value.RetryAfter.count());
}

std::optional<ShareReply> decode(const wire::ShareReply &Value) {
  return ShareReply{Value.slot(), Value.sequence(), Value.members(),
                    Duration(Value.retry_after_us())};
}

} // namespace hyssopford::codec
