/// @file
/// @brief Tests of span export to the stand-in of a collector.
#include "hyssopford/telemetry/span_exporter.hpp"

#include "collector/collector_service.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace hyssopford;
using nlohmann::json;

namespace {

SpanFinished span(bool Sampled = true) {
  SpanFinished Result;
  Result.Kind = SpanKind::Peer;
  Result.Trace = TraceContext{1, 2, 3, Sampled};
  Result.Span = 0xab;
  Result.Start = TimePoint(1s);
  Result.End = TimePoint(2s);
  Result.Route = "enrol\xff";
  Result.Peer = NodeId{7};
  Result.Result = Outcome::NotRun;
  Result.Reason = OutcomeReason::QueueFull;
  return Result;
}

SpanExporterSettings settingsFor(const std::string &Collector) {
  SpanExporterSettings Result;
  Result.Collector = Collector;
  Result.Interval = std::chrono::milliseconds(5);
  Result.Backoff = std::chrono::milliseconds(5);
  Result.Timeout = std::chrono::milliseconds(500);
  return Result;
}

constexpr std::chrono::seconds FlushTimeout{20};

} // namespace

TEST_CASE("the body of an export request", "[spans]") {
  const json Body = json::parse(
      renderSpans({span()}, SpanOrigin{"site", "node", "fd", "r", 500}));
  const json &Resource = Body["resourceSpans"][0];
  REQUIRE(Resource["resource"]["attributes"][0] ==
          json{{"key", "service.name"},
               {"value", {{"stringValue", "hyssopford"}}}});
  const json &Span = Resource["scopeSpans"][0]["spans"][0];
  REQUIRE(Span["traceId"] == "00000000000000010000000000000002");
  REQUIRE(Span["spanId"] == "00000000000000ab");
  REQUIRE(Span["parentSpanId"] == "0000000000000003");
  REQUIRE(Span["startTimeUnixNano"] == "1000000500");
  REQUIRE(Span["endTimeUnixNano"] == "2000000500");
  REQUIRE(Span["name"] == "peer");
  REQUIRE(Span["kind"] == 3);
  REQUIRE(Span["status"]["code"] == 2);
  REQUIRE(Span["attributes"].size() == 5);

  SECTION("a span without parent has no parent field") {
    SpanFinished Root = span();
    Root.Trace.ParentSpan = 0;
    REQUIRE_FALSE(json::parse(renderSpans(
        {Root}, {}))["resourceSpans"][0]["scopeSpans"][0]["spans"][0]
                      .contains("parentSpanId"));
  }
}

TEST_CASE("span export", "[spans]") {
  standin::CollectorService Collector("127.0.0.1:0");
  const std::string Address = fmt::format("127.0.0.1:{}", Collector.port());

  SECTION("sampled spans arrive in batches, others are not queued") {
    SpanExporter Exporter(settingsFor(Address), {});
    for (int Count = 0; Count < 1'300; ++Count) {
      REQUIRE(Exporter.offer(span()));
      REQUIRE(Exporter.offer(span(false)));
    }
    REQUIRE(Exporter.flush(FlushTimeout));
    REQUIRE(Collector.spans() == 1'300);
    REQUIRE(Exporter.exported() == 1'300);
  }
  SECTION("the destructor sends what is queued") {
    {
      SpanExporterSettings Settings = settingsFor(Address);
      Settings.Interval = FlushTimeout;
      SpanExporter Exporter(Settings, {});
      Exporter.offer(span());
    }
    REQUIRE(Collector.spans() == 1);
  }
  SECTION("a refused export is counted and reported with the collector") {
    Collector.behave(503, std::chrono::milliseconds(0));
    std::vector<Error> Errors;
    {
      SpanExporter Exporter(settingsFor(Address), {},
                            [&](const Error &Each) { Errors.push_back(Each); });
      Exporter.offer(span());
      REQUIRE(Exporter.flush(FlushTimeout));
      REQUIRE(Exporter.droppedExportFailed() == 1);
    }
    REQUIRE(Errors.at(0) ==
            Error{202, "spans.export", Address, "answered with status 503"});
  }
  SECTION("a slow collector causes drops and does not block") {
    Collector.behave(200, std::chrono::milliseconds(200));
    SpanExporterSettings Settings = settingsFor(Address);
    Settings.QueueSpans = 10;
    Settings.BatchSpans = 10;
    SpanExporter Exporter(Settings, {});
    std::uint64_t Refused = 0;
    for (int Count = 0; Count < 1'000; ++Count) {
      Refused += Exporter.offer(span()) ? 0 : 1;
    }
    // While the first export request waits, only its batch and a full queue can
    // be accepted.
    REQUIRE(Refused >= 900);
    REQUIRE(Exporter.droppedQueueFull() == Refused);
    REQUIRE(Exporter.flush(FlushTimeout));
    REQUIRE(Exporter.exported() == 1'000 - Refused);
  }
}

TEST_CASE("span export without collector", "[spans]") {
  SECTION("none is configured") {
    SpanExporter Exporter(SpanExporterSettings{}, {});
    REQUIRE(Exporter.offer(span()));
    REQUIRE(Exporter.queued() == 0);
  }
  SECTION("it is unreachable") {
    std::uint16_t Port = 0;
    {
      const standin::CollectorService Gone("127.0.0.1:0");
      Port = Gone.port();
    }
    std::vector<Error> Errors;
    {
      SpanExporter Exporter(settingsFor(fmt::format("127.0.0.1:{}", Port)), {},
                            [&](const Error &Each) { Errors.push_back(Each); });
      Exporter.offer(span());
      REQUIRE(Exporter.flush(FlushTimeout));
    }
    REQUIRE(Errors.at(0).Code == 201);
  }
}
