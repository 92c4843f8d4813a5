#include "hyssopford/config/node_settings.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace hyssopford {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t milliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

void putText(Json &Object, const char *Name, const std::string &Value) {
  if (!Value.empty()) {
    Object[Name] = Value;
  }
}

Json limitsOf(const LimitSettings &Limits) {
  return {{"line_bytes", Limits.LineBytes},
          {"header_bytes", Limits.HeaderBytes},
          {"body_bytes", Limits.BodyBytes},
          {"answer_bytes", Limits.AnswerBytes},
          {"caller_connections", Limits.CallerConnections},
          {"upstream_connections", Limits.UpstreamConnections},
          {"memory_bytes", Limits.MemoryBytes}};
}

Json timeoutsOf(const TimeoutSettings &Timeouts) {
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

Json addressesOf(const AddressSettings &Addresses) {
  Json Result = Json::object();
  putText(Result, "callers", Addresses.Callers);
  putText(Result, "peers", Addresses.Peers);
  putText(Result, "announcements", Addresses.Announcements);
  putText(Result, "operators", Addresses.Operators);
  return Result;
}

Json tracingOf(const TracingSettings &Tracing) {
  Json Result{{"sampling_ppm", Tracing.SamplingPpm}};
  putText(Result, "collector", Tracing.Collector);
  Result["queue_spans"] = Tracing.QueueSpans;
  return Result;
}

} // namespace

std::string renderNodeSettings(const NodeSettings &Settings) {
  constexpr std::array<const char *, 4> Levels{"debug", "info", "warning",
                                               "error"};
  Json Document = Json::object();
  putText(Document, "site", Settings.Site);
  putText(Document, "site_key_file", Settings.SiteKeyFile);
  putText(Document, "failure_domain", Settings.FailureDomain);
  putText(Document, "region", Settings.Region);
  if (Json Addresses = addressesOf(Settings.Addresses); !Addresses.empty()) {
    Document["addresses"] = std::move(Addresses);
  }
  Document["seeds"] = Settings.Seeds;
  putText(Document, "store", Settings.Store);
  putText(Document, "read_token_file", Settings.ReadTokenFile);
  putText(Document, "write_token_file", Settings.WriteTokenFile);
  Document["limits"] = limitsOf(Settings.Limits);
  Document["timeouts"] = timeoutsOf(Settings.Timeouts);
  Document["profile"] = Settings.Objective == Profile::Tail ? "tail" : "cost";
  Document["probe_budget_ppm"] = decisionSettings(Settings).Probing.BudgetPpm;
  Document["drain_deadline_ms"] = milliseconds(Settings.DrainDeadline);
  Document["keys"] = {{"retention_ms", milliseconds(Settings.Keys.Retention)},
                      {"table_size", Settings.Keys.MaxRecords}};
  Document["tracing"] = tracingOf(Settings.Tracing);
  Document["log_level"] = Levels.at(static_cast<std::size_t>(Settings.Level));
  return Document.dump(2);
}

std::string defaultNodeSettings() { return renderNodeSettings(NodeSettings()); }

} // namespace hyssopford
