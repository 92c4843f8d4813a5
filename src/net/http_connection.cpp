#include "http_connection.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Bytes read ahead while a request is in flight; reading pauses above it.
constexpr std::size_t ReadAheadLimit = 65'536;
/// Unsent bytes above which no further pipelined request is read.
constexpr std::size_t UnsentLimit = 1'048'576;

/// Removes the body of an answer, for answers of the node itself to HEAD.
Payload withoutBody(const Payload &Answer) {
  const std::size_t End = Answer.bytes().find("\r\n\r\n");
  if (End == std::string_view::npos || End + 4 == Answer.size()) {
    return Answer;
  }
  return Payload(std::string(Answer.bytes().substr(0, End + 4)));
}

} // namespace

HttpServer::Connection::Connection(HttpServer &Parent)
    : Server(Parent), Loop(Parent.Loop), Stream(Parent.Loop, *this),
      Reader(HttpReader::Kind::Request, Parent.Settings.Limits) {}

HttpServer::Connection::~Connection() { Loop.cancel(Timer); }

void HttpServer::Connection::start(const Poco::Net::StreamSocket &Accepted) {
  Stream.accept(Accepted);
  Peer = Stream.peerAddress();
  Started = EventLoop::now();
  LastProgress = Started;
  armTimer();
}

void HttpServer::Connection::reply(const Payload &Answer,
                                   const std::string &Fields) {
  const bool Close =
      Server.Draining || Server.KeepAliveDisabled || !Reader.facts().KeepAlive;
  // send() may call onWritesFlushed() synchronously.
  const bool WasProcessing = std::exchange(Processing, true);
  InFlight = false;
  send(IsHeadRequest ? withoutBody(Answer) : Answer, Fields, Close);
  Processing = WasProcessing;
  if (Close) {
    return;
  }
  Reader.next();
  Started = EventLoop::now();
  LastProgress = Started;
  Stream.setReadingPaused(false);
  process();
}

void HttpServer::Connection::drain() {
  if (InFlight || Reader.inBody() || Closing) {
    return;
  }
  if (Reader.started()) {
    refuse(HttpFault{503, "shutting down"});
    return;
  }
  Closing = true;
  Stream.closeAfterWrite();
}

bool HttpServer::Connection::isIdle() const {
  return !InFlight && Stream.pending() == 0 && (Closing || !Reader.started());
}

void HttpServer::Connection::onData(std::string_view Bytes) {
  if (Closing) {
    return;
  }
  LastProgress = EventLoop::now();
  if (!InFlight && !Reader.started()) {
    Started = LastProgress;
  }
  Reader.feed(Bytes);
  if (InFlight) {
    Stream.setReadingPaused(Reader.buffered() > ReadAheadLimit);
    return;
  }
  process();
}

void HttpServer::Connection::onClosed(bool /*Orderly*/,
                                      std::string_view /*Reason*/) {
  reportClosed();
}

void HttpServer::Connection::onWritesFlushed() {
  LastProgress = EventLoop::now();
  if (!InFlight && !Closing && !Processing) {
    process();
  }
}

void HttpServer::Connection::process() {
  if (Processing) {
    return;
  }
  Processing = true;
  while (Stream.isOpen() && !InFlight && !Closing &&
         Stream.pending() <= UnsentLimit && advanceReader()) {
  }
  Processing = false;
}

bool HttpServer::Connection::advanceReader() {
  switch (Reader.advance()) {
  case HttpReader::Progress::NeedMore:
    return false;
  case HttpReader::Progress::HeadReady:
    handleHead();
    return true;
  case HttpReader::Progress::Complete:
    handleRequest();
    return true;
  case HttpReader::Progress::Failed:
    refuse(Reader.fault());
    return false;
  }
  return false;
}

