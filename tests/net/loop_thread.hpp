/// @file
/// @brief Helpers for network tests: an event loop on its own thread and a raw
/// TCP client.
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

/// @brief Runs an event loop on its own thread; the destructor ends both.
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

/// @brief A blocking TCP connection.
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

  /// @brief Receives until a text has arrived, the connection ends or 5 s pass
  /// without a byte.
  /// @return everything received by this call; ends with "<connection failed>"
  /// after an error or time-out
  std::string receiveUntil(const std::string &End) {
    return receive([&](const std::string &Text) {
      return Text.find(End) != std::string::npos;
    });
  }

  /// @brief Like receiveUntil(), for either of two texts.
  std::string receiveUntilEither(const std::string &First,
                                 const std::string &Second) {
    return receive([&](const std::string &Text) {
      return Text.find(First) != std::string::npos ||
             Text.find(Second) != std::string::npos;
    });
  }

  /// @brief Receives until the connection ends.
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
        const int Received = Socket.receiveBytes(Buffer.data(), Buffer.size());
        if (Received <= 0) {
          break;
        }
        Text.append(Buffer.data(), static_cast<std::size_t>(Received));
      }
    } catch (const Poco::Exception &) {
      Text += "<connection failed>";
    }
    return Text;
  }

  Poco::Net::StreamSocket Socket;
};

/// @brief Polls a condition until it holds.
/// @return whether it held within about 5 s
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
