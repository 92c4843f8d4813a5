/// @file
/// @brief Uses each library of the installed package once.
#include <hyssopford/config/node_settings.hpp>
#include <hyssopford/core/node_core.hpp>
#include <hyssopford/net/event_loop.hpp>
#include <hyssopford/node/node_runtime.hpp>
#include <hyssopford/telemetry/metrics.hpp>

#include <cstdio>
#include <vector>

int main(int Count, char **Arguments) {
  if (Count != 2) {
    return 2;
  }
  std::vector<hyssopford::Error> Errors;
  const auto Settings = hyssopford::readNodeSettings(Arguments[1], Errors);
  if (!Settings) {
    return 1;
  }
  const hyssopford::NodeCore Core(
      hyssopford::coreSettings(*Settings, hyssopford::Incarnation{1}, 1));
  hyssopford::MetricsRegistry Registry;
  hyssopford::collectCoreMetrics(Core, Registry);
  std::printf("%s", Registry.render(hyssopford::TimePoint{}).c_str());
  return 0;
}
