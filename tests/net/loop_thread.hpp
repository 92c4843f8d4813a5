/// @file
/// @brief Helpers of network tests: a loop on its own thread and a raw client.
#pragma once

#include "hyssopford/net/event_loop.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <functional>
#include <future>
#include <string>
#include <thread>

namespace hyssopford::test {

/// @brief Runs an event loop on a thread until it is destroyed.
class LoopThread {
public:
  LoopThread() : Runner([this] { Loop.run(); }) {}
  ~LoopThread() {
    Loop.stop();
    Runner.join();
  }

  /// @brief Runs a function on the loop's thread and returns its result.
  template <typename Function> auto call(Function What) {
    std::packaged_task<decltype(What())()> Task(std::move(What));
    auto Result = Task.get_future();
    Loop.post([&Task] { Task(); });
    return Result.get();
  }

  EventLoop Loop;

private:
  std::thread Runner;
};

/// @brief A blocking connection that sends and receives plain bytes.
class RawClient {
public:
  explicit RawClient(const std::string &Address)
      : Socket(Poco::Net::SocketAddress(Address)) {
    Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  }

  void send(const std::string &Bytes) {
    std::size_t At = 0;
    while (At < Bytes.size()) {
      At += static_cast<std::size_t>(Socket.sendBytes(
          Bytes.data() + At, static_cast<int>(Bytes.size() - At)));
    }
  }

  /// @brief Receives until a text has arrived or the connection ends.
  /// @return everything received by this call
  std::string receiveUntil(const std::string &End) {
    return receive([&](const std::string &Text) {
      return Text.find(End) != std::string::npos;
    });
  }

  /// @brief Receives until one of two texts has arrived.
  std::string receiveUntilEither(const std::string &First,
                                 const std::string &Second) {
    return receive([&](const std::string &Text) {
      return Text.find(First) != std::string::npos ||
             Text.find(Second) != std::string::npos;
    });
  }

  /// @brief Receives up to the end of the connection.
  std::string receiveAll() {
    return receive([](const std::string &) { return false; });
  }

  void close() { Socket.close(); }

private:
  std::string receive(const std::function<bool(const std::string &)> &Done) {
    std::string Text;
    std::array<char, 65'536> Buffer{};
    try {
      while (!Done(Text)) {
        const int Got = Socket.receiveBytes(Buffer.data(), Buffer.size());
        if (Got <= 0) {
          break;
        }
        Text.append(Buffer.data(), static_cast<std::size_t>(Got));
      }
    } catch (const Poco::Exception &) {
      Text += "<connection failed>";
    }
    return Text;
  }

  Poco::Net::StreamSocket Socket;
};

/// @brief Waits until a condition holds.
/// @return whether it holds within five seconds
inline bool eventually(const std::function<bool()> &Condition) {
  for (int Round = 0; Round < 1'000; ++Round) {
    if (Condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

} // namespace hyssopford::test
