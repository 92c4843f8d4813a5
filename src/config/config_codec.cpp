#include "hyssopford/config/config_codec.hpp"

#include "hyssopford/config/record_reader.hpp"
#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopford {

namespace {

// Keeps the order of the members, so that a document has the same text before
// and after storage.
using Json = nlohmann::ordered_json;

/// Longest patch, author or identifier that is read, in bytes.
constexpr std::size_t PatchBytesMax = 67'108'864;

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

std::vector<ConfigChange> historyOf(const detail::Json &Record) {
  std::vector<ConfigChange> Changes;
  for (const detail::Json &Each : detail::arrayOf(Record, "history")) {
    ConfigChange Change;
    Change.Version = detail::wholeNumberOf(Each, "version");
    Change.Base = detail::wholeNumberOf(Each, "base");
    Change.PatchId = detail::textOf(Each, "patch_id", PatchBytesMax);
    Change.Author = detail::textOf(Each, "author", PatchBytesMax);
    Change.TimeMs = detail::wholeNumberOf(Each, "time_ms");
    Change.Patch = detail::textOf(Each, "patch", PatchBytesMax);
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

/// Serialises a value. Invalid UTF-8 is replaced; by default, dump() throws.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Error storedValueError(std::string Reason) {
  return Error{numberOf(ErrorCode::NotJson), "config.store", "",
               std::move(Reason)};
}

} // namespace

std::optional<ConfigHead> JsonConfigCodec::parseHead(std::string_view Text,
                                                     Error &LastError) const {
  try {
    const detail::Json Value = detail::parseRecord(Text);
    ConfigHead Head;
    Head.Version = detail::wholeNumberOf(Value, "version");
    detail::memberOf(Value, "document");
    Head.Document = dump(Json::parse(Text).at("document"));
    Head.History = historyOf(Value);
    for (const detail::Json &Each : detail::arrayOf(Value, "archives")) {
      Head.Archives.push_back({detail::wholeNumberOf(Each, "first_version"),
                               detail::wholeNumberOf(Each, "last_version")});
    }
    return Head;
  } catch (const std::exception &Fault) {
    LastError = storedValueError(detail::printable(Fault.what()));
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
    return historyOf(detail::parseRecord(Text));
  } catch (const std::exception &Fault) {
    LastError = storedValueError(detail::printable(Fault.what()));
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
