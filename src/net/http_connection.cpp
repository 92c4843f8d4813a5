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

void HttpServer::Connection::reply(RequestId Id, const Payload &Answer,
                                   const std::string &Fields) {
  const auto Found =
      std::find_if(Pipeline.begin(), Pipeline.end(),
                   [&](const Exchange &Each) { return Each.Id == Id; });
  if (Found == Pipeline.end()) {
    return;
  }
  Found->Answered = true;
  Found->Answer = Answer;
  Found->Fields = Fields;
  PipelineBytes += Answer.size();
  if (!Processing) {
    sendAnswers();
    process();
  }
}

void HttpServer::Connection::drain() {
  if (Pipeline.empty() && !Closing) {
    // Otherwise a request that the caller has sent would be cut off.
    Stream.readArrived();
  }
  endIfDrained();
}

void HttpServer::Connection::recheckBody() {
  if (Stream.isOpen() && !Closing && !LastRead && Reader.inBody() &&
      !Reader.isDiscarding() &&
      !Server.Handler.canServe(Reader.request(), Reader.facts())) {
    refuse(HttpFault{503, "shutting down"});
  }
}

bool HttpServer::Connection::isIdle() const {
  // While the stream lingers, the end of the process would reset it and discard
  // the last answer if the caller sends more.
  return Stream.pending() == 0 && !Closing && hasNoRequest();
}

void HttpServer::Connection::onData(std::string_view Bytes) {
  if (Closing || LastRead) {
    return;
  }
  LastProgress = EventLoop::now();
  if (!Reader.started()) {
    Started = LastProgress;
  }
  Reader.feed(Bytes);
  process();
}

void HttpServer::Connection::onClosed(bool /*Orderly*/,
                                      std::string_view /*Reason*/) {
  reportClosed();
}

void HttpServer::Connection::onWritesFlushed() {
  LastProgress = EventLoop::now();
  process();
}

bool HttpServer::Connection::mayReadNext() const {
  if (!Stream.isOpen() || Closing || LastRead ||
      Stream.pending() > UnsentLimit) {
    return false;
  }
  return Pipeline.empty() ||
         (!ContinueDue && Pipeline.size() < Server.Settings.PipelineDepth &&
          PipelineBytes < Server.Settings.PipelineBytes);
}

