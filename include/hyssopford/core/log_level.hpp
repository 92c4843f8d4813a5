/// @file
/// @brief Severity of log lines.
#pragma once

#include <cstdint>

namespace hyssopford {

/// @brief Severity of a log line, in ascending order.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

} // namespace hyssopford
