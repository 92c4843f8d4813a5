/// @file
/// @brief Keys and tokens, guarded against output by accident.
#pragma once

#include "hyssopford/core/error.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopford {

/// @brief A key or token. It has no stream or format operator, which prevents
/// logging it by accident.
class Secret {
public:
  Secret() = default;

  /// @param Text the key or token
  explicit Secret(std::string Text) : Value(std::move(Text)) {}

  /// @return the key or token, for use in a computation
  const std::string &reveal() const { return Value; }

  /// @brief Compares with an untrusted value in a time that depends only on the
  /// lengths, as a defence against timing attacks.
  /// @param Offered the untrusted value
  /// @return whether both are equal and not empty
  bool matches(std::string_view Offered) const;

  friend bool operator==(const Secret &, const Secret &) = default;

private:
  std::string Value;
};

/// @brief Least length of a key or token in characters: 128 bits as hexadecimal
/// digits.
constexpr std::size_t MinSecretLength = 32;

/// @brief Reads a key or token from a file of one line.
/// @param Path the file
/// @param LastError receives the reason if the result is empty; errors 112 (the
/// file cannot be read) and 114 (malformed content); the content is never part
/// of the reason
/// @return the secret, or nothing
std::optional<Secret> readSecretFile(const std::string &Path, Error &LastError);

} // namespace hyssopford
