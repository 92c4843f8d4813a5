#include "operator_views.hpp"

#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

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

/// Address of a member's operators' port; empty if it is not known.
std::string operatorsOf(const MemberRecord &Record) {
  if (Record.OperatorsPort == 0) {
    return {};
  }
  const std::string Host =
      Record.Address.substr(0, Record.Address.rfind(':') + 1);
  return Host + std::to_string(Record.OperatorsPort);
}

json memberView(const OperatorView &View, const MemberRecord &Record) {
  const bool IsSelf = Record.Id == View.Driver.core().self();
  json Result{
      {"node", toString(Record.Id.Node)},
      {"address", Record.Address},
      {"operators", IsSelf ? View.OperatorAddress : operatorsOf(Record)},
      {"failure_domain", Record.FailureDomain},
      {"region", Record.Region},
      {"state", nameOf(Record.State)},
      {"version", nullptr},
      {"version_age_ms", nullptr}};
  if (IsSelf) {
    Result["version"] = View.Driver.core().config().Version;
    Result["version_age_ms"] = 0;
  }
  return Result;
}

json upstreamView(const OperatorView &View, const MemberRecord &Record) {
  const NodeCore &Core = View.Driver.core();
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
    Result.update(loadView(View));
    Result.erase("sequence");
    Result["report_age_ms"] = 0;
  }
  return Result;
}

std::string timeText(std::uint64_t Milliseconds) {
  const auto Seconds = static_cast<std::time_t>(Milliseconds / 1'000);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(Seconds));
}

bool has(const PatchResult &Result, ErrorCode Code) {
  return std::any_of(
      Result.Errors.begin(), Result.Errors.end(),
      [&](const Error &Each) { return Each.Code == static_cast<int>(Code); });
}

} // namespace

json versionView(const OperatorView &View) {
  const NodeCore &Core = View.Driver.core();
  return {{"node", toString(Core.self().Node)},
          {"address", View.Links.address()},
          {"version", Core.config().Version}};
}

json configView(const OperatorView &View) {
  const RoutingConfig &Config = View.Driver.core().config();
  return {{"version", Config.Version},
          {"document", json::parse(renderRoutingConfig(Config))}};
}

json statusView(const OperatorView &View) {
  json Result = versionView(View);
  json Nodes = json::array();
  json Upstreams = json::array();
  for (const auto &[Id, Record] : View.Driver.core().membership().members()) {
    Nodes.push_back(memberView(View, Record));
    if (!Record.Service.empty()) {
      Upstreams.push_back(upstreamView(View, Record));
    }
  }
  Result["nodes"] = std::move(Nodes);
  Result["upstreams"] = std::move(Upstreams);
  Result["drains"] = View.Driver.core().config().Drains;
  Result["quarantine"] = quarantineView(View)["entries"];
  return Result;
}

json membersView(const OperatorView &View) {
  json List = json::array();
  for (const auto &[Id, Record] : View.Driver.core().membership().members()) {
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

json loadView(const OperatorView &View) {
  const LoadReport Load = View.Driver.core().owner().load();
  return {{"service", View.Driver.core().owner().service()},
          {"sequence", Load.Sequence},
          {"in_flight", Load.InFlight},
          {"queued", Load.Queued},
          {"limit", Load.Limit},
          {"service_time_us", Load.ServiceTime.count()}};
}

json quarantineView(const OperatorView &View) {
  const TimePoint Now = EventLoop::now();
  json Entries = json::array();
  for (const QuarantineEntry &Each :
       View.Driver.core().quarantine().list(Now)) {
    Entries.push_back(
        {{"fingerprint", fmt::format("{:016x}", Each.Fingerprint)},
         {"route", ""},
         {"method", ""},
         {"crashes", Each.Crashes},
         {"remaining_ms", (Each.Until - Now) / 1ms}});
  }
  return {{"entries", Entries}};
}

json nodeView(const OperatorView &View) {
  const NodeCore &Core = View.Driver.core();
  const PeerLinkCounters &Counters = View.Links.counters();
  json Result{{"node", toString(Core.self().Node)},
              {"incarnation", Core.self().Run.Value},
              {"requests_in_flight", Core.ingress().inFlight()},
              {"attempts_in_flight", Core.owner().inFlight()},
              {"late_replies", Core.ingress().lateReplies()},
              {"links",
               {{"usable", View.Links.usable()},
                {"pending_bytes", View.Links.pending()},
                {"frames_sent", Counters.FramesSent},
                {"frames_received", Counters.FramesReceived},
                {"bytes_sent", Counters.BytesSent},
                {"bytes_received", Counters.BytesReceived},
                {"messages_dropped", Counters.MessagesDropped},
                {"refused", Counters.Refused}}},
              {"upstream_connections",
               {{"active", View.Upstream.active()},
                {"idle", View.Upstream.idle()},
                {"opened", View.Upstream.opened()},
                {"reused", View.Upstream.reused()}}},
              {"upstream", nullptr}};
  if (View.Registry.current()) {
    const Announcement &Current = *View.Registry.current();
    Result["upstream"] = {{"service", Current.Service},
                          {"slots", Current.Slots},
                          {"address", Current.Address},
                          {"state", nameOf(Current.State)}};
  }
  return Result;
}

json explainView(const OperatorView &View, const std::string &Method,
                 const std::string &Host, const std::string &Path) {
  const NodeCore &Core = View.Driver.core();
  const Route *Matched = findRoute(Core.config(), Host, Path, Method);
  json Considered = json::array();
  for (const Route &Each : Core.config().Routes) {
    const bool Chosen = &Each == Matched;
    Considered.push_back(
        {{"route", Each.Name},
         {"matches", Chosen},
         {"reason", Chosen ? "host and longest path prefix"
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
    Result["idempotent"] =
        Matched->Idempotent.value_or(isIdempotentMethod(Method));
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
                       {"time", timeText(Each->TimeMs)},
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
  if (has(Result, ErrorCode::BaseOutdated) ||
      has(Result, ErrorCode::PatchIdReused)) {
    return 409;
  }
  if (has(Result, ErrorCode::DocumentTooLarge)) {
    return 413;
  }
  if (has(Result, ErrorCode::PatchFieldInvalid)) {
    return 400;
  }
  if (has(Result, ErrorCode::StoreUnavailable) ||
      has(Result, ErrorCode::StoreOlder) ||
      has(Result, ErrorCode::HeadUnreadable) ||
      has(Result, ErrorCode::PatchQueueFull)) {
    return 503;
  }
  return 422;
}

} // namespace hyssopford
