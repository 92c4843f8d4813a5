#include "chain.hpp"

#include "hyssopford/core/ingress_system.hpp"

#include <fmt/format.h>

#include <iterator>
#include <memory>
#include <vector>

namespace hyssopford::experiment {

namespace {

constexpr std::size_t Depth = 13;
constexpr std::uint64_t Instances = 4;
/// Bound of the calls of one run; without a budget they grow without limit.
constexpr std::uint64_t CallsMax = 3'000'000;

/// A chain in which the upstream of each hop calls the next hop.
class Chain {
public:
  Chain(double FailShare, bool HasBudget, bool HasMark)
      : Share(FailShare), Mark(HasMark), Random(1) {
    RoutingSettings Settings;
    if (!HasBudget) {
      Settings.ExtraPerThousand = 1'000'000;
      Settings.ExtraBurst = 1'000'000;
      Settings.ExtraInitial = 1'000'000;
    }
    for (std::size_t Hop = 0; Hop < Depth; ++Hop) {
      Hops.push_back(std::make_unique<IngressSystem>(
          NodeRun{NodeId{1000}, Incarnation{1}}, Random, Settings));
      std::vector<Candidate> All;
      for (std::uint64_t Node = 1; Node <= Instances; ++Node) {
        All.push_back(Candidate{{NodeId{Node}, Incarnation{1}},
                                "s",
                                "d",
                                "r",
                                10,
                                UpstreamState::Serving});
      }
      Hops.back()->setCandidates(All);
      Actions None;
      for (const Candidate &Each : All) {
        Hops.back()->linkUp(Each.Owner, Now, None);
      }
    }
  }

  /// Calls the first service once.
  bool callOnce() {
    Now += 1ms;
    ++Originals;
    return call(0, false);
  }

  bool exhausted() const { return Attempts >= CallsMax; }
  double attemptsPerOriginal() const {
    return static_cast<double>(Attempts) / static_cast<double>(Originals);
  }
  double deepestPerOriginal() const {
    return static_cast<double>(Deepest) / static_cast<double>(Originals);
  }

private:
  bool call(std::size_t Hop, bool IsExtra) {
    IngressSystem &Ingress = *Hops[Hop];
    Route Matched;
    Matched.Service = "s";
    CallerRequest Request;
    Request.Id = RequestId{NextId++};
    Request.Method = "GET";
    Request.IsExtra = IsExtra && Mark;
    Actions Out;
    Ingress.start(Request, Matched, Now, Out);
    for (std::size_t Index = 0; Index < Out.size(); ++Index) {
      if (const auto *Reply = std::get_if<ReplyToCaller>(&Out[Index])) {
        return Reply->Result == Outcome::Answered;
      }
      const auto *Frame = std::get_if<SendToPeer>(&Out[Index]);
      const auto *Sent =
          Frame == nullptr ? nullptr : std::get_if<Dispatch>(&Frame->Message);
      if (Sent != nullptr) {
        const NodeRun Owner{Frame->To, Sent->Owner};
        const DispatchReply Reply = attempt(Hop, *Sent);
        Ingress.finishAttempt(Owner, Reply, Now, Out);
      }
    }
    return false;
  }

  /// Half of the failures are refusals, the others have an unknown outcome.
  DispatchReply attempt(std::size_t Hop, const Dispatch &Sent) {
    ++Attempts;
    Deepest += Hop + 1 == Depth ? 1 : 0;
    DispatchReply Reply;
    Reply.Attempt = Sent.Attempt;
    const double Draw =
        static_cast<double>(Random.below(1'000'000)) / 1'000'000.0;
    if (Draw < Share / 2.0) {
      Reply.Result = Outcome::NotRun;
      Reply.Reason = OutcomeReason::QueueFull;
      return Reply;
    }
    const bool NextFails =
        Hop + 1 < Depth && !exhausted() && !call(Hop + 1, Sent.IsExtra);
    if (Draw < Share || NextFails) {
      Reply.Reason = OutcomeReason::UpstreamClosed;
      return Reply;
    }
    Reply.Result = Outcome::Answered;
    Reply.Status = 200;
    return Reply;
  }

  double Share;
  bool Mark;
  SeededRandomSource Random;
  TimePoint Now;
  std::uint64_t NextId = 1;
  std::uint64_t Originals = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t Deepest = 0;
  std::vector<std::unique_ptr<IngressSystem>> Hops;
};

} // namespace

std::string chainTable() {
  constexpr int Originals = 5000;
  std::string Out =
      "| failing % | budget | mark | attempts per original call | at the "
      "deepest hop | answered % |\n|---|---|---|---|---|---|\n";
  for (const double Share : {0.01, 0.05, 0.1, 0.2, 0.5}) {
    for (const bool HasBudget : {true, false}) {
      for (const bool HasMark : {true, false}) {
        Chain Calls(Share, HasBudget, HasMark);
        int Done = 0;
        int Answered = 0;
        while (Done < Originals && !Calls.exhausted()) {
          Answered += Calls.callOnce() ? 1 : 0;
          ++Done;
        }
        fmt::format_to(std::back_inserter(Out),
                       "| {:.0f} | {} | {} | {:.1f} | {:.2f} | {:.1f}{} |\n",
                       100 * Share, HasBudget ? "yes" : "no",
                       HasMark ? "yes" : "no", Calls.attemptsPerOriginal(),
                       Calls.deepestPerOriginal(), 100.0 * Answered / Done,
                       Calls.exhausted() ? " (stopped)" : "");
      }
    }
  }
  return Out;
}

} // namespace hyssopford::experiment
