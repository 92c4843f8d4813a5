#include "allotment_site.hpp"

#include "hyssopford/core/node_core.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <numeric>

using namespace hyssopford;

namespace {

constexpr const char *Name = "growers";

RoutingConfig limits(double Rate, double Burst, std::size_t Others = 0) {
  RoutingConfig Config;
  Config.Version = 1;
  Config.Accounts.push_back({Name, {}, std::nullopt, Rate, Burst});
  for (std::size_t Index = 0; Index < Others; ++Index) {
    Config.Accounts.push_back(
        {"other-" + std::to_string(Index), {}, std::nullopt, Rate, Burst});
  }
  return Config;
}

/// Bound of requirement 5 for a window of 5 s.
double bound(double Rate, double Burst) {
  return (Rate * 5 + Burst) * 1.1 + 20;
}

/// Most of the demand arrives at few nodes.
std::vector<double> uneven(std::size_t Count) {
  std::vector<double> Weights;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Weights.push_back(1.0 / static_cast<double>(Index + 1));
  }
  return Weights;
}

} // namespace

// Guards against tokens that lie unused at some nodes while others refuse.
TEST_CASE("Uneven demand just below the limit is served", "[allotments]") {
  const auto Count =
      GENERATE(std::size_t{13}, std::size_t{58}, std::size_t{298});
  constexpr double Rate = 100.0;
  constexpr double Burst = 40.0;
  AllotmentSite Site(Count, limits(Rate, Burst, 7), 1);
  Site.startAll();
  Site.run(4s);
  const std::uint64_t Before = Site.messages();
  Site.run(2s);
  const std::uint64_t Idle = Site.messages() - Before;
  for (const ClientAccount &Each : Site.Config.Accounts) {
    Site.load(Each.Name, 0.9 * Rate, uneven(Count), 10s);
  }
  const std::uint64_t AtStart = Site.messages();
  Site.run(11s);
  std::size_t Started = 0;
  for (const auto &[Account, Times] : Site.Started) {
    Started += Times.size();
    CHECK(static_cast<double>(Site.mostStarted(Account, 5s)) <=
          bound(Rate, Burst));
  }
  WARN(Count << " nodes: " << Started << " of " << Started + Site.Refused.size()
             << " started, " << (Site.messages() - AtStart) / 10
             << " messages/s, idle " << Idle / 2 << "/s");
  CHECK(static_cast<double>(Site.Refused.size()) <=
        0.01 * static_cast<double>(Started));
}

// Guards against a limit that is not reached because tokens lapse.
TEST_CASE("Demand above the limit gets the whole limit", "[allotments]") {
  constexpr double Rate = 200.0;
  AllotmentSite Site(58, limits(Rate, 40.0), 2);
  Site.startAll();
  Site.run(4s);
  Site.load(Name, 3 * Rate, uneven(58), 10s);
  const std::uint64_t Before = Site.messages();
  Site.run(10s);
  WARN(Site.Started[Name].size()
       << " started, " << Site.Refused.size() << " refused, "
       << (Site.messages() - Before) / 10 << " messages/s");
  CHECK(static_cast<double>(Site.Started[Name].size()) >= 0.95 * Rate * 10);
  CHECK(static_cast<double>(Site.mostStarted(Name, 5s)) <= bound(Rate, 40.0));
}

// Guards against rates of several granters that add up to more than the limit.
TEST_CASE("The sum stays below the bound under faults", "[allotments]") {
  const auto Seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{25}));
  const double Rate = Seed % 2 == 0 ? 600.0 : 60.0;
  const double Burst = Seed % 3 == 0 ? 1.0 : 0.4 * Rate;
  constexpr std::size_t Count = 14;
  AllotmentSite Site(Count, limits(Rate, Burst), Seed);
  Site.Loss = Seed % 4 == 0 ? 0.2 : 0.0;
  Site.startAll();
  Site.run(1s);
  Site.load(Name, 3 * Rate, std::vector<double>(Count, 1.0), 40s);
  for (int Step = 0; Step < 20; ++Step) {
    // Half of the faults hit a granter or its replacement.
    const auto Granters =
        allotmentGranters(Site.Nodes[0].View, allotmentSlotOf(Name));
    const std::size_t Index =
        Site.Random.below(2) == 0
            ? Site.indexOf(Granters[Site.Random.below(Granters.size())])
            : Site.Random.below(Count);
    AllotmentSite::Node &Each = Site.Nodes[Index];
    switch (Site.Random.below(6)) {
    case 0:
      if (Each.Up) {
        Site.kill(Index);
        Site.publish(Index, MemberState::Dead, 5s, 8s);
      }
      break;
    case 1:
      if (Each.Up) {
        Site.kill(Index);
      }
      Site.start(Index);
      break;
    case 2:
      if (Each.Up && !Each.Frozen) {
        Site.leave(Index);
      }
      break;
    case 3:
      Each.Frozen ? Site.thaw(Index) : Site.freeze(Index);
      break;
    case 4: {
      std::vector<int> Groups;
      for (std::size_t Node = 0; Node < Count; ++Node) {
        Groups.push_back(static_cast<int>(Site.Random.below(3)));
      }
      Site.split(Groups);
      break;
    }
    default:
      Site.heal();
    }
    Site.run(Duration(Site.Random.below(4'000'000)));
  }
  INFO("seed " << Seed << ", " << Site.Started[Name].size() << " started");
  CHECK(static_cast<double>(Site.mostStarted(Name, 5s)) <= bound(Rate, Burst));
}

