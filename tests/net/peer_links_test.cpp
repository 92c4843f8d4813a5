/// @file
/// @brief Tests of peer links over real connections.
#include "hyssopford/net/peer_links.hpp"
#include "loop_thread.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// A node's links with a handler that counts events. Its members may only be
/// used on the thread of the loop.
class TestNode final : public PeerLinkHandler {
public:
  TestNode(LoopThread &OnThread, PeerLinkSettings Settings) : Thread(OnThread) {
    Thread.call([&] {
      Links = std::make_unique<PeerLinks>(Thread.Loop, *this, Settings);
      return 0;
    });
  }
  ~TestNode() override {
    Thread.call([&] {
      Links.reset();
      return 0;
    });
  }

  void onLinkUp(NodeRun /*Peer*/) override { ++Ups; }
  void onLinkDown(NodeId /*Peer*/, const Error &Fault) override {
    ++Downs;
    LastFault = Fault.Reason;
  }
  void onMessage(NodeRun /*From*/, PeerMessage Message) override {
    Messages.push_back(std::move(Message));
  }
  void onAttemptRefused(NodeRun /*From*/, const AttemptId &Attempt) override {
    Discarded.push_back(Attempt.Sequence);
  }
  void onLinkRefused(const Error &Fault) override {
    ++Refusals;
    LastFault = Fault.Reason;
  }

  NodeId id() { return Links->self().Node; }
  void open(TestNode &Other) {
    Thread.call([&] {
      Links->open(Other.id(), Other.Links->address());
      return 0;
    });
  }
  template <typename Function> auto get(Function What) {
    return Thread.call([&] { return What(*this); });
  }
  bool isUp() {
    return get([](TestNode &Self) { return Self.Links->usable(); }) == 1;
  }

  LoopThread &Thread;
  std::unique_ptr<PeerLinks> Links;
  int Ups = 0;
  int Downs = 0;
  int Refusals = 0;
  std::string LastFault;
  std::vector<PeerMessage> Messages;
  std::vector<std::uint64_t> Discarded;
};

PeerLinkSettings settings(const std::string &Key = "key", int Run = 1) {
  PeerLinkSettings Result;
  Result.Site = "site";
  Result.Key = Key;
  Result.Run = Incarnation{static_cast<std::uint64_t>(Run)};
  Result.HeartbeatPeriod = 20ms;
  Result.SilenceLimit = 120ms;
  Result.HandshakeTimeout = 300ms;
  return Result;
}

Cancel cancelOf(std::uint64_t Sequence) {
  return Cancel{AttemptId{{NodeId{1}, Incarnation{1}}, Sequence}};
}

/// Accepts a connection and records the Hello frame sent on it.
class HelloRecorder final : public SocketHandler {
public:
  explicit HelloRecorder(EventLoop &OnLoop) : Loop(OnLoop) {
    Listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    Listener.listen();
    Loop.add(Listener, Poco::Net::PollSet::POLL_READ, *this);
  }
  ~HelloRecorder() override { Loop.remove(Listener); }

  void onReady(int /*Modes*/) override {
    if (Listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      Accepted = Listener.acceptConnection();
      Accepted.setBlocking(false);
      Loop.add(Accepted, Poco::Net::PollSet::POLL_READ, *this);
      return;
    }
    std::array<char, 4'096> Buffer{};
    const int Received = Accepted.receiveBytes(Buffer.data(), Buffer.size());
    if (Received > 0) {
      Recorded.assign(Buffer.data(), static_cast<std::size_t>(Received));
    }
    Loop.remove(Accepted);
  }

  EventLoop &Loop;
  Poco::Net::StreamSocket Accepted;
  Poco::Net::ServerSocket Listener;
  std::string Recorded;
};

} // namespace

TEST_CASE("peer links carry messages", "[link]") {
  LoopThread Thread;
  TestNode A(Thread, settings());
  TestNode B(Thread, settings());
  A.open(B);
  REQUIRE(eventually([&] { return A.isUp() && B.isUp(); }));

  SECTION("small messages overtake large ones, which arrive complete") {
    DispatchReply Large;
    Large.Answer = Payload(std::string(8'000'000, 'x') + "end");
    A.get([&](TestNode &Self) {
      Self.Links->send(B.id(), Large);
      Self.Links->send(B.id(), cancelOf(1));
      return 0;
    });
    REQUIRE(eventually([&] {
      return B.get([](TestNode &Self) { return Self.Messages.size(); }) == 2;
    }));
    const auto Messages = B.get([](TestNode &Self) { return Self.Messages; });
    REQUIRE(Messages[0] == PeerMessage(cancelOf(1)));
    REQUIRE(Messages[1] == PeerMessage(Large));
  }
  SECTION("heartbeats keep an idle link open") {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    REQUIRE(A.get([](TestNode &Self) { return Self.Downs; }) == 0);
    REQUIRE(B.isUp());
  }
  SECTION("queued messages are sent before a link closes") {
    A.get([&](TestNode &Self) {
      Self.Links->send(B.id(), cancelOf(2));
      Self.Links->close(B.id());
      return 0;
    });
    REQUIRE(eventually(
        [&] { return B.get([](TestNode &Self) { return Self.Downs; }) == 1; }));
    REQUIRE(B.get([](TestNode &Self) { return Self.Messages.size(); }) == 1);
  }
  SECTION("a message without a link is dropped and counted") {
    A.get([&](TestNode &Self) {
      Self.Links->send(NodeId{99}, cancelOf(1));
      return 0;
    });
    REQUIRE(A.get([](TestNode &Self) {
      return Self.Links->counters().MessagesDropped;
    }) == 1);
  }
}

