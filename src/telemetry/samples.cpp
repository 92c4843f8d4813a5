#include "hyssopford/telemetry/metrics.hpp"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace hyssopford {

namespace {

constexpr std::array<const char *, 4> MemberStates{"alive", "suspect",
                                                   "leaving", "dead"};

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double seconds(const timeval &Value) {
  return static_cast<double>(Value.tv_sec) +
         static_cast<double>(Value.tv_usec) / 1e6;
}

} // namespace

void collectCoreMetrics(const NodeCore &Core, MetricsRegistry &Registry) {
  Registry.set(MetricId::RequestsInFlight, {},
               static_cast<double>(Core.ingress().inFlight()));
  Registry.set(MetricId::LateReplies, {},
               static_cast<double>(Core.ingress().lateReplies()));
  Registry.set(MetricId::ConfigVersion, {},
               static_cast<double>(Core.config().Version));
  Registry.set(MetricId::StaleCredentials, {},
               static_cast<double>(Core.freshness().refused()));
  if (const ConfigSystem *Configs = Core.configSystem()) {
    Registry.set(MetricId::StoreEraProven, {},
                 Configs->storeProven() ? 1.0 : 0.0);
  }
  const LoadReport Load = Core.owner().load();
  Registry.set(MetricId::OwnerInFlight, {}, Load.InFlight);
  Registry.set(MetricId::OwnerQueued, {}, Load.Queued);
  Registry.set(MetricId::OwnerLimit, {}, Load.Limit);
  Registry.set(MetricId::OwnerServiceSeconds, {}, seconds(Load.ServiceTime));
  Registry.set(MetricId::OwnerColdRate, {}, Load.ColdRate);
  Registry.set(MetricId::OwnerHandBacks, {toString(OutcomeReason::ColdLimit)},
               static_cast<double>(Core.owner().coldHandBacks()));
  Registry.set(MetricId::OwnerHandBacks, {toString(OutcomeReason::Evacuated)},
               static_cast<double>(Core.owner().evacuationHandBacks()));
  Registry.set(
      MetricId::EvacuatedDomains, {},
      static_cast<double>(Core.evacuations().current().Domains.size()));
  Registry.set(MetricId::ExtraCalls, {"retry"},
               static_cast<double>(Core.ingress().counters().Retries));
  Registry.set(MetricId::ExtraCalls, {"hedge"},
               static_cast<double>(Core.ingress().counters().Hedges));
  Registry.set(MetricId::Keys, {}, static_cast<double>(Core.keys().records()));
  Registry.set(MetricId::KeyCapacity, {},
               static_cast<double>(Core.keys().capacity()));
  const AllotmentCounters Tokens = Core.allotments().counters();
  Registry.set(MetricId::AllotmentTokens, {"asked"},
               static_cast<double>(Tokens.Asked));
  Registry.set(MetricId::AllotmentTokens, {"granted"},
               static_cast<double>(Tokens.Granted));
  Registry.set(MetricId::AllotmentTokens, {"expired"},
               static_cast<double>(Tokens.Expired));
  Registry.set(MetricId::AllotmentMessages, {},
               static_cast<double>(Tokens.Messages));
  std::array<std::uint64_t, MemberStates.size()> Counts{};
  for (const auto &[Id, Record] : Core.membership().members()) {
    ++Counts.at(static_cast<std::size_t>(Record.State));
  }
  for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
    Registry.set(MetricId::Members, {MemberStates.at(Index)},
                 static_cast<double>(Counts.at(Index)));
  }
}

void collectProcessMetrics(MetricsRegistry &Registry) {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  Registry.set(MetricId::ProcessCpuSeconds, {},
               seconds(Usage.ru_utime) + seconds(Usage.ru_stime));
  // The second field of statm is the resident set size in pages (proc(5)).
  std::ifstream File("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  if (File >> Total >> Resident) {
    Registry.set(MetricId::ProcessResidentBytes, {},
                 static_cast<double>(Resident) *
                     static_cast<double>(sysconf(_SC_PAGESIZE)));
  }
}

} // namespace hyssopford
