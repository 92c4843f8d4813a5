#include "hyssopford/core/quarantine/quarantine_record.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace hyssopford {

namespace {

constexpr std::string_view FormatLine = "crash-sightings 1";
constexpr std::size_t FieldCount = 7;
/// Highest age that is read; older sightings have no effect.
constexpr std::uint64_t AgeMaxMs = 3'600'000;

std::string_view takeUntil(std::string_view &Text, char Separator) {
  const std::size_t End = std::min(Text.find(Separator), Text.size());
  const std::string_view Taken = Text.substr(0, End);
  Text.remove_prefix(std::min(End + 1, Text.size()));
  return Taken;
}

bool readNumber(std::string_view Text, int Base, std::uint64_t &Value) {
  const char *const End = Text.data() + Text.size();
  const auto [At, Code] = std::from_chars(Text.data(), End, Value, Base);
  return !Text.empty() && Code == std::errc() && At == End;
}

/// Parses fingerprint, node, run, crash, lift serial, age and kind.
std::optional<CrashSighting> parseLine(std::string_view Line) {
  std::array<std::string_view, FieldCount> Fields;
  for (std::string_view &Each : Fields) {
    Each = takeUntil(Line, ' ');
  }
  CrashSighting Result;
  std::uint64_t Age = 0;
  const std::string_view Kind = Fields[6];
  if (!Line.empty() || !readNumber(Fields[0], 16, Result.Fingerprint) ||
      !readNumber(Fields[1], 16, Result.Owner.Node.Value) ||
      !readNumber(Fields[2], 16, Result.Owner.Run.Value) ||
      !readNumber(Fields[3], 10, Result.Crash) ||
      !readNumber(Fields[4], 10, Result.LiftSerial) ||
      !readNumber(Fields[5], 10, Age) || Age > AgeMaxMs ||
      (Kind != "alone" && Kind != "shared" && Kind != "trial")) {
    return std::nullopt;
  }
  Result.Age = std::chrono::milliseconds(Age);
  Result.Trial = Kind == "trial";
  Result.Alone = Kind != "shared";
  return Result;
}

} // namespace

std::string
renderQuarantineRecord(const std::vector<CrashSighting> &Sightings) {
  std::string Text(FormatLine);
  Text += '\n';
  std::size_t Count = 0;
  for (const CrashSighting &Each : Sightings) {
    if (Each.Cleared) {
      continue;
    }
    if (++Count > QuarantineRecordLimit) {
      break;
    }
    fmt::format_to(std::back_inserter(Text), "{:x} {:x} {:x} {} {} {} {}\n",
                   Each.Fingerprint, Each.Owner.Node.Value,
                   Each.Owner.Run.Value, Each.Crash, Each.LiftSerial,
                   std::max<std::int64_t>(Each.Age / 1ms, 0),
                   Each.Trial   ? "trial"
                   : Each.Alone ? "alone"
                                : "shared");
  }
  return Text;
}

std::optional<std::vector<CrashSighting>>
parseQuarantineRecord(std::string_view Text) {
  if (takeUntil(Text, '\n') != FormatLine) {
    return std::nullopt;
  }
  std::vector<CrashSighting> Result;
  while (!Text.empty() && Result.size() < QuarantineRecordLimit) {
    const std::optional<CrashSighting> Each = parseLine(takeUntil(Text, '\n'));
    if (!Each) {
      return std::nullopt;
    }
    Result.push_back(*Each);
  }
  return Result;
}

} // namespace hyssopford
