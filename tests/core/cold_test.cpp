/// @file
/// @brief Tests of the limit of cold upstreams, in virtual time.
#include "hyssopford/core/cold/cold_returns.hpp"
#include "hyssopford/core/estimated_delay_policy.hpp"
#include "hyssopford/core/node_core.hpp"

#include "support/decisions.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

constexpr double ColdRate = 16.0;

RoutingConfig coldConfig(double Rate = ColdRate) {
  RoutingConfig Config;
  Config.Version = 1;
  Config.Routes.push_back(seatsRoute());
  ServiceSettings Service;
  Service.Name = "seats";
  Service.ColdTime = 3s;
  Service.ColdRate = Rate;
  Config.Services.push_back(Service);
  return Config;
}

/// An owner whose upstream answers after 5 ms, and its peers.
struct ColdFixture {
  NodeCoreSettings Settings;
  std::unique_ptr<NodeCore> Core;
  Duration Now{0};
  std::uint64_t Sequence = 0;
  std::vector<Duration> Starts;
  std::multimap<Duration, AttemptId> Answers;
  std::map<OutcomeReason, int> Refusals;
  std::map<Priority, int> StartsOf;
  /// Stated by the next health and speed answers.
  Duration Stated{0};
  std::uint32_t Slowness = 0;

  explicit ColdFixture(bool Enabled = true, double Rate = ColdRate) {
    Settings.Address = "127.0.0.1:1";
    Settings.Run = Incarnation{1};
    Settings.Decisions.Cold.Enabled = Enabled;
    Settings.Decisions.Admission.AdaptiveLimit = false;
    Settings.Decisions.Admission.ColdRamp = Duration{0};
    Settings.Decisions.Admission.SlowdownThreshold = 1.5;
    Core = std::make_unique<NodeCore>(Settings);
    Core->adopt(coldConfig(Rate));
  }

  void handle(const Event &Input) {
    Actions Out;
    Core->handle(Input, at(Now), Out);
    run(Out);
  }

  void run(const Actions &Out) {
    for (const Action &Each : Out) {
      if (const auto *Start = std::get_if<ForwardToUpstream>(&Each)) {
        Starts.push_back(Now);
        ++StartsOf[Start->Class];
        Answers.emplace(Now + 5ms, Start->Attempt);
      } else if (const auto *Probe = std::get_if<ProbeUpstream>(&Each)) {
        Starts.push_back(Now);
        handle(ProbeFinished{true, 1ms, Probe->Purpose, Slowness, Stated});
      }
    }
    for (const auto &Each : messages<DispatchReply>(Out)) {
      ++Refusals[Each.Message.Reason];
    }
  }

  void announce(Duration ColdTime, bool IsNewRun) {
    handle(UpstreamAnnounced{"seats", 9,
                             ColdTime > Duration{0} ? UpstreamState::Cold
                                                    : UpstreamState::Serving,
                             ColdTime, IsNewRun});
  }

  void offer(Priority Class = Priority::Normal, Duration Remaining = 1s) {
    Dispatch Attempt = dispatchOf(++Sequence, Class, Remaining);
    Attempt.Owner = Core->self().Run;
    Attempt.Fingerprint = Sequence;
    handle(PeerMessageReceived{nodeRun(9), Attempt});
  }

  /// Offers the given number of attempts each millisecond.
  void pass(Duration Length, int PerMillisecond = 0) {
    for (const Duration End = Now + Length; Now < End; Now += 1ms) {
      for (int Count = 0; Count < PerMillisecond; ++Count) {
        offer(Count % 2 == 0 ? Priority::High : Priority::Normal);
      }
      while (!Answers.empty() && Answers.begin()->first <= Now) {
        UpstreamAnswered Answer{Answers.begin()->second, 200, Payload("ok")};
        Answer.SlownessPercent = Slowness;
        Answers.erase(Answers.begin());
        handle(Answer);
      }
      Actions Out;
      Core->tick(at(Now), Out);
      run(Out);
    }
  }