// Guards against callers that return at the stated time and are refused again,
// and against refusals that first ask the granter.
TEST_CASE("Retry-After is true and refusals need no message", "[allotments]") {
  AllotmentSite Site(13, limits(4.0, 2.0), 3);
  Site.startAll();
  Site.run(4s);
  for (int Index = 0; Index < 4; ++Index) {
    Site.request(5, Name);
    Site.run(10ms);
  }
  REQUIRE(Site.Started[Name].size() == 2);
  REQUIRE(Site.Refused.size() == 2);
  CHECK(Site.Refused[0].Reason == OutcomeReason::AllotmentExceeded);
  CHECK(Site.Refused[0].Result == Outcome::NotRun);
  const std::uint64_t Asked = Site.Nodes[5].System->counters().Asked;
  Site.request(5, Name);
  CHECK(Site.Refused.size() == 3);
  CHECK(Site.Nodes[5].System->counters().Asked == Asked);
  CHECK(Site.Refused[2].RetryAfter <= 250ms);
  Site.run(Site.Refused[2].RetryAfter);
  Site.request(5, Name);
  Site.run(10ms);
  CHECK(Site.Started[Name].size() == 3);
}

// Guards against refusals of calm traffic after a start, and against more than
// the burst.
TEST_CASE("Calm traffic is served soon after a start", "[allotments]") {
  constexpr double Rate = 100.0;
  AllotmentSite Site(58, limits(Rate, 50.0), 4);
  Site.startAll();
  const TimePoint Start = Site.Now;
  Site.load(Name, 0.5 * Rate, uneven(58), 3s);
  Site.run(3s);
  REQUIRE(!Site.Started[Name].empty());
  const Duration First = Site.Started[Name].front() - Start;
  WARN("first start after " << First / 1ms << " ms, " << Site.Refused.size()
                            << " refused");
  CHECK(First < 1s);
  Site.run(2s);
  const std::size_t Before = Site.Started[Name].size();
  for (int Index = 0; Index < 60; ++Index) {
    Site.request(7, Name);
  }
  Site.run(10ms);
  CHECK(Site.Started[Name].size() - Before >= 50);
  CHECK(Site.Started[Name].size() - Before <= 52);
}

// Guards against waiting requests that are lost with their granter, and against
// a replacement that grants nothing.
TEST_CASE("Another granter takes over", "[allotments]") {
  constexpr double Rate = 100.0;
  const bool IsGraceful = GENERATE(false, true);
  AllotmentSite Site(13, limits(Rate, 20.0), 5);
  Site.startAll();
  Site.run(4s);
  const auto Granters =
      allotmentGranters(Site.Nodes[0].View, allotmentSlotOf(Name));
  std::vector<double> Weights(13, 1.0);
  Weights[Site.indexOf(Granters[0])] = 0.0;
  Site.load(Name, 0.5 * Rate, Weights, 6s);
  Site.run(2s);
  REQUIRE(Site.Refused.empty());
  if (IsGraceful) {
    Site.leave(Site.indexOf(Granters[0]));
  } else {
    Site.kill(Site.indexOf(Granters[0]));
  }
  Site.run(5s);
  WARN((IsGraceful ? "leave: " : "kill: ")
       << Site.Refused.size() << " refused of 200");
  CHECK(Site.Refused.size() <= (IsGraceful ? 2U : 50U));
  for (const auto &Each : Site.Nodes) {
    CHECK((!Each.Up || Each.System->waiting() == 0));
  }
}

// Guards against a lowered limit that old tokens exceed.
TEST_CASE("A lowered limit binds at once", "[allotments]") {
  AllotmentSite Site(13, limits(400.0, 200.0), 6);
  Site.startAll();
  Site.run(4s);
  Site.load(Name, 600.0, uneven(13), 12s);
  Site.run(5s);
  for (std::size_t Index = 0; Index < 13; ++Index) {
    Site.adopt(Index, limits(20.0, 5.0));
  }
  Site.run(AllotmentHolder::TokenTime);
  Site.Started.clear();
  Site.run(7s);
  CHECK(static_cast<double>(Site.mostStarted(Name, 5s)) <= bound(20.0, 5.0));
  CHECK(Site.Started[Name].size() >= 130);
}

