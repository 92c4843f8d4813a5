#include "hyssopford/core/directory_value.hpp"

#include <algorithm>
#include <charconv>

namespace hyssopford {

namespace {

// Most contacts taken from one value.
constexpr std::size_t ContactsMax = 64;
// Longest "ip:port", with an IPv6 address in brackets.
constexpr std::size_t AddressLengthMax = 47;

/// Tells whether a text has the form "ip:port", with a port from 1 to 65535. A
/// name would be looked up, which blocks.
bool isPeerAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Text.size() > AddressLengthMax || Colon == std::string_view::npos ||
      Colon == 0) {
    return false;
  }
  const std::string_view Host = Text.substr(0, Colon);
  const bool IsIp = Host.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
                        std::string_view::npos &&
                    Host.find_first_of(".:") != std::string_view::npos;
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto [At, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  return IsIp && Code == std::errc() && At == End && Port != 0;
}

constexpr std::string_view MembersWord = "members ";
// More members than this are taken for an error of the writer.
constexpr std::uint32_t MembersMax = 10'000;

std::uint32_t parseMembers(std::string_view Line) {
  if (!Line.starts_with(MembersWord)) {
    return 0;
  }
  Line.remove_prefix(MembersWord.size());
  std::uint32_t Count = 0;
  const char *const End = Line.data() + Line.size();
  const auto [At, Code] = std::from_chars(Line.data(), End, Count);
  return Code == std::errc() && At == End && Count <= MembersMax ? Count : 0;
}

} // namespace

std::string renderDirectoryValue(const DirectoryValue &Value) {
  std::string Text;
  for (const std::string &Each : Value.Contacts) {
    Text += Each + "\n";
  }
  if (Value.Members > 0) {
    Text.append(MembersWord).append(std::to_string(Value.Members)).append("\n");
  }
  return Text;
}

DirectoryValue parseDirectoryValue(std::string_view Text) {
  DirectoryValue Value;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (isPeerAddress(Line) && Value.Contacts.size() < ContactsMax) {
      Value.Contacts.emplace_back(Line);
    } else {
      Value.Members = std::max(Value.Members, parseMembers(Line));
    }
  }
  return Value;
}

} // namespace hyssopford
