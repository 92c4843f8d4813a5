/// @file
/// @brief Choice of the upstream for one attempt.
#pragma once

#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/load_report.hpp"
#include "hyssopford/core/member.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace hyssopford {

/// @brief State of one candidate as its ingress knows it.
struct CandidateView {
  NodeRun Owner;
  /// Announced slots.
  std::uint32_t Slots = 1;
  UpstreamState State = UpstreamState::Serving;
  /// Starts a second that it gets while State is Cold; 0 for no limit.
  double ColdRate = 0.0;
  /// Index of the failure domain in Selection::RoundTrips.
  std::size_t Domain = 0;
  /// True if the upstream is in the failure domain of this node.
  bool IsLocalDomain = false;
  /// Latest load report; its sequence is 0 before the first.
  LoadReport Report;
  /// When the latest report was made, estimated from its arrival.
  TimePoint ReportedAt;
  /// Outstanding attempts of this ingress that the report cannot include.
  std::uint32_t SentSince = 0;
  /// Attempts of this ingress without a reply.
  std::uint32_t Outstanding = 0;
  /// When the oldest outstanding attempt was sent.
  TimePoint OldestSent;
  /// Smoothed share of failures among the outcomes that this ingress observed.
  double FailureShare = 0.0;
  /// When the latest failure was observed.
  TimePoint FailedAt;

  /// @brief Gives the limit of a cold upstream, as its latest report states it
  /// or, before the first report, its member record.
  /// @param Now the current time
  /// @return starts a second; 0 if the upstream has no such limit
  double coldRate(TimePoint Now) const {
    if (Report.Sequence == 0) {
      return ColdRate;
    }
    return Now < ReportedAt + Report.ColdTime ? Report.ColdRate : 0.0;
  }

  friend bool operator==(const CandidateView &,
                         const CandidateView &) = default;
};

/// @brief Means over all candidates of a service, smoothed over time.
struct ServiceMean {
  /// Running and queued requests per unit of the concurrency limit.
  double Utilisation = 0.0;
  /// Service time in µs.
  double ServiceTime = 0.0;
  /// Time from sending an attempt to its answer in µs.
  double Latency = 0.0;
  /// Outstanding attempts of this ingress per candidate.
  double Outstanding = 0.0;

  friend bool operator==(const ServiceMean &, const ServiceMean &) = default;
};

/// @brief Input of one choice. The spans are only valid during the call.
struct Selection {
  /// Candidates that are linked and accept new attempts.
  std::span<const CandidateView> Candidates;
  /// Nodes that already got an attempt of this request.
  std::span<const NodeId> Excluded;
  /// Round trips by CandidateView::Domain.
  std::span<const Duration> RoundTrips;
  ServiceMean Mean;
  TimePoint Now;

  /// @param Index a position in Candidates
  /// @return whether the request already has an attempt there
  /// @note Complexity: linear in the number of earlier attempts.
  bool excluded(std::size_t Index) const {
    for (const NodeId Node : Excluded) {
      if (Node == Candidates[Index].Owner.Node) {
        return true;
      }
    }
    return false;
  }
};

/// @brief Strategy that picks the upstream for an attempt.
class SelectionPolicy {
public:
  virtual ~SelectionPolicy() = default;

  /// @brief Picks a candidate that is not excluded.
  /// @param Input the candidates and what is known of them
  /// @param Random source of random numbers
  /// @return the position in Input.Candidates; empty if all are excluded
  virtual std::optional<std::size_t> choose(const Selection &Input,
                                            RandomSource &Random) = 0;
};

} // namespace hyssopford
