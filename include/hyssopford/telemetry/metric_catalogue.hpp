/// @file
/// @brief Definitions of all metrics (docs/metrics.md).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hyssopford {

/// @brief Type of a metric in the Prometheus text format.
enum class MetricType : std::uint8_t {
  /// Never decreases.
  Counter,
  Gauge,
  /// Quantiles, sum and count of observations.
  Summary
};

/// @brief Identifies a metric; the index of its entry in MetricCatalogue.
enum class MetricId : std::uint8_t {
  Requests,
  RequestSeconds,
  RequestAttempts,
  RequestsInFlight,
  LateReplies,
  ExtraCalls,
  CallerConnections,
  RefusedRequests,
  CredentialRefusals,
  OwnerInFlight,
  OwnerQueued,
  OwnerLimit,
  OwnerServiceSeconds,
  OwnerColdRate,
  OwnerHandBacks,
  UpstreamCalls,
  UpstreamSeconds,
  UpstreamConnections,
  Probes,
  ProbeSeconds,
  Members,
  PeerLinks,
  PeerFrames,
  RefusedFrames,
  ConfigVersion,
  ConfigStoreAge,
  ConfigDelay,
  ProofAge,
  StaleCredentials,
  StoreEraProven,
  EvacuatedDomains,
  Patches,
  StoreCalls,
  Keys,
  KeyCapacity,
  Quarantined,
  AllotmentTokens,
  AllotmentMessages,
  Notices,
  SpansExported,
  SpansDropped,
  SpansQueued,
  LogLinesSuppressed,
  SeriesDropped,
  MemoryUsed,
  MemoryPeak,
  MemoryLimit,
  MemoryRefusals,
  ConnectionBytes,
  ClosedConnections,
  TimerLateness,
  ProcessCpuSeconds,
  ProcessResidentBytes,
  BuildInfo
};

/// @brief Name, type, labels and help text of a metric.
struct MetricDefinition {
  MetricId Id;
  MetricType Type;
  std::string_view Name;
  /// Label names separated by commas; empty if there are none.
  std::string_view Labels;
  std::string_view Help;
};

/// @brief Number of metrics.
constexpr std::size_t MetricCount =
    static_cast<std::size_t>(MetricId::BuildInfo) + 1;

