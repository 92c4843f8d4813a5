#include "site.hpp"

#include "hyssopford/core/baseline_policies.hpp"

#include <algorithm>
#include <limits>

namespace hyssopford::experiment {

namespace {

constexpr Duration StragglerTime = 300ms;
constexpr Duration StragglerPeriod = 1s;
constexpr double StragglerSlowdown = 10.0;
constexpr Duration ColdTime = 1s;
constexpr Duration ColdStep = 50ms;
constexpr double ColdSlowdown = 5.0;

/// Knows the true state of every upstream at zero delay.
class OraclePolicy final : public SelectionPolicy {
public:
  OraclePolicy(Site &Observed, const SiteNode &At)
      : Target(Observed), Ingress(At) {}

  std::optional<std::size_t> choose(const Selection &Input,
                                    RandomSource &Random) override {
    std::optional<std::size_t> Best;
    double BestDelay = std::numeric_limits<double>::max();
    const std::size_t Count = Input.Candidates.size();
    const std::size_t Start = Count == 0 ? 0 : Random.below(Count);
    for (std::size_t Step = 0; Step < Count; ++Step) {
      const std::size_t Index = (Start + Step) % Count;
      const double Expected = delay(Input.Candidates[Index].Owner.Node);
      if (!Input.excluded(Index) && Expected < BestDelay) {
        BestDelay = Expected;
        Best = Index;
      }
    }
    return Best;
  }

private:
  double delay(NodeId Id) const {
    const SiteNode &Owner = Target.node(Id);
    if (Owner.Dead || Owner.Upstream->failing()) {
      return std::numeric_limits<double>::max() / 2.0;
    }
    const Deployment &Plan = Target.cell().Site;
    const LoadReport Load = Owner.Owner.load();
    const double Slots = std::min<double>(Load.Limit, Owner.Upstream->cores());
    const double Service = static_cast<double>(Plan.ServiceTime.count()) *
                           Owner.Upstream->slowdown();
    const double Ahead = Load.InFlight + Load.Queued + Owner.Approaching + 1.0;
    const double Wait = std::max(0.0, Ahead - Slots) * Service / Slots;
    const bool SameDomain = Owner.Domain == Ingress.Domain;
    const Duration RoundTrip =
        &Owner == &Ingress
            ? Duration{0}
            : (SameDomain ? Plan.LocalRoundTrip : Plan.RoundTrip);
    return Wait + Service + static_cast<double>(RoundTrip.count());
  }

  Site &Target;
  const SiteNode &Ingress;
};

/// Instance that plays the faulty part.
SiteNode &victim(Site &Target, std::size_t Index = 0) {
  return Target.nodeAt(Index % Target.cell().Site.Instances);
}

void scheduleStragglers(Site &Target) {
  const Duration Length = Target.cell().Site.Length;
  std::size_t Index = 0;
  for (Duration Start = WarmUp; Start < Length; Start += StragglerPeriod) {
    SiteNode &Slow = victim(Target, Index++);
    const double Cores = Target.cell().Site.Slots;
    Target.time().add(TimePoint(Start), [&Slow, Cores] {
      Slow.Upstream->setSpeed(StragglerSlowdown, Cores);
    });
    Target.time().add(TimePoint(Start + StragglerTime),
                      [&Slow, Cores] { Slow.Upstream->setSpeed(1.0, Cores); });
  }
}

void scheduleColdStart(Site &Target, TimePoint Start) {
  // The last node holds the instance that is not planned.
  SiteNode &Cold = Target.nodeAt(Target.cell().Site.Nodes);
  const double Cores = Target.cell().Site.Slots;
  Target.time().add(
      Start, [&Target, &Cold] { Target.announce(Cold, UpstreamState::Cold); });
  for (Duration Age{0}; Age <= ColdTime; Age += ColdStep) {
    const double Left = 1.0 - static_cast<double>(Age.count()) /
                                  static_cast<double>(ColdTime.count());
    Target.time().add(Start + Age, [&Cold, Cores, Left] {
      Cold.Upstream->setSpeed(1.0 + (ColdSlowdown - 1.0) * Left, Cores);
    });
  }
}

void scheduleDomainLoss(Site &Target, TimePoint Start) {
  Target.time().add(Start, [&Target] {
    const Deployment &Plan = Target.cell().Site;
    for (std::size_t Index = 0; Index < Plan.Nodes; ++Index) {
      if (Target.nodeAt(Index).Domain == Plan.Domains - 1) {
        Target.kill(Target.nodeAt(Index));
      }
    }
  });
}

} // namespace

void scheduleCondition(Site &Target) {
  const Deployment &Plan = Target.cell().Site;
  const TimePoint Quarter(Plan.Length / 4);
  const TimePoint ThreeQuarters(Plan.Length * 3 / 4);
  EventQueue &Time = Target.time();
  SiteNode &Victim = victim(Target);
  const double Cores = Plan.Slots;
  switch (Target.cell().Case) {
  case Condition::Calm:
    break;
  case Condition::Straggler:
    scheduleStragglers(Target);
    break;
  case Condition::NoisyNeighbour:
    Time.add(Quarter,
             [&Victim, Cores] { Victim.Upstream->setSpeed(1.0, Cores / 2.0); });
    Time.add(ThreeQuarters,
             [&Victim, Cores] { Victim.Upstream->setSpeed(1.0, Cores); });
    break;
  case Condition::FailFast:
    Time.add(Quarter, [&Victim] { Victim.Upstream->setFailing(1); });
    Time.add(ThreeQuarters, [&Victim] { Victim.Upstream->setFailing(0); });
    break;
  case Condition::Flaky:
    Time.add(Quarter, [&Victim] { Victim.Upstream->setFailing(3); });
    Time.add(ThreeQuarters, [&Victim] { Victim.Upstream->setFailing(0); });
    break;
  case Condition::ColdStart:
    scheduleColdStart(Target, Quarter);
    break;
  case Condition::Drain:
    Time.add(Quarter, [&Target, &Victim] {
      Target.announce(Victim, UpstreamState::Draining);
    });
    break;
  case Condition::DomainLoss:
    scheduleDomainLoss(Target, Quarter);
    break;
  case Condition::Reports5:
    Target.delayReports(5ms);
    break;
  case Condition::Reports50:
    Target.delayReports(50ms);
    break;
  case Condition::Reports500:
    Target.delayReports(500ms);
    break;
  }
}

std::unique_ptr<SelectionPolicy> makePolicy(Site &Target, SiteNode &At,
                                            const std::string &Name) {
  if (Name == "random") {
    return std::make_unique<RandomPolicy>();
  }
  if (Name == "round-robin") {
    return std::make_unique<RoundRobinPolicy>();
  }
  if (Name == "least-outstanding") {
    return std::make_unique<LeastOutstandingPolicy>();
  }
  if (Name == "least-reported") {
    return std::make_unique<LeastReportedPolicy>();
  }
  if (Name == "two-choices") {
    return std::make_unique<TwoChoicesPolicy>();
  }
  if (Name == "oracle") {
    return std::make_unique<OraclePolicy>(Target, At);
  }
  return nullptr;
}

} // namespace hyssopford::experiment
