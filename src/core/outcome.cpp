#include "hyssopford/core/outcome.hpp"

#include <array>
#include <cstddef>

namespace hyssopford {

namespace {

constexpr std::array<const char *, 3> OutcomeNames{"answered", "not-run",
                                                   "unknown"};

constexpr std::array<const char *, 31> ReasonNames{"none",
                                                   "no-route",
                                                   "no-upstream",
                                                   "queue-full",
                                                   "deadline-too-close",
                                                   "deadline-exceeded",
                                                   "draining",
                                                   "stale-frame",
                                                   "wrong-incarnation",
                                                   "cancelled-by-caller",
                                                   "quarantined",
                                                   "key-reused",
                                                   "key-in-progress",
                                                   "key-unavailable",
                                                   "try-limit",
                                                   "retry-budget",
                                                   "connect-failed",
                                                   "upstream-closed",
                                                   "upstream-timeout",
                                                   "link-lost",
                                                   "answer-too-large",
                                                   "shutting-down",
                                                   "upstream-refused",
                                                   "no-config",
                                                   "upstream-slow",
                                                   "no-memory",
                                                   "unknown-credential",
                                                   "credentials-stale",
                                                   "allotment-exceeded",
                                                   "cold-limit",
                                                   "evacuated"};

static_assert(static_cast<std::size_t>(LastOutcomeReason) + 1 ==
              ReasonNames.size());

} // namespace

const char *toString(Outcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

const char *toString(OutcomeReason Value) {
  return ReasonNames[static_cast<std::size_t>(Value)];
}

} // namespace hyssopford
