/// @file
/// @brief Tests of the evacuation of failure domains, in virtual time.
#include "hyssopford/core/evacuation/evacuation_system.hpp"
#include "hyssopford/core/node_core.hpp"

#include "support/decisions.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Nodes 0 and 1 watch the store; links connect each node to the next one.
struct EvacuationSite {
  struct Call {
    std::size_t Node;
    StoreCall Details;
    Duration Start;
  };

  std::deque<EvacuationSystem> Nodes;
  std::set<std::pair<std::size_t, std::size_t>> Links;
  std::vector<Call> Calls;
  std::vector<std::pair<std::size_t, Event>> Frames;
  std::vector<Duration> CallStarts;
  std::vector<Notice> Notices;
  Duration Now{0};
  /// State of the store.
  std::vector<std::string> Keys;
  std::uint64_t Revision = 100;
  std::uint64_t Era = 1;
  std::set<std::size_t> Cut;
  /// Watches report no changes.
  bool Muted = false;

  explicit EvacuationSite(std::size_t Count = 5, bool Enabled = true) {
    EvacuationSettings Settings;
    Settings.Enabled = Enabled;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Nodes.emplace_back(Settings);
    }
    for (std::size_t Index = 0; Index + 1 < Count; ++Index) {
      link(Index, Index + 1);
    }
    Nodes[0].setWatching(true, at(Now));
    Nodes[1].setWatching(true, at(Now));
  }

  void link(std::size_t First, std::size_t Second) {
    Links.insert({First, Second});
    for (const auto &[From, To] :
         {std::pair(First, Second), std::pair(Second, First)}) {
      Actions Out;
      Nodes[From].linkUp(nodeRun(To + 1), Out);
      carryOut(From, Out);
    }
  }

  void unlink(std::size_t First, std::size_t Second) {
    Links.erase({First, Second});
    Nodes[First].linkDown(NodeId{Second + 1});
    Nodes[Second].linkDown(NodeId{First + 1});
  }

  void carryOut(std::size_t Node, const Actions &Out) {
    for (const Action &Each : Out) {
      if (const auto *Details = std::get_if<StoreCall>(&Each)) {
        Calls.push_back({Node, *Details, Now});
        CallStarts.push_back(Now);
      } else if (const auto *Message = std::get_if<SendToPeer>(&Each)) {
        const std::size_t To = Message->To.Value - 1;
        if (Links.contains(std::minmax(Node, To))) {
          Frames.emplace_back(
              To, PeerMessageReceived{nodeRun(Node + 1), Message->Message});
        }
      } else if (const auto *Told = std::get_if<Notice>(&Each)) {
        Notices.push_back(*Told);
      }
    }
  }

  void write(std::vector<std::string> NewKeys) {
    Keys = std::move(NewKeys);
    ++Revision;
  }

  /// Answers a call if its answer is due.
  bool answer(const Call &Each) {
    const auto &List = std::get<StoreList>(Each.Details.Operation);
    StoreResult Result;
    const Duration Age = Now - Each.Start;
    if (Cut.contains(Each.Node)) {
      if (Age < List.Timeout + Each.Details.Timeout) {
        return false;
      }
    } else if (List.Timeout == Duration{0} ||
               (Revision > List.AfterRevision && !Muted)) {
      Result.Status = StoreStatus::Done;
      Result.Keys = Keys;
      Result.Revision = Revision;
    } else if (Age < List.Timeout) {
      return false;
    } else {
      Result.Status = StoreStatus::Unchanged;
      Result.Revision = Muted ? List.AfterRevision : Revision;
    }
    Result.Era = Result.Status == StoreStatus::NoAnswer ? 0 : Era;
    Actions Out;
    Nodes[Each.Node].receive(StoreReplied{Each.Details.Call, Result}, at(Now),
                             Out);
    carryOut(Each.Node, Out);
    return true;
  }

  void pass(Duration Length) {
    for (const Duration End = Now + Length; Now < End; Now += 10ms) {
      for (const auto &[To, Frame] : std::exchange(Frames, {})) {
        const auto &Input = std::get<PeerMessageReceived>(Frame);
        Actions Out;
        Nodes[To].receive(Input.From, std::get<EvacuationNotice>(Input.Message),
                          Out);
        carryOut(To, Out);
      }
      std::vector<Call> Left;
      for (const Call &Each : std::exchange(Calls, {})) {
        if (!answer(Each)) {
          Left.push_back(Each);
        }
      }
      Calls.insert(Calls.end(), Left.begin(), Left.end());
      for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
        Actions Out;
        Nodes[Index].tick(at(Now), Out);
        carryOut(Index, Out);
      }
    }
  }

  std::size_t evacuatedAt(const std::string &Domain) const {
    return static_cast<std::size_t>(
        std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &Each) {
          return Each.isEvacuated(Domain);
        }));
  }
};

