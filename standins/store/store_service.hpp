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
  /// @param Address IP number and port; port 0 takes a free one
  /// @note Throws Poco::Exception if the address cannot be bound.
  explicit StoreService(const std::string &Address);
  StoreService(const StoreService &) = delete;
  StoreService &operator=(const StoreService &) = delete;
  ~StoreService();

  /// @return the port in use
  std::uint16_t port() const;

  /// @brief Runs one call, waiting out the delay in force and, for a watch, the
  /// time until a change.
  /// @param Operation the call
  /// @return the result; NoAnswer if the connection is to be closed unanswered
  StoreResult call(const StoreOperation &Operation);

  /// @brief Runs a function on the table under its lock and wakes all watches.
  template <typename Function> auto withTable(Function &&Change) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Changed.notify_all();
    return Change(Table);
  }

private:
  static TimePoint now();
  bool sleepFor(std::unique_lock<std::mutex> &Guard, Duration Delay);

  std::mutex Lock;
  std::condition_variable Changed;
  StoreTable Table;
  bool Stopping = false;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace hyssopford::standin
