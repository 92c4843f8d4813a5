#include "hyssopford/core/fingerprint.hpp"

namespace hyssopford {

std::uint64_t fingerprintOf(const CallerRequest &Request,
                            const Route &Matched) {
  const std::uint64_t RouteHash = hashBytes(Matched.Name);
  const std::uint64_t TargetHash =
      hashPair(hashBytes(Request.Method), hashBytes(Request.Path));
  return hashPair(hashPair(RouteHash, TargetHash), Request.BodyHash);
}

} // namespace hyssopford
