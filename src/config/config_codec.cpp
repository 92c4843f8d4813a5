#include "hyssopford/config/config_codec.hpp"

#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopford {

namespace {

// Keeps the order of the members, so that a document has the same text before
// and after storage.
using Json = nlohmann::ordered_json;

Json changesToJson(const std::vector<ConfigChange> &Changes) {
  Json All = Json::array();
  for (const ConfigChange &Each : Changes) {
    All.push_back({{"version", Each.Version},
                   {"base", Each.Base},
                   {"patch_id", Each.PatchId},
                   {"author", Each.Author},
                   {"time_ms", Each.TimeMs},
                   {"patch", Each.Patch}});
  }
  return All;
}

std::vector<ConfigChange> changesFromJson(const Json &All) {
  std::vector<ConfigChange> Changes;
  for (const Json &Each : All) {
    ConfigChange Change;
    Each.at("version").get_to(Change.Version);
    Each.at("base").get_to(Change.Base);
    Each.at("patch_id").get_to(Change.PatchId);
    Each.at("author").get_to(Change.Author);
    Each.at("time_ms").get_to(Change.TimeMs);
    Each.at("patch").get_to(Change.Patch);
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

/// Serialises a value. Invalid UTF-8 is replaced; by default, dump() throws.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Error storedValueError(const char *Reason) {
  return Error{numberOf(ErrorCode::NotJson), "config.store", "", Reason};
}

} // namespace

std::optional<ConfigHead> JsonConfigCodec::parseHead(std::string_view Text,
                                                     Error &LastError) const {
  try {
    const Json Value = Json::parse(Text);
    ConfigHead Head;
    Value.at("version").get_to(Head.Version);
    Head.Document = dump(Value.at("document"));
    Head.History = changesFromJson(Value.at("history"));
    for (const Json &Each : Value.at("archives")) {
      Head.Archives.push_back({Each.at("first_version").get<std::uint64_t>(),
                               Each.at("last_version").get<std::uint64_t>()});
    }
    return Head;
  } catch (const Json::exception &Fault) {
    LastError = storedValueError(Fault.what());
    return std::nullopt;
  }
}

std::string JsonConfigCodec::renderHead(const ConfigHead &Head) const {
  Json Archives = Json::array();
  for (const ConfigArchive &Each : Head.Archives) {
    Archives.push_back({{"first_version", Each.FirstVersion},
                        {"last_version", Each.LastVersion}});
  }
  return dump({{"version", Head.Version},
               {"document", Json::parse(Head.Document, nullptr, false)},
               {"history", changesToJson(Head.History)},
               {"archives", std::move(Archives)}});
}

std::optional<std::vector<ConfigChange>>
JsonConfigCodec::parseArchive(std::string_view Text, Error &LastError) const {
  try {
    return changesFromJson(Json::parse(Text).at("history"));
  } catch (const Json::exception &Fault) {
    LastError = storedValueError(Fault.what());
    return std::nullopt;
  }
}

std::string
JsonConfigCodec::renderArchive(const std::vector<ConfigChange> &Changes) const {
  return dump({{"history", changesToJson(Changes)}});
}

std::optional<std::string>
JsonConfigCodec::applyPatch(std::string_view Document, std::string_view Patch,
                            Error &LastError) const {
  return applyJsonPatch(Document, Patch, LastError);
}

std::optional<RoutingConfig>
JsonConfigCodec::parseConfig(std::string_view Document, std::uint64_t Version,
                             std::vector<Error> &Errors) const {
  return parseRoutingConfig(Document, Version, Errors);
}

} // namespace hyssopford
