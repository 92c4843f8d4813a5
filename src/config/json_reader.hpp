/// @file
/// @brief Strict reader for JSON documents that collects every fault.
#pragma once

#include "hyssopford/config/record_reader.hpp"
#include "hyssopford/core/error.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <regex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford::detail {

/// @brief Parses a document and refuses duplicate keys, which RFC 8259,
/// section 4, leaves undefined.
/// @param Text the document
/// @param Step value of Error::Step
/// @param Errors receives every fault
/// @return the document, or nothing if it has faults
std::optional<Json> parseStrict(std::string_view Text, std::string_view Step,
                                std::vector<Error> &Errors);

/// @brief Appends a member name or an index to a JSON pointer (RFC 6901).
std::string childPointer(std::string_view Pointer, std::string_view Name);

/// @brief Format that a string must have.
struct TextRule {
  /// ECMAScript pattern, the same as in the schema.
  const std::regex *Pattern = nullptr;
  /// Description of the pattern for error messages.
  const char *Expected = "a text";
  std::size_t MaxLength = 256;
};

/// @brief Appends the faults of one document to a list of errors.
class FaultList {
public:
  /// @param StepName value of Error::Step
  /// @param Target receives the errors
  FaultList(std::string_view StepName, std::vector<Error> &Target)
      : Step(StepName), Errors(Target) {}

  /// @param Code error code
  /// @param Pointer JSON pointer to the faulty value; becomes Error::Peer
  /// @param Reason description with the expected value
  void add(ErrorCode Code, std::string_view Pointer, std::string Reason);

private:
  std::string Step;
  std::vector<Error> &Errors;
};

/// @brief Reads the members of one object. A member that is absent or faulty
/// leaves the target unchanged.
class ObjectReader {
public:
  /// @param Object the object; any other type is a fault
  /// @param At JSON pointer to the object
  /// @param Found receives the faults
  ObjectReader(const Json &Object, std::string At, FaultList &Found);

  /// @brief Reads a string.
  /// @return whether Target was set
  bool readString(const char *Name, const TextRule &Rule, std::string &Target,
                  bool Required = false);

  /// @brief Reads an integer between Min and Max, both included.
  /// @return whether Target was set
  bool readInteger(const char *Name, std::uint64_t Min, std::uint64_t Max,
                   std::uint64_t &Target, bool Required = false);

  /// @brief Reads a Boolean.
  /// @return whether Target was set
  bool readBoolean(const char *Name, bool &Target);

  /// @brief Reads a string that must be one of Words.
  /// @return its index in Words, or nothing
  std::optional<std::size_t> readEnum(const char *Name,
                                      const std::vector<const char *> &Words);

  /// @brief Reads an array of distinct strings.
  /// @return whether Target was set
  bool readStrings(const char *Name, const TextRule &Rule, std::size_t MaxItems,
                   std::vector<std::string> &Target, bool Required = false);

  /// @brief Finds an array member.
  /// @return the array, or nullptr
  const Json *findArray(const char *Name, std::size_t MaxItems,
                        bool Required = false);

  /// @brief Finds an object member.
  /// @return the object, or nullptr
  const Json *findObject(const char *Name, bool Required = false);

  /// @brief Reports members that no earlier call has read as unknown fields.
  void reportUnknownFields();

  /// @return the JSON pointer of a member
  std::string pointerOf(const char *Name) const;

private:
  const Json *find(const char *Name, bool Required);

  const Json &Value;
  std::string Pointer;
  FaultList &Faults;
  std::set<std::string, std::less<>> KnownFields;
};

/// @brief Reads a duration given in milliseconds, between MinMs and MaxMs.
/// @return whether Target was set
bool readMilliseconds(ObjectReader &Reader, const char *Name,
                      std::uint64_t MinMs, std::uint64_t MaxMs,
                      std::chrono::microseconds &Target);

} // namespace hyssopford::detail
