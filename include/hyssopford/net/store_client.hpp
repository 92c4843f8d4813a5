/// @file
/// @brief Calls to the platform's key-value service.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/store_call.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hyssopford {

/// @brief Access to a key-value service. An adapter to a certain service
/// implements this interface (docs/store-protocol.md lists its duties).
class StoreClient {
public:
  /// Takes the number of a call and its result. Runs on a thread of the client,
  /// so it has to hand the result over to the event loop.
  using Callback = std::function<void(std::uint64_t Call, StoreResult Result)>;

  virtual ~StoreClient() = default;

  /// @brief Starts a call without waiting for it. Each call ends with exactly
  /// one callback unless the client is destroyed first.
  /// @param Call the call
  virtual void start(StoreCall Call) = 0;
};

/// @brief Where the store is and how long to wait for it.
struct HttpStoreSettings {
  /// IP number and port.
  std::string Address;
  Duration ConnectTimeout = 500ms;
  /// Limit for a call, on top of the waiting time of a watch.
  Duration CallTimeout = 2s;
  /// Most watches that wait at the same time; further ones queue up.
  std::size_t WatchLimit = 4;
  /// Most other calls that wait; further ones are refused.
  std::size_t QueueLimit = 256;
};

/// @brief StoreClient for the protocol of docs/store-protocol.md. Watches run
/// on threads of their own, so that they never delay other calls.
class HttpStoreClient final : public StoreClient {
public:
  /// @param Settings where the store is
  /// @param Done takes the results
  HttpStoreClient(const HttpStoreSettings &Settings, const Callback &Done);
  HttpStoreClient(const HttpStoreClient &) = delete;
  HttpStoreClient &operator=(const HttpStoreClient &) = delete;

  /// @brief Drops queued calls, interrupts running ones and joins the threads.
  ~HttpStoreClient() override;

  void start(StoreCall Call) override;

private:
  class Worker;
  class Pool;

  std::unique_ptr<Pool> Calls;
  std::unique_ptr<Pool> Watches;
};

} // namespace hyssopford
