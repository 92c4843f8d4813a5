/// @file
/// @brief Processor time of one choice and of one request at the ingress.
#include "hyssopford/core/estimated_delay_policy.hpp"
#include "hyssopford/core/ingress_system.hpp"

#include <benchmark/benchmark.h>

#include <vector>

namespace {

using namespace hyssopford;

void chooseAmong(benchmark::State &State) {
  std::vector<CandidateView> Views(static_cast<std::size_t>(State.range(0)));
  for (std::size_t Index = 0; Index < Views.size(); ++Index) {
    Views[Index].Owner.Node = NodeId{Index + 1};
    Views[Index].Report = LoadReport{1, 3, 0, 10, 8ms, 0ms};
  }
  const std::vector<Duration> RoundTrips{500us};
  const Selection Input{
      Views, {}, RoundTrips, {0.5, 8000.0, 9000.0, 1.0}, TimePoint(5ms)};
  EstimatedDelayPolicy Policy{tailProfile().Routing};
  SeededRandomSource Random(1);
  for (auto Step : State) {
    benchmark::DoNotOptimize(Policy.choose(Input, Random));
  }
}
BENCHMARK(chooseAmong)->Arg(8)->Arg(64)->Arg(1100);

/// Start, dispatch and answer of one request in a site of the given size.
void requestAmong(benchmark::State &State) {
  SeededRandomSource Random(1);
  IngressSystem Ingress({NodeId{9999}, Incarnation{1}}, Random,
                        tailProfile().Routing, "r1");
  std::vector<Candidate> All;
  for (std::int64_t Node = 1; Node <= State.range(0); ++Node) {
    Candidate Each;
    Each.Owner =
        NodeRun{NodeId{static_cast<std::uint64_t>(Node)}, Incarnation{1}};
    Each.Service = "service";
    Each.FailureDomain = Node % 2 == 0 ? "d1" : "d2";
    Each.Region = "r1";
    All.push_back(Each);
  }
  Ingress.setCandidates(All);
  Actions Out;
  for (const Candidate &Each : All) {
    Ingress.linkUp(Each.Owner, TimePoint{}, Out);
  }
  Route Matched;
  Matched.Service = "service";
  CallerRequest Request;
  Request.Method = "GET";
  TimePoint Now;
  DispatchReply Reply;
  Reply.Result = Outcome::Answered;
  Reply.Status = 200;
  Reply.Held = 8ms;
  Reply.Load = LoadReport{0, 3, 0, 10, 8ms, 0ms};
  for (auto Step : State) {
    Out.clear();
    ++Request.Id.Value;
    Ingress.start(Request, Matched, Now, Out);
    const auto &Frame = std::get<SendToPeer>(Out.front());
    const auto &Sent = std::get<Dispatch>(Frame.Message);
    const NodeRun Owner{Frame.To, Sent.Owner};
    Reply.Attempt = Sent.Attempt;
    ++Reply.Load.Sequence;
    Now += 9ms;
    Ingress.finishAttempt(Owner, Reply, Now, Out);
  }
}
BENCHMARK(requestAmong)->Arg(8)->Arg(64)->Arg(1100);

} // namespace

BENCHMARK_MAIN();
