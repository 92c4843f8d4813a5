/// @file
/// @brief Strict parsing of numbers in header fields.
#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace hyssopford {

/// @brief Parses a text that consists of exactly one number.
/// @param Text the text
/// @param Value receives the number; unspecified on failure
/// @param Base the base of the digits
/// @return whether the text is a number that fits @p Value
template <typename Number>
bool parseNumber(std::string_view Text, Number &Value, int Base = 10) {
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value, Base);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace hyssopford
