#include "hyssopford/telemetry/logger.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fmt/chrono.h>
#include <iterator>

namespace hyssopford {

namespace {

constexpr std::array<const char *, 4> LevelNames{"debug", "info", "warning",
                                                 "error"};

bool isPlainCharacter(char Each) {
  return (Each >= 'a' && Each <= 'z') || (Each >= 'A' && Each <= 'Z') ||
         (Each >= '0' && Each <= '9') ||
         std::string_view("_.:/-+").find(Each) != std::string_view::npos;
}

void appendEscaped(std::string &Target, char Each) {
  switch (Each) {
  case '"':
    Target += "\\\"";
    return;
  case '\\':
    Target += "\\\\";
    return;
  case '\n':
    Target += "\\n";
    return;
  case '\r':
    Target += "\\r";
    return;
  case '\t':
    Target += "\\t";
    return;
  default:
    break;
  }
  if (Each >= ' ' && Each <= '~') {
    Target += Each;
  } else {
    fmt::format_to(std::back_inserter(Target), "\\x{:02x}",
                   static_cast<unsigned char>(Each));
  }
}

std::string formatTime(Logger::WallTime Time) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Time - Seconds);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Seconds)),
                     Milliseconds.count());
}

} // namespace

void StandardErrorSink::write(std::string_view Line) {
  const std::string WithEnd = fmt::format("{}\n", Line);
  std::fwrite(WithEnd.data(), 1, WithEnd.size(), stderr);
}

std::string renderLogValue(std::string_view Value) {
  if (!Value.empty() &&
      std::all_of(Value.begin(), Value.end(), isPlainCharacter)) {
    return std::string(Value);
  }
  std::string Result = "\"";
  for (const char Each : Value) {
    appendEscaped(Result, Each);
  }
  Result += '"';
  return Result;
}

Logger::Logger(LogLevel Lowest, LogSink &Target, WallClock Source)
    : MinLevel(Lowest), Sink(Target), Clock(std::move(Source)) {}

void Logger::log(LogLevel Level, std::string_view EventName,
                 const std::vector<LogField> &Fields) {
  if (Level < MinLevel) {
    return;
  }
  const WallTime Now = Clock();
  const std::scoped_lock Lock(Mutex);
  auto Found = Windows.find(EventName);
  if (Found == Windows.end()) {
    Found =
        Windows.emplace(std::string(EventName), EventWindow{Now, 0, 0}).first;
  }
  EventWindow &Current = Found->second;
  if (Now - Current.Start >= Window || Now < Current.Start) {
    Current.Start = Now;
    Current.Lines = 0;
  }
  if (Current.Lines >= LinesPerWindow) {
    ++Current.Suppressed;
    ++SuppressedTotal;
    return;
  }
  ++Current.Lines;
  std::string Line =
      fmt::format("time={} level={} event={}", formatTime(Now),
                  LevelNames.at(static_cast<std::size_t>(Level)), EventName);
  for (const LogField &Each : Fields) {
    const std::string_view Value = Each.Value;
    fmt::format_to(std::back_inserter(Line), " {}={}", Each.Name,
                   renderLogValue(Value.substr(0, MaxValueLength)));
  }
  if (Current.Suppressed > 0) {
    fmt::format_to(std::back_inserter(Line), " suppressed={}",
                   Current.Suppressed);
    Current.Suppressed = 0;
  }
  Sink.write(Line);
}

void Logger::flushSuppressed() {
  const WallTime Now = Clock();
  const std::scoped_lock Lock(Mutex);
  for (auto &[Event, Current] : Windows) {
    if (Current.Suppressed == 0 || Now - Current.Start < Window) {
      continue;
    }
    Sink.write(fmt::format(
        "time={} level=warning event=log_lines_suppressed name={} count={}",
        formatTime(Now), Event, Current.Suppressed));
    Current.Suppressed = 0;
  }
}

std::uint64_t Logger::suppressed() const {
  const std::scoped_lock Lock(Mutex);
  return SuppressedTotal;
}

} // namespace hyssopford
