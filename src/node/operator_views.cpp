#include "operator_views.hpp"

#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

using nlohmann::json;

constexpr std::array<const char *, 4> MemberStateNames{"alive", "suspect",
                                                       "leaving", "dead"};
constexpr std::array<const char *, 4> UpstreamStateNames{"none", "cold",
                                                         "serving", "draining"};

const char *nameOf(MemberState State) {
  return MemberStateNames[static_cast<std::size_t>(State)];
}

const char *nameOf(UpstreamState State) {
  return UpstreamStateNames[static_cast<std::size_t>(State)];
}

bool isDrained(const RoutingConfig &Config, const std::string &Address) {
  return std::find(Config.Drains.begin(), Config.Drains.end(), Address) !=
         Config.Drains.end();
}

/// Address of a member's operators' port; empty if the port is not known.
std::string operatorAddressOf(const MemberRecord &Record) {
  if (Record.OperatorsPort == 0) {
    return {};
  }
  const std::string Host =
      Record.Address.substr(0, Record.Address.rfind(':') + 1);
  return Host + std::to_string(Record.OperatorsPort);
}

json memberView(const OperatorContext &Context, const MemberRecord &Record) {
  const bool IsSelf = Record.Id == Context.Driver.core().self();
  json Result{{"node", toString(Record.Id.Node)},
              {"address", Record.Address},
              {"operators",
               IsSelf ? Context.OperatorAddress : operatorAddressOf(Record)},
              {"failure_domain", Record.FailureDomain},
              {"region", Record.Region},
              {"state", nameOf(Record.State)},
              {"version", nullptr},
              {"version_age_ms", nullptr}};
  if (IsSelf) {
    Result["version"] = Context.Driver.core().config().Version;
    Result["version_age_ms"] = 0;
  }
  return Result;
}

json upstreamView(const OperatorContext &Context, const MemberRecord &Record) {
  const NodeCore &Core = Context.Driver.core();
  json Result{{"node", toString(Record.Id.Node)},
              {"address", Record.Address},
              {"service", Record.Service},
              {"state", nameOf(Record.Upstream)},
              {"drained", isDrained(Core.config(), Record.Address)},
              {"slots", Record.Slots},
              {"limit", nullptr},
              {"in_flight", nullptr},
              {"queued", nullptr},
              {"service_time_us", nullptr},
              {"report_age_ms", nullptr}};
  if (Record.Id == Core.self()) {
    Result.update(loadView(Context));
    Result.erase("sequence");
    Result["report_age_ms"] = 0;
  }
  return Result;
}

std::string formatTime(std::uint64_t Milliseconds) {
  const auto Seconds = static_cast<std::time_t>(Milliseconds / 1'000);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(Seconds));
}

bool hasError(const PatchResult &Result, ErrorCode Code) {
  return std::any_of(
      Result.Errors.begin(), Result.Errors.end(),
      [&](const Error &Each) { return Each.Code == static_cast<int>(Code); });
}

} // namespace

json versionView(const OperatorContext &Context) {
  const NodeCore &Core = Context.Driver.core();
  return {{"node", toString(Core.self().Node)},
          {"address", Context.Links.address()},
          {"version", Core.config().Version}};
}

json configView(const OperatorContext &Context) {
  const RoutingConfig &Config = Context.Driver.core().config();
  return {{"version", Config.Version},
          {"document", json::parse(renderRoutingConfig(Config))}};
}

json statusView(const OperatorContext &Context) {
  json Result = versionView(Context);
  json Nodes = json::array();
  json Upstreams = json::array();
  for (const auto &[Id, Record] :
       Context.Driver.core().membership().members()) {
    Nodes.push_back(memberView(Context, Record));
    if (!Record.Service.empty()) {
      Upstreams.push_back(upstreamView(Context, Record));
    }
  }
  Result["nodes"] = std::move(Nodes);
  Result["upstreams"] = std::move(Upstreams);
  Result["drains"] = Context.Driver.core().config().Drains;
  Result["quarantine"] = quarantineView(Context)["entries"];
  return Result;
}

json membersView(const OperatorContext &Context) {
  json List = json::array();
  for (const auto &[Id, Record] :
       Context.Driver.core().membership().members()) {
    List.push_back({{"node", toString(Id)},
                    {"incarnation", Record.Id.Run.Value},
                    {"address", Record.Address},
                    {"failure_domain", Record.FailureDomain},
                    {"region", Record.Region},
                    {"state", nameOf(Record.State)},
                    {"service", Record.Service},
                    {"upstream", nameOf(Record.Upstream)},
                    {"slots", Record.Slots}});
  }
  return {{"members", List}};
}

json loadView(const OperatorContext &Context) {
  const LoadReport Load = Context.Driver.core().owner().load();
  return {{"service", Context.Driver.core().owner().service()},
          {"sequence", Load.Sequence},
          {"in_flight", Load.InFlight},
          {"queued", Load.Queued},
          {"limit", Load.Limit},
          {"service_time_us", Load.ServiceTime.count()}};
}

json quarantineView(const OperatorContext &Context) {
  const TimePoint Now = EventLoop::now();
  json Entries = json::array();
  for (const QuarantineEntry &Each :
       Context.Driver.core().quarantine().list(Now)) {
    Entries.push_back(
        {{"fingerprint", fmt::format("{:016x}", Each.Fingerprint)},
         {"route", ""},
         {"method", ""},
         {"crashes", Each.Crashes},
         {"remaining_ms", (Each.Until - Now) / 1ms}});
  }
  return {{"entries", Entries}};
}

