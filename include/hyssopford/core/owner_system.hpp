/// @file
/// @brief Admission of attempts at the node beside their upstream.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/load_report.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hyssopford {

/// @brief Runs the tables of queued, running and finished attempts of the
/// upstream on this VM.
class OwnerSystem {
public:
  /// How long finished attempts answer status queries.
  static constexpr Duration FinishedRetention = 10s;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  explicit OwnerSystem(NodeRun Self);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Admits, queues or refuses an attempt.
  /// @param Refusal reason for which a new attempt is refused; None to admit
  void admit(NodeId From, const Dispatch &Attempt, TimePoint Now, Actions &Out,
             OutcomeReason Refusal = OutcomeReason::None);

  /// @brief Drops an attempt that nobody waits for.
  void cancel(AttemptId Attempt, TimePoint Now, Actions &Out);

  /// @brief Answers a status query.
  void queryStatus(NodeId From, const StatusQuery &Query, TimePoint Now,
                   Actions &Out);

  /// @brief Takes a complete answer of the upstream.
  void answered(const UpstreamAnswered &Answer, TimePoint Now, Actions &Out);

  /// @brief Takes the failure of an attempt.
  void failed(const UpstreamFailed &Failure, TimePoint Now, Actions &Out);

  /// @brief Takes the announcement of the upstream.
  void announce(const UpstreamAnnounced &Upstream, TimePoint Now, Actions &Out);

  /// @brief Notes that the upstream is gone.
  void withdraw(const UpstreamGone &Gone, TimePoint Now, Actions &Out);

  /// @brief Refuses new work from now on.
  void drain() { Draining = true; }

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the load of the upstream
  LoadReport load() const;

  /// @return the number of attempts queued or running
  std::size_t inFlight() const { return Queue.size() + Running.size(); }

  /// @return the announced service; empty if there is no upstream
  const std::string &service() const { return Upstream.Service; }
  /// @}

private:
  struct AttemptRow {
    NodeId From;
    Dispatch Attempt;
    TimePoint Deadline;
    TimePoint Started;
  };

  struct FinishedRow {
    TimePoint Ended;
    DispatchReply Reply;
  };

  void startQueued(TimePoint Now, Actions &Out);
  void finish(NodeId From, DispatchReply Reply, TimePoint Now, Actions &Out);
  void refuse(NodeId From, AttemptId Attempt, Outcome Result,
              OutcomeReason Reason, TimePoint Now, Actions &Out);

  NodeRun Self;
  UpstreamAnnounced Upstream;
  bool Draining = false;
  std::uint64_t ReportSequence = 0;
  Duration ServiceTime{0};
  std::deque<AttemptRow> Queue;
  std::map<AttemptId, AttemptRow> Running;
  std::map<AttemptId, FinishedRow> Finished;
  std::map<NodeRun, std::uint64_t> LowWaterMarks;
};

} // namespace hyssopford
