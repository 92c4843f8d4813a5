#include "hyssopford/telemetry/buffered_log_sink.hpp"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace hyssopford {

BufferedLogSink::BufferedLogSink(int Target, std::size_t Most)
    : Descriptor(Target), Capacity(Most) {}

void BufferedLogSink::write(std::string_view Line) {
  const std::scoped_lock Lock(Mutex);
  if (Dropped > Reported && Kept.size() < Capacity / 2) {
    append(fmt::format("level=warning event=log_lines_dropped count={}",
                       Dropped - Reported));
    Reported = Dropped;
  }
  if (Kept.size() + Line.size() + 1 > Capacity) {
    ++Dropped;
  } else {
    append(Line);
  }
  flushKept();
}

void BufferedLogSink::flush() {
  const std::scoped_lock Lock(Mutex);
  flushKept();
}

std::uint64_t BufferedLogSink::dropped() const {
  const std::scoped_lock Lock(Mutex);
  return Dropped;
}

void BufferedLogSink::flushKept() {
  std::size_t Written = 0;
  while (Written < Kept.size()) {
    pollfd Target{Descriptor, POLLOUT, 0};
    if (::poll(&Target, 1, 0) != 1 || (Target.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is ready takes this much without blocking (POSIX, pipe).
    const std::size_t Size =
        std::min<std::size_t>(Kept.size() - Written, PIPE_BUF);
    const auto Count = ::write(Descriptor, Kept.data() + Written, Size);
    if (Count <= 0) {
      break;
    }
    Written += static_cast<std::size_t>(Count);
  }
  Kept.erase(0, Written);
}

void BufferedLogSink::append(std::string_view Line) {
  Kept.append(Line);
  Kept += '\n';
}

} // namespace hyssopford
