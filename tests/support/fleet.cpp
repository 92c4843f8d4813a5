#include "support/fleet.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hyssopford::test {

namespace {

constexpr Duration ConnectTime = 1ms;
/// Service time of a probe.
constexpr Duration ProbeCost = 6ms;
constexpr std::uint16_t ServerError = 500;
constexpr Duration StoreDelay = 5ms;
/// Longest time until a node notices a broken link.
constexpr Duration LinkTimeout = 300ms;

} // namespace

Fleet::Fleet(const FleetSettings &Chosen)
    : Settings(Chosen), Random(Chosen.Seed), Nodes(Chosen.Nodes) {
  Config.Version = 1;
  Route Post;
  Post.Name = "enrol";
  Post.PathPrefix = "/enrol";
  Post.Service = "enrolment";
  Post.Deadline = 1s;
  Route Get = Post;
  Get.Name = "catalogue";
  Get.PathPrefix = "/catalogue";
  Get.Idempotent = true;
  Config.Routes = {Post, Get};
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    NodeCoreSettings &Each = Nodes[Node].Settings;
    Each.Address = fmt::format("127.0.0.1:{}", 7100 + Node);
    Each.FailureDomain = fmt::format("fd{}", Node % Settings.Domains);
    Each.Region = "r1";
    Each.Seeds = {"127.0.0.1:7100", "127.0.0.1:7101"};
    Each.Keys = Settings.Keys;
    NodeIndex[nodeIdOf(Each.Address)] = Node;
  }
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    start(Node);
  }
}

void Fleet::at(TimePoint When, std::function<void()> Run) {
  Steps.push(Step{std::max(When, Now), NextOrder++, std::move(Run)});
}

