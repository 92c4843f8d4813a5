#include "hyssopford/core/baseline_policies.hpp"

namespace hyssopford {

namespace {

/// Picks a random candidate that is not excluded.
std::optional<std::size_t> pickRandom(const Selection &Input,
                                      RandomSource &Random) {
  const std::size_t Count = Input.Candidates.size();
  if (Count == 0) {
    return std::nullopt;
  }
  const std::size_t Start = Random.below(Count);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const std::size_t Index = (Start + Step) % Count;
    if (!Input.excluded(Index)) {
      return Index;
    }
  }
  return std::nullopt;
}

/// Picks the candidate with the least value of Of; a random start breaks ties.
template <typename Measure>
std::optional<std::size_t> pickLeast(const Selection &Input,
                                     RandomSource &Random, Measure Of) {
  std::optional<std::size_t> Best = pickRandom(Input, Random);
  if (!Best) {
    return Best;
  }
  const std::size_t Start = *Best;
  for (std::size_t Step = 1; Step < Input.Candidates.size(); ++Step) {
    const std::size_t Index = (Start + Step) % Input.Candidates.size();
    if (!Input.excluded(Index) &&
        Of(Input.Candidates[Index]) < Of(Input.Candidates[*Best])) {
      Best = Index;
    }
  }
  return Best;
}

/// Reported load per unit of the concurrency limit, compared without rounding.
struct ReportedLoad {
  std::uint64_t Load = 0;
  std::uint64_t Limit = 1;

  explicit ReportedLoad(const CandidateView &View)
      : Load(View.Report.InFlight + View.Report.Queued),
        Limit(View.Report.Limit) {}

  friend bool operator<(const ReportedLoad &Left, const ReportedLoad &Right) {
    return Left.Load * Right.Limit < Right.Load * Left.Limit;
  }
};

} // namespace

std::optional<std::size_t> RandomPolicy::choose(const Selection &Input,
                                                RandomSource &Random) {
  return pickRandom(Input, Random);
}

std::optional<std::size_t> RoundRobinPolicy::choose(const Selection &Input,
                                                    RandomSource & /*Random*/) {
  const std::size_t Count = Input.Candidates.size();
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const std::size_t Index = Next++ % Count;
    if (!Input.excluded(Index)) {
      return Index;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
LeastOutstandingPolicy::choose(const Selection &Input, RandomSource &Random) {
  return pickLeast(Input, Random,
                   [](const CandidateView &View) { return View.Outstanding; });
}

std::optional<std::size_t> LeastReportedPolicy::choose(const Selection &Input,
                                                       RandomSource &Random) {
  return pickLeast(Input, Random, [](const CandidateView &View) {
    return ReportedLoad(View);
  });
}

std::optional<std::size_t> TwoChoicesPolicy::choose(const Selection &Input,
                                                    RandomSource &Random) {
  const std::optional<std::size_t> First = pickRandom(Input, Random);
  const std::optional<std::size_t> Second = pickRandom(Input, Random);
  if (!First) {
    return First;
  }
  const bool SecondIsLess = ReportedLoad(Input.Candidates[*Second]) <
                            ReportedLoad(Input.Candidates[*First]);
  return SecondIsLess ? Second : First;
}

} // namespace hyssopford
