#include "hyssopford/core/evidence/era_mark.hpp"

#include "hyssopford/core/directory_value.hpp"

#include <charconv>

namespace hyssopford {

namespace {

constexpr std::string_view EraWord = "era ";
constexpr std::string_view VersionWord = "version ";

/// Returns the number behind a word at the start of a line; 0 if the line has
/// another form.
std::uint64_t numberAfter(std::string_view Word, std::string_view Line) {
  std::uint64_t Number = 0;
  if (!Line.starts_with(Word)) {
    return 0;
  }
  const char *const End = Line.data() + Line.size();
  const auto [At, Code] =
      std::from_chars(Line.data() + Word.size(), End, Number);
  return Code == std::errc() && At == End ? Number : 0;
}

} // namespace

std::string renderEraMark(const EraMark &Value) {
  std::string Text;
  Text.append(EraWord).append(std::to_string(Value.Era)).append("\n");
  Text.append(VersionWord).append(std::to_string(Value.Version)).append("\n");
  return Text + renderDirectoryValue({Value.Contacts, 0});
}

std::optional<EraMark> parseEraMark(std::string_view Text) {
  EraMark Mark;
  Mark.Contacts = parseDirectoryValue(Text).Contacts;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    Mark.Era = std::max(Mark.Era, numberAfter(EraWord, Line));
    Mark.Version = std::max(Mark.Version, numberAfter(VersionWord, Line));
  }
  return Mark.Era != 0 ? std::optional(std::move(Mark)) : std::nullopt;
}

} // namespace hyssopford
