#include "hyssopford/net/event_loop.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>

namespace hyssopford {

namespace {

/// Longest wait of one iteration.
constexpr Duration MaximumWait = 1s;

} // namespace

EventLoop::EventLoop() {
  WakeSocket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  WakeSocket.connect(WakeSocket.address());
  WakeSocket.setBlocking(false);
  Poll.add(WakeSocket, Poco::Net::PollSet::POLL_READ);
}

void EventLoop::add(const Poco::Net::Socket &Socket, int Modes,
                    SocketHandler &Handler) {
  Sockets.insert_or_assign(Socket.impl(), Entry{Socket, &Handler});
  Poll.add(Socket, Modes);
}

void EventLoop::update(const Poco::Net::Socket &Socket, int Modes) {
  Poll.update(Socket, Modes);
}

void EventLoop::remove(const Poco::Net::Socket &Socket) {
  if (Sockets.erase(Socket.impl()) > 0) {
    Poll.remove(Socket);
  }
}

EventLoop::TimerId EventLoop::after(Duration Delay, Callback Function) {
  const TimerId Id = ++LastTimer;
  const auto Position =
      Timers.emplace(now() + Delay, std::pair(Id, std::move(Function)));
  TimerIndex.emplace(Id, Position);
  return Id;
}

void EventLoop::cancel(TimerId Timer) {
  const auto Found = TimerIndex.find(Timer);
  if (Found != TimerIndex.end()) {
    Timers.erase(Found->second);
    TimerIndex.erase(Found);
  }
}

void EventLoop::defer(Callback Function) {
  Deferred.push_back(std::move(Function));
}

void EventLoop::post(Callback Function) {
  {
    const std::lock_guard Lock(PostedMutex);
    Posted.push_back(std::move(Function));
  }
  const char Signal = 1;
  try {
    WakeSocket.sendBytes(&Signal, 1);
  } catch (const Poco::Exception &) {
    // The socket buffer is full, so the loop will wake anyway.
  }
}

void EventLoop::run() {
  while (!Stopping) {
    const auto Ready = Poll.poll(timeout());
    for (const auto &[Socket, Modes] : Ready) {
      if (Socket.impl() == WakeSocket.impl()) {
        runPosted();
        continue;
      }
      // A handler of this iteration may have removed the socket.
      const auto Found = Sockets.find(Socket.impl());
      if (Found != Sockets.end()) {
        Found->second.Handler->onReady(Modes);
      }
    }
    runTimers();
    runDeferred();
  }
}

void EventLoop::stop() {
  post([this] { Stopping = true; });
}

TimePoint EventLoop::now() {
  // Unlike the steady clock, this one counts the time for which the VM was
  // suspended.
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

void EventLoop::runTimers() {
  const TimePoint Now = now();
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    TimerLateness = std::max(TimerLateness, Now - Timers.begin()->first);
    auto Due = std::move(Timers.begin()->second);
    TimerIndex.erase(Due.first);
    Timers.erase(Timers.begin());
    Due.second();
  }
}

void EventLoop::runDeferred() {
  // Callbacks deferred from here run in the next iteration, which does not
  // wait.
  std::vector<Callback> Current;
  Current.swap(Deferred);
  for (const Callback &Each : Current) {
    Each();
  }
}

void EventLoop::runPosted() {
  std::array<char, 256> Buffer{};
  try {
    while (WakeSocket.receiveBytes(Buffer.data(), Buffer.size()) > 0) {
    }
  } catch (const Poco::Exception &) {
    // All datagrams are read.
  }
  std::vector<Callback> Current;
  {
    const std::lock_guard Lock(PostedMutex);
    Current.swap(Posted);
  }
  for (const Callback &Each : Current) {
    Each();
  }
}

Poco::Timespan EventLoop::timeout() const {
  if (!Deferred.empty()) {
    return {};
  }
  Duration Wait = MaximumWait;
  if (!Timers.empty()) {
    Wait = std::clamp(Timers.begin()->first - now(), Duration{0}, MaximumWait);
  }
  // PollSet waits in whole milliseconds; rounding down would busy-wait.
  const auto Whole = std::chrono::ceil<std::chrono::milliseconds>(Wait);
  return Poco::Timespan(Duration(Whole).count());
}

} // namespace hyssopford