void Fleet::run(TimePoint Until) {
  while (!Steps.empty() && Steps.top().At <= Until) {
    const Step Next = Steps.top();
    Steps.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = Until;
}

std::uint64_t Fleet::submit(std::size_t Node, CallerRequest Request) {
  const std::uint64_t Submission = NextSubmission++;
  Request.Id = RequestId{Submission};
  Request.Request = Payload(std::to_string(Submission));
  if (isUp(Node)) {
    log(fmt::format("submit {} key '{}' body {} at node {}", Submission,
                    Request.Key, Request.BodyHash, Node));
    deliver(Node, core(Node).self().Run, Request);
  }
  return Submission;
}

void Fleet::dropCaller(std::size_t Node, std::uint64_t Submission) {
  if (isUp(Node)) {
    deliver(Node, core(Node).self().Run, CallerGone{RequestId{Submission}});
  }
}

void Fleet::crash(std::size_t Node) {
  if (!isUp(Node)) {
    return;
  }
  log(fmt::format("crash node {}", Node));
  NodeRow &Row = Nodes[Node];
  Row.Core.reset();
  Row.Backlog.clear();
  Row.Running.clear();
  Row.Paused = false;
  Row.TickAt = TimePoint::max();
  const auto Current = Links;
  for (const auto &[Left, Right] : Current) {
    if (Left == Node || Right == Node) {
      breakLink(Left, Right);
    }
  }
}

void Fleet::restart(std::size_t Node) {
  if (!isUp(Node)) {
    log(fmt::format("restart node {}", Node));
    start(Node);
  }
}

void Fleet::leave(std::size_t Node) {
  if (isUp(Node)) {
    log(fmt::format("node {} leaves", Node));
    deliver(Node, core(Node).self().Run, ShutdownRequested{});
  }
}

void Fleet::pause(std::size_t Node) {
  if (isUp(Node)) {
    log(fmt::format("pause node {}", Node));
    Nodes[Node].Paused = true;
  }
}

void Fleet::resume(std::size_t Node) {
  NodeRow &Row = Nodes[Node];
  if (!isUp(Node) || !Row.Paused) {
    return;
  }
  log(fmt::format("resume node {}", Node));
  Row.Paused = false;
  // A resumed process may handle its timers or its queued inputs first.
  const bool TickFirst = Random.below(2) == 0;
  if (TickFirst) {
    Actions Out;
    Row.Core->tick(Now, Out);
    perform(Node, Out);
  }
  const std::vector<Event> Backlog = std::exchange(Row.Backlog, {});
  for (const Event &Each : Backlog) {
    if (isUp(Node)) {
      handle(Node, Each);
    }
  }
  if (isUp(Node)) {
    Row.TickAt = TimePoint::max();
    scheduleTick(Node);
  }
}

void Fleet::crashUpstream(std::size_t Node) {
  if (!isUp(Node) || !Nodes[Node].UpstreamUp) {
    return;
  }
  log(fmt::format("upstream of node {} crashes", Node));
  NodeRow &Row = Nodes[Node];
  ++UpstreamCrashes;
  Row.UpstreamUp = false;
  const Incarnation Run = Row.Core->self().Run;
  const auto Lost = std::exchange(Row.Running, {});
  deliver(Node, Run, UpstreamGone{true});
  for (const auto &[Attempt, Submission] : Lost) {
    deliver(Node, Run,
            UpstreamFailed{Attempt, OutcomeReason::UpstreamClosed, true});
  }
  at(Now + 500ms, [this, Node, Run] {
    if (isUp(Node) && core(Node).self().Run == Run) {
      Nodes[Node].UpstreamUp = true;
      deliver(Node, Run,
              UpstreamAnnounced{"enrolment", Settings.Slots,
                                UpstreamState::Serving});
    }
  });
}

void Fleet::setSlowdown(std::size_t Node, std::uint64_t Factor) {
  log(fmt::format("upstream of node {} takes {} times as long", Node, Factor));
  Nodes[Node].Slowdown = Factor;
}

void Fleet::setFailFast(std::size_t Node, bool Enabled) {
  log(fmt::format("upstream of node {} {}", Node,
                  Enabled ? "fails fast" : "works again"));
  Nodes[Node].FailsFast = Enabled;
}

void Fleet::announce(std::size_t Node, UpstreamState State) {
  if (isUp(Node)) {
    deliver(Node, core(Node).self().Run,
            UpstreamAnnounced{"enrolment", Settings.Slots, State});
  }
}

double Fleet::probeShare() const {
  const auto SlotTime = static_cast<double>(Now.time_since_epoch().count()) *
                        static_cast<double>(Nodes.size() * Settings.Slots);
  return static_cast<double>(ProbeTime.count()) / SlotTime;
}

void Fleet::partition(const std::set<std::size_t> &Side) {
  Isolated = Side;
  log(fmt::format("partition of {} nodes", Side.size()));
  const auto Current = Links;
  for (const auto &[Left, Right] : Current) {
    if (blocked(Left, Right)) {
      breakLink(Left, Right);
    }
  }
}

void Fleet::heal() {
  Isolated.clear();
  log("heal");
}

void Fleet::log(std::string Line) {
  if (Settings.Log) {
    Events.push_back(
        fmt::format("{:>9} us  {}", Now.time_since_epoch().count(), Line));
  }
}

void Fleet::start(std::size_t Node) {
  NodeRow &Row = Nodes[Node];
  Row.Settings.Run.Value =
      static_cast<std::uint64_t>(Now.time_since_epoch().count()) + 1;
  Row.Settings.Seed = Random.next();
  Row.Settings.Decisions.Quarantine.Stored = Settings.StoresQuarantine;
  Row.Core = std::make_unique<NodeCore>(Row.Settings);
  Row.Core->adopt(Config);
  Row.UpstreamUp = true;
  Row.TickAt = TimePoint::max();
  handle(Node, UpstreamAnnounced{"enrolment", Settings.Slots,
                                 UpstreamState::Serving});
}

void Fleet::deliver(std::size_t Node, Incarnation Run, const Event &Input) {
  NodeRow &Row = Nodes[Node];
  if (!isUp(Node) || Row.Core->self().Run != Run) {
    return;
  }
  if (Row.Paused) {
    Row.Backlog.push_back(Input);
  } else {
    handle(Node, Input);
  }
}

void Fleet::handle(std::size_t Node, const Event &Input) {
  Actions Out;
  Nodes[Node].Core->handle(Input, Now, Out);
  perform(Node, Out);
}

void Fleet::perform(std::size_t Node, Actions &Out) {
  bool Ended = false;
  for (Action &Each : Out) {
    if (const auto *Frame = std::get_if<SendToPeer>(&Each)) {
      sendFrame(Node, *Frame);
    } else if (const auto *Link = std::get_if<OpenLink>(&Each)) {
      openLink(Node, Link->Peer);
    } else if (const auto *Forward = std::get_if<ForwardToUpstream>(&Each)) {
      execute(Node, *Forward);
    } else if (const auto *Cancelled = std::get_if<CancelUpstream>(&Each)) {
      Nodes[Node].Running.erase(Cancelled->Attempt);
    } else if (auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
      log(fmt::format("reply to {}: {} {}{}", Reply->Id.Value,
                      toString(Reply->Result), toString(Reply->Reason),
                      Reply->Replayed ? " replayed" : ""));
      RepliedAt[Reply->Id.Value] = Now;
      Replies[Reply->Id.Value] = std::move(*Reply);
    } else if (const auto *Told = std::get_if<Notice>(&Each)) {
      Notices.push_back(*Told);
    } else if (const auto *Call = std::get_if<StoreCall>(&Each)) {
      QuarantineCalls += isCallOf(StoreUser::Quarantine, Call->Call) ? 1 : 0;
      callStore(Node, *Call);
    } else if (std::holds_alternative<ProbeUpstream>(Each)) {
      probe(Node);
    } else if (std::holds_alternative<ShutdownComplete>(Each)) {
      Ended = true;
    }
  }
  if (Ended) {
    crash(Node);
  } else {
    scheduleTick(Node);
  }
}

void Fleet::scheduleTick(std::size_t Node) {
  NodeRow &Row = Nodes[Node];
  // A node may end while it handles the backlog of a pause.
  const auto Wakeup = Row.Core ? Row.Core->nextWakeup() : std::nullopt;
  if (!Wakeup || Row.Paused) {
    return;
  }
  // Like a real event loop, a node does not tick more often than this.
  const TimePoint Due = std::max(*Wakeup, Now + 200us);
  if (Due >= Row.TickAt) {
    return;
  }
  Row.TickAt = Due;
  at(Due, [this, Node, Due, Run = Row.Core->self().Run] {
    NodeRow &Each = Nodes[Node];
    if (!isUp(Node) || Each.Core->self().Run != Run || Each.Paused ||
        Each.TickAt != Due) {
      return;
    }
    Each.TickAt = TimePoint::max();
    Actions Out;
    Each.Core->tick(Now, Out);
    perform(Node, Out);
  });
}

void Fleet::sendFrame(std::size_t From, const SendToPeer &Frame) {
  const auto Found = NodeIndex.find(Frame.To);
  if (Found == NodeIndex.end() ||
      !Links.contains(pairOf(From, Found->second))) {
    return;
  }
  const std::size_t To = Found->second;
  ++Frames;
  if (OnFrame) {
    OnFrame(Frame.Message);
  }
  if (chance(Rates.Lost)) {
    return;
  }
  const NodeRun Sender = Nodes[From].Core->self();
  const std::size_t Copies = chance(Rates.Duplicated) ? 2 : 1;
  for (std::size_t Copy = 0; Copy < Copies; ++Copy) {
    Duration Delay = Settings.Delay;
    if (Settings.Jitter > Duration{0}) {
      Delay += Duration(Random.below(Settings.Jitter.count()));
    }
    if (chance(Rates.Late)) {
      Delay += Duration(Random.below(3'000'000));
    }
    at(Now + Delay, [this, To, Sender, Message = Frame.Message] {
      // A late frame may even reach a later run of its receiver.
      if (isUp(To)) {
        deliver(To, core(To).self().Run, PeerMessageReceived{Sender, Message});
      }
    });
  }
}

void Fleet::openLink(std::size_t From, NodeId Peer) {
  const auto Found = NodeIndex.find(Peer);
  if (Found == NodeIndex.end() || Found->second == From) {
    return;
  }
  const std::size_t To = Found->second;
  const auto Count =
      std::count_if(Links.begin(), Links.end(), [&](const auto &Link) {
        return Link.first == From || Link.second == From;
      });
  if (Settings.MaxLinks > 0 &&
      static_cast<std::size_t>(Count) >= Settings.MaxLinks) {
    return;
  }
  at(Now + ConnectTime, [this, From, To] {
    if (isUp(From) && isUp(To) && !blocked(From, To) && !Nodes[To].Paused &&
        Links.insert(pairOf(From, To)).second) {
      const NodeRun Left = core(From).self();
      const NodeRun Right = core(To).self();
      deliver(From, Left.Run, PeerLinkUp{Right});
      deliver(To, Right.Run, PeerLinkUp{Left});
    }
  });
}

void Fleet::breakLink(std::size_t Left, std::size_t Right) {
  Links.erase(pairOf(Left, Right));
  for (const bool First : {true, false}) {
    const std::size_t Node = First ? Left : Right;
    const std::size_t Peer = First ? Right : Left;
    if (!isUp(Node)) {
      continue;
    }
    const NodeId Id = nodeIdOf(Nodes[Peer].Settings.Address);
    at(Now + Duration(Random.below(LinkTimeout.count())),
       [this, Node, Id, Run = core(Node).self().Run,
        Link = pairOf(Left, Right)] {
         // The link may have been opened again meanwhile.
         if (!Links.contains(Link)) {
           deliver(Node, Run, PeerLinkDown{Id});
         }
       });
  }
}

void Fleet::execute(std::size_t Node, const ForwardToUpstream &Forward) {
  NodeRow &Row = Nodes[Node];
  const Incarnation Run = Row.Core->self().Run;
  const AttemptId Attempt = Forward.Attempt;
  if (!Row.UpstreamUp || chance(Rates.ConnectFailed)) {
    at(Now + ConnectTime, [this, Node, Run, Attempt] {
      deliver(Node, Run,
              UpstreamFailed{Attempt, OutcomeReason::ConnectFailed, false});
    });
    return;
  }
  const Execution Started{std::stoull(std::string(Forward.Request.bytes())),
                          Node, Now};
  log(fmt::format("node {} runs {}", Node, Started.Submission));
  Executions.push_back(Started);
  Row.Running[Attempt] = Started.Submission;
  if (IsDeadly && IsDeadly(Started)) {
    at(Now + 1ms, [this, Node] { crashUpstream(Node); });
    return;
  }
  const bool Fails = chance(Rates.ConnectionLost);
  const Duration Base = Settings.ServiceTime +
                        Duration(Random.below(Settings.ServiceTime.count()));
  const Duration Time =
      Row.FailsFast ? Duration(100) : Duration(Base * Row.Slowdown);
  at(Now + Time, [this, Node, Run, Attempt, Fails] {
    if (!isUp(Node) || Nodes[Node].Core->self().Run != Run) {
      return;
    }
    const auto Found = Nodes[Node].Running.find(Attempt);
    if (Found == Nodes[Node].Running.end()) {
      return;
    }
    const Payload Answer(fmt::format("answer to {}", Found->second));
    Nodes[Node].Running.erase(Found);
    if (Fails) {
      deliver(Node, Run,
              UpstreamFailed{Attempt, OutcomeReason::UpstreamClosed, true});
    } else {
      UpstreamAnswered Done;
      Done.Attempt = Attempt;
      Done.Status = Nodes[Node].FailsFast ? ServerError : 200;
      Done.Answer = Answer;
      deliver(Node, Run, Done);
    }
  });
}

void Fleet::probe(std::size_t Node) {
  const NodeRow &Row = Nodes[Node];
  const Duration Elapsed = ProbeCost * Row.Slowdown;
  ProbeTime += ProbeCost;
  const bool Succeeds = Row.UpstreamUp && !Row.FailsFast;
  at(Now + Elapsed,
     [this, Node, Succeeds, Elapsed, Run = Row.Core->self().Run] {
       deliver(Node, Run, ProbeFinished{Succeeds, Elapsed});
     });
}

void Fleet::callStore(std::size_t Node, const StoreCall &Call) {
  const Incarnation Run = Nodes[Node].Core->self().Run;
  const bool LosesAnswer = chance(Rates.StoreAnswerLost);
  at(Now + StoreDelay, [this, Node, Run, Call, LosesAnswer] {
    StoreResult Result;
    if (!StoreDown) {
      const StoreResult Applied = apply(Call);
      Result = LosesAnswer ? Result : Applied;
    }
    at(Now + StoreDelay, [this, Node, Run, Call, Result] {
      deliver(Node, Run, StoreReplied{Call.Call, Result});
    });
  });
}

StoreResult Fleet::apply(const StoreCall &Call) {
  const StoreOperation &Operation = Call.Operation;
  StoreResult Result;
  if (const auto *Read = std::get_if<StoreRead>(&Operation)) {
    const auto Found = Store.find(Read->Key);
    Result.Status =
        Found == Store.end() ? StoreStatus::Missing : StoreStatus::Done;
    if (Found != Store.end()) {
      Result.Value = Found->second.first;
      Result.Revision = Found->second.second;
    }
  } else if (const auto *Write = std::get_if<StoreWrite>(&Operation)) {
    auto &[Value, Revision] = Store[Write->Key];
    Result.Status = Revision == Write->ExpectedRevision ? StoreStatus::Done
                                                        : StoreStatus::Conflict;
    if (Result.Status == StoreStatus::Conflict) {
      Result.Value = Value;
    } else {
      ++StoreWrites;
      Value = Write->Value;
      ++Revision;
      log("store: " + Value);
    }
    Result.Revision = Revision;
  } else if (std::holds_alternative<StoreLease>(Operation) &&
             isCallOf(StoreUser::Quarantine, Call.Call)) {
    Result.Status = StoreStatus::Done;
    Result.Lease = 1;
  } else {
    Result.Status = StoreStatus::Refused;
  }
  return Result;
}

bool Fleet::blocked(std::size_t Left, std::size_t Right) const {
  return Isolated.contains(Left) != Isolated.contains(Right);
}

std::pair<std::size_t, std::size_t> Fleet::pairOf(std::size_t Left,
                                                  std::size_t Right) {
  return std::minmax(Left, Right);
}

} // namespace hyssopford::test
