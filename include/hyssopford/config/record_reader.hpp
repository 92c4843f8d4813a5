/// @file
/// @brief Strict access to JSON records that other programs write.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hyssopford::detail {

using Json = nlohmann::json;

/// @brief Largest integer that every JSON implementation represents exactly
/// (2^53 - 1).
constexpr std::uint64_t MaxExactInteger = 9'007'199'254'740'991;

/// @brief A record cannot be read. what() is printable ASCII without line
/// breaks.
class RecordFault : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// @brief Parses a record. Refuses what is not JSON or not UTF-8, more than 64
/// levels, keys that occur twice and numbers that fit no type.
/// @param Text the record
/// @return the record
/// @throws RecordFault if it is refused
Json parseRecord(std::string_view Text);

/// @brief Finds a member.
/// @throws RecordFault if @p Object is no object or has no such member
const Json &memberOf(const Json &Object, const char *Name);

/// @brief Finds a member that is an array.
/// @throws RecordFault if it is missing or no array
const Json &arrayOf(const Json &Object, const char *Name);

/// @brief Reads a string.
/// @throws RecordFault if it is missing, no string or longer than @p MaxLength
/// bytes
std::string textOf(const Json &Object, const char *Name,
                   std::size_t MaxLength = 4'096);

/// @brief Reads a whole number. 4.0 is one; 4.5, true and "4" are not.
/// @throws RecordFault if it is missing, no whole number or outside of
/// @p Min to @p Max
std::uint64_t wholeNumberOf(const Json &Object, const char *Name,
                            std::uint64_t Min = 0,
                            std::uint64_t Max = MaxExactInteger);

/// @brief Reads a number.
/// @throws RecordFault if it is missing, no number, or outside of 0 to @p Max
double numberOf(const Json &Object, const char *Name, double Max);

/// @brief Reads a Boolean.
/// @throws RecordFault if it is missing or neither true nor false
bool booleanOf(const Json &Object, const char *Name);

/// @brief Reads a duration in seconds, which may have a fraction.
/// @throws RecordFault if it is missing, no number, or outside of @p Min to
/// @p Max
std::chrono::microseconds
secondsOf(const Json &Object, const char *Name,
          std::chrono::microseconds Min = std::chrono::microseconds(0),
          std::chrono::microseconds Max = std::chrono::hours(24 * 366));

/// @brief Replaces all bytes that are no printable ASCII, for a log line or an
/// answer.
std::string printable(std::string_view Text);

} // namespace hyssopford::detail
