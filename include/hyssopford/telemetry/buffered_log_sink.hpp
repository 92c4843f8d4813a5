/// @file
/// @brief Log lines on a file descriptor, without ever waiting for its reader.
#pragma once

#include "hyssopford/telemetry/logger.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Writes lines as far as the reader takes them and keeps a bounded
/// number of bytes; what does not fit is dropped, counted and reported. May be
/// shared by threads.
class BufferedLogSink final : public LogSink {
public:
  /// @param Descriptor the file descriptor to write to
  /// @param Capacity most bytes kept while the reader does not read
  explicit BufferedLogSink(int Descriptor, std::size_t Capacity = 65'536);

  void write(std::string_view Line) override;

  /// @brief Writes what is kept, as far as that is possible without waiting.
  void flush();

  /// @return the number of lines dropped since the start
  std::uint64_t dropped() const;

private:
  void append(std::string_view Line);
  void flushKept();

  mutable std::mutex Mutex;
  int Descriptor;
  std::size_t Capacity;
  std::string Kept;
  std::uint64_t Dropped = 0;
  std::uint64_t Reported = 0;
};

} // namespace hyssopford
