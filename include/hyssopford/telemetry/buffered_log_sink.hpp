/// @file
/// @brief Non-blocking log sink for a file descriptor.
#pragma once

#include "hyssopford/telemetry/logger.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Writes lines without blocking and buffers a bounded number of bytes
/// while the reader is slow. Lines that do not fit are dropped, counted and
/// reported by a later line. Thread-safe.
class BufferedLogSink final : public LogSink {
public:
  /// @param Descriptor the file descriptor to write to
  /// @param Capacity size of the buffer in bytes
  explicit BufferedLogSink(int Descriptor, std::size_t Capacity = 65'536);

  void write(std::string_view Line) override;

  /// @brief Writes buffered lines as far as possible without blocking.
  void flush();

  /// @return the number of lines dropped since construction
  std::uint64_t dropped() const;

private:
  void append(std::string_view Line);
  void flushBuffer();

  mutable std::mutex Mutex;
  int Descriptor;
  std::size_t Capacity;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDrops = 0;
};

} // namespace hyssopford
