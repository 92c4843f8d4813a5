/// @file
/// @brief Tests of bytes on a connection to an instance that belong to no
/// request or end early.
#include "edge_policy.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "net/loop_thread.hpp"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::platform;
using namespace hyssopford::test;

namespace {

/// Time in which bytes that were written arrive at the client.
constexpr auto ArrivalTime = std::chrono::milliseconds(15);
/// Rounds of the readers' fuzz test in the time of an exchange.
constexpr std::uint64_t RoundsPerExchange = 200;

std::uint64_t numberOf(const char *Name, std::uint64_t Default) {
  const char *const Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

std::string answer(const std::string &Status, const std::string &Fields,
                   const std::string &Body = "") {
  return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", Status,
                     Fields, Body.size(), Body);
}

std::string success(const std::string &Id, const std::string &Body) {
  return answer("200 OK",
                fmt::format("X-Attempt-Id: {}\r\nX-Server-Signature: s\r\n"
                            "X-Server-Load: 1,0,8,100\r\n",
                            Id),
                Body);
}

std::string refusal(const std::string &Id = "") {
  return answer("503 Service Unavailable",
                (Id.empty() ? "" : "X-Attempt-Id: " + Id + "\r\n") +
                    "X-Not-Executed: 1\r\n");
}

/// One connection as the instance sees it.
class Line {
public:
  explicit Line(const Poco::Net::StreamSocket &Accepted) : Socket(Accepted) {
    Socket.setReceiveTimeout(Poco::Timespan(10, 0));
    Socket.setNoDelay(true);
  }

  /// Reads a request without a body.
  /// @return its identifier, "-" if it has none, empty at the end
  std::string readRequest() {
    std::array<char, 4'096> Buffer{};
    while (Bytes.find("\r\n\r\n") == std::string::npos) {
      const int Received = Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Received <= 0) {
        return "";
      }
      Bytes.append(Buffer.data(), static_cast<std::size_t>(Received));
    }
    const std::string Head = Bytes.substr(0, Bytes.find("\r\n\r\n") + 2);
    Bytes.erase(0, Head.size() + 2);
    Probe = Head.starts_with("GET /health ");
    const std::string Field = "X-Attempt-Id: ";
    const std::size_t At = Head.find(Field);
    if (At == std::string::npos) {
      return "-";
    }
    const std::size_t Begin = At + Field.size();
    return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
  }

  void write(const std::string &Text) {
    if (!Text.empty()) {
      Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    }
  }

  void close(bool Reset) {
    if (Reset) {
      Socket.setLinger(true, 0);
    }
    Socket.close();
  }

  bool isProbe() const { return Probe; }

private:
  Poco::Net::StreamSocket Socket;
  std::string Bytes;
  bool Probe = false;
};

/// An instance whose connections are served by a function, each by its own
/// thread.
class FakeInstance {
public:
  using Service = std::function<void(FakeInstance &, Line &, int)>;

  /// @param Serve gets each connection and its number, counted from 0
  explicit FakeInstance(Service Serve)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Acceptor([this, Serve = std::move(Serve)](const std::stop_token &Stop) {
          while (!Stop.stop_requested()) {
            if (!Listener.poll(Poco::Timespan(0, 5'000),
                               Poco::Net::Socket::SELECT_READ)) {
              continue;
            }
            Line Accepted(Listener.acceptConnection());
            const int Number = Connections++;
            Lines.emplace_back(
                [this, Serve, Number, Peer = std::move(Accepted)]() mutable {
                  try {
                    Serve(*this, Peer, Number);
                  } catch (const Poco::Exception &) {
                    // The client closed first.
                  }
                });
          }
        }) {}

  std::string address() { return Listener.address().toString(); }

  void run(const std::string &Id) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Runs.push_back(Id);
  }

  std::size_t runs(const std::string &Id) {
    const std::lock_guard<std::mutex> Guard(Lock);
    return static_cast<std::size_t>(std::count(Runs.begin(), Runs.end(), Id));
  }