// Guards against unbounded memory for requests that wait for a granter.
TEST_CASE("Waiting requests are bounded and end in time", "[allotments]") {
  AllotmentSite Site(13, limits(400.0, 200.0), 7);
  Site.startAll();
  Site.run(4s);
  Site.Loss = 1.0;
  const auto Granters =
      allotmentGranters(Site.Nodes[0].View, allotmentSlotOf(Name));
  std::size_t Index = 0;
  while (std::count(Granters.begin(), Granters.end(),
                    Site.Nodes[Index].Run.Node) > 0) {
    ++Index;
  }
  for (int Request = 0; Request < 300; ++Request) {
    Site.request(Index, Name);
  }
  CHECK(Site.Nodes[Index].System->waiting() ==
        AllotmentHolder::MaxWaitingOfAccount);
  Site.run(AllotmentHolder::WaitLimit + 2ms);
  CHECK(Site.Nodes[Index].System->waiting() == 0);
  CHECK(Site.Refused.size() == 300);
}

// Guards against messages and waiting where no limit calls for them.
TEST_CASE("Without a limit nothing is sent", "[allotments]") {
  AllotmentSite Site(13, limits(0.0, 0.0), 8);
  Site.startAll();
  Site.load(Name, 100.0, uneven(13), 2s);
  Site.run(3s);
  CHECK(Site.Refused.empty());
  CHECK(Site.messages() == 0);
  AllotmentSystem Off(Site.Nodes[0].Run, AllotmentSettings{});
  Off.adopt(limits(1.0, 1.0));
  Actions Out;
  CallerRequest Request;
  Request.Account = Name;
  CHECK_FALSE(Off.acquire(Request, Route{}, Site.Now, Out));
  CHECK(Out.empty());
}

// Guards against a request that is started without a token, started twice, or
// lost between the systems of a node.
TEST_CASE("A node starts requests of limited accounts with tokens",
          "[allotments]") {
  NodeCoreSettings Settings;
  Settings.Address = "10.0.0.1:1";
  Settings.Run = Incarnation{1};
  Settings.Decisions.Allotments.Enabled = true;
  NodeCore Core(Settings);
  RoutingConfig Config = limits(1.0, 2.0);
  Route Matched;
  Matched.Name = "orders";
  Matched.Service = "orders";
  Matched.PathPrefix = "/";
  Config.Routes.push_back(Matched);
  Matched.Name = "status";
  Matched.PathPrefix = "/status";
  Matched.IsPublic = true;
  Config.Routes.push_back(Matched);
  Config.HasAccounts = true;
  Config.Accounts[0].Keys.push_back(KeyDigest{1});
  REQUIRE(Core.adopt(Config));
  TimePoint Now{1h};
  Actions Out;
  for (int Step = 0; Step < 6'000; ++Step, Now += 1ms) {
    Core.tick(Now, Out);
    for (const Action &Each : std::exchange(Out, {})) {
      const auto *Call = std::get_if<StoreCall>(&Each);
      if (Call != nullptr && isCallOf(StoreUser::Census, Call->Call)) {
        // The directory names nobody else.
        StoreResult Empty;
        Empty.Status = StoreStatus::Done;
        Core.handle(StoreReplied{Call->Call, Empty}, Now, Out);
      }
    }
  }
  Out.clear();
  for (std::uint64_t Id = 1; Id <= 4; ++Id) {
    CallerRequest Request;
    Request.Id = RequestId{Id};
    Request.Path = Id == 4 ? "/status" : "/";
    Request.Method = "GET";
    if (Id != 4) {
      Request.Credential = KeyDigest{1};
    }
    Core.handle(Request, Now, Out);
  }
  std::map<std::uint64_t, OutcomeReason> Reasons;
  for (const Action &Each : Out) {
    if (const auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
      CHECK(Reasons.emplace(Reply->Id.Value, Reply->Reason).second);
    }
  }
  // Without an upstream, started requests end with another reason.
  REQUIRE(Reasons.size() == 4);
  CHECK(Reasons[1] == OutcomeReason::NoUpstream);
  CHECK(Reasons[2] == OutcomeReason::NoUpstream);
  CHECK(Reasons[3] == OutcomeReason::AllotmentExceeded);
  CHECK(Reasons[4] == OutcomeReason::NoUpstream);
  CHECK(Core.allotments().counters().Messages == 0);
}
