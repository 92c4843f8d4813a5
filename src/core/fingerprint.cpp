#include "hyssopford/core/fingerprint.hpp"

namespace hyssopford {

std::uint64_t fingerprintOf(const CallerRequest &Request,
                            const Route &Matched) {
  const std::uint64_t RouteHash = hashBytes(Matched.Name);
  return hashPair(hashPair(RouteHash, hashBytes(Request.Method)),
                  Request.BodyHash);
}

} // namespace hyssopford
