/// @file
/// @brief Senders whose bytes never end.
#pragma once

#include "hyssopford/core/time.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hyssopford::test {

/// Bytes after which a sender gives up; far above every limit of the node and
/// the buffers of the sockets.
inline constexpr std::size_t SenderLimit = 67'108'864;
/// Sends a start and then a unit again and again until the peer closes.
/// @return the bytes sent
inline std::size_t sendWithoutEnd(Poco::Net::StreamSocket &Peer,
                                  const std::string &Start,
                                  const std::string &Unit, Duration Pause) {
  std::string Block = Unit;
  while (Pause == Duration{0} && Block.size() < 4'096) {
    Block += Unit;
  }
  std::size_t Sent = 0;
  try {
    Sent += static_cast<std::size_t>(
        Peer.sendBytes(Start.data(), static_cast<int>(Start.size())));
    while (Sent < SenderLimit) {
      Sent += static_cast<std::size_t>(
          Peer.sendBytes(Block.data(), static_cast<int>(Block.size())));
      std::this_thread::sleep_for(Pause);
    }
  } catch (const Poco::Exception &) {
    // The receiver closed the connection.
  }
  return Sent;
}

/// An upstream whose only answer never ends.
class EndlessUpstream {
public:
  EndlessUpstream(std::string Start, std::string Unit, Duration Pause)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Runner([this, Start = std::move(Start), Unit = std::move(Unit), Pause] {
          if (!Listener.poll(Poco::Timespan(2, 0),
                             Poco::Net::Socket::SELECT_READ)) {
            return;
          }
          Poco::Net::StreamSocket Peer = Listener.acceptConnection();
          Peer.setSendTimeout(Poco::Timespan(5, 0));
          // Bytes before the request would keep it from being sent.
          std::array<char, 4'096> Request{};
          Peer.receiveBytes(Request.data(), Request.size());
          Sent = sendWithoutEnd(Peer, Start, Unit, Pause);
          Ended = true;
        }) {}

  std::string address() { return Listener.address().toString(); }

  std::atomic<std::size_t> Sent = 0;
  std::atomic<bool> Ended = false;

private:
  Poco::Net::ServerSocket Listener;
  std::jthread Runner;
};

/// Answers without an end.
struct Shape {
  const char *Name;
  std::string Start;
  std::string Unit;
};

inline const std::string Ok = "HTTP/1.1 200 OK\r\n";
inline const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

inline std::vector<Shape> shapes() {
  return {{"bytes before a status line", "", "x"},
          {"white space before a status line", "", " "},
          {"a status line", "HTTP/1.1 200 O", "K"},
          {"fields one by one", Ok, "A: b\r\n"},
          {"one long field", Ok + "A: ", "b"},
          {"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
          {"a chunk size", Chunked, "0"},
          {"a chunk extension", Chunked + "5;", "x"},
          {"chunks", Chunked, "5\r\nhello\r\n"},
          {"trailers", Chunked + "0\r\n", "A: b\r\n"},
          {"a body of a huge length",
           Ok + "Content-Length: 999999999999\r\n\r\n", "x"},
          {"a body until close", Ok + "\r\n", "x"}};
}

} // namespace hyssopford::test