void HttpServer::Connection::handleHead() {
  const HttpHeadFacts &Facts = Reader.facts();
  IsHeadRequest = Reader.request().getMethod() == "HEAD";
  const HeadDecision Decision = Server.Handler.onHead(Reader.request(), Facts);
  const bool HasBody =
      Facts.Framing == BodyFraming::Chunked ||
      (Facts.Framing == BodyFraming::Length && Facts.ContentLength > 0);
  if (Decision.Refusal) {
    const bool Close = Server.Draining || HasBody || !Facts.KeepAlive;
    send(IsHeadRequest ? withoutBody(*Decision.Refusal) : *Decision.Refusal, {},
         Close);
    if (!Close) {
      Reader.advance();
      Reader.next();
      Started = EventLoop::now();
    }
    return;
  }
  if (Facts.Framing == BodyFraming::Length &&
      Facts.ContentLength > Decision.BodyLimit) {
    refuse(HttpFault{413, "body too large"});
    return;
  }
  Reader.limitBody(Decision.BodyLimit);
  Started = EventLoop::now();
  if (HasBody && Facts.ExpectContinue && Reader.buffered() == 0) {
    Stream.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpServer::Connection::handleRequest() {
  InFlight = true;
  Current = Server.assignRequestId(*this);
  Server.Handler.onRequest(
      Current,
      HttpRequest{Reader.request(), Reader.facts(), Reader.takeBody(), Peer});
}

void HttpServer::Connection::refuse(const HttpFault &Fault) {
  Server.Handler.onRefused(Fault);
  const Payload Answer = Server.Handler.refusal(Fault);
  send(IsHeadRequest ? withoutBody(Answer) : Answer, {}, true);
}

void HttpServer::Connection::send(const Payload &Answer,
                                  const std::string &Fields, bool Close) {
  const std::string_view Bytes = Answer.bytes();
  const std::size_t LineEnd = Bytes.find("\r\n") + 2;
  std::string Head(Bytes.substr(0, LineEnd));
  Head += Fields;
  if (Close) {
    Head += "Connection: close\r\n";
  } else if (Reader.request().getVersion() == "HTTP/1.0") {
    Head += "Connection: keep-alive\r\n";
  }
  Stream.write(std::move(Head), Answer, LineEnd);
  if (Close) {
    Closing = true;
    Stream.closeAfterWrite();
  }
}

void HttpServer::Connection::checkTimers() {
  Timer = 0;
  const TimePoint Now = EventLoop::now();
  if (Stream.pending() != LastPending) {
    LastPending = Stream.pending();
    LastProgress = Now;
  }
  if (Now < deadline()) {
    armTimer();
    return;
  }
  if (Stream.pending() > 0 || !Reader.started()) {
    Stream.close();
    reportClosed();
    return;
  }
  refuse(HttpFault{408, Reader.inBody() ? "body too slow" : "head too slow"});
}

void HttpServer::Connection::armTimer() {
  const Duration Wait = std::clamp(
      deadline() - EventLoop::now(), Duration{1ms},
      std::min(Server.Settings.HeadTimeout, Server.Settings.StallTimeout));
  Timer = Loop.after(Wait, [this] { checkTimers(); });
}

TimePoint HttpServer::Connection::deadline() const {
  const HttpServerSettings &Limits = Server.Settings;
  if (Stream.pending() > 0) {
    return LastProgress + Limits.StallTimeout;
  }
  // Requests in flight have no limit here, as the decision core ends them;
  // check again later.
  if (InFlight || Closing) {
    return EventLoop::now() + std::min(Limits.HeadTimeout, Duration{1s});
  }
  if (Reader.inBody()) {
    return std::min(LastProgress + Limits.StallTimeout,
                    Started + Limits.BodyTimeout);
  }
  if (Reader.started()) {
    return Started + Limits.HeadTimeout;
  }
  // A request may begin within the idle time, and the timer must then be in
  // time for the limit of its head.
  return std::min(Started + Limits.IdleTimeout,
                  EventLoop::now() + Limits.HeadTimeout);
}

void HttpServer::Connection::reportClosed() {
  if (InFlight) {
    InFlight = false;
    Server.removeRequest(Current);
    Server.Handler.onDisconnected(Current);
  }
  Server.removeConnection(*this);
}

} // namespace hyssopford