json nodeView(const OperatorContext &Context) {
  const NodeCore &Core = Context.Driver.core();
  json Accounts = json::array();
  for (const ClientAccount &Each : Core.accounts().accounts()) {
    Accounts.push_back({{"name", Each.Name}, {"keys", Each.Keys.size()}});
  }
  const PeerLinkCounters &Counters = Context.Links.counters();
  json Result{{"node", toString(Core.self().Node)},
              {"incarnation", Core.self().Run.Value},
              {"requests_in_flight", Core.ingress().inFlight()},
              {"attempts_in_flight", Core.owner().inFlight()},
              {"late_replies", Core.ingress().lateReplies()},
              {"links",
               {{"usable", Context.Links.usable()},
                {"pending_bytes", Context.Links.pending()},
                {"frames_sent", Counters.FramesSent},
                {"frames_received", Counters.FramesReceived},
                {"bytes_sent", Counters.BytesSent},
                {"bytes_received", Counters.BytesReceived},
                {"messages_dropped", Counters.MessagesDropped},
                {"refused", Counters.Refused}}},
              {"accounts",
               {{"required", Core.config().HasAccounts},
                {"entries", std::move(Accounts)}}},
              {"upstream_connections",
               {{"active", Context.Upstream.active()},
                {"idle", Context.Upstream.idle()},
                {"opened", Context.Upstream.opened()},
                {"reused", Context.Upstream.reused()}}},
              {"upstream", nullptr}};
  if (Context.Registry.current()) {
    const Announcement &Current = *Context.Registry.current();
    Result["upstream"] = {{"service", Current.Service},
                          {"slots", Current.Slots},
                          {"address", Current.Address},
                          {"state", nameOf(Current.State)}};
  }
  return Result;
}

json explainView(const OperatorContext &Context, const std::string &Method,
                 const std::string &Host, const std::string &Path) {
  const NodeCore &Core = Context.Driver.core();
  const Route *Matched = findRoute(Core.config(), Host, Path, Method);
  json Considered = json::array();
  for (const Route &Each : Core.config().Routes) {
    const bool IsMatch = &Each == Matched;
    Considered.push_back(
        {{"route", Each.Name},
         {"matches", IsMatch},
         {"reason", IsMatch ? "host and longest path prefix"
                            : "path prefix " + Each.PathPrefix}});
  }
  json Candidates = json::array();
  for (const auto &[Id, Record] : Core.membership().members()) {
    if (Matched == nullptr || Record.Service != Matched->Service) {
      continue;
    }
    const bool Drained = isDrained(Core.config(), Record.Address) ||
                         Record.Upstream == UpstreamState::Draining;
    const bool Alive = Record.State == MemberState::Alive;
    const char *Reason = Drained ? "draining" : Alive ? "" : "not alive";
    Candidates.push_back({{"node", toString(Id)},
                          {"address", Record.Address},
                          {"failure_domain", Record.FailureDomain},
                          {"eligible", Alive && !Drained},
                          {"reason", Reason},
                          {"score_us", nullptr},
                          {"round_trip_us", nullptr},
                          {"queue_us", nullptr},
                          {"service_us", nullptr},
                          {"failure_us", nullptr},
                          {"report_age_ms", nullptr}});
  }
  json Result{{"version", Core.config().Version},
              {"route", nullptr},
              {"considered", Considered},
              {"service", nullptr},
              {"idempotent", nullptr},
              {"priority", nullptr},
              {"deadline_ms", nullptr},
              {"candidates", Candidates}};
  if (Matched != nullptr) {
    Result["route"] = Matched->Name;
    Result["service"] = Matched->Service;
    Result["idempotent"] = isIdempotent(*Matched, Method);
    Result["priority"] = Matched->Class == Priority::High ? "high" : "normal";
    Result["deadline_ms"] = Matched->Deadline / 1ms;
  }
  return Result;
}

json historyView(const HistoryResult &Result, std::uint64_t Version,
                 std::size_t Limit) {
  json Entries = json::array();
  for (auto Each = Result.Changes.rbegin();
       Each != Result.Changes.rend() && Entries.size() < Limit; ++Each) {
    Entries.push_back({{"version", Each->Version},
                       {"patch_id", Each->PatchId},
                       {"author", Each->Author},
                       {"time", formatTime(Each->TimeMs)},
                       {"base_version", Each->Base},
                       {"patch", json::parse(Each->Patch, nullptr, false)}});
  }
  return {{"version", Version}, {"entries", Entries}};
}

json errorsView(const std::vector<Error> &Errors) {
  json List = json::array();
  for (const Error &Each : Errors) {
    List.push_back({{"code", Each.Code},
                    {"step", Each.Step},
                    {"peer", Each.Peer},
                    {"reason", Each.Reason}});
  }
  return {{"errors", List}};
}

int patchStatus(const PatchResult &Result) {
  if (Result.Status == PatchStatus::Unresolved) {
    return 504;
  }
  if (hasError(Result, ErrorCode::BaseOutdated) ||
      hasError(Result, ErrorCode::PatchIdReused)) {
    return 409;
  }
  if (hasError(Result, ErrorCode::DocumentTooLarge)) {
    return 413;
  }
  if (hasError(Result, ErrorCode::PatchFieldInvalid)) {
    return 400;
  }
  if (hasError(Result, ErrorCode::StoreUnavailable) ||
      hasError(Result, ErrorCode::StoreOlder) ||
      hasError(Result, ErrorCode::HeadUnreadable) ||
      hasError(Result, ErrorCode::PatchQueueFull)) {
    return 503;
  }
  return 422;
}

} // namespace hyssopford
