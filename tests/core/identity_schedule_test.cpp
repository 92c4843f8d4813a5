/// @file
/// @brief Random schedules on one node whose peers reuse addresses, services
/// and runs.
#include "hyssopford/core/node_core.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

const std::vector<std::string> Services{"a", "b", "c"};
constexpr std::uint64_t Peers = 5;
constexpr Duration RouteDeadline = 500ms;

std::string addressOf(std::uint64_t Peer) {
  return fmt::format("127.0.0.1:{}", 7000 + Peer);
}

NodeCoreSettings settingsOf(std::uint64_t Seed) {
  NodeCoreSettings Settings;
  Settings.Address = addressOf(0);
  Settings.Run = Incarnation{1};
  Settings.FailureDomain = "d0";
  Settings.Region = "r1";
  Settings.Seed = Seed;
  Settings.Decisions.Routing.RetryFailedAnswers = Seed % 2 == 0;
  return Settings;
}

RoutingConfig configOf() {
  RoutingConfig Config;
  Config.Version = 1;
  for (const std::string &Service : Services) {
    Route Each;
    Each.Name = Service;
    Each.PathPrefix = "/" + Service;
    Each.Service = Service;
    Each.Deadline = RouteDeadline;
    Each.AttemptLimit = 3;
    Config.Routes.push_back(Each);
  }
  return Config;
}

/// Sends a node random inputs, each of which a peer, a caller or the upstream
/// could send at that moment, and notes what it must not do.
class NodeSchedule {
public:
  explicit NodeSchedule(std::uint64_t Seed)
      : Random(Seed), Core(settingsOf(Seed)) {
    Core.adopt(configOf());
  }

  void step() {
    Now += std::chrono::milliseconds(below(15));
    const std::uint64_t Peer = 1 + below(Peers);
    switch (below(12)) {
    case 0:
    case 1:
      gossip();
      break;
    case 2:
    case 3: {
      const NodeRun Linked{nodeIdOf(addressOf(Peer)),
                           Incarnation{1 + below(3)}};
      linkDown(Linked.Node);
      Links[Linked.Node] = Linked.Run;
      send(PeerLinkUp{Linked});
      break;
    }
    case 4:
      linkDown(nodeIdOf(addressOf(Peer)));
      break;
    case 5:
    case 6:
    case 7:
      request();
      break;
    case 8:
    case 9:
      reply();
      break;
    case 10:
      upstream();
      break;
    default:
      if (below(8) == 0 && !Waiting.empty()) {
        const RequestId Gone = *Waiting.begin();
        Waiting.erase(Waiting.begin());
        send(CallerGone{Gone});
      } else {
        dispatchOfPeer();
      }
    }
    tick();
  }

  /// Lets all deadlines pass.
  void finish() {
    for (int Count = 0; Count < 200; ++Count) {
      Now += 20ms;
      tick();
    }
    if (!Waiting.empty()) {
      Faults.insert("a request got no answer");
    }
  }

  /// Returns the number of attempts that were sent to peers.
  std::size_t attempts() const { return Sent.size(); }

  std::set<std::string> Faults;

private:
  std::uint64_t below(std::uint64_t Limit) { return Random() % Limit; }

  void send(const Event &Input) {
    Actions Out;
    Core.handle(Input, at(Now), Out);
    take(Out);
  }

  void tick() {
    Actions Out;
    Core.tick(at(Now), Out);
    take(Out);
  }

  void linkDown(NodeId Peer) {
    if (Links.erase(Peer) != 0) {
      send(PeerLinkDown{Peer});
    }
  }

  /// Sends a message over the link to a random linked peer.
  void fromPeer(PeerMessage Message) {
    if (Links.empty()) {
      return;
    }
    const auto Pick = std::next(
        Links.begin(), static_cast<std::ptrdiff_t>(below(Links.size())));
    send(PeerMessageReceived{NodeRun{Pick->first, Pick->second},
                             std::move(Message)});
  }

  void gossip() {
    Gossip Message;
    for (std::uint64_t Count = 1 + below(3); Count > 0; --Count) {
      MemberRecord Record;
      Record.Address = addressOf(below(Peers + 1));
      Record.Id = NodeRun{nodeIdOf(Record.Address), Incarnation{1 + below(3)}};
      if (Record.Id.Node == Core.self().Node) {
        Record.Id.Run = Core.self().Run;
      }
      Record.UpdateNumber = ++LastUpdate;
      Record.State = static_cast<MemberState>(below(10) < 7 ? 0 : below(4));
      Record.FailureDomain = fmt::format("d{}", below(2));
      Record.Region = "r1";
      Record.Service = Services[below(Services.size())];
      Record.Upstream = static_cast<UpstreamState>(1 + below(3));
      Record.Slots = 4;
      Message.Records.push_back(Record);
    }
    fromPeer(Message);
  }

