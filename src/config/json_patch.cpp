#include "hyssopford/config/routing_config_json.hpp"

#include "json_reader.hpp"

#include <fmt/format.h>

namespace hyssopford {

namespace {

using namespace detail;

constexpr std::string_view PatchStep = "config.patch";

const std::string *stringMember(const Json &Operation, const char *Name) {
  const auto Found = Operation.find(Name);
  return Found != Operation.end() && Found->is_string()
             ? &Found->get_ref<const std::string &>()
             : nullptr;
}

/// Checks the members of one operation (RFC 6902, section 4).
/// Returns the fault, if any.
std::optional<std::string> formFault(const Json &Operation) {
  if (!Operation.is_object()) {
    return fmt::format("expected an object, found {}", Operation.type_name());
  }
  const std::string *Op = stringMember(Operation, "op");
  const bool NeedsValue =
      Op != nullptr && (*Op == "add" || *Op == "replace" || *Op == "test");
  const bool NeedsFrom = Op != nullptr && (*Op == "move" || *Op == "copy");
  if (Op == nullptr || (!NeedsValue && !NeedsFrom && *Op != "remove")) {
    return "expected \"op\" to be add, remove, replace, move, copy or test";
  }
  if (stringMember(Operation, "path") == nullptr) {
    return "expected \"path\" with a JSON pointer";
  }
  if (NeedsValue && !Operation.contains("value")) {
    return fmt::format("expected \"value\" for {}", *Op);
  }
  if (NeedsFrom && stringMember(Operation, "from") == nullptr) {
    return fmt::format("expected \"from\" with a JSON pointer for {}", *Op);
  }
  return std::nullopt;
}

/// Checks that the target of an operation can exist. nlohmann/json aborts on an
/// addition below a string or number and ignores a removal there, so both are
/// refused here. Returns the fault, if any.
std::optional<std::string> targetFault(const Json &Document,
                                       const Json &Operation) {
  const Json::json_pointer Path(Operation["path"].get<std::string>());
  const std::string &Op = Operation["op"].get_ref<const std::string &>();
  if (Op == "remove" || Op == "replace" || Op == "test") {
    if (!Document.contains(Path)) {
      return fmt::format("{} does not exist", Path.to_string());
    }
    if (Op == "remove" && Path.empty()) {
      return "the whole document cannot be removed";
    }
    return std::nullopt;
  }
  if (Path.empty()) {
    return std::nullopt;
  }
  const Json::json_pointer Parent = Path.parent_pointer();
  if (!Document.contains(Parent) || !Document.at(Parent).is_structured()) {
    return fmt::format("{} is not an object or an array", Parent.to_string());
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string> applyJsonPatch(std::string_view Document,
                                          std::string_view Patch,
                                          Error &LastError) {
  std::vector<Error> Errors;
  auto Value = parseStrict(Document, PatchStep, Errors);
  const auto Operations = parseStrict(Patch, PatchStep, Errors);
  FaultList Faults(PatchStep, Errors);
  if (Operations && !Operations->is_array()) {
    Faults.add(ErrorCode::MalformedPatch, "",
               fmt::format("expected an array of operations, found {}",
                           Operations->type_name()));
  }
  if (!Errors.empty()) {
    LastError = Errors.front();
    return std::nullopt;
  }
  for (std::size_t Index = 0; Index < Operations->size(); ++Index) {
    const Json &Operation = (*Operations)[Index];
    const std::string At = fmt::format("/{}", Index);
    try {
      if (const auto Fault = formFault(Operation)) {
        Faults.add(ErrorCode::MalformedPatch, At, *Fault);
      } else if (const auto Missing = targetFault(*Value, Operation)) {
        Faults.add(ErrorCode::PatchConflict, At, *Missing);
      } else {
        *Value = Value->patch(Json::array({Operation}));
      }
    } catch (const Json::parse_error &Fault) {
      Faults.add(ErrorCode::MalformedPatch, At, Fault.what());
    } catch (const Json::exception &Fault) {
      Faults.add(
          ErrorCode::PatchConflict, At,
          fmt::format("{} does not apply: {}", Operation.dump(), Fault.what()));
    }
    if (!Errors.empty()) {
      LastError = Errors.front();
      return std::nullopt;
    }
  }
  return Value->dump(2);
}

} // namespace hyssopford
