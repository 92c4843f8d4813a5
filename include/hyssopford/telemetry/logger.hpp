/// @file
/// @brief Structured logger with one line for each event.
#pragma once

#include "hyssopford/core/log_level.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Name and value of one field of a log line.
struct LogField {
  std::string Name;
  std::string Value;

  LogField(std::string_view FieldName, std::string_view Text)
      : Name(FieldName), Value(Text) {}
  LogField(std::string_view FieldName, const char *Text)
      : LogField(FieldName, std::string_view(Text)) {}
  template <typename Number>
  requires std::integral<Number> || std::floating_point<Number>
  LogField(std::string_view FieldName, Number Amount)
      : Name(FieldName), Value(fmt::to_string(Amount)) {}
};

/// @brief Destination of log lines.
class LogSink {
public:
  virtual ~LogSink() = default;

  /// @brief Writes one line.
  /// @param Line the line without line feed
  virtual void write(std::string_view Line) = 0;
};

/// @brief Writes lines to standard error, each in one call so that lines of
/// several threads do not interleave.
class StandardErrorSink final : public LogSink {
public:
  void write(std::string_view Line) override;
};

/// @brief Writes events as lines of key=value fields. Lines of one event name
/// are rate-limited; the next line that passes carries the number of suppressed
/// ones. Thread-safe.
class Logger {
public:
  using WallTime = std::chrono::system_clock::time_point;
  using WallClock = std::function<WallTime()>;

  /// Most lines of one event name per window, so that a fault that repeats with
  /// every request does not fill the log.
  static constexpr std::uint64_t LinesPerWindow = 10;
  /// Length of the window of the rate limit.
  static constexpr std::chrono::seconds Window{1};
  /// Longer field values are truncated, in bytes.
  static constexpr std::size_t MaxValueLength = 1'024;

  /// @name Construction
  /// @{

  /// @param MinLevel lowest severity that is written
  /// @param Target receives the lines; must outlive the logger
  /// @param Clock source of wall-clock time
  Logger(LogLevel MinLevel, LogSink &Target,
         WallClock Clock = std::chrono::system_clock::now);
  /// @}

  /// @name Output
  /// @{

  /// @brief Writes one event.
  /// @param Level severity
  /// @param EventName event name in snake case
  /// @param Fields further fields; names must be literals of the program,
  /// values may be untrusted and are escaped
  void log(LogLevel Level, std::string_view EventName,
           const std::vector<LogField> &Fields = {});

  /// @brief Writes a line for each event name with suppressed lines whose
  /// window has ended, so that the count is not lost if the event does not
  /// recur. To be called about once a second and at the end of the process.
  void flushSuppressed();

  /// @return the number of lines suppressed since construction
  std::uint64_t suppressed() const;
  /// @}

private:
  struct EventWindow {
    WallTime Start;
    std::uint64_t Lines = 0;
    std::uint64_t Suppressed = 0;
  };

  LogLevel MinLevel;
  LogSink &Sink;
  WallClock Clock;
  mutable std::mutex Mutex;
  std::uint64_t SuppressedTotal = 0;
  std::map<std::string, EventWindow, std::less<>> Windows;
};

/// @brief Renders the value of a log field. A value of letters, digits and
/// "_.:/-+" is unchanged; any other is quoted, with quotes, backslashes,
/// control characters and bytes outside ASCII escaped, so that no value can
/// forge a line or control a terminal.
/// @param Value the value
/// @return the text after the equals sign
std::string renderLogValue(std::string_view Value);

} // namespace hyssopford
