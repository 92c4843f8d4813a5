#include "codec.hpp"

namespace hyssopford::codec {

flatbuffers::Offset<wire::ConfigDigest> encode(Builder &Out,
                                               const ConfigDigest &Value) {
  return wire::CreateConfigDigest(
      Out, Value.Version, static_cast<std::uint32_t>(Value.NextWithin.count()),
      Value.Check, Value.FreshAge ? Value.FreshAge->count() : -1,
      Value.SentAt.count());
}

std::optional<ConfigDigest> decode(const wire::ConfigDigest &Value) {
  ConfigDigest Result{Value.version(), Duration(Value.next_within_us()),
                      Value.check()};
  if (Value.fresh_age_us() >= 0) {
    Result.FreshAge = Duration(Value.fresh_age_us());
  }
  Result.SentAt = Duration(Value.sent_at_us());
  return Result;
}

flatbuffers::Offset<wire::ConfigRequest> encode(Builder &Out,
                                                const ConfigRequest &Value) {
  return wire::CreateConfigRequest(Out, Value.Version);
}

std::optional<ConfigRequest> decode(const wire::ConfigRequest &Value) {
  return ConfigRequest{Value.version()};
}

flatbuffers::Offset<wire::ConfigPush> encode(Builder &Out,
                                             const ConfigPush &Value) {
  const auto Document = encodeBytes(Out, Value.Document.bytes());
  return wire::CreateConfigPush(Out, Value.Version, Document);
}

std::optional<ConfigPush> decode(const wire::ConfigPush &Value) {
  return ConfigPush{Value.version(), decodeBytes(*Value.document())};
}

} // namespace hyssopford::codec
