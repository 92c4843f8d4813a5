#include "hyssopford/net/tcp_stream.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hyssopford {

namespace {

/// Maximum number of buffers passed to one system call.
constexpr std::size_t GatherLimit = 16;
/// Time for which a stream that is closing still reads. Closing with unread
/// input would send a reset, which discards the last answer in the peer's
/// receive buffer.
constexpr Duration LingerTime = 500ms;
/// Most bytes that a stream that is closing reads and discards.
constexpr std::size_t DiscardedBytesMax = 1'048'576;
/// Most reads after a write has failed.
constexpr int ReadsAfterFailure = 64;

constexpr int PollRead = Poco::Net::PollSet::POLL_READ;
constexpr int PollWrite = Poco::Net::PollSet::POLL_WRITE;
constexpr int PollError = Poco::Net::PollSet::POLL_ERROR;

} // namespace

std::string_view TcpStream::QueuedWrite::remaining() const {
  const std::string_view All = Bytes.empty() ? Shared.bytes() : Bytes;
  return All.substr(Offset);
}

TcpStream::TcpStream(EventLoop &EventSource, TcpStreamHandler &Receiver)
    : Loop(EventSource), Handler(Receiver) {}

TcpStream::~TcpStream() { close(); }

void TcpStream::accept(const Poco::Net::StreamSocket &Accepted,
                       int UnsentBytes) {
  Socket = Accepted;
  Socket.setBlocking(false);
  Socket.setNoDelay(true);
  if (UnsentBytes > 0) {
    Socket.setOption(IPPROTO_TCP, TCP_NOTSENT_LOWAT, UnsentBytes);
  }
  Open = true;
  Modes = PollRead | PollError;
  Loop.add(Socket, Modes, *this);
}

bool TcpStream::connect(const std::string &Address) {
  try {
    Socket = Poco::Net::StreamSocket();
    Socket.connectNB(Poco::Net::SocketAddress(Address));
    Socket.setNoDelay(true);
  } catch (const Poco::Exception &) {
    return false;
  }
  Open = true;
  Connecting = true;
  IsOpener = true;
  Broken = false;
  Modes = PollWrite | PollError;
  Loop.add(Socket, Modes, *this);
  return true;
}

void TcpStream::write(std::string Bytes) { write(std::move(Bytes), Payload()); }

void TcpStream::write(std::string Head, const Payload &Body,
                      std::size_t Offset) {
  if (!Open || Closing) {
    return;
  }
  const bool WasEmpty = Queue.empty();
  if (!Head.empty()) {
    PendingBytes += Head.size();
    UnchargedBytes += Head.size();
    Queue.push_back(QueuedWrite{std::move(Head), Payload(), 0});
  }
  if (Body.size() > Offset) {
    PendingBytes += Body.size() - Offset;
    UnchargedBytes += Body.isCharged() ? 0 : Body.size() - Offset;
    Queue.push_back(QueuedWrite{std::string(), Body, Offset});
  }
  if (WasEmpty && !Connecting) {
    flush();
  }
}

void TcpStream::setReadingPaused(bool Pause) {
  if (Paused != Pause) {
    Paused = Pause;
    updateModes();
  }
}

void TcpStream::setReceiveBuffer(int Bytes) {
  if (!Open) {
    return;
  }
  try {
    Socket.setReceiveBufferSize(Bytes);
  } catch (const Poco::Exception &) {
    // The connection has failed, which the next read reports.
  }
}

void TcpStream::readArrived() {
  if (Open && !Connecting && !Paused && !looksIdle()) {
    readAvailable();
  }
}

void TcpStream::close() {
  if (!Open) {
    return;
  }
  Open = false;
  Queue.clear();
  PendingBytes = 0;
  UnchargedBytes = 0;
  Loop.cancel(LingerTimer);
  Loop.remove(Socket);
  Socket.close();
}

void TcpStream::closeAfterWrite() { closeAfterWrite(0, LingerTime); }

void TcpStream::closeAfterWrite(std::uint64_t MoreBytes, Duration Wait) {
  if (!Open || Closing) {
    return;
  }
  Closing = true;
  DiscardLimit = MoreBytes + DiscardedBytesMax;
  LingerWait = Wait;
  if (Queue.empty()) {
    shutdownWrite();
  }
}

