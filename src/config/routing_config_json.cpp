#include "hyssopford/config/routing_config_json.hpp"

#include "account_json.hpp"
#include "json_reader.hpp"
#include "text_rules.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <map>

namespace hyssopford {

namespace {

using namespace detail;

constexpr std::string_view ParseStep = "config.parse";

/// @name Bounds, the same as in schema/routing.schema.json
/// @{
constexpr std::size_t MaxRoutes = 4096;
constexpr std::size_t MaxMethods = 16;
constexpr std::size_t MaxDrains = 4096;
constexpr std::size_t MaxLifts = 4096;
constexpr std::uint64_t MaxDeadlineMs = 600'000;
constexpr std::uint64_t MaxAttemptLimit = 10;
constexpr std::uint64_t MaxBodyLimit = 67'108'864;
/// @}

Route readRoute(const Json &Value, const std::string &Pointer,
                FaultList &Faults) {
  Route Result;
  ObjectReader Reader(Value, Pointer, Faults);
  Reader.readString("name", nameRule(), Result.Name, true);
  Reader.readString("host", hostRule(), Result.Host);
  Reader.readString("path_prefix", pathPrefixRule(), Result.PathPrefix);
  Reader.readStrings("methods", methodRule(), MaxMethods, Result.Methods);
  Reader.readString("service", nameRule(), Result.Service, true);
  readMilliseconds(Reader, "deadline_ms", 1, MaxDeadlineMs, Result.Deadline);
  bool Idempotent = false;
  if (Reader.readBoolean("idempotent", Idempotent)) {
    Result.Idempotent = Idempotent;
  }
  if (const auto Class = Reader.readEnum("priority", {"high", "normal"})) {
    Result.Class = *Class == 0 ? Priority::High : Priority::Normal;
  }
  std::uint64_t AttemptLimit = Result.AttemptLimit;
  Reader.readInteger("try_limit", 1, MaxAttemptLimit, AttemptLimit);
  Result.AttemptLimit = static_cast<std::uint32_t>(AttemptLimit);
  Reader.readInteger("body_limit", 0, MaxBodyLimit, Result.BodyLimit);
  Reader.readBoolean("public", Result.IsPublic);
  Reader.reportUnknownFields();
  return Result;
}

QuarantineLift readLift(const Json &Value, const std::string &Pointer,
                        FaultList &Faults) {
  QuarantineLift Result;
  ObjectReader Reader(Value, Pointer, Faults);
  std::string Fingerprint;
  if (Reader.readString("fingerprint", fingerprintRule(), Fingerprint, true)) {
    std::from_chars(Fingerprint.data(), Fingerprint.data() + Fingerprint.size(),
                    Result.Fingerprint, 16);
  }
  Reader.readInteger("serial", 0, MaxExactInteger, Result.Serial);
  Reader.reportUnknownFields();
  return Result;
}

bool methodsOverlap(const Route &Left, const Route &Right) {
  return Left.Methods.empty() || Right.Methods.empty() ||
         std::any_of(Left.Methods.begin(), Left.Methods.end(),
                     [&](const std::string &Method) {
                       return std::find(Right.Methods.begin(),
                                        Right.Methods.end(),
                                        Method) != Right.Methods.end();
                     });
}

std::string routePointer(std::size_t Index) {
  return fmt::format("/routes/{}", Index);
}

/// Checks routes against each other. For a route with a fault of its own only
/// the name is checked, since its other fields may have defaults.
void checkRoutes(const std::vector<Route> &Routes,
                 const std::set<std::size_t> &Faulty, FaultList &Faults) {
  std::map<std::string, std::size_t> IndexByName;
  std::map<std::pair<std::string, std::string>, std::vector<std::size_t>>
      RoutesByMatch;
  for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
    const Route &Each = Routes[Index];
    const auto [Entry, Added] = IndexByName.emplace(Each.Name, Index);
    if (!Added && !Each.Name.empty()) {
      Faults.add(ErrorCode::NotUnique, routePointer(Index) + "/name",
                 fmt::format("the name \"{}\" is that of {} too; expected "
                             "distinct names",
                             Each.Name, routePointer(Entry->second)));
    }
    if (Faulty.contains(Index)) {
      continue;
    }
    auto &Others = RoutesByMatch[{Each.Host, Each.PathPrefix}];
    for (const std::size_t Other : Others) {
      if (methodsOverlap(Each, Routes[Other])) {
        Faults.add(ErrorCode::RouteConflict, routePointer(Index),
                   fmt::format("matches requests of {} too (same host and "
                               "path_prefix); expected methods that do not "
                               "overlap",
                               routePointer(Other)));
        break;
      }
    }
    Others.push_back(Index);
  }
}

void checkLifts(const std::vector<QuarantineLift> &Lifts, FaultList &Faults) {
  std::map<std::uint64_t, std::size_t> IndexByFingerprint;
  for (std::size_t Index = 0; Index < Lifts.size(); ++Index) {
    const auto [Entry, Added] =
        IndexByFingerprint.emplace(Lifts[Index].Fingerprint, Index);
    if (!Added) {
      Faults.add(ErrorCode::NotUnique,
                 fmt::format("/quarantine_lifts/{}/fingerprint", Index),
                 fmt::format("the same fingerprint as /quarantine_lifts/{}; "
                             "expected it once, with a higher serial",
                             Entry->second));
    }
  }
}

} // namespace

