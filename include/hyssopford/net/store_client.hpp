/// @file
/// @brief Client of the platform's key-value service.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/store_call.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hyssopford {

/// @brief Interface to a key-value service, implemented by an adapter for each
/// kind of service. docs/store-protocol.md lists the requirements.
class StoreClient {
public:
  /// Receives the number of a call and its result. Runs on a thread of the
  /// client, so it must pass the result to the event loop, e.g. by
  /// EventLoop::post.
  using Callback = std::function<void(std::uint64_t Call, StoreResult Result)>;

  virtual ~StoreClient() = default;

  /// @brief Starts a call without blocking. Each call ends with exactly one
  /// callback unless the client is destroyed first.
  /// @param Call the call
  virtual void start(StoreCall Call) = 0;
};

/// @brief Address, timeouts and limits of an HttpStoreClient.
struct HttpStoreSettings {
  /// Address of the store, "ip:port".
  std::string Address;
  Duration ConnectTimeout = 500ms;
  /// Time limit of a call; for a watch, its waiting time is added.
  Duration CallTimeout = 2s;
  /// Maximum number of watches that run at the same time; further ones are
  /// queued.
  std::size_t WatchLimit = 4;
  /// Maximum number of queued calls and of queued watches; further ones are
  /// refused.
  std::size_t QueueLimit = 256;
};

/// @brief StoreClient for the HTTP protocol of docs/store-protocol.md. Watches
/// have their own threads, so they do not delay other calls.
class HttpStoreClient final : public StoreClient {
public:
  /// @param Settings address, timeouts and limits
  /// @param Done receives the results
  HttpStoreClient(const HttpStoreSettings &Settings, const Callback &Done);
  HttpStoreClient(const HttpStoreClient &) = delete;
  HttpStoreClient &operator=(const HttpStoreClient &) = delete;

  /// @brief Drops queued calls, interrupts running calls and joins the threads.
  ~HttpStoreClient() override;

  void start(StoreCall Call) override;

private:
  class Worker;
  class Pool;

  std::unique_ptr<Pool> Calls;
  std::unique_ptr<Pool> Watches;
};

} // namespace hyssopford
