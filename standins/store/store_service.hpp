/// @file
/// @brief HTTP service of the store stand-in (docs/store-protocol.md).
#pragma once

#include "store_table.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace hyssopford::standin {

/// @brief Serves a StoreTable over HTTP until it is destroyed.
class StoreService {
public:
  /// @brief Starts serving.
  /// @param Address IP address and port; port 0 selects a free port
  /// @note Throws Poco::Exception if the address cannot be bound.
  explicit StoreService(const std::string &Address);
  StoreService(const StoreService &) = delete;
  StoreService &operator=(const StoreService &) = delete;
  ~StoreService();

  /// @return the port in use
  std::uint16_t port() const;

  /// @brief Runs one call. Blocks for the configured delay and, for a watch,
  /// until the key changes or the watch times out.
  /// @param Operation the call
  /// @return the result; for NoAnswer the connection is closed without an
  /// answer
  StoreResult call(const StoreOperation &Operation);

  /// @brief Runs a function on the table under its lock and wakes all waiting
  /// watches, because the function may change keys or faults.
  /// @param Change the function; takes a StoreTable &
  /// @return the result of the function
  template <typename Function> auto withTable(Function &&Change) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Changed.notify_all();
    return Change(Table);
  }

private:
  static TimePoint now();
  /// Sleeps with the lock released.
  /// @return whether the whole delay passed; false if the service stops
  bool sleepFor(std::unique_lock<std::mutex> &Guard, Duration Delay);

  std::mutex Lock;
  /// Signalled when keys or faults may have changed and when the service stops.
  std::condition_variable Changed;
  StoreTable Table;
  bool Stopping = false;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace hyssopford::standin
