/// @file
/// @brief Reads JSON documents strictly and collects every fault.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <regex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford::detail {

using Json = nlohmann::json;

/// @brief Largest integer that every JSON implementation keeps exactly.
constexpr std::uint64_t MaxExactInteger = 9'007'199'254'740'991;

/// @brief Parses a document and refuses duplicate keys, which RFC 8259,
/// section 4, leaves undefined.
/// @param Text the document
/// @param Step step named in errors
/// @param Errors receives the faults
/// @return the document, or nothing
std::optional<Json> parseStrict(std::string_view Text, std::string_view Step,
                                std::vector<Error> &Errors);

/// @brief Appends a member name or an index to a JSON pointer (RFC 6901).
std::string childPointer(std::string_view Pointer, std::string_view Name);

/// @brief What a text must look like.
struct TextRule {
  /// ECMAScript pattern, the same as in the schema.
  const std::regex *Pattern = nullptr;
  /// The pattern in words, for errors.
  const char *Expected = "a text";
  std::size_t MaxLength = 256;
};

/// @brief Where faults go.
class FaultList {
public:
  FaultList(std::string_view StepName, std::vector<Error> &Target)
      : Step(StepName), Errors(Target) {}

  void add(ErrorCode Code, std::string_view Pointer, std::string Reason);

private:
  std::string Step;
  std::vector<Error> &Errors;
};

/// @brief Reads the members of one object. A member that is absent or faulty
/// leaves the target unchanged.
class ObjectReader {
public:
  /// @param Object the object; another type is a fault
  /// @param At pointer to the object in the document
  /// @param Found receives the faults
  ObjectReader(const Json &Object, std::string At, FaultList &Found);

  /// @brief Reads a text.
  /// @return whether Target was set
  bool text(const char *Name, const TextRule &Rule, std::string &Target,
            bool Required = false);

  /// @brief Reads an integer from a range.
  bool integer(const char *Name, std::uint64_t Min, std::uint64_t Max,
               std::uint64_t &Target, bool Required = false);

  /// @brief Reads true or false.
  bool boolean(const char *Name, bool &Target);

  /// @brief Reads one of a few words.
  /// @return the position of the word in Words
  std::optional<std::size_t> word(const char *Name,
                                  const std::vector<const char *> &Words);

  /// @brief Reads an array of distinct texts.
  bool texts(const char *Name, const TextRule &Rule, std::size_t MaxItems,
             std::vector<std::string> &Target, bool Required = false);

  /// @brief Finds an array.
  const Json *array(const char *Name, std::size_t MaxItems,
                    bool Required = false);

  /// @brief Finds an object.
  const Json *object(const char *Name, bool Required = false);

  /// @brief Reports members that no call has asked for.
  void finish();

  /// @brief Pointer of a member.
  std::string pointerOf(const char *Name) const;

private:
  const Json *find(const char *Name, bool Required);

  const Json &Value;
  std::string Pointer;
  FaultList &Faults;
  std::set<std::string, std::less<>> Known;
};

/// @brief Reads a duration given as an integer of milliseconds in a range.
/// @return whether Target was set
bool readMilliseconds(ObjectReader &Reader, const char *Name,
                      std::uint64_t MinMs, std::uint64_t MaxMs,
                      std::chrono::microseconds &Target);

} // namespace hyssopford::detail
