#include "hyssopford/telemetry/span_exporter.hpp"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopford {

namespace {

using Json = nlohmann::json;

/// @name Enumerations of OTLP (opentelemetry/proto/trace/v1), which the JSON
/// encoding represents as numbers
/// @{
constexpr int KindInternal = 1;
constexpr int KindServer = 2;
constexpr int KindClient = 3;
constexpr int StatusOk = 1;
constexpr int StatusError = 2;
/// @}

struct KindEntry {
  const char *Name;
  int Kind;
};

constexpr std::array<KindEntry, 4> Kinds{{{"ingress", KindServer},
                                          {"peer", KindClient},
                                          {"queue", KindInternal},
                                          {"upstream", KindClient}}};

Json attribute(const char *Name, const std::string &Value) {
  return {{"key", Name}, {"value", {{"stringValue", Value}}}};
}

/// OTLP JSON represents 64-bit integers as decimal strings.
std::string unixNanoseconds(TimePoint Time, const SpanOrigin &Origin) {
  const std::chrono::nanoseconds SinceZero = Time.time_since_epoch();
  return fmt::to_string(Origin.ClockEpochNs + SinceZero.count());
}

Json renderSpan(const SpanFinished &Span, const SpanOrigin &Origin) {
  const KindEntry &Kind = Kinds.at(static_cast<std::size_t>(Span.Kind));
  Json Attributes =
      Json::array({attribute("hyssopford.outcome", toString(Span.Result)),
                   attribute("hyssopford.reason", toString(Span.Reason)),
                   {{"key", "hyssopford.extra"},
                    {"value", {{"boolValue", Span.IsExtra}}}}});
  if (!Span.Route.empty()) {
    Attributes.push_back(attribute("hyssopford.route", Span.Route));
  }
  if (Span.Peer != NodeId{}) {
    Attributes.push_back(attribute("hyssopford.peer", toString(Span.Peer)));
  }
  Json Result{
      {"traceId", fmt::format("{:016x}{:016x}", Span.Trace.TraceHigh,
                              Span.Trace.TraceLow)},
      {"spanId", fmt::format("{:016x}", Span.Span)},
      {"name", Kind.Name},
      {"kind", Kind.Kind},
      {"startTimeUnixNano", unixNanoseconds(Span.Start, Origin)},
      {"endTimeUnixNano", unixNanoseconds(Span.End, Origin)},
      {"attributes", std::move(Attributes)},
      {"status",
       {{"code", Span.Result == Outcome::Answered ? StatusOk : StatusError}}}};
  if (Span.Trace.ParentSpan != 0) {
    Result["parentSpanId"] = fmt::format("{:016x}", Span.Trace.ParentSpan);
  }
  return Result;
}

} // namespace

std::string renderSpans(const std::vector<SpanFinished> &Spans,
                        const SpanOrigin &Origin) {
  Json Rendered = Json::array();
  for (const SpanFinished &Each : Spans) {
    Rendered.push_back(renderSpan(Each, Origin));
  }
  const Json Resource{
      {"attributes",
       {attribute("service.name", "hyssopford"),
        attribute("service.namespace", Origin.Site),
        attribute("service.instance.id", Origin.Node),
        attribute("hyssopford.failure_domain", Origin.FailureDomain),
        attribute("hyssopford.region", Origin.Region)}}};
  Json Scope{{"scope", {{"name", "hyssopford"}}},
             {"spans", std::move(Rendered)}};
  Json Entry{{"resource", Resource},
             {"scopeSpans", Json::array({std::move(Scope)})}};
  const Json Document{{"resourceSpans", Json::array({std::move(Entry)})}};
  // Untrusted strings may hold invalid UTF-8, which is replaced.
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace hyssopford