/// A node in the failure domain "d1" with an upstream of one slot.
struct EvacuatedNode {
  NodeCore Core{settings()};
  std::string PeerAddress = "127.0.0.1:2";
  NodeRun Peer{nodeIdOf(PeerAddress), Incarnation{1}};
  std::uint64_t Revision = 0;
  Duration Now = 1s;

  static NodeCoreSettings settings() {
    NodeCoreSettings Settings;
    Settings.Address = "127.0.0.1:1";
    Settings.Run = Incarnation{1};
    Settings.FailureDomain = "d1";
    Settings.Decisions.Evacuation.Enabled = true;
    return Settings;
  }

  EvacuatedNode() {
    RoutingConfig Config;
    Config.Version = 1;
    Config.Routes.push_back(seatsRoute());
    Core.adopt(Config);
    handle(UpstreamAnnounced{"seats", 1, UpstreamState::Serving});
  }

  Actions handle(const Event &Input) {
    Actions Out;
    Now += 1ms;
    Core.handle(Input, at(Now), Out);
    return Out;
  }

  Actions evacuate(std::vector<std::string> Domains) {
    return handle(PeerMessageReceived{
        Peer, EvacuationNotice{0, ++Revision, std::move(Domains)}});
  }

  Actions offer(std::uint64_t Sequence) {
    Dispatch Attempt = dispatchOf(Sequence);
    Attempt.Owner = Core.self().Run;
    Attempt.Attempt.Ingress = Peer;
    Attempt.Fingerprint = Sequence;
    return handle(PeerMessageReceived{Peer, Attempt});
  }
};

} // namespace

TEST_CASE("an evacuation reaches every node within its bound",
          "[core][evacuation]") {
  // Guards the bound of 5 s, whichever nodes and watches fail.
  EvacuationSite Site;
  Site.pass(5s);
  SECTION("all in order") {}
  SECTION("a watching node cut off from the store") { Site.Cut = {0}; }
  SECTION("watches that report nothing") { Site.Muted = true; }
  SECTION("a watch that was lost just before the write") {
    Site.Cut = {0, 1};
    Site.pass(100ms);
    Site.write({"d1"});
    Site.pass(100ms);
    Site.Cut.clear();
  }
  Site.write({"d1"});
  Site.pass(4500ms);
  CHECK(Site.evacuatedAt("d1") == 5);
  CHECK(Site.Notices.size() == 5);
  CHECK(Site.Notices.front().Event == "evacuation_begun");
  Site.write({});
  Site.pass(4500ms);
  CHECK(Site.evacuatedAt("d1") == 0);
  CHECK(Site.Notices.back().Event == "evacuation_ended");
}

TEST_CASE("the set is kept while the store cannot be reached",
          "[core][evacuation]") {
  // Guards against an evacuation that ends because the store is down.
  EvacuationSite Site;
  Site.write({"d1", "d2"});
  Site.pass(2s);
  Site.Cut = {0, 1};
  Site.Keys.clear();
  Site.pass(20s);
  CHECK(Site.evacuatedAt("d2") == 5);
}

TEST_CASE("nodes that were away take the newest set", "[core][evacuation]") {
  // Guards against a node that brings an older set back, or never learns of a
  // newer one.
  EvacuationSite Site;
  Site.write({"d1"});
  Site.pass(2s);
  SECTION("a node that was cut off") {
    Site.unlink(3, 4);
    Site.write({"d2"});
    Site.pass(2s);
    REQUIRE(Site.Nodes[4].isEvacuated("d1"));
    Site.link(3, 4);
    Site.pass(50ms);
  }
  SECTION("a node that joins") {
    Site.Nodes.emplace_back(EvacuationSettings{true});
    Site.write({"d2"});
    Site.link(4, 5);
    Site.pass(2s);
    CHECK(Site.Nodes[5].isEvacuated("d2"));
  }
  SECTION("restarted nodes and one with an older set") {
    Site.unlink(3, 4);
    Site.write({"d2"});
    Site.pass(2s);
    Site.unlink(1, 2);
    Site.unlink(2, 3);
    Site.Nodes[2] = EvacuationSystem(EvacuationSettings{true});
    Site.Nodes[3] = EvacuationSystem(EvacuationSettings{true});
    Site.link(2, 3);
    Site.link(3, 4);
    Site.pass(50ms);
    REQUIRE(Site.Nodes[2].isEvacuated("d1"));
    Site.link(1, 2);
    Site.pass(50ms);
  }
  CHECK(Site.evacuatedAt("d1") == 0);
  CHECK(Site.evacuatedAt("d2") == Site.Nodes.size());
}

