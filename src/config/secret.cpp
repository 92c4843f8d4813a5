#include "hyssopford/config/secret.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>

namespace hyssopford {

namespace {

/// Longest key or token; a longer line suggests the wrong file.
constexpr std::size_t MaxSecretLength = 1024;

bool isKeyCharacter(char Each) { return Each > ' ' && Each <= '~'; }

} // namespace

bool Secret::matches(std::string_view Offered) const {
  if (Value.empty() || Value.size() != Offered.size()) {
    return false;
  }
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Value.size(); ++Index) {
    Difference |= static_cast<unsigned char>(Value[Index]) ^
                  static_cast<unsigned char>(Offered[Index]);
  }
  return Difference == 0;
}

std::optional<Secret> readSecretFile(const std::string &Path,
                                     Error &LastError) {
  constexpr const char *Step = "secret.read";
  std::ifstream File(Path);
  std::string Content(MaxSecretLength + 2, '\0');
  File.read(Content.data(), static_cast<std::streamsize>(Content.size()));
  Content.resize(static_cast<std::size_t>(File.gcount()));
  if (!File.eof() && !File.good()) {
    LastError = Error{numberOf(ErrorCode::FileUnreadable), Step, Path,
                      "cannot be read; expected a file of one line"};
    return std::nullopt;
  }
  while (Content.ends_with('\n') || Content.ends_with('\r')) {
    Content.pop_back();
  }
  if (Content.size() < MinSecretLength || Content.size() > MaxSecretLength ||
      !std::all_of(Content.begin(), Content.end(), isKeyCharacter)) {
    LastError = Error{numberOf(ErrorCode::MalformedSecret), Step, Path,
                      fmt::format("expected one line of {} to {} printable "
                                  "characters without blanks",
                                  MinSecretLength, MaxSecretLength)};
    return std::nullopt;
  }
  return Secret(std::move(Content));
}

} // namespace hyssopford
