#include "scenario.hpp"

namespace hyssopford::experiment {

std::vector<Deployment> deployments() {
  Deployment A;
  A.Name = "A";
  A.Instances = 6;
  A.Slots = 10;
  A.Nodes = 13;
  A.RoundTrip = 1500us;
  A.Length = 8s;
  A.Settings = tailProfile();
  Deployment B;
  B.Name = "B";
  B.Instances = 5;
  B.Slots = 6;
  B.Nodes = 11;
  B.RoundTrip = 500us;
  B.Length = 14s;
  B.Settings = costProfile();
  return {A, B};
}

Deployment largeDeployment() {
  Deployment Large;
  Large.Name = "large";
  Large.Domains = 4;
  Large.Instances = 96;
  Large.Slots = 6;
  Large.Nodes = 96;
  Large.RoundTrip = 1000us;
  Large.Length = 3s;
  Large.Settings = tailProfile();
  return Large;
}

std::vector<Condition> conditions() {
  return {
      Condition::Calm,      Condition::Straggler,  Condition::NoisyNeighbour,
      Condition::FailFast,  Condition::Flaky,      Condition::ColdStart,
      Condition::Drain,     Condition::DomainLoss, Condition::Reports5,
      Condition::Reports50, Condition::Reports500};
}

std::vector<Variant> policies() {
  return {{"random", "random", nullptr},
          {"round-robin", "round-robin", nullptr},
          {"least-outstanding", "least-outstanding", nullptr},
          {"least-reported", "least-reported", nullptr},
          {"two-choices", "two-choices", nullptr},
          {"hyssopford", "", nullptr},
          {"oracle", "oracle", nullptr}};
}

std::vector<Variant> ablations() {
  return {{"hyssopford", "", nullptr},
          {"no-ageing", "",
           [](DecisionSettings &All) { All.Routing.ReportHalfLife = 0ms; }},
          {"no-locality", "",
           [](DecisionSettings &All) { All.Routing.LocalityWeight = 0.0; }},
          {"no-failure-cost", "",
           [](DecisionSettings &All) { All.Routing.FailureWeight = 0.0; }},
          {"no-hedging", "",
           [](DecisionSettings &All) { All.Routing.HedgeQuantile = 1.0; }},
          {"no-adaptive-limit", "",
           [](DecisionSettings &All) { All.Admission.AdaptiveLimit = false; }},
          {"no-subset", "",
           [](DecisionSettings &All) { All.Routing.SubsetSize = 0; }}};
}

const char *toString(Condition Value) {
  switch (Value) {
  case Condition::Calm:
    return "calm";
  case Condition::Straggler:
    return "straggler";
  case Condition::NoisyNeighbour:
    return "noisy-neighbour";
  case Condition::FailFast:
    return "fail-fast";
  case Condition::Flaky:
    return "flaky";
  case Condition::ColdStart:
    return "cold-start";
  case Condition::Drain:
    return "drain";
  case Condition::DomainLoss:
    return "domain-loss";
  case Condition::Reports5:
    return "reports-5ms";
  case Condition::Reports50:
    return "reports-50ms";
  case Condition::Reports500:
    return "reports-500ms";
  }
  return "?";
}

} // namespace hyssopford::experiment
