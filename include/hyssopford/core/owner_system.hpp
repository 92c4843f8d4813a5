/// @file
/// @brief Admission of attempts at the node beside their upstream.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/admission_queue.hpp"
#include "hyssopford/core/concurrency_limit.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/finished_attempts.hpp"
#include "hyssopford/core/load_report.hpp"
#include "hyssopford/core/speed_gate.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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
  /// @param Settings constants of admission
  explicit OwnerSystem(NodeRun Self, const AdmissionSettings &Settings = {});
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Starts, queues or refuses an attempt. A duplicate of a finished
  /// attempt gets the same reply; one of a queued or running attempt, or of
  /// one that may have been forgotten, is never run.
  /// @param Refusal reason for which a new attempt is refused; None to admit
  void admit(NodeId From, const Dispatch &Attempt, TimePoint Now, Actions &Out,
             OutcomeReason Refusal = OutcomeReason::None);

  /// @brief Drops an attempt that nobody waits for.
  void cancel(AttemptId Attempt, TimePoint Now, Actions &Out);

  /// @brief Answers a status query.
  void queryStatus(NodeId From, const StatusQuery &Query, TimePoint Now,
                   Actions &Out);

  /// @brief Takes a complete answer of the upstream.
  void upstreamAnswered(const UpstreamAnswered &Answer, TimePoint Now,
                        Actions &Out);

  /// @brief Takes the failure of an attempt.
  void upstreamFailed(const UpstreamFailed &Failure, TimePoint Now,
                      Actions &Out);

  /// @brief Takes the announcement of the upstream.
  void upstreamAnnounced(const UpstreamAnnounced &Upstream, TimePoint Now,
                         Actions &Out);

  /// @brief Notes that the upstream is gone. Queued attempts are not-run;
  /// after a crash running ones are unknown.
  void upstreamGone(const UpstreamGone &Gone, TimePoint Now, Actions &Out);

  /// @brief Takes the result of a probe of the upstream's speed.
  void finishSpeedProbe(const ProbeFinished &Result, TimePoint Now,
                        Actions &Out);

  /// @brief Takes the verdict of the probes and of observed failures.
  void setSuspected(bool Suspected, TimePoint Now, Actions &Out);

  /// @brief Refuses new work from now on. Admitted attempts still run.
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

  /// @return the attempts that the upstream runs now, in no fixed order
  std::vector<const Dispatch *> running() const;

  /// @return the number of attempts queued or running
  std::size_t inFlight() const { return Queue.size() + Running.size(); }

  /// @return the announced service; empty if there is no upstream
  const std::string &service() const { return Upstream.Service; }
  /// @}

private:
  std::optional<OutcomeReason> refusalReason(const Dispatch &Attempt) const;
  Duration expectedWait(Priority Class) const;
  /// Limit in force: while what runs has stalled, only trials start.
  std::uint32_t limit() const;
  bool stalled() const;
  /// Sum of the times for which the running attempts have run, in µs.
  double runningTime() const;
  /// Service time to expect in µs; the time of running attempts counts as far
  /// as it exceeds that of recent answers.
  double expectedService() const;
  void startQueued(TimePoint Now, Actions &Out);
  /// Probes the speed if it is unknown; in a slow spell, hands back the
  /// attempts that other upstreams may take.
  /// @return whether an attempt may start now
  bool passGate(TimePoint Now, Actions &Out);
  void handBackQueued(TimePoint Now, Actions &Out);
  TimePoint startBy(const Dispatch &Attempt, TimePoint Now) const;
  double serviceOf(const std::string &Route) const;
  AdmittedAttempt
  takeRunning(std::unordered_map<AttemptId, AdmittedAttempt>::iterator At);
  void end(const AdmittedAttempt &Row, DispatchReply Reply, TimePoint Now,
           Actions &Out);
  void endQueued(const AdmittedAttempt &Row, OutcomeReason Reason,
                 TimePoint Now, Actions &Out);
  void report(const char *Name, const AdmittedAttempt &Row,
              OutcomeReason Reason, TimePoint Now, Actions &Out) const;
  void send(NodeId From, DispatchReply Reply, TimePoint Now, Actions &Out);

  NodeRun Self;
  AdmissionSettings Settings;
  UpstreamAnnounced Upstream;
  bool Draining = false;
  std::uint64_t ReportSequence = 0;
  /// Time of the latest input.
  TimePoint Latest;
  /// Smoothed service time in µs; 0 before the first answer.
  double ServiceTime = 0.0;
  TimePoint LatestStart;
  /// Time of the latest answer that took no longer than usual.
  TimePoint LatestUsual;
  /// Sum of the start times of the running attempts, in µs.
  std::int64_t StartSum = 0;
  /// Smoothed service time of each route in µs.
  std::unordered_map<std::string, double> RouteTimes;
  SpeedGate Speed;
  bool SpeedProbeRunning = false;
  /// When the speed is probed again for attempts that wait for it.
  std::optional<TimePoint> NextSpeedProbe;
  /// Until when the speed counts as usual after a failed probe.
  TimePoint AssumeUsualUntil;
  ConcurrencyLimit Limit;
  AdmissionQueue Queue;
  std::unordered_map<AttemptId, AdmittedAttempt> Running;
  FinishedAttempts Finished;
};

} // namespace hyssopford