TEST_CASE("revisions count within an era of the store", "[core][evacuation]") {
  // Guards against a store that comes back older, with and without notice.
  EvacuationSite Site;
  Site.pass(1s);
  Site.Revision = 200;
  Site.write({"d1"});
  Site.pass(2s);
  Site.Revision = 150;
  Site.Keys = {};
  SECTION("an older answer of the same era changes nothing") {
    Site.pass(10s);
    CHECK(Site.evacuatedAt("d1") == 5);
  }
  SECTION("after a new era the set is read anew") {
    Site.Era = 2;
    Site.Keys = {"d2"};
    Site.pass(5s);
    CHECK(Site.evacuatedAt("d1") == 0);
    CHECK(Site.evacuatedAt("d2") == 5);
  }
}

TEST_CASE("a watching node calls the store about once a second",
          "[core][evacuation]") {
  // Guards against calls beyond their price, also while the store fails.
  // One call a second of two nodes in 30 s, and the first ones.
  constexpr std::size_t CallsMax = 62;
  const bool Enabled = GENERATE(true, false);
  EvacuationSite Site(5, Enabled);
  Site.pass(30s);
  if (!Enabled) {
    CHECK(Site.CallStarts.empty());
    return;
  }
  CHECK(Site.CallStarts.size() <= CallsMax);
  Site.CallStarts.clear();
  Site.Cut = {0, 1};
  Site.pass(30s);
  CHECK(Site.CallStarts.size() <= CallsMax);
}

TEST_CASE("an owner in an evacuated failure domain starts nothing",
          "[core][evacuation]") {
  // Guards against requests that reach an upstream of the failure domain.
  EvacuatedNode Test;
  CHECK(all<ForwardToUpstream>(Test.offer(1)).size() == 1);
  CHECK(all<ForwardToUpstream>(Test.offer(2)).empty());
  const auto Handed = messages<DispatchReply>(Test.evacuate({"d1", "d2"}));
  REQUIRE(Handed.size() == 1);
  CHECK(Handed[0].Message.Result == Outcome::NotRun);
  CHECK(Handed[0].Message.Reason == OutcomeReason::Evacuated);
  const Actions Refused = Test.offer(3);
  CHECK(all<ForwardToUpstream>(Refused).empty());
  CHECK(messages<DispatchReply>(Refused).at(0).Message.Reason ==
        OutcomeReason::Evacuated);
  CHECK(Test.Core.owner().evacuationHandBacks() == 2);
  // The running attempt ends as usual.
  const Actions Ended = Test.handle(
      UpstreamAnswered{AttemptId{Test.Peer, 1}, 200, Payload("ok")});
  CHECK(messages<DispatchReply>(Ended).at(0).Message.Result ==
        Outcome::Answered);
  Test.evacuate({"d2"});
  CHECK(all<ForwardToUpstream>(Test.offer(4)).size() == 1);
}

TEST_CASE("an ingress passes by evacuated failure domains",
          "[core][evacuation]") {
  // Guards against attempts that would only be handed back, and against
  // requests that wait although no upstream may run them.
  EvacuatedNode Test;
  const auto Request = [&](std::uint64_t Id) {
    CallerRequest Call = callerRequest(Id);
    Call.Path = "/";
    return Test.handle(Call);
  };
  Test.evacuate({"d1"});
  const auto Refused = all<ReplyToCaller>(Request(1));
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Result == Outcome::NotRun);
  CHECK(Refused[0].Reason == OutcomeReason::Evacuated);
  CHECK(Refused[0].RetryAfter >= 1s);
  MemberRecord Record;
  Record.Id = Test.Peer;
  Record.UpdateNumber = 1;
  Record.Address = Test.PeerAddress;
  Record.FailureDomain = "d2";
  Record.Service = "seats";
  Record.Upstream = UpstreamState::Serving;
  Record.Slots = 1;
  Test.handle(PeerLinkUp{Test.Peer});
  Test.handle(PeerMessageReceived{Test.Peer, Gossip{{Record}}});
  for (std::uint64_t Id = 2; Id < 12; ++Id) {
    const auto Sent = messages<Dispatch>(Request(Id));
    REQUIRE(Sent.size() == 1);
    CHECK(Sent[0].To == Test.Peer.Node);
  }
  Test.evacuate({"d2"});
  CHECK(all<ForwardToUpstream>(Request(20)).size() == 1);
  Test.evacuate({});
  CHECK(all<ReplyToCaller>(Request(21)).empty());
}
