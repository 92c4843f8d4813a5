#include "allotment_site.hpp"

#include <algorithm>
#include <cmath>

namespace hyssopford {

AllotmentSite::AllotmentSite(std::size_t Count, RoutingConfig Limits,
                             std::uint64_t Seed)
    : Nodes(Count), Config(std::move(Limits)), Random(Seed) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Nodes[Index].Run.Node = nodeIdOf(addressOf(Index));
  }
}

void AllotmentSite::startAll() {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    create(Index);
  }
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    introduce(Index);
  }
}

void AllotmentSite::start(std::size_t Index) {
  create(Index);
  introduce(Index);
  publish(Index, MemberState::Alive, 0ms, 2s);
}

void AllotmentSite::create(std::size_t Index) {
  Node &Own = Nodes[Index];
  ++Own.Run.Run.Value;
  Own.System =
      std::make_unique<AllotmentSystem>(Own.Run, AllotmentSettings{true});
  Own.Up = true;
  Own.Frozen = false;
  Own.Delayed.clear();
}

void AllotmentSite::introduce(std::size_t Index) {
  Node &Own = Nodes[Index];
  Own.View.clear();
  ++Own.Revision;
  for (std::size_t Peer = 0; Peer < Nodes.size(); ++Peer) {
    if (Nodes[Peer].Up && Nodes[Peer].Group == Own.Group) {
      Own.View[Nodes[Peer].Run.Node].Id = Nodes[Peer].Run;
    }
  }
  input(Index, [this](Node &Each, Actions &) { Each.System->adopt(Config); });
  const auto Link = [this](std::size_t At, NodeId To) {
    input(At, [this, To](Node &Each, Actions &Out) {
      Each.System->linkUp(To, Now, Out);
    });
  };
  for (std::size_t Peer = 0; Peer < Nodes.size(); ++Peer) {
    if (Peer != Index && Nodes[Peer].Up) {
      Link(Peer, Own.Run.Node);
      Link(Index, Nodes[Peer].Run.Node);
    }
  }
}

void AllotmentSite::kill(std::size_t Index) {
  EndedMessages += Nodes[Index].System->counters().Messages;
  Nodes[Index].Up = false;
  Nodes[Index].ListedUntil = Now + DirectorySystem::LeaseDuration;
  for (std::size_t Peer = 0; Peer < Nodes.size(); ++Peer) {
    if (Nodes[Peer].Up) {
      input(Peer,
            [this, Lost = Nodes[Index].Run.Node](Node &Each, Actions &Out) {
              Each.System->linkDown(Lost, Now, Out);
            });
    }
  }
}

void AllotmentSite::leave(std::size_t Index) {
  input(Index, [](Node &Each, Actions &Out) { Each.System->leave(Out); });
  publish(Index, MemberState::Leaving, 1ms, 500ms);
  at(Now + 1s, [this, Index] { kill(Index); });
}

void AllotmentSite::thaw(std::size_t Index) {
  Nodes[Index].Frozen = false;
  for (const auto &Work : std::exchange(Nodes[Index].Delayed, {})) {
    Work();
  }
}

void AllotmentSite::adopt(std::size_t Index, const RoutingConfig &Limits) {
  input(Index, [Limits](Node &Each, Actions &) { Each.System->adopt(Limits); });
}

void AllotmentSite::split(const std::vector<int> &Groups) {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    Nodes[Index].Group = Groups[Index];
  }
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    publish(Index, MemberState::Dead, 5s, 8s, true);
  }
}

void AllotmentSite::heal() {
  for (Node &Each : Nodes) {
    Each.Group = 0;
  }
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (Nodes[Index].Up) {
      publish(Index, MemberState::Alive, 0s, 3s);
    }
  }
}

void AllotmentSite::publish(std::size_t Subject, MemberState State,
                            Duration Earliest, Duration Latest,
                            bool OnlyIfSplit) {
  for (std::size_t Peer = 0; Peer < Nodes.size(); ++Peer) {
    const auto Spread = static_cast<std::uint64_t>((Latest - Earliest).count());
    const Duration Delay = Earliest + Duration(Random.below(Spread + 1));
    at(Now + Delay, [=, this, Run = Nodes[Subject].Run] {
      if (Peer == Subject || !Nodes[Peer].Up ||
          (State == MemberState::Alive && Nodes[Subject].Run != Run) ||
          (OnlyIfSplit && Nodes[Peer].Group == Nodes[Subject].Group)) {
        return;
      }
      input(Peer, [=](Node &Each, Actions &) {
        Each.View[Run.Node].Id = Run;
        Each.View[Run.Node].State = State;
        ++Each.Revision;
      });
    });
  }
}

void AllotmentSite::input(std::size_t Index,
                          const std::function<void(Node &, Actions &)> &Work) {
  Node &Own = Nodes[Index];
  if (!Own.Up) {
    return;
  }
  if (Own.Frozen) {
    Own.Delayed.push_back([=, this] { input(Index, Work); });
    return;
  }
  Actions Out;
  Work(Own, Out);
  Own.System->sync({Own.View, Own.Revision, true}, Now, Out);
  carryOut(Index, Out);
}