  std::atomic<int> Connections = 0;

private:
  Poco::Net::ServerSocket Listener;
  std::mutex Lock;
  std::vector<std::string> Runs;
  std::vector<std::jthread> Lines;
  std::jthread Acceptor;
};

class Collector final : public UpstreamClientHandler {
public:
  void onAnswered(UpstreamAnswered Answer) override {
    Answers.push_back(std::move(Answer));
  }
  void onFailed(const UpstreamFailed &Failure) override {
    Failures.push_back(Failure);
  }
  void onProbed(const ProbeFinished &Result) override {
    Probes.push_back(Result);
  }
  void onRefusedConnection() override {}
  void onForeignBytes(std::string_view /*Reason*/) override { ++Foreign; }

  std::vector<UpstreamAnswered> Answers;
  std::vector<UpstreamFailed> Failures;
  std::vector<ProbeFinished> Probes;
  int Foreign = 0;
};

/// How an attempt ended.
struct End {
  /// Status of the answer; 0 if there was none.
  int Status = 0;
  std::string Answer;
  OutcomeReason Reason = OutcomeReason::None;
  /// Whether the node concluded that the request did not run.
  bool NotRun = false;
};

class Node {
public:
  explicit Node(const std::string &Address) {
    Thread.call([&] {
      Client = std::make_unique<UpstreamClient>(Thread.Loop, Events,
                                                UpstreamClientSettings{}, Edge);
      Client->setUpstream(Address, "/health", "i-1");
      return 0;
    });
  }
  ~Node() {
    Thread.call([&] {
      Client.reset();
      return 0;
    });
  }

  End send(const std::string &Id, bool Idempotent, Duration Remaining = 300ms,
           const std::string &Method = "POST") {
    const auto Ended = [&] {
      return Events.Answers.size() + Events.Failures.size();
    };
    const std::size_t Before = Thread.call(Ended);
    Thread.call([&] {
      ForwardToUpstream Attempt;
      Attempt.Attempt.Sequence = ++Sequence;
      Attempt.Idempotent = Idempotent;
      Attempt.Remaining = Remaining;
      Attempt.Request = Payload(fmt::format("{} /x HTTP/1.1\r\nHost: a\r\n"
                                            "X-Attempt-Id: {}\r\n\r\n",
                                            Method, Id));
      Client->forward(Attempt);
      return 0;
    });
    REQUIRE(eventually([&] { return Thread.call(Ended) > Before; }));
    return Thread.call([&] {
      if (!Events.Answers.empty() &&
          Events.Answers.back().Attempt.Sequence == Sequence) {
        return End{Events.Answers.back().Status,
                   std::string(Events.Answers.back().Answer.bytes()),
                   OutcomeReason::None, false};
      }
      return End{0, "", Events.Failures.back().Reason,
                 !Events.Failures.back().BytesSent};
    });
  }

  ProbeFinished probe() {
    const std::size_t Before =
        Thread.call([&] { return Events.Probes.size(); });
    Thread.call([&] {
      Client->probe(ProbeUpstream{300ms, ProbePurpose::Health});
      return 0;
    });
    REQUIRE(eventually([&] {
      return Thread.call([&] { return Events.Probes.size(); }) > Before;
    }));
    return Thread.call([&] { return Events.Probes.back(); });
  }

  /// @return how often bytes that belong to no request were reported
  int foreign() {
    return Thread.call([&] { return Events.Foreign; });
  }

private:
  LoopThread Thread;
  Collector Events;
  const PlatformEdgePolicy Edge{"s"};
  std::unique_ptr<UpstreamClient> Client;
  std::uint64_t Sequence = 0;
};

/// When additional bytes behind the first answer are written.
enum class Timing : std::uint8_t {
  /// In one write with the answer.
  WithAnswer,
  /// While the connection is idle.
  Idle,
  /// After the next request has arrived, before its answer.
  NextRequest,
  /// Their first part while idle, the rest after the next request.
  Across
};

