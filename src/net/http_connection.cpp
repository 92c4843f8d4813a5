#include "http_connection.hpp"

#include <algorithm>
#include <new>
#include <utility>

namespace hyssopford {

namespace {

/// Bytes read ahead while no request may be read; reading pauses then. Also the
/// most that is read at a time outside bodies.
constexpr std::size_t ReadAheadLimit = 16'384;
/// Memory charged for a connection besides its buffers, in bytes: its objects
/// and those of the kernel.
constexpr std::size_t ConnectionOverhead = 4'096;
/// Bytes by which a message must advance to count as progress, so that a sender
/// of single bytes does not make any.
constexpr std::size_t ProgressBytes = 1'024;
/// Bytes of a body from which the kernel's receive buffer is enlarged. Such
/// bodies are charged, so that the memory budget bounds their number.
constexpr std::size_t LargeBodyBytes = 262'144;
/// Heads and bodies that one connection reads before others have their turn.
constexpr int StepsPerTurn = 4;

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
      Reader(HttpReader::Kind::Request, Parent.Settings.Limits) {
  if (MemoryBudget *const Budget = Parent.Clients.memory()) {
    Held = Budget->charge(ConnectionOverhead, MemoryUse::Connection);
  }
}

HttpServer::Connection::~Connection() {
  Loop.cancel(Timer);
  Loop.cancel(NextTurn);
  endProgress();
}

void HttpServer::Connection::start(const Poco::Net::StreamSocket &Accepted) {
  Stream.accept(Accepted, Server.Settings.UnsentBytes);
  Stream.setReadSize(ReadAheadLimit);
  Peer = Stream.peerAddress();
  Started = EventLoop::now();
  LastProgress = Started;
  Place = Server.Clients.add(*this, &Server, Peer.substr(0, Peer.rfind(':')),
                             Started);
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
    continueReading();
  }
}

void HttpServer::Connection::continueReading() {
  if (Reader.buffered() > 0) {
    // Not from here: a request that is refused at once would be followed by the
    // next one of each connection, without an end to the present event.
    scheduleTurn();
  } else {
    process();
  }
}

void HttpServer::Connection::scheduleTurn() {
  if (NextTurn == 0) {
    NextTurn = Loop.after(Duration{0}, [this] {
      NextTurn = 0;
      process();
    });
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
  try {
    Reader.feed(Bytes);
    reportProgress(Bytes.size());
    process();
  } catch (const std::bad_alloc &) {
    Server.Clients.countClosed(CloseReason::Memory);
    Stream.close();
    reportClosed();
  }
}

void HttpServer::Connection::onClosed(bool /*Orderly*/,
                                      std::string_view /*Reason*/) {
  reportClosed();
}

void HttpServer::Connection::onWritesFlushed() {
  LastProgress = EventLoop::now();
  reportProgress(ProgressBytes);
  continueReading();
}

bool HttpServer::Connection::mayReadNext() const {
  if (!Stream.isOpen() || Closing || LastRead || Stream.pending() > 0) {
    return false;
  }
  return Pipeline.empty() ||
         (!ContinueDue && Pipeline.size() < Server.Settings.PipelineDepth &&
          Server.Clients.mayPipeline() &&
          PipelineBytes < Server.Settings.PipelineBytes);
}

void HttpServer::Connection::process() {
  if (Processing || !Stream.isOpen()) {
    return;
  }
  // The handler may answer from within onRequest().
  Processing = true;
  readMessages();
  Processing = false;
  endIfDrained();
  updateLimits();
}

void HttpServer::Connection::readMessages() {
  for (int Step = 0; Step < StepsPerTurn; ++Step) {
    if (Pipeline.empty() && std::exchange(ContinueDue, false)) {
      Stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!mayReadNext() || !advanceReader()) {
      return;
    }
  }
  scheduleTurn();
}

void HttpServer::Connection::updateLimits() {
  if (!Stream.isOpen()) {
    return;
  }
  const bool Reads = mayReadNext() && NextTurn == 0;
  Reader.releaseUnused();
  const std::size_t Ahead = Reader.buffered();
  Paused = !Reads && !Closing && !LastRead && Ahead >= ReadAheadLimit;
  if (Closing || LastRead) {
    // What arrives is discarded.
    Stream.setReadSize(TcpStream::MaximumReadSize);
  } else if (Reads) {
    Stream.setReadSize(static_cast<std::size_t>(std::clamp<std::uint64_t>(
        Reader.remaining(), ReadAheadLimit, TcpStream::MaximumReadSize)));
  } else {
    Stream.setReadSize(ReadAheadLimit - std::min(Ahead, ReadAheadLimit - 1));
  }
  Stream.setReadingPaused(Paused);
  setLargeBuffer(Reads && Reader.inBody() && !Reader.isDiscarding() &&
                 (Reader.remaining() > LargeBodyBytes ||
                  Reader.body().size() > LargeBodyBytes));
  if (!chargeHeld() && Reads && Pipeline.empty() && Reader.started() &&
      !Reader.inBody()) {
    Server.Clients.countClosed(CloseReason::Memory);
    HttpFault Fault{503, "not enough memory"};
    Fault.LacksMemory = true;
    refuse(Fault);
    Reader.abandon();
  }
}

bool HttpServer::Connection::chargeHeld() {
  // What the kernel holds of a connection that is not read counts as well; it
  // takes up to twice the size that is set.
  const std::size_t Unread =
      Paused ? static_cast<std::size_t>(Server.Settings.ReceiveBuffer) * 2 : 0;
  const std::size_t Needed = ConnectionOverhead + Reader.heldBytes() +
                             Stream.pendingUncharged() +
                             Pipeline.size() * sizeof(Exchange) + Unread;
  Charging = true;
  const bool Fits = Held.tryResize(Needed);
  Charging = false;
  if (!Fits) {
    Held.resize(Needed);
  }
  return Fits;
}

void HttpServer::Connection::reportProgress(std::size_t Received) {
  ReceivedBytes += Received;
  const bool IsIdle = HasRequest && Pipeline.empty() && !Reader.started() &&
                      Stream.pending() == 0;
  if (Place && (ReceivedBytes >= ProgressBytes ||
                IsIdle != ClientLimits::isIdle(*Place))) {
    ReceivedBytes = 0;
    ReportedPending = Stream.pending();
    Server.Clients.reportProgress(*Place, IsIdle, EventLoop::now());
  }
}

void HttpServer::Connection::updatePipelined() {
  const std::size_t Count = Pipeline.empty() ? 0 : Pipeline.size() - 1;
  Server.Clients.changePipelined(Pipelined, Count);
  Pipelined = Count;
}

void HttpServer::Connection::setLargeBuffer(bool Large) {
  const HttpServerSettings &Limits = Server.Settings;
  if (Large != HasLargeBuffer && Limits.ReceiveBuffer > 0) {
    HasLargeBuffer = Large;
    Stream.setReceiveBuffer(Large ? Limits.BodyReceiveBuffer
                                  : Limits.ReceiveBuffer);
  }
}

void HttpServer::Connection::endProgress() {
  if (Place) {
    Server.Clients.changePipelined(std::exchange(Pipelined, 0), 0);
    Server.Clients.remove(*Place);
    Place.reset();
  }
}

bool HttpServer::Connection::mayBeClosed() const {
  return !Processing && !Charging &&
         std::all_of(Pipeline.begin(), Pipeline.end(),
                     [](const Exchange &Each) { return Each.Answered; });
}

bool HttpServer::Connection::holdsMemory(MemoryShortage Lacking) const {
  switch (Lacking) {
  case MemoryShortage::Large:
    return Reader.chargedBytes() >= MemoryBudget::LargeSize;
  case MemoryShortage::Connections:
    return Held.size() > ConnectionOverhead;
  case MemoryShortage::Any:
    break;
  }
  return Reader.chargedBytes() > 0 || Stream.pending() > 0 ||
         Held.size() > ConnectionOverhead;
}

bool HttpServer::Connection::hasSent() {
  return std::exchange(ReportedPending, Stream.pending()) >=
         Stream.pending() + ProgressBytes;
}

void HttpServer::Connection::closeForLimit(CloseReason Reason) {
  HttpFault Fault{503, "too many connections"};
  Fault.LacksMemory = Reason == CloseReason::Memory;
  if (Fault.LacksMemory) {
    Fault.Reason = "not enough memory";
  }
  const bool AwaitsAnswer = Reader.started() && !Reader.isDiscarding() &&
                            Pipeline.empty() && Stream.pending() == 0 &&
                            !LastRead && !Closing;
  if (AwaitsAnswer) {
    refuse(Fault);
  }
  Reader.abandon();
  // Where descriptors are not short, the stream lingers, so that the refusal
  // reaches a client that is still sending.
  if (!AwaitsAnswer || Reason != CloseReason::Memory) {
    Stream.close();
    reportClosed();
  }
  Held.resize(0);
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
  updatePipelined();
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
  reportProgress(ProgressBytes);
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
  HasRequest = true;
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
    updatePipelined();
    PipelineBytes -= Next.BodySize + Next.Answer.size();
    const bool Close = !Next.KeepAlive || mayCloseNow();
    if (Pipeline.empty()) {
      Started = EventLoop::now();
      LastProgress = Started;
    }
    send(Next, Close);
    reportProgress(ProgressBytes);
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
    if (Stream.pending() > 0 || !HasRequest || Reader.isDiscarding()) {
      Server.Clients.countClosed(CloseReason::Timeout);
    }
    Stream.close();
    reportClosed();
    return;
  }
  Server.Clients.countClosed(CloseReason::Timeout);
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
  endProgress();
  Server.removeConnection(*this);
}

} // namespace hyssopford
