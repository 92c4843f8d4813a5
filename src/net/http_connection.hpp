/// @file
/// @brief One connection of an HttpServer.
#pragma once

#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/http_server.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Reads the requests of a connection, passes them on without waiting
/// for the answers before them, and writes the answers in the order of the
/// requests (RFC 9112, section 9.3.2).
class HttpServer::Connection final : public TcpStreamHandler,
                                     public LimitedConnection {
public:
  explicit Connection(HttpServer &Parent);
  ~Connection() override;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// @brief Serves an accepted socket.
  void start(const Poco::Net::StreamSocket &Accepted);

  /// @brief Answers a request. The answer is written once those of all earlier
  /// requests are.
  void reply(RequestId Id, const Payload &Answer, const std::string &Fields);

  /// @brief Reads what has arrived, closes an idle connection and refuses a
  /// request whose head is incomplete. Requests that were passed on are
  /// answered; one that is being received is completed if none is before it.
  void drain();

  /// @brief Refuses the request whose body is arriving if the handler cannot
  /// serve it any more.
  void recheckBody();

  /// @return whether nothing is being received, answered or sent
  bool isIdle() const;

  bool mayBeClosed() const override;
  bool holdsMemory(MemoryShortage Lacking) const override;
  bool hasSent() override;
  void closeForLimit(CloseReason Reason) override;

private:
  /// A request that was read and is not yet answered, or a refusal that waits
  /// for the answers before it.
  struct Exchange {
    /// Not set for a refusal.
    RequestId Id;
    bool IsHead = false;
    bool KeepAlive = true;
    bool IsHttp10 = false;
    std::size_t BodySize = 0;
    bool Answered = false;
    Payload Answer;
    std::string Fields;
  };

  void onData(std::string_view Bytes) override;
  void onClosed(bool Orderly, std::string_view Reason) override;
  void onWritesFlushed() override;

  void process();
  /// Reads the next messages, at most a few, so that other connections get
  /// their turn.
  void readMessages();
  /// Reads on after an answer.
  void continueReading();
  /// Continues with what has arrived after other events had their turn.
  void scheduleTurn();
  /// Sets how much is read ahead, and charges what the connection holds.
  void updateLimits();
  /// Charges what the connection holds.
  /// @return whether there was room
  bool chargeHeld();
  /// Reports progress to the limits if enough bytes were received.
  void reportProgress(std::size_t Received);
  void endProgress();
  /// Sets the size of the receive buffer in the kernel.
  void setLargeBuffer(bool Large);
  /// Tells the limits how many requests are held behind another one.
  void updatePipelined();
  /// During a drain, closes the connection if it is idle and refuses a request
  /// whose head is incomplete.
  void endIfDrained();
  bool advanceReader();
  void handleHead();
  void handleRequest();
  void refuse(const HttpFault &Fault);
  /// Appends the current request of the reader.
  Exchange &appendExchange();
  void appendRefusal(const Payload &Answer, bool Close);
  /// Closes the connection once what was written has been sent.
  void close();
  /// Closes the connection after the answers that are due.
  void stopReading();
  /// Whether no request is open, is being read or has arrived.
  bool hasNoRequest() const;
  /// Whether a drain may close the connection after an answer: no other request
  /// has begun to arrive, which would end without an answer.
  bool mayCloseNow() const;
  /// Writes the answers that no earlier request holds back.
  void sendAnswers();
  void send(const Exchange &Each, bool Close);
  /// @return whether a further request may be read and passed on
  bool mayReadNext() const;
  /// Starts the wait for the next message.
  void startMessage();
  void checkTimers();
  void armTimer();
  TimePoint deadline() const;
  void reportClosed();

  HttpServer &Server;
  /// Not read from Server, as a closed connection may outlive its server.
  EventLoop &Loop;
  TcpStream Stream;
  HttpReader Reader;
  std::string Peer;
  /// Place in the limits, until the connection ends.
  std::optional<ClientLimits::Handle> Place;
  /// Memory charged for buffers.
  MemoryCharge Held;
  /// Bytes received since progress was last reported.
  std::size_t ReceivedBytes = 0;
  /// Unsent bytes at the last report of progress.
  std::size_t ReportedPending = 0;
  /// Requests in Pipeline, without the first one, that the limits know of.
  std::size_t Pipelined = 0;
  /// Whether the receive buffer in the kernel has its size for bodies.
  bool HasLargeBuffer = false;
  /// At least one request was read or refused.
  bool HasRequest = false;
  /// Reading is paused.
  bool Paused = false;
  /// The connection is being charged and must not be closed.
  bool Charging = false;
  /// Continues with messages that have arrived.
  EventLoop::TimerId NextTurn = 0;
  std::deque<Exchange> Pipeline;
  /// Sum of the bodies of the requests, and of the answers, in Pipeline.
  std::size_t PipelineBytes = 0;
  bool Processing = false;
  /// No request is read any more, because the connection closes after the last
  /// answer in Pipeline.
  bool LastRead = false;
  bool Closing = false;
  /// The head of the current message was read, so the reader's request is
  /// valid.
  bool HeadRead = false;
  /// A caller waits for an interim answer before it sends the body.
  bool ContinueDue = false;
  /// When the current message, or the wait for it, started.
  TimePoint Started;
  TimePoint LastProgress;
  std::size_t LastPending = 0;
  EventLoop::TimerId Timer = 0;
};

} // namespace hyssopford