struct Extra {
  const char *Name;
  std::string Bytes;
};

std::vector<Extra> extras() {
  const std::string Unavailable = "503 Service Unavailable";
  return {
      {"a refusal", refusal()},
      {"a refusal without a length",
       "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n"},
      {"two refusals", refusal() + refusal()},
      {"a plain 503", answer(Unavailable, "")},
      {"a plain 503 with a body", answer(Unavailable, "", "busy")},
      {"a signed 503",
       answer(Unavailable, "X-Server-Signature: s\r\n", "busy")},
      {"a 429",
       answer("429 Too Many", "Retry-After: 0.1\r\nX-Not-Executed: 1\r\n")},
      {"a plain 429", answer("429 Too Many", "")},
      {"a 408", answer("408 Timeout", "")},
      {"a 421", answer("421 Misdirected", "X-Instance-Id: i-2\r\n")},
      {"a 400", answer("400 Bad Request", "X-Not-Executed: 1\r\n")},
      {"a 500", answer("500 Error", "", "oops")},
      {"a 404", answer("404 Not Found", "")},
      {"a redirect", answer("302 Found", "Location: /y\r\n")},
      {"an unsigned success", answer("200 OK", "", "foreign")},
      {"a signed success",
       answer("200 OK", "X-Server-Signature: s\r\n", "foreign")},
      {"a success that says not run",
       answer("200 OK", "X-Not-Executed: 1\r\n")},
      {"an empty success", "HTTP/1.1 204 No Content\r\n\r\n"},
      {"not modified", "HTTP/1.1 304 Not Modified\r\n\r\n"},
      {"an interim answer", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"an interim answer and a refusal",
       "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal()},
      {"the first answer again", success("t1", "t1")},
      {"a refusal of the first request", refusal("t1")},
      {"a refusal in chunks",
       "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"},
      {"a health answer",
       answer("200 OK", "X-Instance-Id: i-1\r\nX-Server-Load: 1,0,8,900\r\n")},
      {"bytes that are no answer", "surplus"},
      {"an empty line", "\r\n"},
      {"one byte", "x"},
      {"a broken-off head", "HTTP/1.1 200 OK\r\nX-Att"}};
}

/// An instance that answers the first request on its first connection with
/// additional bytes.
FakeInstance::Service garbling(const std::string &Bytes, Timing When,
                               std::size_t Split) {
  return [=](FakeInstance &Self, Line &Peer, int Number) {
    const bool Garbles = Number == 0;
    std::string Late;
    for (int Count = 0;; ++Count) {
      const std::string Id = Peer.readRequest();
      if (Id.empty()) {
        return;
      }
      Peer.write(std::exchange(Late, ""));
      if (Peer.isProbe()) {
        Peer.write(answer("200 OK", "X-Instance-Id: i-1\r\n"
                                    "X-Server-Load: 1,0,8,100\r\n"));
      } else {
        Self.run(Id);
        // The client must take the additional bytes before it gets the answer.
        if (Garbles && Count == 1) {
          std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        Peer.write(
            success(Id, Id) +
            (Garbles && Count == 0 && When == Timing::WithAnswer ? Bytes : ""));
      }
      if (!Garbles || Count > 0 || When == Timing::WithAnswer) {
        continue;
      }
      if (When == Timing::Idle) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        Peer.write(Bytes.substr(0, Split));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        Peer.write(Bytes.substr(Split));
      } else if (When == Timing::Across) {
        Peer.write(Bytes.substr(0, Split));
        Late = Bytes.substr(Split);
      } else {
        Late = Bytes;
      }
    }
  };
}

} // namespace