bool TcpStream::looksIdle() {
  if (!Open || Connecting || Broken || !Queue.empty()) {
    return false;
  }
  return peek() < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool TcpStream::hasArrived() const { return Open && !Connecting && peek() > 0; }

int TcpStream::peek() const {
  char Byte = 0;
  const auto Result = ::recv(Socket.impl()->sockfd(), &Byte, 1,
                             MSG_PEEK | MSG_DONTWAIT); // NOLINT
  Broken = Broken || (Result < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  return static_cast<int>(Result);
}

std::string TcpStream::peerAddress() const {
  try {
    return Socket.peerAddress().toString();
  } catch (const Poco::Exception &) {
    return {};
  }
}

void TcpStream::onReady(int Ready) {
  if (Connecting) {
    const int Fault = Socket.impl()->socketError();
    if (Fault != 0) {
      fail(std::strerror(Fault));
      return;
    }
    if ((Ready & PollWrite) == 0) {
      return;
    }
    Connecting = false;
    updateModes();
    Handler.onConnected();
    if (Open && !Queue.empty()) {
      flush();
    }
    return;
  }
  if ((Ready & PollWrite) != 0 && !Queue.empty()) {
    flush();
  }
  if (Open && Broken) {
    endBroken("connection failed");
  } else if (Open && (Ready & (PollRead | PollError)) != 0) {
    readAvailable();
  }
}

void TcpStream::readAvailable() {
  if (Paused && !Lingering) {
    // While reading is paused, only errors and hang-ups cause this call.
    fail("connection reset");
    return;
  }
  static thread_local std::array<char, MaximumReadSize> Buffer;
  int Received = 0;
  try {
    Received = Socket.receiveBytes(
        Buffer.data(), static_cast<int>(std::min(ReadSize, Buffer.size())));
  } catch (const Poco::Exception &Fault) {
    fail(Fault.displayText());
    return;
  }
  if (Received == 0) {
    fail("closed by peer", !Broken);
  } else if (Received > 0 && Closing) {
    DiscardedBytes += static_cast<std::uint64_t>(Received);
    if (DiscardedBytes > DiscardLimit) {
      fail("closed");
    }
  } else if (Received > 0) {
    Handler.onData(
        std::string_view(Buffer.data(), static_cast<std::size_t>(Received)));
  }
}

void TcpStream::endBroken(std::string_view Reason) {
  // The peer may have answered completely before it stopped reading. Requests
  // of a peer that is gone are not read.
  for (int Count = 0; Count < ReadsAfterFailure && IsOpener && Open &&
                      !Paused && !Closing && peek() > 0;
       ++Count) {
    readAvailable();
  }
  fail(Reason);
}

void TcpStream::flush() {
  while (Open && !Queue.empty()) {
    Poco::Net::SocketBufVec Buffers;
    for (const QueuedWrite &Each : Queue) {
      if (Buffers.size() == GatherLimit) {
        break;
      }
      const std::string_view Rest = Each.remaining();
      Buffers.push_back(Poco::Net::Socket::makeBuffer(
          const_cast<char *>(Rest.data()), Rest.size())); // NOLINT
    }
    int Sent = 0;
    try {
      Sent = Socket.sendBytes(Buffers);
    } catch (const Poco::Exception &Fault) {
      // POCO 1.11 reports a full socket buffer by this exception for a vector
      // of buffers, but by the return value for a single buffer.
      if (Fault.code() == EAGAIN || Fault.code() == EWOULDBLOCK) {
        break;
      }
      // Reported from the loop, as onClosed() may destroy objects that the
      // caller of write() still uses.
      Broken = true;
      Queue.clear();
      PendingBytes = 0;
      UnchargedBytes = 0;
      Loop.cancel(LingerTimer);
      LingerTimer = Loop.after(
          Duration{0}, [this, Text = Fault.displayText()] { endBroken(Text); });
      return;
    }
    if (Sent <= 0) {
      break;
    }
    auto Left = static_cast<std::size_t>(Sent);
    PendingBytes -= Left;
    while (Left > 0) {
      QueuedWrite &First = Queue.front();
      const std::size_t Taken = std::min(Left, First.remaining().size());
      First.Offset += Taken;
      UnchargedBytes -= First.isCharged() ? 0 : Taken;
      Left -= Taken;
      if (First.remaining().empty()) {
        Queue.pop_front();
      }
    }
  }
  updateModes();
  if (Open && Queue.empty()) {
    if (Closing) {
      shutdownWrite();
    } else {
      Handler.onWritesFlushed();
    }
  }
}

void TcpStream::updateModes() {
  if (!Open || Connecting) {
    return;
  }
  const bool Reads = !Paused || Lingering;
  const int Wanted =
      PollError | (Reads ? PollRead : 0) | (Queue.empty() ? 0 : PollWrite);
  if (Wanted != Modes) {
    Modes = Wanted;
    Loop.update(Socket, Modes);
  }
}

void TcpStream::fail(std::string_view Reason, bool Orderly) {
  if (!Open) {
    return;
  }
  const std::string Text(Reason);
  close();
  Handler.onClosed(Orderly, Text);
}

void TcpStream::shutdownWrite() {
  Lingering = true;
  updateModes();
  Duration Wait = LingerWait;
  try {
    Socket.shutdownSend();
  } catch (const Poco::Exception &) {
    Wait = Duration{0};
  }
  Loop.cancel(LingerTimer);
  LingerTimer = Loop.after(Wait, [this] { fail("closed"); });
}

} // namespace hyssopford
