#include "hyssopford/core/routing_config.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace hyssopford {

namespace {

bool matchesPrefix(std::string_view Prefix, std::string_view Path) {
  if (!Path.starts_with(Prefix)) {
    return false;
  }
  return Prefix.ends_with('/') || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
}

bool matches(const Route &Candidate, std::string_view Host,
             std::string_view Path, std::string_view Method) {
  const bool HostMatches = Candidate.Host.empty() || Candidate.Host == Host;
  const bool MethodMatches =
      Candidate.Methods.empty() ||
      std::find(Candidate.Methods.begin(), Candidate.Methods.end(), Method) !=
          Candidate.Methods.end();
  return HostMatches && MethodMatches &&
         matchesPrefix(Candidate.PathPrefix, Path);
}

auto specificity(const Route &Candidate) {
  return std::tuple(!Candidate.Host.empty(), Candidate.PathPrefix.size());
}

} // namespace

const Route *findRoute(const RoutingConfig &Config, std::string_view Host,
                       std::string_view Path, std::string_view Method) {
  const Route *Best = nullptr;
  for (const Route &Candidate : Config.Routes) {
    if (matches(Candidate, Host, Path, Method) &&
        (Best == nullptr || specificity(Candidate) > specificity(*Best))) {
      Best = &Candidate;
    }
  }
  return Best;
}

bool isIdempotentMethod(std::string_view Method) {
  constexpr std::array<std::string_view, 6> Idempotent{
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(Idempotent.begin(), Idempotent.end(), Method) !=
         Idempotent.end();
}

bool isIdempotent(const Route &Matched, std::string_view Method) {
  return Matched.Idempotent.value_or(isIdempotentMethod(Method));
}

Duration timeLimit(const Route &Matched, std::optional<Duration> Stated) {
  return std::min(Stated.value_or(Matched.Deadline), Matched.Deadline);
}

} // namespace hyssopford
