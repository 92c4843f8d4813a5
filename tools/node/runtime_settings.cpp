#include "runtime_settings.hpp"

namespace hyssopford {

namespace {

void setLimits(const NodeSettings &Settings, NodeRuntimeSettings &Result) {
  Result.Http.Limits.StartLine = Settings.Limits.LineBytes;
  Result.Http.Limits.Head = Settings.Limits.HeaderBytes;
  Result.Http.Limits.Body = Settings.Limits.BodyBytes;
  Result.Http.MaximumConnections = Settings.Limits.CallerConnections;
  Result.Http.MaximumPerAddress = Settings.Limits.ConnectionsPerAddress;
  Result.Http.PipelineDepth = Settings.Limits.PipelinedRequests;
  Result.Http.PipelineBytes = Settings.Limits.PipelinedBytes;
  Result.Upstream.AnswerLimits.Body = Settings.Limits.AnswerBytes;
  Result.Upstream.PoolSize = Settings.Limits.UpstreamConnections;
  Result.MemoryBytes = Settings.Limits.MemoryBytes;
}

void setTimeouts(const NodeSettings &Settings, NodeRuntimeSettings &Result) {
  Result.Http.HeadTimeout = Settings.Timeouts.HeaderRead;
  Result.Http.BodyTimeout = Settings.Timeouts.BodyRead;
  Result.Http.StallTimeout = Settings.Timeouts.CallerWrite;
  Result.Http.IdleTimeout = Settings.Timeouts.CallerIdle;
  Result.Upstream.IdleTimeout = Settings.Timeouts.UpstreamIdle;
  Result.HandshakeTimeout = Settings.Timeouts.PeerConnect;
  Result.StoreCallTimeout = Settings.Timeouts.StoreCall;
}

void setTelemetry(const NodeSettings &Settings, NodeRuntimeSettings &Result) {
  Result.Telemetry.Level = Settings.Level;
  Result.Telemetry.Export.Collector = Settings.Tracing.Collector;
  Result.Telemetry.Export.QueueSpans = Settings.Tracing.QueueSpans;
  Result.SamplingPpm = Settings.Tracing.SamplingPpm;
}

} // namespace

NodeRuntimeSettings runtimeSettings(const NodeSettings &Settings,
                                    const NodeSecrets &Secrets) {
  NodeRuntimeSettings Result;
  Result.Site = Settings.Site;
  Result.SiteKey = Secrets.SiteKey.reveal();
  Result.FailureDomain = Settings.FailureDomain;
  Result.Region = Settings.Region;
  Result.CallerAddress = Settings.Addresses.Callers;
  Result.LocalAddress = Settings.Addresses.Announcements;
  Result.PeerAddress = Settings.Addresses.Peers;
  Result.OperatorAddress = Settings.Addresses.Operators;
  Result.Seeds = Settings.Seeds;
  Result.StoreAddress = Settings.Store;
  Result.Tokens.Read = Secrets.ReadToken;
  Result.Tokens.Write = Secrets.WriteToken;
  Result.DrainDeadline = Settings.DrainDeadline;
  const NodeCoreSettings Core = coreSettings(Settings, Incarnation{}, 0);
  Result.Decisions = Core.Decisions;
  Result.Keys = Core.Keys;
  setLimits(Settings, Result);
  setTimeouts(Settings, Result);
  setTelemetry(Settings, Result);
  return Result;
}

} // namespace hyssopford
