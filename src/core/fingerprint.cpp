#include "hyssopford/core/fingerprint.hpp"

namespace hyssopford {

std::uint64_t requestHash(const CallerRequest &Request) {
  const std::uint64_t Target =
      hashPair(hashBytes(Request.Host),
               hashPair(hashBytes(Request.Method), hashBytes(Request.Path)));
  return hashPair(Target, Request.BodyHash);
}

std::uint64_t fingerprintOf(const CallerRequest &Request) {
  return hashPair(requestHash(Request), Request.CredentialsHash);
}

} // namespace hyssopford
