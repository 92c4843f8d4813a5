#include "hyssopford/telemetry/buffered_log_sink.hpp"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace hyssopford {

BufferedLogSink::BufferedLogSink(int Output, std::size_t MaxBytes)
    : Descriptor(Output), Capacity(MaxBytes) {}

void BufferedLogSink::write(std::string_view Line) {
  const std::scoped_lock Lock(Mutex);
  if (Dropped > ReportedDrops && Buffer.size() < Capacity / 2) {
    append(fmt::format("level=warning event=log_lines_dropped count={}",
                       Dropped - ReportedDrops));
    ReportedDrops = Dropped;
  }
  if (Buffer.size() + Line.size() + 1 > Capacity) {
    ++Dropped;
  } else {
    append(Line);
  }
  flushBuffer();
}

void BufferedLogSink::flush() {
  const std::scoped_lock Lock(Mutex);
  flushBuffer();
}

std::uint64_t BufferedLogSink::dropped() const {
  const std::scoped_lock Lock(Mutex);
  return Dropped;
}

void BufferedLogSink::flushBuffer() {
  std::size_t Written = 0;
  while (Written < Buffer.size()) {
    pollfd Target{Descriptor, POLLOUT, 0};
    if (::poll(&Target, 1, 0) != 1 || (Target.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking
    // (POSIX).
    const std::size_t Size =
        std::min<std::size_t>(Buffer.size() - Written, PIPE_BUF);
    const auto Count = ::write(Descriptor, Buffer.data() + Written, Size);
    if (Count <= 0) {
      break;
    }
    Written += static_cast<std::size_t>(Count);
  }
  Buffer.erase(0, Written);
}

void BufferedLogSink::append(std::string_view Line) {
  Buffer.append(Line);
  Buffer += '\n';
}

} // namespace hyssopford