  /// Most starts and probes in any second from a time on.
  std::size_t peak(Duration From, Duration To) const {
    std::size_t Most = 0;
    for (auto First = Starts.begin(); First != Starts.end(); ++First) {
      if (*First < From || *First >= To) {
        continue;
      }
      const auto End =
          std::lower_bound(First, Starts.end(), std::min(*First + 1s, To));
      Most = std::max(Most, static_cast<std::size_t>(End - First));
    }
    return Most;
  }
};

} // namespace

TEST_CASE("a cold upstream never gets more than its rate allows",
          "[core][cold]") {
  // Guards against a crash of the upstream, whichever way the node learns that
  // it is cold, under bursts and with probes.
  ColdFixture Test;
  Test.Slowness = GENERATE(0U, 100U);
  const int Way = GENERATE(0, 1, 2, 3, 4);
  CAPTURE(Way, Test.Slowness);
  Test.announce(0ms, false);
  Test.pass(500ms, 1);
  Duration From = Test.Now;
  if (Way == 0) {
    Test.announce(3s, false);
  } else if (Way == 1) {
    Test.announce(0ms, true);
  } else if (Way == 2) {
    Test.handle(UpstreamGone{true});
    Test.announce(0ms, true);
  } else {
    Test.handle(ProbeFinished{
        true, 1ms, Way == 3 ? ProbePurpose::Health : ProbePurpose::Speed,
        Test.Slowness, 3s});
  }
  for (int Burst = 0; Burst < 5; ++Burst) {
    Test.pass(20ms, 20);
    Test.pass(580ms, Burst % 2);
  }
  // Starts and health probes of one second.
  const std::size_t Peak = Test.peak(From, From + 3s);
  CHECK(Peak <= static_cast<std::size_t>(ColdRate * 1.5 + 8));
  CHECK(Peak >= static_cast<std::size_t>(ColdRate) - 1);
  CHECK(Test.Refusals[OutcomeReason::ColdLimit] > 0);
  // The limit ends with the cold time.
  Test.pass(200ms);
  Test.Starts.clear();
  From = Test.Now;
  Test.pass(1s, 1);
  CHECK(Test.Starts.size() > 500);
}

TEST_CASE("starts before an upstream became cold count in its first second",
          "[core][cold]") {
  // Guards against twice the rate in a window that includes both.
  ColdFixture Test;
  Test.announce(0ms, false);
  Test.pass(100ms, 1);
  const std::size_t Before = Test.Starts.size();
  REQUIRE(Before > 16);
  Test.announce(3s, false);
  Test.pass(700ms, 1);
  CHECK(Test.Starts.size() == Before);
}

TEST_CASE("attempts wait for a cold upstream while they can end in time",
          "[core][cold]") {
  // Guards against refusing work that the limit has room for, and against
  // attempts that expire in the queue without a reason.
  ColdFixture Test;
  Test.announce(3s, true);
  for (int Count = 0; Count < 16; ++Count) {
    Test.offer();
  }
  CHECK(Test.Starts.size() == 9);
  Test.pass(20ms);
  CHECK(Test.Starts.size() == 16);
  Test.offer(Priority::Normal, 500ms);
  CHECK(Test.Refusals[OutcomeReason::ColdLimit] == 1);
  Test.offer(Priority::Normal, 2s);
  CHECK(Test.Core->owner().load().Queued == 1);
  CHECK(Test.Core->owner().load().ColdRate == ColdRate);
  CHECK(Test.Core->owner().load().ColdTime > 2s);
  CHECK(Test.Core->owner().coldHandBacks() == 1);
  Test.pass(1s);
  CHECK(Test.Starts.size() == 17);
}

TEST_CASE("a queue that a cold upstream cannot serve in time is handed back",
          "[core][cold]") {
  // Guards against attempts that wait until their deadline when the upstream
  // becomes cold in the middle of traffic.
  ColdFixture Test;
  Test.announce(0ms, false);
  for (int Count = 0; Count < 60; ++Count) {
    Test.offer(Priority::Normal, 800ms);
  }
  Test.pass(10ms);
  REQUIRE(Test.Core->owner().load().Queued > 10);
  Test.handle(ProbeFinished{true, 1ms, ProbePurpose::Health, 0, 3s});
  CHECK(Test.Core->owner().load().Queued == 0);
  CHECK(Test.Refusals[OutcomeReason::ColdLimit] > 10);
}

