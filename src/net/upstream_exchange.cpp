#include "upstream_exchange.hpp"

#include "hyssopford/net/http_forward.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// Most answers to other requests that are skipped before the own one.
constexpr std::uint32_t MismatchedAnswersMax = 4;

} // namespace

UpstreamClient::Exchange::Exchange(UpstreamClient &Parent)
    : Client(Parent), Loop(Parent.Loop), Stream(Parent.Loop, *this),
      Reader(HttpReader::Kind::Response, Parent.Settings.AnswerLimits) {}

UpstreamClient::Exchange::~Exchange() { Loop.cancel(Timer); }

void UpstreamClient::Exchange::start(const ForwardToUpstream &NewAttempt) {
  Attempt = NewAttempt;
  Use = Purpose::Attempt;
  CorrelationId = Client.Edge.correlationIdOf(Attempt.Request.bytes());
  Reader.expectHeadResponse(Attempt.Request.bytes().starts_with("HEAD "));
  begin(Attempt.Remaining);
}

void UpstreamClient::Exchange::startProbe(const std::string &Path,
                                          const ProbeUpstream &NewProbe) {
  Use = Purpose::Probe;
  ProbedFor = NewProbe.Purpose;
  CorrelationId.clear();
  Attempt = ForwardToUpstream();
  Attempt.Idempotent = true;
  Attempt.Remaining = NewProbe.Timeout;
  Attempt.Request = Payload(
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", Path, Client.Address));
  Reader.expectHeadResponse(false);
  begin(NewProbe.Timeout);
}

void UpstreamClient::Exchange::startLossCheck(Duration Limit) {
  Use = Purpose::LossCheck;
  Busy = true;
  Timer = Loop.after(Limit, [this] { finishLossCheck(false); });
}

void UpstreamClient::Exchange::abandon() {
  Busy = false;
  Loop.cancel(Timer);
  Stream.close();
}

void UpstreamClient::Exchange::onConnected() {
  Connected = true;
  if (Busy && Use == Purpose::LossCheck) {
    finishLossCheck(false);
  } else if (Busy) {
    send();
  }
}

void UpstreamClient::Exchange::onData(std::string_view Bytes) {
  if (!Busy) {
    // Unexpected bytes on an idle connection; isReusable() checks for them too.
    abandon();
    Client.Handler.onForeignBytes("on an idle connection");
    Client.discard(*this);
    return;
  }
  Reader.feed(Bytes);
  advance();
}

void UpstreamClient::Exchange::onClosed(bool Orderly,
                                        std::string_view /*Reason*/) {
  if (!Busy) {
    Client.discard(*this);
    return;
  }
  if (Use == Purpose::LossCheck) {
    finishLossCheck(true);
    return;
  }
  if (!Connected) {
    // Over loopback, connecting fails at once only if nothing listens. The
    // attempt ends first, as it is not one that the upstream was running.
    UpstreamClientHandler &Receiver = Client.Handler;
    fail(OutcomeReason::ConnectFailed);
    Receiver.onRefusedConnection();
    return;
  }
  if (isProbe() && !Reader.started() && repeatProbe()) {
    return;
  }
  if (Orderly && Reader.finish() == HttpReader::Progress::Complete &&
      Kind != AnswerKind::Mismatched) {
    succeed();
    return;
  }
  lose();
}

void UpstreamClient::Exchange::begin(Duration Timeout) {
  Busy = true;
  Sent = false;
  MismatchedAnswers = 0;
  Started = EventLoop::now();
  Timer = Loop.after(std::max(Timeout, Duration{0}), [this] {
    Timer = 0;
    Stream.close();
    fail(OutcomeReason::UpstreamTimeout);
  });
  if (Connected) {
    send();
  }
}

void UpstreamClient::Exchange::send() {
  if (!IsReused && !Stream.looksIdle()) {
    // The upstream closed the connection, or sent bytes before any request.
    Stream.close();
    fail(OutcomeReason::UpstreamClosed);
    return;
  }
  Sent = true;
  const std::string_view Bytes = Attempt.Request.bytes();
  const std::size_t LineEnd =
      std::min(Bytes.find("\r\n"), Bytes.size() - 2) + 2;
  std::string Head(Bytes.substr(0, LineEnd));
  if (!isProbe()) {
    ForwardToUpstream Now = Attempt;
    Now.Remaining -= EventLoop::now() - Started;
    Head += Client.Edge.attemptFields(Now, Client.Instance);
  }
  Stream.write(std::move(Head), Attempt.Request, LineEnd);
}

void UpstreamClient::Exchange::resume() {
  if (awaitsMemory()) {
    Stream.setReadingPaused(false);
    advance();
  }
}

void UpstreamClient::Exchange::advance() {
  while (true) {
    switch (Reader.advance()) {
    case HttpReader::Progress::NeedMore:
      if (Reader.awaitsMemory()) {
        // One answer may exceed the limit, so that answers which are read in
        // part never wait for each other.
        if (Client.Settings.Memory->used() <= Client.Settings.Memory->limit()) {
          Reader.allowOverdraft();
          continue;
        }
        Stream.setReadingPaused(true);
        Client.scheduleMemoryCheck();
      }
      return;
    case HttpReader::Progress::HeadReady:
      if (Client.Settings.Memory != nullptr) {
        Reader.chargeBody(Client.Settings.Memory->charge(0, MemoryUse::Answer));
      }
      Kind = classify();
      if (Kind == AnswerKind::Invalid) {
        if (isProbe() && repeatProbe()) {
          return;
        }
        Stream.close();
        fail(OutcomeReason::UpstreamClosed);
        return;
      }
      continue;
    case HttpReader::Progress::Complete:
      if (Kind == AnswerKind::Mismatched) {
        Client.Handler.onForeignBytes("an answer of another or no request");
        // The answer to this request may follow.
        if (++MismatchedAnswers > MismatchedAnswersMax) {
          Stream.close();
          fail(OutcomeReason::UpstreamClosed);
          return;
        }
        Reader.next();
        continue;
      }
      succeed();
      return;
    case HttpReader::Progress::Failed:
      Stream.close();
      fail(Reader.fault().Status == 413 || Reader.fault().Status == 431
               ? OutcomeReason::AnswerTooLarge
               : OutcomeReason::UpstreamClosed);
      return;
    }
  }
}

AnswerKind UpstreamClient::Exchange::classify() {
  const bool IsFirst = !IsReused && MismatchedAnswers == 0;
  if (isProbe()) {
    return Client.Edge.classifyProbeResponse(Reader.response(), IsFirst);
  }
  const auto KindIf = [this](bool First) {
    return Client.Edge.classifyResponse(Reader.response(), CorrelationId,
                                        First);
  };
  const AnswerKind Found = KindIf(IsFirst);
  if (Found == AnswerKind::UnprovenNotRun ||
      (Found == AnswerKind::NotRun &&
       KindIf(false) == AnswerKind::UnprovenNotRun)) {
    Client.noteUnidentifiedRefusal();
  }
  // While the upstream may be running it, a request that may run only once
  // waits for its own answer.
  return Found == AnswerKind::UnprovenNotRun && !Attempt.Idempotent
             ? AnswerKind::Mismatched
             : Found;
}

void UpstreamClient::Exchange::succeed() {
  Loop.cancel(Timer);
  Timer = 0;
  Busy = false;
  const int Status = Reader.facts().Status;
  UpstreamAnswered Answer;
  Answer.Attempt = Attempt.Attempt;
  Answer.Status = static_cast<std::uint16_t>(Status);
  // 503 with Retry-After means overload (RFC 9110, section 15.6.4).
  Answer.Shedding =
      Status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      Reader.response().has("Retry-After");
  Answer.SlownessPercent = Client.Edge.slownessPercentOf(Reader.response());
  const bool WasProbe = isProbe();
  const Duration ColdTime =
      WasProbe ? Client.Edge.coldTimeOf(Reader.response()) : Duration{0};
  const std::string AnsweredBy =
      WasProbe ? Client.Edge.instanceOf(Reader.response()) : std::string();
  const bool Ran = Kind == AnswerKind::Answer;
  const bool MayRun = Kind == AnswerKind::UnprovenNotRun;
  // The refusal of a request may come again when the same request is sent once
  // more.
  IdempotentOnly = IdempotentOnly || MayRun || (!Ran && !Attempt.Idempotent);
  if (!WasProbe && Ran) {
    Answer.Answer = buildForwardedAnswer(
        Reader.response(), Reader.takeBody(),
        Attempt.Request.bytes().starts_with("HEAD "), Reader.takeCharge());
  }
  // Not reusable if the answer came before the request was sent completely, or
  // if bytes that belong to no request came before or behind the answer.
  const bool Reusable = Stream.isOpen() && !Stream.isBroken() &&
                        Reader.facts().KeepAlive && Stream.pending() == 0 &&
                        Reader.buffered() == 0 && MismatchedAnswers == 0;
  const Duration Elapsed = EventLoop::now() - Started;
  Attempt = ForwardToUpstream();
  Attempt.Attempt = Answer.Attempt;
  UpstreamClientHandler &Receiver = Client.Handler;
  if (Reader.buffered() > 0) {
    Receiver.onForeignBytes("behind an answer");
  }
  if (Reusable) {
    Reader.next();
    IsReused = true;
    IdleSince = EventLoop::now();
    Client.returnToPool(*this);
  } else {
    Stream.close();
    Client.discard(*this);
  }
  if (WasProbe) {
    Receiver.onProbed(ProbeFinished{Status >= 200 && Status < 400, Elapsed,
                                    ProbedFor, Answer.SlownessPercent, ColdTime,
                                    AnsweredBy});
  } else if (Ran) {
    Receiver.onAnswered(std::move(Answer));
  } else {
    Receiver.onFailed(
        UpstreamFailed{Answer.Attempt, OutcomeReason::UpstreamRefused, MayRun});
  }
}

void UpstreamClient::Exchange::fail(OutcomeReason Reason) {
  Loop.cancel(Timer);
  Timer = 0;
  Busy = false;
  const UpstreamFailed Failure{Attempt.Attempt, Reason, Sent};
  const Duration Elapsed = EventLoop::now() - Started;
  UpstreamClientHandler &Receiver = Client.Handler;
  const bool WasProbe = isProbe();
  Client.discard(*this);
  if (WasProbe) {
    Receiver.onProbed(ProbeFinished{false, Elapsed, ProbedFor});
  } else {
    Receiver.onFailed(Failure);
  }
}

void UpstreamClient::Exchange::lose() {
  if (isProbe()) {
    fail(OutcomeReason::UpstreamClosed);
    return;
  }
  Loop.cancel(Timer);
  Timer = 0;
  Busy = false;
  UpstreamClient &Parent = Client;
  const UpstreamFailed Failure{Attempt.Attempt, OutcomeReason::UpstreamClosed,
                               Sent};
  Parent.discard(*this);
  Parent.confirmLoss(Failure);
}

void UpstreamClient::Exchange::finishLossCheck(bool IsRefused) {
  Loop.cancel(Timer);
  Timer = 0;
  Busy = false;
  UpstreamClient &Parent = Client;
  if (Connected) {
    IdleSince = EventLoop::now();
    Parent.returnToPool(*this);
  } else {
    Stream.close();
    Parent.discard(*this);
  }
  Parent.finishLossCheck(IsRefused);
}

bool UpstreamClient::Exchange::repeatProbe() {
  const Duration Left = Attempt.Remaining - (EventLoop::now() - Started);
  // The upstream may close an idle connection at the moment of its reuse.
  if (!IsReused || Left <= Duration{0}) {
    return false;
  }
  Stream.close();
  Loop.cancel(Timer);
  Timer = 0;
  Busy = false;
  UpstreamClient &Parent = Client;
  const ProbeUpstream Repeated{Left, ProbedFor};
  Parent.discard(*this);
  const std::shared_ptr<Exchange> NewExchange = Parent.openConnection();
  if (!NewExchange) {
    Parent.Handler.onProbed(
        ProbeFinished{false, Duration{0}, Repeated.Purpose});
    return true;
  }
  NewExchange->startProbe(Parent.HealthPath, Repeated);
  return true;
}

} // namespace hyssopford
