#include "hyssopford/core/ids.hpp"

#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace hyssopford {

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

std::uint64_t hashPair(std::uint64_t First, std::uint64_t Second) {
  const std::array<std::uint64_t, 2> Values{First, Second};
  return XXH64(Values.data(), sizeof(Values), 0);
}

NodeId nodeIdOf(std::string_view Address) {
  const std::uint64_t Hash = hashBytes(Address);
  return NodeId{Hash == 0 ? 1 : Hash};
}

std::string toString(NodeId Id) { return fmt::format("{:016x}", Id.Value); }

std::string toString(const AttemptId &Id) {
  return fmt::format("{:016x}/{:x}/{}", Id.Ingress.Node.Value,
                     Id.Ingress.Run.Value, Id.Sequence);
}

} // namespace hyssopford
