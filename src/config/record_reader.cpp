#include "hyssopford/config/record_reader.hpp"

#include "json_reader.hpp"

#include <cmath>
#include <fmt/format.h>

namespace hyssopford::detail {

namespace {

/// Longest quotation of a record in a message, in bytes.
constexpr std::size_t QuotationMax = 256;

[[noreturn]] void refuse(const char *Name, const std::string &Expected) {
  throw RecordFault(fmt::format("/{}: expected {}", Name, Expected));
}

} // namespace

std::string printable(std::string_view Text) {
  std::string Result(Text.substr(0, QuotationMax));
  for (char &Each : Result) {
    if (Each < ' ' || Each > '~') {
      Each = '?';
    }
  }
  return Result;
}

Json parseRecord(std::string_view Text) {
  std::vector<Error> Errors;
  std::optional<Json> Parsed = parseStrict(Text, "record.parse", Errors);
  if (!Parsed) {
    throw RecordFault(Errors.empty() ? "not JSON"
                                     : printable(Errors.front().Reason));
  }
  return std::move(*Parsed);
}

const Json &memberOf(const Json &Object, const char *Name) {
  if (!Object.is_object()) {
    throw RecordFault("expected an object");
  }
  const auto Found = Object.find(Name);
  if (Found == Object.end()) {
    refuse(Name, "this field");
  }
  return *Found;
}

const Json &arrayOf(const Json &Object, const char *Name) {
  const Json &Value = memberOf(Object, Name);
  if (!Value.is_array()) {
    refuse(Name, "an array");
  }
  return Value;
}

std::string textOf(const Json &Object, const char *Name,
                   std::size_t MaxLength) {
  const Json &Value = memberOf(Object, Name);
  if (!Value.is_string() ||
      Value.get_ref<const std::string &>().size() > MaxLength) {
    refuse(Name, fmt::format("a text of at most {} bytes", MaxLength));
  }
  return Value.get<std::string>();
}

std::uint64_t wholeNumberOf(const Json &Object, const char *Name,
                            std::uint64_t Min, std::uint64_t Max) {
  const Json &Value = memberOf(Object, Name);
  std::optional<std::uint64_t> Result;
  if (Value.is_number_unsigned()) {
    Result = Value.get<std::uint64_t>();
  } else if (Value.is_number_float()) {
    const auto Float = Value.get<double>();
    if (Float >= 0.0 && Float <= static_cast<double>(MaxExactInteger) &&
        std::trunc(Float) == Float) {
      Result = static_cast<std::uint64_t>(Float);
    }
  }
  if (!Result || *Result < Min || *Result > Max) {
    refuse(Name, fmt::format("a whole number from {} to {}", Min, Max));
  }
  return *Result;
}

double numberOf(const Json &Object, const char *Name, double Max) {
  const Json &Value = memberOf(Object, Name);
  if (Value.is_number()) {
    const auto Stated = Value.get<double>();
    if (Stated >= 0.0 && Stated <= Max) {
      return Stated;
    }
  }
  refuse(Name, fmt::format("a number from 0 to {}", Max));
}

bool booleanOf(const Json &Object, const char *Name) {
  const Json &Value = memberOf(Object, Name);
  if (!Value.is_boolean()) {
    refuse(Name, "true or false");
  }
  return Value.get<bool>();
}

std::chrono::microseconds secondsOf(const Json &Object, const char *Name,
                                    std::chrono::microseconds Min,
                                    std::chrono::microseconds Max) {
  using Seconds = std::chrono::duration<double>;
  const Json &Value = memberOf(Object, Name);
  if (Value.is_number()) {
    const Seconds Stated(Value.get<double>());
    if (Stated >= Seconds(Min) && Stated <= Seconds(Max)) {
      return std::chrono::duration_cast<std::chrono::microseconds>(Stated);
    }
  }
  refuse(Name, fmt::format("{} to {} seconds", Seconds(Min).count(),
                           Seconds(Max).count()));
}

} // namespace hyssopford::detail
