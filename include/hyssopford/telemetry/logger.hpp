/// @file
/// @brief Log lines of one event each.
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

/// @brief Where log lines go.
class LogSink {
public:
  virtual ~LogSink() = default;

  /// @brief Takes one line without its end.
  virtual void write(std::string_view Line) = 0;
};

/// @brief Writes lines to standard error, each in one call so that lines of
/// several threads do not mix.
class StandardErrorSink final : public LogSink {
public:
  void write(std::string_view Line) override;
};

/// @brief Writes events as lines of key=value fields. Lines of one event name
/// are limited in rate; the next line that passes carries the number of
/// suppressed ones. Calls from several threads are safe.
class Logger {
public:
  using WallTime = std::chrono::system_clock::time_point;
  using WallClock = std::function<WallTime()>;

  /// Lines of one event name in one window. A fault that repeats with every
  /// request must not fill the log.
  static constexpr std::uint64_t LinesPerWindow = 10;
  static constexpr std::chrono::seconds Window{1};
  /// Longer values are cut.
  static constexpr std::size_t MaxValueLength = 1'024;

  /// @name Construction
  /// @{

  /// @param Least least severity that is written
  /// @param Target takes the lines; must outlive the logger
  /// @param Clock gives the time of day
  Logger(LogLevel Least, LogSink &Target,
         WallClock Clock = std::chrono::system_clock::now);
  /// @}

  /// @name Output
  /// @{

  /// @brief Writes one event.
  /// @param Level severity
  /// @param Event event name in snake case
  /// @param Fields further fields; keys are names of the code, values may come
  /// from outside and are escaped
  void log(LogLevel Level, std::string_view Event,
           const std::vector<LogField> &Fields = {});

  /// @brief Writes a line for each event that has suppressed lines and no
  /// open window, so that a count is not lost when the event stops. Meant to be
  /// called about once a second and at the end of the process.
  void flushSuppressed();

  /// @return the number of lines suppressed since the start
  std::uint64_t suppressed() const;
  /// @}

private:
  struct EventWindow {
    WallTime Start;
    std::uint64_t Lines = 0;
    std::uint64_t Suppressed = 0;
  };

  LogLevel Least;
  LogSink &Sink;
  WallClock Clock;
  mutable std::mutex Mutex;
  std::uint64_t SuppressedTotal = 0;
  std::map<std::string, EventWindow, std::less<>> Windows;
};

/// @brief Renders a value of a log field: as it is if it consists of letters,
/// digits and a few marks, otherwise quoted, with quotes, control characters
/// and bytes outside ASCII escaped so that no value can forge a line or drive a
/// terminal.
/// @param Value the value
/// @return the text after the equals sign
std::string renderLogValue(std::string_view Value);

} // namespace hyssopford
