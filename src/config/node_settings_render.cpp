#include "hyssopford/config/node_settings.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace hyssopford {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t milliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

void setIfNotEmpty(Json &Object, const char *Name, const std::string &Value) {
  if (!Value.empty()) {
    Object[Name] = Value;
  }
}

Json renderLimits(const LimitSettings &Limits) {
  return {{"line_bytes", Limits.LineBytes},
          {"header_bytes", Limits.HeaderBytes},
          {"body_bytes", Limits.BodyBytes},
          {"answer_bytes", Limits.AnswerBytes},
          {"caller_connections", Limits.CallerConnections},
          {"connections_per_address", Limits.ConnectionsPerAddress},
          {"pipelined_requests", Limits.PipelinedRequests},
          {"pipelined_bytes", Limits.PipelinedBytes},
          {"upstream_connections", Limits.UpstreamConnections},
          {"memory_bytes", Limits.MemoryBytes}};
}

Json renderTimeouts(const TimeoutSettings &Timeouts) {
  return {{"header_read_ms", milliseconds(Timeouts.HeaderRead)},
          {"body_read_ms", milliseconds(Timeouts.BodyRead)},
          {"caller_idle_ms", milliseconds(Timeouts.CallerIdle)},
          {"caller_write_ms", milliseconds(Timeouts.CallerWrite)},
          {"upstream_connect_ms", milliseconds(Timeouts.UpstreamConnect)},
          {"upstream_idle_ms", milliseconds(Timeouts.UpstreamIdle)},
          {"peer_connect_ms", milliseconds(Timeouts.PeerConnect)},
          {"store_call_ms", milliseconds(Timeouts.StoreCall)},
          {"announcement_ms", milliseconds(Timeouts.Announcement)}};
}

Json renderAddresses(const AddressSettings &Addresses) {
  Json Result = Json::object();
  setIfNotEmpty(Result, "callers", Addresses.Callers);
  setIfNotEmpty(Result, "peers", Addresses.Peers);
  setIfNotEmpty(Result, "announcements", Addresses.Announcements);
  setIfNotEmpty(Result, "operators", Addresses.Operators);
  return Result;
}

Json renderTracing(const TracingSettings &Tracing) {
  Json Result{{"sampling_ppm", Tracing.SamplingPpm}};
  setIfNotEmpty(Result, "collector", Tracing.Collector);
  Result["queue_spans"] = Tracing.QueueSpans;
  return Result;
}

} // namespace

std::string renderNodeSettings(const NodeSettings &Settings) {
  constexpr std::array<const char *, 4> Levels{"debug", "info", "warning",
                                               "error"};
  Json Document = Json::object();
  setIfNotEmpty(Document, "site", Settings.Site);
  setIfNotEmpty(Document, "site_key_file", Settings.SiteKeyFile);
  setIfNotEmpty(Document, "failure_domain", Settings.FailureDomain);
  setIfNotEmpty(Document, "region", Settings.Region);
  if (Json Addresses = renderAddresses(Settings.Addresses);
      !Addresses.empty()) {
    Document["addresses"] = std::move(Addresses);
  }
  Document["seeds"] = Settings.Seeds;
  setIfNotEmpty(Document, "store", Settings.Store);
  setIfNotEmpty(Document, "read_token_file", Settings.ReadTokenFile);
  setIfNotEmpty(Document, "write_token_file", Settings.WriteTokenFile);
  Document["limits"] = renderLimits(Settings.Limits);
  Document["timeouts"] = renderTimeouts(Settings.Timeouts);
  Document["profile"] = Settings.Objective == Profile::Tail ? "tail" : "cost";
  Document["probe_budget_ppm"] = decisionSettings(Settings).Probing.BudgetPpm;
  Document["drain_deadline_ms"] = milliseconds(Settings.DrainDeadline);
  Document["keys"] = {{"retention_ms", milliseconds(Settings.Keys.Retention)},
                      {"table_size", Settings.Keys.MaxRecords}};
  Document["tracing"] = renderTracing(Settings.Tracing);
  Document["log_level"] = Levels.at(static_cast<std::size_t>(Settings.Level));
  return Document.dump(2);
}

std::string defaultNodeSettings() { return renderNodeSettings(NodeSettings()); }

} // namespace hyssopford