/// @brief All metrics in the order of MetricId.
constexpr std::array<MetricDefinition, MetricCount> MetricCatalogue{{
    {MetricId::Requests, MetricType::Counter, "hyssopford_requests_total",
     "outcome,reason", "Requests of callers that ended at this ingress."},
    {MetricId::RequestSeconds, MetricType::Summary,
     "hyssopford_request_seconds", "outcome",
     "Time from a caller's complete request to the outcome."},
    {MetricId::RequestAttempts, MetricType::Counter,
     "hyssopford_request_attempts_total", "",
     "Attempts made for requests that ended at this ingress."},
    {MetricId::RequestsInFlight, MetricType::Gauge,
     "hyssopford_requests_in_flight", "",
     "Requests of callers in flight at this ingress."},
    {MetricId::LateReplies, MetricType::Counter,
     "hyssopford_late_replies_total", "",
     "Replies of owners for attempts that were already settled."},
    {MetricId::ExtraCalls, MetricType::Counter, "hyssopford_extra_calls_total",
     "kind", "Retries and hedges sent by this ingress."},
    {MetricId::CallerConnections, MetricType::Gauge,
     "hyssopford_caller_connections", "", "Open connections of callers."},
    {MetricId::RefusedRequests, MetricType::Counter,
     "hyssopford_refused_requests_total", "",
     "Malformed requests refused before routing."},
    {MetricId::CredentialRefusals, MetricType::Counter,
     "hyssopford_credential_refusals_total", "",
     "Requests refused because no client account has their key."},
    {MetricId::OwnerInFlight, MetricType::Gauge, "hyssopford_owner_in_flight",
     "", "Attempts running on the upstream of this VM."},
    {MetricId::OwnerQueued, MetricType::Gauge, "hyssopford_owner_queued", "",
     "Attempts queued for the upstream of this VM."},
    {MetricId::OwnerLimit, MetricType::Gauge, "hyssopford_owner_limit", "",
     "Concurrency limit of the upstream of this VM."},
    {MetricId::OwnerServiceSeconds, MetricType::Gauge,
     "hyssopford_owner_service_seconds", "",
     "Smoothed service time of the upstream of this VM."},
    {MetricId::OwnerColdRate, MetricType::Gauge, "hyssopford_owner_cold_rate",
     "",
     "Starts a second that the cold upstream of this VM gets; 0 if it is "
     "not cold."},
    {MetricId::OwnerHandBacks, MetricType::Counter,
     "hyssopford_owner_hand_backs_total", "reason",
     "Attempts handed back because of a limit that operators set."},
    {MetricId::UpstreamCalls, MetricType::Counter,
     "hyssopford_upstream_calls_total", "result",
     "Requests forwarded to the upstream of this VM."},
    {MetricId::UpstreamSeconds, MetricType::Summary,
     "hyssopford_upstream_seconds", "",
     "Time from forwarding a request to the upstream's complete answer."},
    {MetricId::UpstreamConnections, MetricType::Gauge,
     "hyssopford_upstream_connections", "",
     "Open connections to the upstream of this VM."},
    {MetricId::Probes, MetricType::Counter, "hyssopford_probes_total", "result",
     "Probes of the upstream of this VM."},
    {MetricId::ProbeSeconds, MetricType::Counter,
     "hyssopford_probe_seconds_total", "",
     "Time that probes took; its rate divided by the slots is the share that "
     "the probe budget bounds."},
    {MetricId::Members, MetricType::Gauge, "hyssopford_members", "state",
     "Nodes of the site as this node sees them."},
    {MetricId::PeerLinks, MetricType::Gauge, "hyssopford_peer_links", "",
     "Usable links to peers."},
    {MetricId::PeerFrames, MetricType::Counter, "hyssopford_peer_frames_total",
     "direction,class", "Frames on peer links; class is data or control."},
    {MetricId::RefusedFrames, MetricType::Counter,
     "hyssopford_refused_frames_total", "",
     "Connections of peers refused before they belonged to a peer."},
    {MetricId::ConfigVersion, MetricType::Gauge, "hyssopford_config_version",
     "", "Version of the configuration in force on this node."},
    {MetricId::ConfigStoreAge, MetricType::Gauge,
     "hyssopford_config_store_age_seconds", "",
     "Time since the store last answered a call for the configuration."},
    {MetricId::ConfigDelay, MetricType::Summary,
     "hyssopford_config_delay_seconds", "",
     "Time from the first message that named a version until it was in force "
     "on this node."},
    {MetricId::ProofAge, MetricType::Gauge,
     "hyssopford_config_proof_age_seconds", "",
     "Time since the version in force was proven to be the newest."},
    {MetricId::StaleCredentials, MetricType::Counter,
     "hyssopford_stale_credentials_total", "",
     "Requests with a credential refused because the proof was too old."},
    {MetricId::StoreEraProven, MetricType::Gauge, "hyssopford_store_era_proven",
     "",
     "1 if answers of the store count as the newest; 0 after it has lost "
     "history, until a node has recorded what it knows."},
    {MetricId::EvacuatedDomains, MetricType::Gauge,
     "hyssopford_evacuated_domains", "",
     "Failure domains that are evacuated as far as this node knows."},
    {MetricId::Patches, MetricType::Counter, "hyssopford_patches_total",
     "result", "Patches submitted to this node."},
    {MetricId::StoreCalls, MetricType::Counter, "hyssopford_store_calls_total",
     "operation,status", "Calls of this node to the store."},
    {MetricId::Keys, MetricType::Gauge, "hyssopford_keys", "",
     "Idempotency keys held by this node."},
    {MetricId::KeyCapacity, MetricType::Gauge, "hyssopford_key_capacity", "",
     "Most idempotency keys that this node holds."},
    {MetricId::Quarantined, MetricType::Gauge, "hyssopford_quarantined", "",
     "Fingerprints in quarantine."},
    {MetricId::AllotmentTokens, MetricType::Counter,
     "hyssopford_allotment_tokens_total", "event",
     "Tokens of limited accounts at this node."},
    {MetricId::AllotmentMessages, MetricType::Counter,
     "hyssopford_allotment_messages_total", "",
     "Messages about allotments that this node sent."},
    {MetricId::Notices, MetricType::Counter, "hyssopford_notices_total",
     "event", "Notices of the decision core, by event name."},
    {MetricId::SpansExported, MetricType::Counter,
     "hyssopford_spans_exported_total", "", "Spans that the collector took."},
    {MetricId::SpansDropped, MetricType::Counter,
     "hyssopford_spans_dropped_total", "cause",
     "Spans dropped because the queue was full or an export failed."},
    {MetricId::SpansQueued, MetricType::Gauge, "hyssopford_spans_queued", "",
     "Spans waiting for export."},
    {MetricId::LogLinesSuppressed, MetricType::Counter,
     "hyssopford_log_lines_suppressed_total", "",
     "Log lines suppressed by the rate limit."},
    {MetricId::SeriesDropped, MetricType::Counter,
     "hyssopford_metric_samples_dropped_total", "",
     "Samples not counted because their metric has too many label values."},
    {MetricId::MemoryUsed, MetricType::Gauge, "hyssopford_memory_used_bytes",
     "", "Memory that requests and answers hold at present."},
    {MetricId::MemoryPeak, MetricType::Gauge, "hyssopford_memory_peak_bytes",
     "", "Most memory that requests and answers held at a time."},
    {MetricId::MemoryLimit, MetricType::Gauge, "hyssopford_memory_limit_bytes",
     "", "Most memory that requests and answers may hold."},
    {MetricId::MemoryRefusals, MetricType::Counter,
     "hyssopford_memory_refusals_total", "",
     "Requests refused for lack of memory."},
    {MetricId::ConnectionBytes, MetricType::Gauge,
     "hyssopford_connection_bytes", "",
     "Memory that buffers of client connections hold at present."},
    {MetricId::ClosedConnections, MetricType::Counter,
     "hyssopford_closed_connections_total", "reason",
     "Connections of clients closed or not accepted because of a limit."},
    {MetricId::TimerLateness, MetricType::Summary,
     "hyssopford_timer_lateness_seconds", "",
     "Largest lateness of the timers of the event loop in each second."},
    {MetricId::ProcessCpuSeconds, MetricType::Counter,
     "hyssopford_process_cpu_seconds_total", "",
     "Processor time of this process."},
    {MetricId::ProcessResidentBytes, MetricType::Gauge,
     "hyssopford_process_resident_bytes", "",
     "Resident memory of this process."},
    {MetricId::BuildInfo, MetricType::Gauge, "hyssopford_build_info", "version",
     "Always 1; the label gives the version of the program."},
}};

/// @return the definition of a metric
constexpr const MetricDefinition &definitionOf(MetricId Id) {
  return MetricCatalogue.at(static_cast<std::size_t>(Id));
}

} // namespace hyssopford