void AllotmentSite::carryOut(std::size_t Index, Actions &Out) {
  for (const Action &Each : Out) {
    if (const auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
      Refused.push_back(*Reply);
    } else if (const auto *Message = std::get_if<SendToPeer>(&Each)) {
      send(Index, *Message);
    } else if (const auto *Call = std::get_if<StoreCall>(&Each)) {
      answerStore(Index, Call->Call);
    }
  }
  for (const AllottedRequest &Each : Nodes[Index].System->takeAllotted()) {
    Started[Each.Request.Account].push_back(Now);
  }
}

void AllotmentSite::answerStore(std::size_t Index, std::uint64_t Call) {
  ++StoreCalls;
  StoreResult Result;
  if (!StoreDown) {
    Result.Status = StoreStatus::Done;
    const std::size_t Writers =
        std::min<std::size_t>(Nodes.size(), DirectorySystem::Slots);
    for (std::size_t Writer = 0; Writer < Writers; ++Writer) {
      const Node &Each = Nodes[Writer];
      if (Each.Up || Each.ListedUntil > Now) {
        Result.Values.push_back(renderDirectoryValue(
            {{addressOf(Writer)}, Each.System->memberCount(Now)}));
      }
    }
  }
  at(Now + 4ms, [=, this, Run = Nodes[Index].Run] {
    if (Nodes[Index].Run == Run) {
      input(Index, [=, this](Node &Each, Actions &Out) {
        Each.System->receive(StoreReplied{Call, Result}, Now, Out);
      });
    }
  });
}

void AllotmentSite::send(std::size_t From, const SendToPeer &Message) {
  const std::size_t To = indexOf(Message.To);
  if (Nodes[From].Group != Nodes[To].Group ||
      (From != To && uniform() < Loss)) {
    return;
  }
  at(Now + (From == To ? 0ms : 1ms),
     [=, this, Run = Nodes[From].Run, Target = Nodes[To].Run] {
       if (Nodes[To].Run != Target) {
         return;
       }
       input(To, [=, this](Node &Each, Actions &Out) {
         std::visit(
             [&](const auto &Content) {
               if constexpr (requires {
                               Each.System->receive(Run, Content, Now, Out);
                             }) {
                 Each.System->receive(Run, Content, Now, Out);
               }
             },
             Message.Message);
       });
     });
}

std::size_t AllotmentSite::indexOf(NodeId Id) const {
  const auto Found =
      std::find_if(Nodes.begin(), Nodes.end(),
                   [&](const Node &Each) { return Each.Run.Node == Id; });
  return static_cast<std::size_t>(Found - Nodes.begin());
}

void AllotmentSite::run(Duration Time) {
  for (const TimePoint End = Now + Time; Now < End; Now += 1ms) {
    while (!Queue.empty() && Queue.begin()->first.first <= Now) {
      const auto Work = std::move(Queue.begin()->second);
      Queue.erase(Queue.begin());
      Work();
    }
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      Node &Own = Nodes[Index];
      if (!Own.Up || Own.Frozen) {
        continue;
      }
      const auto Wakeup = Own.System->nextWakeup();
      if (Wakeup && *Wakeup <= Now) {
        input(Index, [this](Node &Each, Actions &Out) {
          Each.System->tick(Now, Out);
        });
      }
    }
  }
}

void AllotmentSite::request(std::size_t Index, const std::string &Account) {
  CallerRequest Request;
  Request.Id = RequestId{NextRequest++};
  Request.Account = Account;
  Route Matched;
  Matched.Deadline = 2s;
  input(Index, [=, this](Node &Each, Actions &Out) {
    if (!Each.System->acquire(Request, Matched, Now, Out)) {
      Started[Account].push_back(Now);
    }
  });
}

void AllotmentSite::load(const std::string &Account, double PerSecond,
                         const std::vector<double> &Weights, Duration Time) {
  double Sum = 0.0;
  for (const double Each : Weights) {
    Sum += Each;
  }
  const TimePoint End = Now + Time;
  TimePoint Next = Now;
  while (Next < End) {
    Next += Duration(static_cast<std::int64_t>(-std::log(1.0 - uniform()) /
                                               PerSecond * 1e6));
    double Drawn = uniform() * Sum;
    std::size_t Index = 0;
    while (Index + 1 < Weights.size() && Drawn >= Weights[Index]) {
      Drawn -= Weights[Index++];
    }
    at(Next, [=, this] { request(Index, Account); });
  }
}

std::size_t AllotmentSite::mostStarted(const std::string &Account,
                                       Duration Window) const {
  const auto Found = Started.find(Account);
  std::size_t Most = 0;
  if (Found == Started.end()) {
    return Most;
  }
  const std::vector<TimePoint> &Times = Found->second;
  for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
    while (Times[First] + Window <= Times[Last]) {
      ++First;
    }
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

std::uint64_t AllotmentSite::messages() const {
  std::uint64_t Sum = EndedMessages;
  for (const Node &Each : Nodes) {
    Sum += Each.Up ? Each.System->counters().Messages : 0;
  }
  return Sum;
}

} // namespace hyssopford