// Additional bytes were taken for the answer of the next request, which then
// ran at a second instance or was reported as not run (review case 1).
TEST_CASE("additional bytes are never the answer to the next request",
          "[upstream][bytes]") {
  const Extra Each = GENERATE(from_range(extras()));
  const Timing When = GENERATE(Timing::WithAnswer, Timing::Idle,
                               Timing::NextRequest, Timing::Across);
  const bool Idempotent = GENERATE(false, true);
  const std::size_t Size = Each.Bytes.size();
  std::set<std::size_t> Splits{0};
  if (When == Timing::Idle || When == Timing::Across) {
    Splits = {1, 12, Size / 2, Size - 1};
  }
  for (const std::size_t Split : Splits) {
    if (Split > Size) {
      continue;
    }
    INFO(Each.Name << ", timing " << static_cast<int>(When) << ", split at "
                   << Split << ", idempotent " << Idempotent);
    FakeInstance Instance(garbling(Each.Bytes, When, Split));
    Node Test(Instance.address());
    CHECK(Test.send("t1", Idempotent).Status == 200);
    if (When == Timing::Idle) {
      std::this_thread::sleep_for(ArrivalTime);
    }
    const End Second = Test.send("t2", Idempotent);
    if (Second.Status == 0) {
      // Idempotent requests may be refused without proof; their caller is told
      // that they may have run.
      CHECK_FALSE((Second.NotRun && Instance.runs("t2") > 0));
    } else {
      CHECK(Second.Status == 200);
      CHECK(Second.Answer.ends_with("\r\n\r\nt2"));
    }
    if (!Idempotent) {
      CHECK(Instance.runs("t2") <= 1);
    }
    if (!Idempotent && Second.Status == 200 &&
        (When == Timing::WithAnswer ||
         (When == Timing::NextRequest &&
          Each.Name == std::string_view("a refusal")))) {
      CHECK(Test.foreign() > 0);
    }
    // Nothing that arrived before may reach a third request either.
    const End Third = Test.send("t3", false);
    CHECK(Third.Status == 200);
    CHECK(Third.Answer.ends_with("\r\n\r\nt3"));
  }
}

// As above, with random changes of the additional bytes, several of them and at
// random places; scripts/fuzz.sh runs more rounds.
TEST_CASE("random additional bytes never end a request wrongly",
          "[upstream][bytes][fuzz]") {
  std::mt19937_64 Random(numberOf("HYSSOPFORD_FUZZ_SEED", 1));
  // Each round takes milliseconds, unlike those of the readers.
  const std::uint64_t Rounds =
      numberOf("HYSSOPFORD_FUZZ_ROUNDS", 20'000) / RoundsPerExchange;
  const std::vector<Extra> Corpus = extras();
  for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
    std::string Bytes;
    for (std::uint64_t Count = Random() % 3 + 1; Count > 0; --Count) {
      Bytes += Corpus[Random() % Corpus.size()].Bytes;
    }
    for (std::uint64_t Count = Random() % 3; Count > 0; --Count) {
      const std::size_t At = Random() % Bytes.size();
      if (Random() % 2 == 0) {
        Bytes[At] = static_cast<char>(Random());
      } else {
        Bytes.insert(At, Bytes.substr(At, Random() % 40));
      }
    }
    const auto When = static_cast<Timing>(Random() % 4);
    const std::size_t Split = Random() % Bytes.size();
    const bool Idempotent = Random() % 2 == 0;
    INFO("round " << Round << ", timing " << static_cast<int>(When)
                  << ", split at " << Split << ", idempotent " << Idempotent
                  << ": " << Bytes);
    FakeInstance Instance(garbling(Bytes, When, Split));
    Node Test(Instance.address());
    REQUIRE(Test.send("t1", Idempotent).Status == 200);
    for (const char *Id : {"t2", "t3"}) {
      const End Result = Test.send(Id, Idempotent, 50ms);
      CHECK_FALSE((Result.NotRun && Instance.runs(Id) > 0));
      CHECK((Result.Status == 0 ||
             Result.Answer.ends_with("\r\n\r\n" + std::string(Id))));
    }
  }
}

