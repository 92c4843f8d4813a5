#include "fake_upstream.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopford::experiment {

namespace {

/// Time until a fail-fast upstream fails a request.
constexpr Duration FailTime = 200us;
/// Work below this is done; it covers the rounding of times to 1 µs.
constexpr double Epsilon = 0.5;

} // namespace

FakeUpstream::FakeUpstream(EventQueue &Queue, std::uint32_t Slots, Sink Ended)
    : Time(Queue), Done(std::move(Ended)), Cores(Slots) {}

void FakeUpstream::start(AttemptId Attempt, Duration Work) {
  if (failing() && ++Starts % FailEvery == 0) {
    failFast(Attempt);
    return;
  }
  advance();
  Jobs.push_back(
      Job{Attempt, false, static_cast<double>(Work.count()), Time.now()});
  schedule();
}

void FakeUpstream::startProbe(Duration Work) {
  if (FailEvery == 1) {
    Time.add(Time.now() + FailTime, [this] {
      Done(ProbeFinished{false, FailTime});
    });
    return;
  }
  advance();
  Jobs.push_back(
      Job{AttemptId{}, true, static_cast<double>(Work.count()), Time.now()});
  schedule();
}

void FakeUpstream::cancel(AttemptId Attempt) {
  advance();
  std::erase_if(Jobs, [&](const Job &Each) {
    return !Each.IsProbe && Each.Attempt == Attempt;
  });
  schedule();
}

void FakeUpstream::setSpeed(double SlowFactor, double CoreCount) {
  advance();
  Slow = SlowFactor;
  Cores = CoreCount;
  schedule();
}

void FakeUpstream::failFast(AttemptId Attempt) {
  // The three kinds of failure take turns.
  Event End = UpstreamFailed{Attempt, OutcomeReason::ConnectFailed, false};
  switch (Failures++ % 3) {
  case 1:
    End = UpstreamFailed{Attempt, OutcomeReason::UpstreamClosed, true};
    break;
  case 2:
    End = UpstreamAnswered{Attempt, 500, Payload(), false};
    break;
  default:
    break;
  }
  Time.add(Time.now() + FailTime, [this, End] { Done(End); });
}

void FakeUpstream::advance() {
  const auto Elapsed = static_cast<double>((Time.now() - Advanced).count());
  const double Progress = Elapsed * rate();
  for (Job &Each : Jobs) {
    Each.Left -= Progress;
  }
  Advanced = Time.now();
}

void FakeUpstream::schedule() {
  const std::uint64_t Scheduled = ++Generation;
  if (Jobs.empty()) {
    return;
  }
  const auto Next = std::min_element(
      Jobs.begin(), Jobs.end(),
      [](const Job &Left, const Job &Right) { return Left.Left < Right.Left; });
  const Duration Wait(
      static_cast<std::int64_t>(std::ceil(std::max(Next->Left, 0.0) / rate())));
  Time.add(Time.now() + Wait, [this, Scheduled] { finishDue(Scheduled); });
}

void FakeUpstream::finishDue(std::uint64_t Scheduled) {
  if (Scheduled != Generation) {
    return;
  }
  advance();
  std::vector<Job> Ended;
  for (const Job &Each : Jobs) {
    if (Each.Left <= Epsilon) {
      Ended.push_back(Each);
    }
  }
  std::erase_if(Jobs, [](const Job &Each) { return Each.Left <= Epsilon; });
  schedule();
  for (const Job &Each : Ended) {
    if (Each.IsProbe) {
      Done(ProbeFinished{true, Time.now() - Each.Started});
    } else {
      Done(UpstreamAnswered{Each.Attempt, 200, Payload(), false});
    }
  }
}

double FakeUpstream::rate() const {
  const double Share =
      Jobs.empty() ? 1.0
                   : std::min(1.0, Cores / static_cast<double>(Jobs.size()));
  return Share / Slow;
}

} // namespace hyssopford::experiment
