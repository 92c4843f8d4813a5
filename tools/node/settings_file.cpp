#include "settings_file.hpp"

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>

namespace hyssopford {

namespace {

using nlohmann::json;

std::optional<json> readJson(const std::string &Path, Error &Fault) {
  std::ifstream File(Path);
  if (!File) {
    Fault = Error{101, "settings.open", Path, "cannot read the file"};
    return std::nullopt;
  }
  try {
    return json::parse(File);
  } catch (const json::exception &Exception) {
    Fault = Error{102, "settings.parse", Path, Exception.what()};
    return std::nullopt;
  }
}

DaemonSettings settingsOf(const json &Root) {
  DaemonSettings Result;
  NodeRuntimeSettings &Node = Result.Node;
  Node.Site = Root.value("site", Node.Site);
  Node.SiteKey = Root.at("site_key").get<std::string>();
  Node.FailureDomain = Root.value("failure_domain", Node.FailureDomain);
  Node.Region = Root.value("region", Node.Region);
  Node.CallerAddress = Root.value("caller_address", Node.CallerAddress);
  Node.LocalAddress = Root.value("local_address", Node.LocalAddress);
  Node.PeerAddress = Root.value("peer_address", Node.PeerAddress);
  Node.OperatorAddress = Root.value("operator_address", Node.OperatorAddress);
  Node.Seeds = Root.value("seeds", Node.Seeds);
  Node.Tokens.Read = Secret(Root.value("read_token", ""));
  Node.Tokens.Write = Secret(Root.value("write_token", ""));
  Node.StoreAddress = Root.value("store", "");
  Node.DrainDeadline = std::chrono::milliseconds(
      Root.value("drain_deadline_ms", std::int64_t{Node.DrainDeadline / 1ms}));
  Result.RoutingFile = Root.value("routing_file", "");
  return Result;
}

Route routeOf(const json &Root) {
  Route Result;
  Result.Name = Root.at("name").get<std::string>();
  Result.Host = Root.value("host", "");
  Result.PathPrefix = Root.value("path_prefix", Result.PathPrefix);
  Result.Methods = Root.value("methods", Result.Methods);
  Result.Service = Root.at("service").get<std::string>();
  Result.Deadline = std::chrono::milliseconds(
      Root.value("deadline_ms", std::int64_t{Result.Deadline / 1ms}));
  if (Root.contains("idempotent")) {
    Result.Idempotent = Root.at("idempotent").get<bool>();
  }
  if (Root.value("priority", "normal") == "high") {
    Result.Class = Priority::High;
  }
  Result.TryLimit = Root.value("attempt_limit", Result.TryLimit);
  Result.BodyLimit = Root.value("body_limit", Result.BodyLimit);
  return Result;
}

} // namespace

std::optional<DaemonSettings> readSettings(const std::string &Path,
                                           Error &Fault) {
  const auto Root = readJson(Path, Fault);
  if (!Root) {
    return std::nullopt;
  }
  try {
    return settingsOf(*Root);
  } catch (const json::exception &Exception) {
    Fault = Error{103, "settings.check", Path, Exception.what()};
    return std::nullopt;
  }
}

std::optional<RoutingConfig> readRouting(const std::string &Path,
                                         Error &Fault) {
  const auto Root = readJson(Path, Fault);
  if (!Root) {
    return std::nullopt;
  }
  try {
    RoutingConfig Config;
    Config.Version = Root->value("version", std::uint64_t{1});
    for (const json &Each : Root->at("routes")) {
      Config.Routes.push_back(routeOf(Each));
    }
    return Config;
  } catch (const json::exception &Exception) {
    Fault = Error{104, "routing.check", Path, Exception.what()};
    return std::nullopt;
  }
}

} // namespace hyssopford