// A refusal that was repeated on a kept connection was taken for that of the
// same request, sent once more to this instance.
TEST_CASE("an earlier refusal of the same request is no refusal of its repeat",
          "[upstream][bytes]") {
  const bool Identified = GENERATE(true, false);
  INFO("with identifier " << Identified);
  FakeInstance Instance([&](FakeInstance &Self, Line &Peer, int) {
    for (int Count = 0;; ++Count) {
      const std::string Id = Peer.readRequest();
      if (Id.empty()) {
        return;
      }
      const std::string Refused = refusal(Identified ? "t1" : "");
      if (Self.runs("refused") == 0) {
        Self.run("refused");
        Peer.write(Refused);
        continue;
      }
      if (Count > 0) {
        Peer.write(Refused);
      }
      Self.run(Id);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      Peer.write(success(Id, Id));
    }
  });
  Node Test(Instance.address());
  CHECK(Test.send("t1", false).NotRun);
  const End Again = Test.send("t1", false);
  CHECK(Again.Status == 200);
  CHECK(Instance.runs("t1") == 1);
}

// Service must not suffer: a refusal that can only belong to the request is
// believed, with and without an identifier.
TEST_CASE("a refusal that belongs to the request counts as not run",
          "[upstream][bytes]") {
  const bool Identified = GENERATE(true, false);
  const bool Idempotent = GENERATE(true, false);
  INFO("with identifier " << Identified << ", idempotent " << Idempotent);
  FakeInstance Instance([&](FakeInstance &, Line &Peer, int) {
    for (std::string Id = Peer.readRequest(); !Id.empty();
         Id = Peer.readRequest()) {
      Peer.write(refusal(Identified ? Id : ""));
    }
  });
  Node Test(Instance.address());
  for (const char *Id : {"t1", "t2", "t3", "t4"}) {
    const End Refused = Test.send(Id, Idempotent);
    CHECK(Refused.Reason == OutcomeReason::UpstreamRefused);
    CHECK((Refused.NotRun || Idempotent));
  }
}

// An anonymous refusal on a kept connection may be an additional one, so that
// the request waits for its answer; the next ones take fresh connections.
TEST_CASE("an upstream that refuses without identifiers costs one request",
          "[upstream][bytes]") {
  std::atomic<bool> Full = false;
  FakeInstance Instance([&](FakeInstance &, Line &Peer, int) {
    for (std::string Id = Peer.readRequest(); !Id.empty();
         Id = Peer.readRequest()) {
      Peer.write(Full ? refusal() : success(Id, Id));
    }
  });
  Node Test(Instance.address());
  CHECK(Test.send("t1", false).Status == 200);
  CHECK(Test.send("t2", false).Status == 200);
  CHECK(Instance.Connections == 1);
  Full = true;
  const End Doubtful = Test.send("t3", false, 100ms);
  CHECK(Doubtful.Status == 0);
  CHECK_FALSE(Doubtful.NotRun);
  for (const char *Id : {"t4", "t5", "t6"}) {
    CHECK(Test.send(Id, false).NotRun);
  }
  Full = false;
  CHECK(Test.send("t7", false).Status == 200);
}

// Bytes on a connection before any request were taken for its answer.
TEST_CASE("bytes before the first request of a connection are no answer",
          "[upstream][bytes]") {
  FakeInstance Instance([&](FakeInstance &Self, Line &Peer, int Number) {
    if (Number == 0) {
      Peer.write(success("t1", "t1"));
    }
    for (std::string Id = Peer.readRequest(); !Id.empty();
         Id = Peer.readRequest()) {
      if (Number == 0) {
        Peer.write(refusal());
      }
      Self.run(Id);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      Peer.write(success(Id, Id));
    }
  });
  Node Test(Instance.address());
  const End First = Test.send("t2", false);
  CHECK_FALSE((First.NotRun && Instance.runs("t2") > 0));
}