TEST_CASE("peer links: one link for each pair", "[link]") {
  // Guards against ending up with two links, or none, when both ends open a
  // link at the same time.
  for (int Round = 0; Round < 20; ++Round) {
    LoopThread First;
    LoopThread Second;
    TestNode A(First, settings());
    TestNode B(Second, settings());
    First.Loop.post(
        [&] { A.Links->open(B.Links->self().Node, B.Links->address()); });
    Second.Loop.post(
        [&] { B.Links->open(A.Links->self().Node, A.Links->address()); });
    REQUIRE(eventually([&] { return A.isUp() && B.isUp(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    REQUIRE((A.isUp() && B.isUp()));
    REQUIRE(A.get([](TestNode &Self) { return Self.Ups - Self.Downs; }) <= 1);
    A.get([&](TestNode &Self) {
      Self.Links->send(B.id(), cancelOf(3));
      return 0;
    });
    REQUIRE(eventually([&] {
      return B.get([](TestNode &Self) { return Self.Messages.size(); }) == 1;
    }));
  }
}

// Guards against a node that counts a link as lost which its peer uses, because
// an attempt of its own to open one failed later. SiteFake relies on it.
TEST_CASE("peer links: a failed attempt to open a link leaves that of the peer",
          "[link]") {
  LoopThread Thread;
  TestNode First(Thread, settings());
  TestNode Second(Thread, settings());
  // The link that the node with the lower identifier opens is kept.
  TestNode &Opened = First.id() < Second.id() ? Second : First;
  TestNode &Opener = First.id() < Second.id() ? First : Second;
  Poco::Net::ServerSocket Silent;
  Silent.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  Silent.listen();
  Thread.call([&] {
    Opened.Links->open(Opener.id(), Silent.address().toString());
    return 0;
  });
  Opener.open(Opened);
  REQUIRE(eventually([&] { return Opened.isUp() && Opener.isUp(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  REQUIRE((Opened.isUp() && Opener.isUp()));
  REQUIRE(Opened.get([](TestNode &Self) { return Self.Downs; }) == 0);
}

TEST_CASE("peer links: a later run replaces an earlier one", "[link]") {
  LoopThread Thread;
  TestNode A(Thread, settings());
  PeerLinkSettings Fixed = settings();
  {
    TestNode B(Thread, Fixed);
    Fixed.ListenAddress = B.Links->address();
    B.open(A);
    REQUIRE(eventually([&] { return A.isUp(); }));
  }
  Fixed.Run = Incarnation{2};
  TestNode Again(Thread, Fixed);
  Again.open(A);
  REQUIRE(eventually(
      [&] { return A.get([](TestNode &Self) { return Self.Ups; }) == 2; }));
  REQUIRE(A.get([](TestNode &Self) { return Self.Downs; }) == 1);
}

TEST_CASE("peer links: unauthenticated peers are refused", "[link]") {
  LoopThread Thread;
  TestNode A(Thread, settings());

  SECTION("wrong key") {
    TestNode B(Thread, settings("other key"));
    B.open(A);
    REQUIRE(eventually(
        [&] { return B.get([](TestNode &Self) { return Self.Downs; }) == 1; }));
    REQUIRE(B.get([](TestNode &Self) { return Self.LastFault; }) ==
            "authentication failed: the peer does not have the site's key");
    REQUIRE(A.get([](TestNode &Self) { return Self.Ups; }) == 0);
  }
  SECTION("another site") {
    PeerLinkSettings Other = settings();
    Other.Site = "other";
    TestNode B(Thread, Other);
    B.open(A);
    REQUIRE(eventually([&] {
      return A.get([](TestNode &Self) { return Self.Refusals; }) == 1;
    }));
    REQUIRE(A.get([](TestNode &Self) { return Self.LastFault; }) ==
            "the peer belongs to another site");
  }
  SECTION("another node at the address") {
    TestNode B(Thread, settings());
    B.get([&](TestNode &Self) {
      Self.Links->open(NodeId{5}, A.Links->address());
      return 0;
    });
    REQUIRE(eventually(
        [&] { return B.get([](TestNode &Self) { return Self.Downs; }) == 1; }));
    REQUIRE(B.get([](TestNode &Self) { return Self.Ups; }) == 0);
  }
  SECTION("a replayed handshake is refused") {
    std::unique_ptr<HelloRecorder> Recorder;
    TestNode B(Thread, settings());
    Thread.call([&] {
      Recorder = std::make_unique<HelloRecorder>(Thread.Loop);
      B.Links->open(A.Links->self().Node,
                    Recorder->Listener.address().toString());
      return 0;
    });
    REQUIRE(eventually([&] {
      return !Thread.call([&] { return Recorder->Recorded; }).empty();
    }));
    RawClient Replay(A.Links->address());
    Replay.send(Recorder->Recorded);
    // The acceptor answers with a new nonce and expects a code over it, which
    // no recording contains; a second Hello is refused.
    Replay.send(Recorder->Recorded);
    Replay.receiveAll();
    REQUIRE(eventually([&] {
      return A.get([](TestNode &Self) { return Self.Refusals; }) == 1;
    }));
    REQUIRE(A.get([](TestNode &Self) { return Self.Ups; }) == 0);
    Thread.call([&] {
      Recorder.reset();
      return 0;
    });
  }
  SECTION("a frame length above the limit is refused") {
    RawClient Client(A.Links->address());
    Client.send(std::string("\xff\xff\xff\x7f", 4));
    Client.receiveAll();
    REQUIRE(A.get([](TestNode &Self) { return Self.LastFault; }) ==
            "frame exceeds the length limit");
  }
  SECTION("bytes that are no frame are refused") {
    RawClient Client(A.Links->address());
    Client.send(std::string("\x20\0\0\0", 4) + std::string(32, 'x'));
    Client.receiveAll();
    REQUIRE(A.get([](TestNode &Self) { return Self.LastFault; }) ==
            "malformed Hello frame");
  }
  SECTION("a silent connection is closed") {
    RawClient Client(A.Links->address());
    REQUIRE(Client.receiveAll().empty());
    REQUIRE(A.get([](TestNode &Self) { return Self.LastFault; }) ==
            "handshake timed out");
  }
}

// Guards against a peer whose requests arrive faster than they are used: they
// took any amount of memory.
TEST_CASE("requests of a peer stay within the memory budget", "[link]") {
  constexpr std::size_t Size = 1'000'000;
  constexpr std::uint64_t Count = 20;
  MemoryBudget Budget(8'000'000);
  LoopThread Thread;
  PeerLinkSettings Bounded = settings();
  Bounded.SilenceLimit = 2s;
  TestNode A(Thread, Bounded);
  Bounded.Memory = &Budget;
  TestNode B(Thread, Bounded);
  A.open(B);
  REQUIRE(eventually([&] { return A.isUp() && B.isUp(); }));
  A.get([&](TestNode &Self) {
    for (std::uint64_t Sequence = 1; Sequence <= Count; ++Sequence) {
      Dispatch Request;
      Request.Attempt = AttemptId{{NodeId{1}, Incarnation{1}}, Sequence};
      Request.Request = Payload(std::string(Size, 'x'));
      Self.Links->send(B.id(), Request);
    }
    Self.Links->send(B.id(), cancelOf(1));
    return 0;
  });
  const auto Received = [&] {
    return B.get([](TestNode &Self) { return Self.Messages.size(); });
  };
  const auto Discarded = [&] {
    return B.get([](TestNode &Self) { return Self.Discarded.size(); });
  };
  REQUIRE(eventually([&] { return Received() + Discarded() == Count + 1; }));
  CHECK(Received() > 1);
  CHECK(Discarded() > 0);
  CHECK(B.get([&](TestNode &) { return Budget.peak(); }) <= Budget.limit());
  CHECK(A.get([](TestNode &Self) { return Self.Downs; }) == 0);
  // A content that was discarded leaves nothing behind.
  B.get([](TestNode &Self) {
    Self.Messages.clear();
    return 0;
  });
  CHECK(B.get([&](TestNode &) { return Budget.used(); }) == 0);

  SECTION("an answer is taken even without room") {
    DispatchReply Reply;
    Reply.Answer = Payload(std::string(8'380'000, 'x'));
    A.get([&](TestNode &Self) {
      Self.Links->send(B.id(), Reply);
      return 0;
    });
    REQUIRE(eventually([&] { return Received() == 1; }));
    CHECK(B.get([](TestNode &Self) { return Self.Messages; }) ==
          std::vector<PeerMessage>{Reply});
  }
}
