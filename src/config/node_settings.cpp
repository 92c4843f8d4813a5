#include "hyssopford/config/node_settings.hpp"

#include "json_reader.hpp"
#include "text_rules.hpp"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace hyssopford {

namespace {

using namespace detail;

constexpr std::string_view ParseStep = "settings.parse";

/// @name Bounds, the same as in schema/node.schema.json
/// @{
constexpr std::size_t MaxSeeds = 64;
constexpr std::uint64_t MinBufferBytes = 1'024;
constexpr std::uint64_t MaxHeaderBytes = 1'048'576;
constexpr std::uint64_t MaxBodyBytes = 67'108'864;
constexpr std::uint64_t MaxConnections = 65'536;
constexpr std::uint64_t MaxPipelineDepth = 1'024;
constexpr std::uint64_t MaxMemoryBytes = 8'589'934'592;
constexpr std::uint64_t MaxTimeoutMs = 600'000;
constexpr std::uint64_t MaxAnnouncementMs = 60'000;
constexpr std::uint64_t MinRetentionMs = 60'000;
constexpr std::uint64_t MaxRetentionMs = 604'800'000;
constexpr std::uint64_t MaxTableSize = 10'000'000;
constexpr std::uint64_t MaxProbeBudgetPpm = 10'000;
constexpr std::uint64_t Million = 1'000'000;
constexpr std::uint64_t MaxQueueSpans = 1'048'576;
/// @}

const std::vector<const char *> ProfileWords{"tail", "cost"};
const std::vector<const char *> LevelWords{"debug", "info", "warning", "error"};

void readAddresses(const Json &Value, AddressSettings &Target,
                   FaultList &Faults) {
  ObjectReader Reader(Value, "/addresses", Faults);
  Reader.readString("callers", listenAddressRule(), Target.Callers, true);
  Reader.readString("peers", listenAddressRule(), Target.Peers, true);
  Reader.readString("announcements", listenAddressRule(), Target.Announcements,
                    true);
  Reader.readString("operators", listenAddressRule(), Target.Operators, true);
  Reader.reportUnknownFields();
}

void readLimits(const Json &Value, LimitSettings &Target, FaultList &Faults) {
  ObjectReader Reader(Value, "/limits", Faults);
  Reader.readInteger("line_bytes", MinBufferBytes, MaxHeaderBytes,
                     Target.LineBytes);
  Reader.readInteger("header_bytes", MinBufferBytes, MaxHeaderBytes,
                     Target.HeaderBytes);
  Reader.readInteger("body_bytes", 0, MaxBodyBytes, Target.BodyBytes);
  Reader.readInteger("answer_bytes", MinBufferBytes, MaxBodyBytes,
                     Target.AnswerBytes);
  Reader.readInteger("caller_connections", 1, MaxConnections,
                     Target.CallerConnections);
  Reader.readInteger("connections_per_address", 0, MaxConnections,
                     Target.ConnectionsPerAddress);
  Reader.readInteger("pipelined_requests", 1, MaxPipelineDepth,
                     Target.PipelinedRequests);
  Reader.readInteger("pipelined_bytes", MinBufferBytes, MaxBodyBytes,
                     Target.PipelinedBytes);
  Reader.readInteger("upstream_connections", 1, MaxConnections,
                     Target.UpstreamConnections);
  Reader.readInteger("memory_bytes", MaxHeaderBytes, MaxMemoryBytes,
                     Target.MemoryBytes);
  Reader.reportUnknownFields();
}

void readTimeouts(const Json &Value, TimeoutSettings &Target,
                  FaultList &Faults) {
  ObjectReader Reader(Value, "/timeouts", Faults);
  const auto Read = [&Reader](const char *Name, Duration &Timeout) {
    readMilliseconds(Reader, Name, 1, MaxTimeoutMs, Timeout);
  };
  Read("header_read_ms", Target.HeaderRead);
  Read("body_read_ms", Target.BodyRead);
  Read("caller_idle_ms", Target.CallerIdle);
  Read("caller_write_ms", Target.CallerWrite);
  Read("upstream_connect_ms", Target.UpstreamConnect);
  Read("upstream_idle_ms", Target.UpstreamIdle);
  Read("peer_connect_ms", Target.PeerConnect);
  Read("store_call_ms", Target.StoreCall);
  readMilliseconds(Reader, "announcement_ms", 100, MaxAnnouncementMs,
                   Target.Announcement);
  Reader.reportUnknownFields();
}

void readKeys(const Json &Value, KeySettings &Target, FaultList &Faults) {
  ObjectReader Reader(Value, "/keys", Faults);
  readMilliseconds(Reader, "retention_ms", MinRetentionMs, MaxRetentionMs,
                   Target.Retention);
  Reader.readInteger("table_size", 1, MaxTableSize, Target.MaxRecords);
  Reader.reportUnknownFields();
}

void readTracing(const Json &Value, TracingSettings &Target,
                 FaultList &Faults) {
  ObjectReader Reader(Value, "/tracing", Faults);
  std::uint64_t Sampling = Target.SamplingPpm;
  Reader.readInteger("sampling_ppm", 0, Million, Sampling);
  Target.SamplingPpm = static_cast<std::uint32_t>(Sampling);
  Reader.readString("collector", addressRule(), Target.Collector);
  Reader.readInteger("queue_spans", 1, MaxQueueSpans, Target.QueueSpans);
  Reader.reportUnknownFields();
}

void readIdentity(ObjectReader &Reader, NodeSettings &Target) {
  Reader.readString("site", nameRule(), Target.Site, true);
  Reader.readString("site_key_file", filePathRule(), Target.SiteKeyFile, true);
  Reader.readString("failure_domain", nameRule(), Target.FailureDomain, true);
  Reader.readString("region", nameRule(), Target.Region, true);
  Reader.readStrings("seeds", addressRule(), MaxSeeds, Target.Seeds);
  Reader.readString("store", addressRule(), Target.Store, true);
  Reader.readString("read_token_file", filePathRule(), Target.ReadTokenFile,
                    true);
  Reader.readString("write_token_file", filePathRule(), Target.WriteTokenFile,
                    true);
}

void readBehaviour(ObjectReader &Reader, NodeSettings &Target) {
  if (const auto Word = Reader.readEnum("profile", ProfileWords)) {
    Target.Objective = static_cast<Profile>(*Word);
  }
  std::uint64_t Budget = 0;
  if (Reader.readInteger("probe_budget_ppm", 0, MaxProbeBudgetPpm, Budget)) {
    Target.ProbeBudgetPpm = static_cast<std::uint32_t>(Budget);
  }
  readMilliseconds(Reader, "drain_deadline_ms", 0, MaxTimeoutMs,
                   Target.DrainDeadline);
  if (const auto Word = Reader.readEnum("log_level", LevelWords)) {
    Target.Level = static_cast<LogLevel>(*Word);
  }
}

bool isLoopback(const std::string &Address) {
  return Address.starts_with("127.") || Address.starts_with("[::1]:");
}

bool isWildcard(const std::string &Address) {
  return Address.starts_with("0.0.0.0:") || Address.starts_with("[::]:");
}

void checkAddresses(const AddressSettings &Addresses, FaultList &Faults) {
  if (isWildcard(Addresses.Peers)) {
    Faults.add(ErrorCode::SettingConflict, "/addresses/peers",
               "expected the address by which peers reach this node, found "
               "a wildcard address");
  }
  if (!isLoopback(Addresses.Announcements)) {
    Faults.add(ErrorCode::SettingConflict, "/addresses/announcements",
               fmt::format("expected a loopback address, found {}",
                           Addresses.Announcements));
  }
  const std::vector<std::pair<const char *, const std::string *>> All{
      {"/addresses/callers", &Addresses.Callers},
      {"/addresses/peers", &Addresses.Peers},
      {"/addresses/announcements", &Addresses.Announcements},
      {"/addresses/operators", &Addresses.Operators}};
  for (std::size_t Right = 1; Right < All.size(); ++Right) {
    for (std::size_t Left = 0; Left < Right; ++Left) {
      if (*All[Left].second == *All[Right].second &&
          !All[Left].second->ends_with(":0")) {
        Faults.add(
            ErrorCode::SettingConflict, All[Right].first,
            fmt::format("the same address as {}; expected distinct addresses",
                        All[Left].first));
      }
    }
  }
}

/// Checks fields against each other. Each of them must be valid on its own.
void checkConsistency(const NodeSettings &Settings, FaultList &Faults) {
  checkAddresses(Settings.Addresses, Faults);
  const LimitSettings &Limits = Settings.Limits;
  if (Limits.LineBytes > Limits.HeaderBytes) {
    Faults.add(ErrorCode::SettingConflict, "/limits/line_bytes",
               fmt::format("expected at most /limits/header_bytes ({})",
                           Limits.HeaderBytes));
  }
  if (Limits.HeaderBytes + Limits.BodyBytes + Limits.AnswerBytes >
      Limits.MemoryBytes) {
    Faults.add(
        ErrorCode::SettingConflict, "/limits/memory_bytes",
        fmt::format("expected room for one request and its answer ({} "
                    "bytes), found {}",
                    Limits.HeaderBytes + Limits.BodyBytes + Limits.AnswerBytes,
                    Limits.MemoryBytes));
  }
  if (Settings.ReadTokenFile == Settings.WriteTokenFile) {
    Faults.add(ErrorCode::SettingConflict, "/write_token_file",
               "the same file as /read_token_file; expected distinct tokens");
  }
}

std::string readFile(const std::string &Path, bool &Readable) {
  std::ifstream File(Path);
  std::ostringstream Content;
  Content << File.rdbuf();
  Readable = File.good();
  return Content.str();
}

} // namespace