// A probe took an answer to an earlier request, or its refusal, for the state
// of the instance's health and load.
TEST_CASE("additional bytes are never the answer to a probe",
          "[upstream][bytes]") {
  const Extra Each = GENERATE(from_range(extras()));
  const Timing When =
      GENERATE(Timing::WithAnswer, Timing::Idle, Timing::NextRequest);
  if (std::string_view(Each.Name) == "a health answer" &&
      When == Timing::NextRequest) {
    // Health answers name no request: an earlier one can't be told.
    return;
  }
  INFO(Each.Name << ", timing " << static_cast<int>(When));
  FakeInstance Instance(garbling(Each.Bytes, When, Each.Bytes.size() / 2));
  Node Test(Instance.address());
  CHECK(Test.send("t1", true).Status == 200);
  if (When == Timing::Idle) {
    std::this_thread::sleep_for(ArrivalTime);
  }
  const ProbeFinished Probed = Test.probe();
  if (Probed.Succeeded) {
    CHECK(Probed.SlownessPercent == 100);
  }
}

namespace {

struct Shape {
  const char *Name;
  /// Bytes that the answer needs to be complete.
  std::string Bytes;
  /// Whether the answer ends with its connection from this offset on.
  std::size_t OpenFrom = std::string::npos;
};

std::vector<Shape> shapes() {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\n"
                           "X-Server-Signature: s\r\n";
  const std::string Chunks =
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n";
  const std::string Endless = Head + "\r\n";
  return {{"with a length", Head + "Content-Length: 5\r\n\r\nhello"},
          {"with an empty body", Head + "Content-Length: 0\r\n\r\n"},
          {"in chunks", Head + Chunks + "\r\n"},
          {"in chunks with trailers", Head + Chunks + "A: b\r\n\r\n"},
          {"after interim answers",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n"
           "\r\n" +
               Head + "Content-Length: 5\r\n\r\nhello"},
          {"without a length", Endless + "hello", Endless.size()},
          {"an error", "HTTP/1.1 500 Error\r\nX-Attempt-Id: t1\r\n"
                       "Content-Length: 4\r\n\r\noops"},
          {"a refusal", refusal("t1")},
          {"no content", "HTTP/1.1 204 No Content\r\nX-Attempt-Id: t1\r\n"
                         "X-Server-Signature: s\r\n\r\n"}};
}

} // namespace

// Callers got a 200 with an empty or short body, framed as whole, after an
// instance had stopped in the middle of its answer.
TEST_CASE("an answer that ends early is never passed on", "[upstream][bytes]") {
  const Shape Each = GENERATE(from_range(shapes()));
  const bool Reset = GENERATE(false, true);
  const std::string Method = GENERATE("POST", "HEAD");
  // An answer to HEAD ends with its head.
  const std::size_t HeadEnd =
      Each.Bytes.find("\r\n\r\n", Each.Bytes.rfind("HTTP/1.1")) + 4;
  const std::size_t Whole = Method == "HEAD" ? HeadEnd : Each.Bytes.size();
  std::atomic<std::size_t> Cut = 0;
  FakeInstance Instance([&](FakeInstance &, Line &Peer, int) {
    if (Peer.readRequest().empty()) {
      return;
    }
    Peer.write(Each.Bytes.substr(0, Cut));
    if (Reset) {
      // A reset discards what the client has not read yet.
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    Peer.close(Reset);
  });
  Node Test(Instance.address());
  for (Cut = 0; Cut < Whole; ++Cut) {
    const bool MayLookWhole =
        !Reset && Cut >= std::min(Each.OpenFrom, Each.Bytes.size());
    const End Result = Test.send("t1", false, 2s, Method);
    INFO(Each.Name << ", cut at " << Cut << ", reset " << Reset << ", "
                   << Method);
    if (!MayLookWhole) {
      CHECK(Result.Status == 0);
      CHECK_FALSE(Result.NotRun);
    }
  }
}