std::optional<RoutingConfig> parseRoutingConfig(std::string_view Json,
                                                std::uint64_t Version,
                                                std::vector<Error> &Errors) {
  const std::size_t Before = Errors.size();
  const auto Document = parseStrict(Json, ParseStep, Errors);
  if (!Document) {
    return std::nullopt;
  }
  RoutingConfig Result;
  Result.Version = Version;
  FaultList Faults(ParseStep, Errors);
  ObjectReader Reader(*Document, "", Faults);
  if (const auto *Routes = Reader.findArray("routes", MaxRoutes, true)) {
    std::set<std::size_t> Faulty;
    for (std::size_t Index = 0; Index < Routes->size(); ++Index) {
      const std::size_t FaultsBefore = Errors.size();
      Result.Routes.push_back(
          readRoute((*Routes)[Index], routePointer(Index), Faults));
      if (Errors.size() != FaultsBefore) {
        Faulty.insert(Index);
      }
    }
    checkRoutes(Result.Routes, Faulty, Faults);
  }
  Reader.readStrings("drains", addressRule(), MaxDrains, Result.Drains);
  if (const auto *Lifts = Reader.findArray("quarantine_lifts", MaxLifts)) {
    for (std::size_t Index = 0; Index < Lifts->size(); ++Index) {
      Result.Lifts.push_back(readLift(
          (*Lifts)[Index], fmt::format("/quarantine_lifts/{}", Index), Faults));
    }
    checkLifts(Result.Lifts, Faults);
  }
  readAccounts(Reader, Result, Faults);
  Reader.reportUnknownFields();
  if (Errors.size() != Before) {
    return std::nullopt;
  }
  return Result;
}

std::string renderRoutingConfig(const RoutingConfig &Config) {
  Json Routes = Json::array();
  for (const Route &Each : Config.Routes) {
    Json Entry{
        {"name", Each.Name},
        {"host", Each.Host},
        {"path_prefix", Each.PathPrefix},
        {"methods", Each.Methods},
        {"service", Each.Service},
        {"deadline_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(Each.Deadline)
             .count()},
        {"priority", Each.Class == Priority::High ? "high" : "normal"},
        {"try_limit", Each.AttemptLimit},
        {"body_limit", Each.BodyLimit},
        {"public", Each.IsPublic}};
    if (Each.Idempotent) {
      Entry["idempotent"] = *Each.Idempotent;
    }
    Routes.push_back(std::move(Entry));
  }
  Json Lifts = Json::array();
  for (const QuarantineLift &Each : Config.Lifts) {
    Lifts.push_back({{"fingerprint", fmt::format("{:016x}", Each.Fingerprint)},
                     {"serial", Each.Serial}});
  }
  Json Document{{"routes", std::move(Routes)},
                {"drains", Config.Drains},
                {"quarantine_lifts", std::move(Lifts)}};
  if (Config.HasAccounts) {
    Document["accounts"] = renderAccounts(Config.Accounts);
  }
  return Document.dump(2);
}

} // namespace hyssopford