std::optional<NodeSettings> parseNodeSettings(std::string_view Json,
                                              std::vector<Error> &Errors) {
  const std::size_t Before = Errors.size();
  const auto Document = parseStrict(Json, ParseStep, Errors);
  if (!Document) {
    return std::nullopt;
  }
  NodeSettings Result;
  FaultList Faults(ParseStep, Errors);
  ObjectReader Reader(*Document, "", Faults);
  readIdentity(Reader, Result);
  if (const auto *Value = Reader.findObject("addresses", true)) {
    readAddresses(*Value, Result.Addresses, Faults);
  }
  if (const auto *Value = Reader.findObject("limits")) {
    readLimits(*Value, Result.Limits, Faults);
  }
  if (const auto *Value = Reader.findObject("timeouts")) {
    readTimeouts(*Value, Result.Timeouts, Faults);
  }
  if (const auto *Value = Reader.findObject("keys")) {
    readKeys(*Value, Result.Keys, Faults);
  }
  if (const auto *Value = Reader.findObject("tracing")) {
    readTracing(*Value, Result.Tracing, Faults);
  }
  readBehaviour(Reader, Result);
  Reader.reportUnknownFields();
  if (Errors.size() == Before) {
    checkConsistency(Result, Faults);
  }
  if (Errors.size() != Before) {
    return std::nullopt;
  }
  return Result;
}