void HttpServer::Connection::process() {
  if (Processing || !Stream.isOpen()) {
    return;
  }
  // The handler may answer from within onRequest().
  Processing = true;
  do {
    if (Pipeline.empty() && std::exchange(ContinueDue, false)) {
      Stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  } while (mayReadNext() && advanceReader());
  Processing = false;
  endIfDrained();
  Stream.setReadingPaused(!Closing && !LastRead &&
                          Reader.buffered() > ReadAheadLimit);
}

void HttpServer::Connection::endIfDrained() {
  if (!Server.Draining || !Stream.isOpen() || Closing || !Pipeline.empty() ||
      Reader.inBody() || Stream.hasArrived()) {
    return;
  }
  if (Reader.started()) {
    refuse(HttpFault{503, "shutting down"});
    return;
  }
  close();
}

void HttpServer::Connection::close() {
  Closing = true;
  Stream.closeAfterWrite();
}

bool HttpServer::Connection::advanceReader() {
  switch (Reader.advance()) {
  case HttpReader::Progress::NeedMore:
    return false;
  case HttpReader::Progress::HeadReady:
    handleHead();
    return true;
  case HttpReader::Progress::Complete:
    if (Reader.isDiscarding()) {
      startMessage();
    } else {
      handleRequest();
    }
    return true;
  case HttpReader::Progress::Failed:
    if (Reader.isDiscarding()) {
      // The request was answered already.
      stopReading();
    } else {
      refuse(Reader.fault());
    }
    return false;
  }
  return false;
}

void HttpServer::Connection::handleHead() {
  HeadRead = true;
  const HttpHeadFacts &Facts = Reader.facts();
  // A request that arrived behind others is refused in its turn: closing
  // without an answer would leave its caller in doubt.
  HeadDecision Decision = Server.Draining && !Pipeline.empty()
                              ? HeadDecision{Server.Handler.refusal(HttpFault{
                                                 503, "shutting down"}),
                                             HeadDecision::DiscardLimit, true}
                              : Server.Handler.onHead(Reader.request(), Facts);
  const bool HasBody =
      Facts.Framing == BodyFraming::Chunked ||
      (Facts.Framing == BodyFraming::Length && Facts.ContentLength > 0);
  if (Decision.Refusal) {
    // A caller that expects an interim answer may leave out the body.
    const bool Discards = HasBody && Decision.DiscardBody &&
                          !Facts.ExpectContinue &&
                          (Facts.Framing == BodyFraming::Chunked ||
                           Facts.ContentLength <= Decision.BodyLimit);
    appendRefusal(*Decision.Refusal, HasBody && !Discards);
    if (Discards) {
      Reader.limitBody(Decision.BodyLimit);
      Reader.discardBody();
      Started = EventLoop::now();
    } else if (!LastRead) {
      Reader.advance();
      startMessage();
    }
    sendAnswers();
    return;
  }
  if (Facts.Framing == BodyFraming::Length &&
      Facts.ContentLength > Decision.BodyLimit) {
    refuse(HttpFault{413, "body too large"});
    return;
  }
  Reader.limitBody(Decision.BodyLimit);
  Reader.chargeBody(std::move(Decision.Memory));
  Started = EventLoop::now();
  ContinueDue = HasBody && Facts.ExpectContinue && Reader.buffered() == 0;
}

void HttpServer::Connection::handleRequest() {
  Exchange &Added = appendExchange();
  const RequestId Id = Server.assignRequestId(*this);
  Added.Id = Id;
  std::string Body = Reader.takeBody();
  Added.BodySize = Body.size();
  PipelineBytes += Body.size();
  LastRead = !Added.KeepAlive;
  Server.Handler.onRequest(Id, HttpRequest{Reader.request(), Reader.facts(),
                                           std::move(Body), Peer,
                                           Reader.takeCharge()});
  if (!LastRead) {
    startMessage();
  }
  sendAnswers();
}

void HttpServer::Connection::startMessage() {
  Reader.next();
  HeadRead = false;
  Started = EventLoop::now();
  LastProgress = Started;
}

void HttpServer::Connection::refuse(const HttpFault &Fault) {
  Server.Handler.onRefused(Fault);
  appendRefusal(Server.Handler.refusal(Fault), true);
  sendAnswers();
}

HttpServer::Connection::Exchange &HttpServer::Connection::appendExchange() {
  Exchange Added;
  if (HeadRead) {
    Added.IsHead = Reader.request().getMethod() == "HEAD";
    Added.KeepAlive = Reader.facts().KeepAlive;
    Added.IsHttp10 = Reader.request().getVersion() == "HTTP/1.0";
  }
  Pipeline.push_back(std::move(Added));
  return Pipeline.back();
}

void HttpServer::Connection::appendRefusal(const Payload &Answer, bool Close) {
  Exchange &Added = appendExchange();
  Added.Answered = true;
  Added.Answer = Answer;
  Added.KeepAlive = Added.KeepAlive && !Close;
  PipelineBytes += Answer.size();
  LastRead = !Added.KeepAlive;
}

void HttpServer::Connection::stopReading() {
  LastRead = true;
  if (!Pipeline.empty()) {
    Pipeline.back().KeepAlive = false;
  } else if (!Closing) {
    close();
  }
}

bool HttpServer::Connection::hasNoRequest() const {
  return Pipeline.empty() && !Reader.started() && !Stream.hasArrived();
}

bool HttpServer::Connection::mayCloseNow() const {
  return (Server.Draining || Server.KeepAliveDisabled) && hasNoRequest();
}

void HttpServer::Connection::sendAnswers() {
  while (Stream.isOpen() && !Closing && !Pipeline.empty() &&
         Pipeline.front().Answered) {
    const Exchange Next = std::move(Pipeline.front());
    Pipeline.pop_front();
    PipelineBytes -= Next.BodySize + Next.Answer.size();
    const bool Close = !Next.KeepAlive || mayCloseNow();
    if (Pipeline.empty()) {
      Started = EventLoop::now();
      LastProgress = Started;
    }
    send(Next, Close);
  }
}

void HttpServer::Connection::send(const Exchange &Each, bool Close) {
  const Payload Answer = Each.IsHead ? withoutBody(Each.Answer) : Each.Answer;
  const std::string_view Bytes = Answer.bytes();
  const std::size_t LineEnd = Bytes.find("\r\n") + 2;
  std::string Head(Bytes.substr(0, LineEnd));
  Head += Each.Fields;
  if (Close) {
    Closing = true;
    Head += "Connection: close\r\n";
  } else if (Each.IsHttp10) {
    Head += "Connection: keep-alive\r\n";
  }
  Stream.write(std::move(Head), Answer, LineEnd);
  if (Close && Reader.isDiscarding()) {
    Stream.closeAfterWrite(Reader.facts().ContentLength,
                           Server.Settings.StallTimeout);
  } else if (Close) {
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
  if (Stream.pending() > 0 || !Reader.started() || Reader.isDiscarding()) {
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
  if (!Pipeline.empty() || Closing) {
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
  for (const Exchange &Each : std::exchange(Pipeline, {})) {
    if (!Each.Answered) {
      Server.removeRequest(Each.Id);
      Server.Handler.onDisconnected(Each.Id);
    }
  }
  Server.removeConnection(*this);
}

} // namespace hyssopford