TEST_CASE("urgent classes go first at a cold upstream", "[core][cold]") {
  // Guards against a return after the loss of everything in which the room of
  // cold upstreams goes to less urgent requests.
  ColdFixture Test;
  Test.announce(3s, true);
  Test.pass(500ms, 2);
  // The first starts find room for both classes.
  Test.StartsOf.clear();
  Test.pass(2s, 2);
  CHECK(Test.StartsOf[Priority::High] >= 3 * Test.StartsOf[Priority::Normal]);
}

TEST_CASE("without the setting or a rate nothing is limited", "[core][cold]") {
  // Guards deployments that do not state a cold rate.
  const bool Enabled = GENERATE(false, true);
  ColdFixture Test(Enabled, Enabled ? 0.0 : ColdRate);
  Test.announce(3s, true);
  Test.pass(500ms, 1);
  CHECK(Test.Starts.size() >= 490);
  CHECK(Test.Core->owner().load().ColdRate == 0.0);
}

TEST_CASE("ingress nodes prefer upstreams that are not cold", "[core][cold]") {
  // Guards against a sample of cold candidates that hides a free one, and
  // against sending all requests to one cold upstream.
  std::vector<CandidateView> Views(12);
  for (std::size_t Index = 0; Index < Views.size(); ++Index) {
    Views[Index].Owner = nodeRun(Index + 1);
    Views[Index].Report = LoadReport{1, 0, 0, 4, 5ms};
    Views[Index].Report.ColdRate = ColdRate;
    Views[Index].Report.ColdTime = 3s;
    Views[Index].ReportedAt = at(1s);
  }
  SeededRandomSource Random(1);
  EstimatedDelayPolicy Policy{RoutingSettings{}};
  const std::vector<Duration> RoundTrips{1ms};
  const auto Choose = [&](Duration Now) {
    return Policy.choose(
        Selection{Views, {}, RoundTrips, ServiceMean{0.1, 5'000}, at(Now)},
        Random);
  };
  SECTION("a warm one is found") {
    Views[7].Report.ColdRate = 0.0;
    for (int Round = 0; Round < 50; ++Round) {
      CHECK(Choose(1s) == std::optional<std::size_t>(7));
    }
  }
  SECTION("requests spread over cold ones") {
    for (int Round = 0; Round < 48; ++Round) {
      ++Views[*Choose(1s)].SentSince;
    }
    for (const CandidateView &Each : Views) {
      CHECK(Each.SentSince >= 3);
      CHECK(Each.SentSince <= 5);
    }
  }
  SECTION("a report counts until the stated end") {
    CHECK(Views[0].coldRate(at(3999ms)) == ColdRate);
    CHECK(Views[0].coldRate(at(4s)) == 0.0);
  }
}

TEST_CASE("callers refused by cold upstreams return one after another",
          "[core][cold]") {
  // Guards against all refused callers returning together.
  std::vector<CandidateView> Views(2);
  for (CandidateView &Each : Views) {
    Each.Report = LoadReport{1, 0, 0, 4, 5ms};
    Each.Report.ColdRate = 10.0;
    Each.Report.ColdTime = 1s;
    Each.ReportedAt = at(0ms);
  }
  ColdReturns Returns;
  // 4 upstreams with 10 starts a second for 2 nodes.
  CHECK(Returns.reserve(Views, 4, 2, at(0ms)) == 50ms);
  CHECK(Returns.reserve(Views, 4, 2, at(10ms)) == 90ms);
  for (int Count = 0; Count < 100; ++Count) {
    CHECK(Returns.reserve(Views, 4, 2, at(10ms)) <= 990ms);
  }
  Views[1].Report.ColdRate = 0.0;
  CHECK(Returns.reserve(Views, 4, 2, at(10ms)) == 0ms);
}
