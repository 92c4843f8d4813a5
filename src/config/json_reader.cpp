#include "json_reader.hpp"

#include <fmt/format.h>

namespace hyssopford::detail {

namespace {

/// Removes the quotation of the document from a message of the parser, because
/// documents hold secrets and messages are logged.
std::string_view withoutQuotation(std::string_view Message) {
  return Message.substr(0, Message.find("; last read:"));
}

/// Finds keys that occur twice in one object. The depth is limited, so that a
/// hostile document cannot exhaust memory.
class DuplicateKeyScan final : public nlohmann::json_sax<Json> {
public:
  static constexpr std::size_t MaxDepth = 64;

  explicit DuplicateKeyScan(FaultList &Found) : Faults(Found) {}

  bool null() override { return value(); }
  bool boolean(bool) override { return value(); }
  bool number_integer(number_integer_t) override { return value(); }
  bool number_unsigned(number_unsigned_t) override { return value(); }
  bool number_float(number_float_t, const string_t &) override {
    return value();
  }
  bool string(string_t &) override { return value(); }
  bool binary(binary_t &) override { return value(); }
  bool start_object(std::size_t) override { return open(false); }
  bool start_array(std::size_t) override { return open(true); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(string_t &Name) override {
    Level &Top = Levels.back();
    Top.Current = Name;
    if (!Top.Keys.insert(Name).second) {
      Faults.add(ErrorCode::DuplicateKey, pointer(),
                 "the key occurs more than once; expected it once");
    }
    return true;
  }

  bool parse_error(std::size_t Position, const std::string &,
                   const nlohmann::detail::exception &Fault) override {
    Faults.add(ErrorCode::NotJson, "",
               fmt::format("not JSON at byte {}: {}", Position,
                           withoutQuotation(Fault.what())));
    return false;
  }

private:
  struct Level {
    bool IsArray = false;
    std::size_t Index = 0;
    std::string Current;
    std::set<std::string> Keys;
  };

  std::string pointer() const {
    std::string Result;
    for (const Level &Each : Levels) {
      Result = childPointer(Result, Each.IsArray ? std::to_string(Each.Index)
                                                 : Each.Current);
    }
    return Result;
  }

  bool value() {
    if (!Levels.empty()) {
      ++Levels.back().Index;
    }
    return true;
  }

  bool open(bool IsArray) {
    if (Levels.size() >= MaxDepth) {
      Faults.add(ErrorCode::NotJson, pointer(),
                 fmt::format("more than {} levels deep", MaxDepth));
      return false;
    }
    Levels.push_back(Level{IsArray, 0, {}, {}});
    return true;
  }

  bool close() {
    Levels.pop_back();
    return value();
  }

  FaultList &Faults;
  std::vector<Level> Levels;
};

} // namespace

std::string childPointer(std::string_view Pointer, std::string_view Name) {
  std::string Result(Pointer);
  Result += '/';
  for (const char Each : Name) {
    if (Each == '~') {
      Result += "~0";
    } else if (Each == '/') {
      Result += "~1";
    } else {
      Result += Each;
    }
  }
  return Result;
}

void FaultList::add(ErrorCode Code, std::string_view Pointer,
                    std::string Reason) {
  Errors.push_back(Error{numberOf(Code), Step,
                         Pointer.empty() ? "/" : std::string(Pointer),
                         std::move(Reason)});
}

std::optional<Json> parseStrict(std::string_view Text, std::string_view Step,
                                std::vector<Error> &Errors) {
  const std::size_t Before = Errors.size();
  FaultList Faults(Step, Errors);
  DuplicateKeyScan Scan(Faults);
  if (!Json::sax_parse(Text, &Scan) || Errors.size() != Before) {
    return std::nullopt;
  }
  return Json::parse(Text);
}

ObjectReader::ObjectReader(const Json &Object, std::string At, FaultList &Found)
    : Value(Object), Pointer(std::move(At)), Faults(Found) {
  if (!Value.is_object()) {
    Faults.add(ErrorCode::WrongType, Pointer,
               fmt::format("expected an object, found {}", Value.type_name()));
  }
}

std::string ObjectReader::pointerOf(const char *Name) const {
  return childPointer(Pointer, Name);
}

const Json *ObjectReader::find(const char *Name, bool Required) {
  KnownFields.insert(Name);
  if (!Value.is_object()) {
    return nullptr;
  }
  const auto Found = Value.find(Name);
  if (Found != Value.end()) {
    return &*Found;
  }
  if (Required) {
    Faults.add(ErrorCode::MissingField, pointerOf(Name),
               "missing; expected this field");
  }
  return nullptr;
}

namespace {

bool checkText(const Json &Value, const std::string &Pointer,
               const TextRule &Rule, FaultList &Faults) {
  if (!Value.is_string()) {
    Faults.add(
        ErrorCode::WrongType, Pointer,
        fmt::format("expected {}, found {}", Rule.Expected, Value.type_name()));
    return false;
  }
  const std::string &Text = Value.get_ref<const std::string &>();
  if (Text.size() > Rule.MaxLength) {
    Faults.add(ErrorCode::OutOfRange, Pointer,
               fmt::format("expected at most {} characters, found {}",
                           Rule.MaxLength, Text.size()));
    return false;
  }
  if (Rule.Pattern != nullptr && !std::regex_match(Text, *Rule.Pattern)) {
    Faults.add(
        ErrorCode::InvalidFormat, Pointer,
        fmt::format("expected {}, found {}", Rule.Expected, Value.dump()));
    return false;
  }
  return true;
}

} // namespace

bool ObjectReader::readString(const char *Name, const TextRule &Rule,
                              std::string &Target, bool Required) {
  const Json *Found = find(Name, Required);
  if (Found == nullptr || !checkText(*Found, pointerOf(Name), Rule, Faults)) {
    return false;
  }
  Target = Found->get<std::string>();
  return true;
}

bool ObjectReader::readInteger(const char *Name, std::uint64_t Min,
                               std::uint64_t Max, std::uint64_t &Target,
                               bool Required) {
  const Json *Found = find(Name, Required);
  if (Found == nullptr) {
    return false;
  }
  const std::string Expected =
      fmt::format("expected an integer from {} to {}", Min, Max);
  if (!Found->is_number_integer()) {
    Faults.add(
        ErrorCode::WrongType, pointerOf(Name),
        fmt::format("{}, found {}", Expected,
                    Found->is_number() ? "a fraction" : Found->type_name()));
    return false;
  }
  // The library stores integers without a sign as unsigned, so any other one is
  // negative.
  if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() < Min ||
      Found->get<std::uint64_t>() > Max) {
    Faults.add(ErrorCode::OutOfRange, pointerOf(Name),
               fmt::format("{}, found {}", Expected, Found->dump()));
    return false;
  }
  Target = Found->get<std::uint64_t>();
  return true;
}

bool ObjectReader::readBoolean(const char *Name, bool &Target) {
  const Json *Found = find(Name, false);
  if (Found == nullptr) {
    return false;
  }
  if (!Found->is_boolean()) {
    Faults.add(
        ErrorCode::WrongType, pointerOf(Name),
        fmt::format("expected true or false, found {}", Found->type_name()));
    return false;
  }
  Target = Found->get<bool>();
  return true;
}

std::optional<std::size_t>
ObjectReader::readEnum(const char *Name,
                       const std::vector<const char *> &Words) {
  const Json *Found = find(Name, false);
  if (Found == nullptr) {
    return std::nullopt;
  }
  const std::string Expected =
      fmt::format("expected one of {}", fmt::join(Words, ", "));
  if (!Found->is_string()) {
    Faults.add(ErrorCode::WrongType, pointerOf(Name),
               fmt::format("{}, found {}", Expected, Found->type_name()));
    return std::nullopt;
  }
  for (std::size_t Index = 0; Index < Words.size(); ++Index) {
    if (*Found == Words[Index]) {
      return Index;
    }
  }
  Faults.add(ErrorCode::InvalidFormat, pointerOf(Name),
             fmt::format("{}, found {}", Expected, Found->dump()));
  return std::nullopt;
}

bool ObjectReader::readStrings(const char *Name, const TextRule &Rule,
                               std::size_t MaxItems,
                               std::vector<std::string> &Target,
                               bool Required) {
  const Json *Found = findArray(Name, MaxItems, Required);
  if (Found == nullptr) {
    return false;
  }
  std::vector<std::string> Result;
  std::set<std::string> Seen;
  bool Valid = true;
  for (std::size_t Index = 0; Index < Found->size(); ++Index) {
    const std::string At = childPointer(pointerOf(Name), std::to_string(Index));
    if (!checkText((*Found)[Index], At, Rule, Faults)) {
      Valid = false;
      continue;
    }
    Result.push_back((*Found)[Index].get<std::string>());
    if (!Seen.insert(Result.back()).second) {
      Faults.add(ErrorCode::NotUnique, At,
                 fmt::format("{} occurs more than once; expected it once",
                             (*Found)[Index].dump()));
      Valid = false;
    }
  }
  if (Valid) {
    Target = std::move(Result);
  }
  return Valid;
}

const Json *ObjectReader::findArray(const char *Name, std::size_t MaxItems,
                                    bool Required) {
  const Json *Found = find(Name, Required);
  if (Found == nullptr) {
    return nullptr;
  }
  if (!Found->is_array()) {
    Faults.add(ErrorCode::WrongType, pointerOf(Name),
               fmt::format("expected an array, found {}", Found->type_name()));
    return nullptr;
  }
  if (Found->size() > MaxItems) {
    Faults.add(ErrorCode::OutOfRange, pointerOf(Name),
               fmt::format("expected at most {} elements, found {}", MaxItems,
                           Found->size()));
    return nullptr;
  }
  return Found;
}

const Json *ObjectReader::findObject(const char *Name, bool Required) {
  const Json *Found = find(Name, Required);
  if (Found != nullptr && !Found->is_object()) {
    Faults.add(ErrorCode::WrongType, pointerOf(Name),
               fmt::format("expected an object, found {}", Found->type_name()));
    return nullptr;
  }
  return Found;
}

void ObjectReader::reportUnknownFields() {
  if (!Value.is_object()) {
    return;
  }
  for (const auto &[Name, Member] : Value.items()) {
    if (!KnownFields.contains(Name)) {
      Faults.add(ErrorCode::UnknownField, childPointer(Pointer, Name),
                 fmt::format("unknown field; expected one of {}",
                             fmt::join(KnownFields, ", ")));
    }
  }
}

bool readMilliseconds(ObjectReader &Reader, const char *Name,
                      std::uint64_t MinMs, std::uint64_t MaxMs,
                      std::chrono::microseconds &Target) {
  std::uint64_t Milliseconds = 0;
  if (!Reader.readInteger(Name, MinMs, MaxMs, Milliseconds)) {
    return false;
  }
  Target = std::chrono::milliseconds(Milliseconds);
  return true;
}

} // namespace hyssopford::detail
