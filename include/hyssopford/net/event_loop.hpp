/// @file
/// @brief Single-threaded event loop over POCO sockets.
#pragma once

#include "hyssopford/core/time.hpp"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Receives readiness events of one socket.
class SocketHandler {
public:
  virtual ~SocketHandler() = default;

  /// @brief Called when the socket is ready.
  /// @param Modes an OR of Poco::Net::PollSet::Mode values
  virtual void onReady(int Modes) = 0;
};

/// @brief Waits for sockets and timers and calls their handlers, all on the
/// thread that calls run().
class EventLoop {
public:
  using Callback = std::function<void()>;
  /// Identifies a timer; 0 is never used.
  using TimerId = std::uint64_t;

  /// @name Construction
  /// @{
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  /// @}

  /// @name Sockets
  /// @{

  /// @brief Registers a socket.
  /// @param Socket the socket, in non-blocking mode
  /// @param Modes the Poco::Net::PollSet::Mode values to wait for
  /// @param Handler is called when the socket is ready; must stay valid until
  /// the socket is removed
  void add(const Poco::Net::Socket &Socket, int Modes, SocketHandler &Handler);

  /// @brief Changes the modes of a registered socket.
  void update(const Poco::Net::Socket &Socket, int Modes);

  /// @brief Removes a socket; must precede closing it.
  void remove(const Poco::Net::Socket &Socket);
  /// @}

  /// @name Timers and callbacks
  /// @{

  /// @brief Starts a one-shot timer.
  /// @param Delay time from now, rounded up to whole milliseconds
  /// @param Function the callback
  /// @return the identifier for cancel()
  TimerId after(Duration Delay, Callback Function);

  /// @brief Cancels a timer. Does nothing if it has fired or is unknown.
  void cancel(TimerId Timer);

  /// @brief Calls back at the end of the current iteration, e.g. to destroy an
  /// object whose handler is running.
  void defer(Callback Function);

  /// @brief Calls back on the loop's thread. Thread-safe.
  void post(Callback Function);
  /// @}

  /// @name Control
  /// @{

  /// @brief Runs until stop() is called.
  void run();

  /// @brief Ends run() after the current iteration. Thread-safe.
  void stop();

  /// @return the time since the VM booted, suspensions included
  static TimePoint now();

  /// @return by how much a timer was late at most since the last call; an idle
  /// loop is late by its resolution of 1 ms
  Duration takeTimerLateness() {
    return std::exchange(TimerLateness, Duration{0});
  }
  /// @}

private:
  struct Entry {
    Poco::Net::Socket Socket;
    SocketHandler *Handler;
  };

  void runTimers();
  void runDeferred();
  void runPosted();
  Poco::Timespan timeout() const;

  Poco::Net::PollSet Poll;
  std::unordered_map<const void *, Entry> Sockets;
  std::multimap<TimePoint, std::pair<TimerId, Callback>> Timers;
  std::unordered_map<TimerId, decltype(Timers)::iterator> TimerIndex;
  std::vector<Callback> Deferred;
  TimerId LastTimer = 0;
  Duration TimerLateness{0};
  std::atomic<bool> Stopping = false;
  std::mutex PostedMutex;
  std::vector<Callback> Posted;
  /// Connected to itself; a datagram interrupts the wait of run().
  Poco::Net::DatagramSocket WakeSocket;
};

} // namespace hyssopford
