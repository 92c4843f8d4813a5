/// @file
/// @brief Tests of the metrics registry and of docs/metrics.md.
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/telemetry/metrics.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace hyssopford;

namespace {

TimePoint at(Duration Time) { return TimePoint(Time); }

} // namespace

TEST_CASE("rendering in the Prometheus text format", "[metrics]") {
  MetricsRegistry Registry;

  SECTION("HELP, TYPE and one line for each series") {
    Registry.add(MetricId::Requests, {"answered", "none"});
    Registry.add(MetricId::Requests, {"answered", "none"}, 2);
    Registry.add(MetricId::Requests, {"not-run", "queue-full"});
    REQUIRE(Registry.render(at(0s)) ==
            "# HELP hyssopford_requests_total Requests of callers that ended "
            "at this ingress.\n"
            "# TYPE hyssopford_requests_total counter\n"
            "hyssopford_requests_total{outcome=\"answered\",reason=\"none\"} "
            "3\n"
            "hyssopford_requests_total{outcome=\"not-run\",reason=\"queue-"
            "full\"} 1\n");
    REQUIRE(Registry.value(MetricId::Requests, {"answered", "none"}) == 3);
  }
  SECTION("label values are escaped") {
    Registry.set(MetricId::BuildInfo, {"a\"b\\c\nd"}, 1);
    REQUIRE(Registry.render(at(0s)).find("{version=\"a\\\"b\\\\c\\nd\"} 1\n") !=
            std::string::npos);
  }
  SECTION("large counters keep every digit") {
    Registry.set(MetricId::ProcessResidentBytes, {}, 134'217'728'123.0);
    REQUIRE(Registry.render(at(0s)).find(" 134217728123\n") !=
            std::string::npos);
  }
  SECTION("a wrong number of labels or a wrong metric type throws") {
    REQUIRE_THROWS_AS(Registry.add(MetricId::Requests, {"answered"}),
                      std::invalid_argument);
    REQUIRE_THROWS_AS(Registry.observe(MetricId::Keys, {}, 1, at(0s)),
                      std::invalid_argument);
  }
  SECTION("the number of series of a metric is limited") {
    for (std::size_t Count = 0; Count < MetricsRegistry::MaxSeries + 3;
         ++Count) {
      Registry.add(MetricId::Notices, {std::to_string(Count)});
    }
    REQUIRE(Registry.value(MetricId::SeriesDropped) == 3);
  }
}

TEST_CASE("summaries", "[metrics]") {
  SummaryMetric Summary;

  SECTION("quantiles of many observations") {
    SeededRandomSource Random(1);
    double Sum = 0;
    for (int Count = 0; Count < 10'000; ++Count) {
      const auto Value = static_cast<double>(Random.below(10'000));
      Sum += Value;
      Summary.observe(Value, at(0s));
    }
    const auto Quantiles = Summary.quantiles(at(1s));
    REQUIRE(Quantiles[0] == Approx(5'000).epsilon(0.02));
    REQUIRE(Quantiles[1] == Approx(9'000).epsilon(0.02));
    REQUIRE(Quantiles[2] == Approx(9'900).epsilon(0.02));
    REQUIRE(Quantiles[3] == Approx(9'990).epsilon(0.02));
    REQUIRE(Summary.count() == 10'000);
    REQUIRE(Summary.sum() == Sum);
  }
  SECTION("with few observations every quantile is the maximum") {
    Summary.observe(1, at(0s));
    Summary.observe(7, at(0s));
    REQUIRE(Summary.quantiles(at(0s)) == std::vector<double>{7, 7, 7, 7});
  }
  SECTION("quantiles are those of the last complete window") {
    Summary.observe(1, at(0s));
    Summary.observe(5, at(SummaryMetric::Window + 1s));
    REQUIRE(Summary.quantiles(at(SummaryMetric::Window + 2s))[0] == 1);
    REQUIRE(Summary.quantiles(at(2 * SummaryMetric::Window + 2s))[0] == 5);
    REQUIRE(Summary.quantiles(at(9 * SummaryMetric::Window)).empty());
    REQUIRE(Summary.count() == 2);
  }
}

TEST_CASE("metrics of the core and the process", "[metrics]") {
  NodeCoreSettings Settings;
  Settings.Address = "192.0.2.7:7101";
  const NodeCore Core(Settings);
  MetricsRegistry Registry;
  collectCoreMetrics(Core, Registry);
  collectProcessMetrics(Registry);
  REQUIRE(Registry.value(MetricId::Members, {"alive"}) == 1);
  REQUIRE(Registry.value(MetricId::ProcessResidentBytes) > 100'000);
}

TEST_CASE("docs/metrics.md lists each metric with its type and labels",
          "[metrics][docs]") {
  std::ifstream File(HYSSOPFORD_SOURCE_DIR "/docs/metrics.md");
  std::stringstream Content;
  Content << File.rdbuf();
  const std::string Page = Content.str();

  std::set<std::string> Expected;
  for (const MetricDefinition &Metric : MetricCatalogue) {
    constexpr std::array<const char *, 3> Types{"counter", "gauge", "summary"};
    Expected.insert(std::string(Metric.Name) + "|" +
                    Types.at(static_cast<std::size_t>(Metric.Type)) + "|" +
                    std::string(Metric.Labels));
  }
  std::set<std::string> Documented;
  const std::regex Row("\\| `(hyssopford_[a-z_]+)` \\| ([a-z]+) \\| ([a-z,]*)");
  for (std::sregex_iterator Match(Page.begin(), Page.end(), Row), End;
       Match != End; ++Match) {
    REQUIRE(Documented
                .insert((*Match)[1].str() + "|" + (*Match)[2].str() + "|" +
                        (*Match)[3].str())
                .second);
  }
  REQUIRE(Documented == Expected);
}
