#include "hyssopford/core/accounts/client_account.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace hyssopford {

std::string toHex(const KeyDigest &Digest) {
  return fmt::format("{:02x}", fmt::join(Digest, ""));
}

std::optional<KeyDigest> digestFromHex(std::string_view Text) {
  constexpr int HexBase = 16;
  KeyDigest Result{};
  const bool IsHex =
      Text.size() == 2 * Result.size() &&
      std::all_of(Text.begin(), Text.end(), [](char Each) {
        return (Each >= '0' && Each <= '9') || (Each >= 'a' && Each <= 'f');
      });
  if (!IsHex) {
    return std::nullopt;
  }
  for (std::size_t Byte = 0; Byte < Result.size(); ++Byte) {
    const char *const Begin = Text.data() + 2 * Byte;
    std::from_chars(Begin, Begin + 2, Result[Byte], HexBase);
  }
  return Result;
}

} // namespace hyssopford