  void request() {
    CallerRequest Input =
        callerRequest(++LastRequest, below(2) == 0 ? "GET" : "POST");
    Input.Path = "/" + Services[below(Services.size())];
    Waiting.insert(Input.Id);
    send(Input);
  }

  void reply() {
    if (Sent.empty()) {
      return;
    }
    const auto Pick =
        Sent.begin() + static_cast<std::ptrdiff_t>(below(Sent.size()));
    const SendToPeer To = *Pick;
    const Dispatch &Message = std::get<Dispatch>(To.Message);
    const auto Link = Links.find(To.To);
    if (Link == Links.end()) {
      return;
    }
    const NodeRun From{To.To, Link->second};
    DispatchReply Answer;
    Answer.Attempt = Message.Attempt;
    Answer.Held = 1ms;
    Answer.Load.Sequence = below(100);
    if (Message.Owner != Link->second) {
      Answer.Result = Outcome::NotRun;
      Answer.Reason = OutcomeReason::WrongIncarnation;
    } else if (below(2) == 0) {
      Answer.Result = Outcome::Answered;
      Answer.Status = below(3) == 0 ? 500 : 200;
    } else {
      Answer.Result = below(2) == 0 ? Outcome::NotRun : Outcome::Unknown;
      Answer.Reason = static_cast<OutcomeReason>(
          1 + below(static_cast<std::uint64_t>(OutcomeReason::UpstreamSlow)));
    }
    if (below(4) == 0) {
      send(PeerMessageReceived{
          From,
          StatusReply{Message.Attempt, static_cast<AttemptState>(below(4))}});
    }
    send(PeerMessageReceived{From, Answer});
  }

  void upstream() {
    if (!Running.empty() && below(2) == 0) {
      const AttemptId Attempt = *Running.begin();
      Running.erase(Running.begin());
      if (below(3) == 0) {
        send(UpstreamFailed{Attempt, OutcomeReason::UpstreamClosed,
                            below(2) == 0});
      } else {
        send(UpstreamAnswered{Attempt, 200, Payload("x"), false, 100});
      }
      return;
    }
    if (below(3) == 0) {
      send(UpstreamGone{below(2) == 0});
    } else {
      send(UpstreamAnnounced{Services[below(Services.size())], 4,
                             static_cast<UpstreamState>(1 + below(3))});
    }
  }

  void dispatchOfPeer() {
    Dispatch Message = dispatchOf(++LastSequence);
    Message.Service = Services[below(Services.size())];
    Message.Remaining = 200ms;
    fromPeer(Message);
  }

  void take(const Actions &Out) {
    for (const Action &Each : Out) {
      if (const auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
        if (Waiting.erase(Reply->Id) == 0) {
          Faults.insert("an answer to a request that does not wait");
        }
      } else if (const auto *Forward = std::get_if<ForwardToUpstream>(&Each)) {
        Running.insert(Forward->Attempt);
      } else if (const auto *Cancelled = std::get_if<CancelUpstream>(&Each)) {
        Running.erase(Cancelled->Attempt);
      } else if (const auto *Frame = std::get_if<SendToPeer>(&Each)) {
        if (const auto *Message = std::get_if<Dispatch>(&Frame->Message)) {
          check(Frame->To, *Message);
          Sent.push_back(*Frame);
        }
      }
    }
  }

  void check(NodeId To, const Dispatch &Message) {
    const MemberRecord *Record = nullptr;
    const auto &Members = Core.membership().members();
    const auto Found = Members.find(To);
    if (Found != Members.end()) {
      Record = &Found->second;
    }
    const auto Link = Links.find(To);
    if (Record == nullptr || Record->Id.Run != Message.Owner ||
        Record->Service != Message.Service) {
      Faults.insert("an attempt at a run or service that the node has not");
    }
    if (Link == Links.end() || Link->second != Message.Owner) {
      Faults.insert("an attempt without a link to its run");
    }
  }

  std::mt19937_64 Random;
  NodeCore Core;
  Duration Now{1s};
  std::uint32_t LastUpdate = 0;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastSequence = 0;
  std::map<NodeId, Incarnation> Links;
  std::set<RequestId> Waiting;
  std::vector<SendToPeer> Sent;
  std::set<AttemptId> Running;
};

} // namespace

// Guards against a node that ends by itself, leaves a request without an answer
// or sends one to another service after addresses, services and runs were
// reused.
TEST_CASE("a node answers each request while its peers reuse addresses",
          "[candidates]") {
  std::size_t Attempts = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    NodeSchedule Schedule(Seed);
    for (int Step = 0; Step < 600; ++Step) {
      Schedule.step();
    }
    Schedule.finish();
    INFO("seed " << Seed);
    CHECK(Schedule.Faults == std::set<std::string>{});
    Attempts += Schedule.attempts();
  }
  CHECK(Attempts > 400);
}