std::optional<NodeSettings> readNodeSettings(const std::string &Path,
                                             std::vector<Error> &Errors) {
  bool Readable = false;
  const std::string Content = readFile(Path, Readable);
  if (!Readable) {
    Errors.push_back(Error{numberOf(ErrorCode::FileUnreadable), "settings.read",
                           Path, "cannot be read; expected a JSON file"});
    return std::nullopt;
  }
  return parseNodeSettings(Content, Errors);
}

std::optional<NodeSecrets> loadSecrets(const NodeSettings &Settings,
                                       std::vector<Error> &Errors) {
  const std::size_t Before = Errors.size();
  NodeSecrets Result;
  const auto Load = [&Errors](const std::string &Path, Secret &Target) {
    Error Last;
    if (auto Loaded = readSecretFile(Path, Last)) {
      Target = std::move(*Loaded);
    } else {
      Errors.push_back(std::move(Last));
    }
  };
  Load(Settings.SiteKeyFile, Result.SiteKey);
  Load(Settings.ReadTokenFile, Result.ReadToken);
  Load(Settings.WriteTokenFile, Result.WriteToken);
  if (Errors.size() != Before) {
    return std::nullopt;
  }
  return Result;
}

int checkNodeSettings(const std::string &Path, std::string &Report) {
  constexpr int Valid = 0;
  constexpr int Invalid = 2;
  std::vector<Error> Errors;
  if (readNodeSettings(Path, Errors)) {
    Report += fmt::format("{}: valid\n", Path);
    return Valid;
  }
  for (const Error &Each : Errors) {
    Report += fmt::format("{}: {}\n", Path, toString(Each));
  }
  return Invalid;
}

DecisionSettings decisionSettings(const NodeSettings &Settings) {
  DecisionSettings Result =
      Settings.Objective == Profile::Tail ? tailProfile() : costProfile();
  Result.Probing.BudgetPpm =
      Settings.ProbeBudgetPpm.value_or(Result.Probing.BudgetPpm);
  return Result;
}

NodeCoreSettings coreSettings(const NodeSettings &Settings, Incarnation Run,
                              std::uint64_t Seed) {
  NodeCoreSettings Result;
  Result.Address = Settings.Addresses.Peers;
  Result.Run = Run;
  Result.FailureDomain = Settings.FailureDomain;
  Result.Region = Settings.Region;
  Result.Seeds = Settings.Seeds;
  Result.Seed = Seed;
  Result.Decisions = decisionSettings(Settings);
  Result.Keys = Settings.Keys;
  return Result;
}

} // namespace hyssopford
