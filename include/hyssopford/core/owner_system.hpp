/// @file
/// @brief Admission of attempts at the owner.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/admission_queue.hpp"
#include "hyssopford/core/cold/cold_meter.hpp"
#include "hyssopford/core/concurrency_limit.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/finished_attempts.hpp"
#include "hyssopford/core/load_report.hpp"
#include "hyssopford/core/shutdown_limit.hpp"
#include "hyssopford/core/speed_tracker.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Handles the queued, running and finished attempts of the upstream on
/// this VM.
class OwnerSystem {
public:
  /// How long replies of finished attempts are kept, e.g. for status queries.
  static constexpr Duration FinishedRetention = 10s;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Settings settings of admission
  /// @param Cold settings of the limits of cold upstreams
  explicit OwnerSystem(NodeRun Self, const AdmissionSettings &Settings = {},
                       const ColdSettings &Cold = {});
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Starts, queues or refuses an attempt. A duplicate never runs: that
  /// of a finished attempt gets the same reply, that of a queued or running one
  /// is ignored, and one whose reply may have been dropped is refused.
  /// @param Refusal reason for which a new attempt is refused; None to admit it
  void admit(NodeId From, const Dispatch &Attempt, TimePoint Now, Actions &Out,
             OutcomeReason Refusal = OutcomeReason::None);

  /// @brief Cancels an attempt whose result is no longer needed.
  void cancel(AttemptId Attempt, TimePoint Now, Actions &Out);

  /// @brief Answers a status query; cancels the attempt if it is not running.
  void queryStatus(NodeId From, const StatusQuery &Query, TimePoint Now,
                   Actions &Out);

  /// @brief Handles a complete answer of the upstream.
  void upstreamAnswered(const UpstreamAnswered &Answer, TimePoint Now,
                        Actions &Out);

  /// @brief Handles the failure of an attempt.
  void upstreamFailed(const UpstreamFailed &Failure, TimePoint Now,
                      Actions &Out);

  /// @brief Handles the announcement of the upstream.
  void upstreamAnnounced(const UpstreamAnnounced &Upstream, TimePoint Now,
                         Actions &Out);

  /// @brief Handles the loss of the upstream. Queued attempts end as not-run;
  /// after a crash, running ones end as unknown unless they were not sent.
  void upstreamGone(const UpstreamGone &Gone, TimePoint Now, Actions &Out);

  /// @brief Handles the result of a speed probe.
  void finishSpeedProbe(const ProbeFinished &Result, TimePoint Now,
                        Actions &Out);

  /// @brief Handles what a probe answer states about the upstream being cold.
  /// @param Remaining how long it stays cold; 0 if the answer states none
  void stateCold(Duration Remaining, TimePoint Now, Actions &Out);

  /// @brief Records a health probe that is sent to the upstream; a cold
  /// upstream counts it like a request.
  void healthProbeSent(TimePoint Now) { Cold.recordStart(Now); }

  /// @brief Sets the settings of services, of which the limits of cold
  /// upstreams apply.
  void setServices(const std::vector<ServiceSettings> &Services) {
    Cold.setServices(Services);
  }

  /// @brief Sets whether the failure domain of this node is evacuated. While it
  /// is, nothing starts and queued attempts are handed back.
  void setEvacuated(bool Value, TimePoint Now, Actions &Out);

  /// @brief Sets whether the upstream is suspected to have failed; see
  /// ProbeSystem::suspected.
  void setSuspected(bool Suspected, TimePoint Now, Actions &Out);

  /// @brief Sets the version of the configuration that log lines name.
  void setConfigVersion(std::uint64_t Version) { ConfigVersion = Version; }

  /// @brief Refuses new attempts from now on. Admitted ones still run.
  void drain() { Draining = true; }

  /// @brief Announces the end of the node. From now on only attempts that end
  /// in time are admitted, and queued ones that do not are refused. Those that
  /// are left shortly before @p AnswerBy end then.
  void limitWork(TimePoint AnswerBy, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the current load of the upstream
  LoadReport load() const;

  /// @return the running attempts in unspecified order
  std::vector<const Dispatch *> running() const;

  /// @return the number of attempts queued or running
  std::size_t inFlight() const { return Queue.size() + Running.size(); }

  /// @return the number of attempts that the end of a shutdown left with an
  /// unknown outcome
  std::uint64_t interrupted() const { return Interrupted; }

  /// @return the number of attempts handed back because the upstream is cold
  std::uint64_t coldHandBacks() const { return ColdHandBacks; }

  /// @return the number of attempts handed back because of an evacuation
  std::uint64_t evacuationHandBacks() const { return EvacuationHandBacks; }

  /// @return whether the upstream runs no attempt
  bool idle() const { return Running.empty(); }

  /// @return the announced service; empty if there is no upstream
  const std::string &service() const { return Upstream.Service; }
  /// @}

private:
  /// @param LatestStart until when the attempt may start and still end before
  /// the node does
  std::optional<OutcomeReason> refusalReason(const Dispatch &Attempt,
                                             TimePoint LatestStart,
                                             TimePoint Now) const;
  /// Limits the times of an attempt to the end of the node, if it shuts down.
  /// @return until when the attempt may start and still end before the node
  /// does
  TimePoint limitTimes(AdmittedAttempt &Row, TimePoint Now) const;
  /// Ends the queued attempts that a predicate selects as not-run. It gets each
  /// attempt and the number of kept ones before it, and may change the attempt.
  void refuseQueuedIf(
      const std::function<bool(AdmittedAttempt &, std::size_t)> &MustRefuse,
      OutcomeReason Reason, TimePoint Now, Actions &Out);
  /// Ends all queued attempts as not-run.
  void refuseQueued(OutcomeReason Reason, TimePoint Now, Actions &Out);
  /// Ends all attempts shortly before the end of the node.
  void endAll(TimePoint Now, Actions &Out);
  /// Cancels all running attempts; they end as unknown, those that were not
  /// sent as not-run.
  void abortRunning(OutcomeReason Reason, const std::vector<AttemptId> &Unsent,
                    TimePoint Now, Actions &Out);
  Duration expectedWait(Priority Class) const;
  /// Whether a cold upstream cannot start an attempt in time.
  /// @param Ahead number of queued attempts that start before it
  bool isTooLateWhileCold(const Dispatch &Attempt, std::size_t Ahead,
                          Duration Remaining, TimePoint Now) const;
  /// Reports the begin and the end of the cold time. At its begin, hands back
  /// the queued attempts that can no longer start in time.
  void updateCold(TimePoint Now, Actions &Out);
  /// Current concurrency limit. While the upstream is stalled, only single
  /// trials start.
  std::uint32_t currentLimit() const;
  /// Whether the running attempts take much longer than recent answers did.
  bool isStalled() const;
  /// Sum of the times since the running attempts started, in µs.
  double runningTime() const;
  /// Expected service time in µs: the smoothed one, or the mean time for which
  /// the running attempts have run if that is longer.
  double expectedServiceTime() const;
  void startQueued(TimePoint Now, Actions &Out);
  /// Checks the speed of the upstream before a start. Probes the speed if it is
  /// unknown. During a slowdown, hands back the attempts that other upstreams
  /// may take.
  /// @return whether an attempt may start now
  bool mayStartNow(TimePoint Now, Actions &Out);
  void handBackQueued(TimePoint Now, Actions &Out);
  /// Longest time in the queue after which an answer is worth the wait.
  /// @param Service expected service time
  Duration longestWait(const Dispatch &Attempt, Duration Service) const;
  /// Time by which an attempt must start so that its answer is worth the wait.
  TimePoint startDeadline(const Dispatch &Attempt, TimePoint Now) const;
  /// Smoothed service time of a route in µs; that of all routes before its
  /// first answer.
  double routeServiceTime(const std::string &Route) const;
  AdmittedAttempt
  takeRunning(std::unordered_map<AttemptId, AdmittedAttempt>::iterator At);
  void endRunning(const AdmittedAttempt &Row, DispatchReply Reply,
                  TimePoint Now, Actions &Out);
  void endQueued(const AdmittedAttempt &Row, OutcomeReason Reason,
                 TimePoint Now, Actions &Out);
  /// @param WasSent whether the upstream may have received the request
  void reportAttempt(const char *Name, const AdmittedAttempt &Row,
                     OutcomeReason Reason, TimePoint Now, Actions &Out,
                     bool WasSent = false) const;
  void send(NodeId From, DispatchReply Reply, TimePoint Now, Actions &Out);

  NodeRun Self;
  AdmissionSettings Settings;
  UpstreamAnnounced Upstream;
  bool Draining = false;
  bool Evacuated = false;
  std::uint64_t EvacuationHandBacks = 0;
  ShutdownLimit Shutdown;
  std::uint64_t Interrupted = 0;
  std::uint64_t ConfigVersion = 0;
  std::uint64_t ReportSequence = 0;
  /// Time of the latest call.
  TimePoint LastInput;
  /// Smoothed service time in µs; 0 before the first answer.
  double ServiceTime = 0.0;
  TimePoint LastStart;
  /// Time of the latest answer that did not take longer than usual.
  TimePoint LastNormalAnswer;
  /// Sum of the start times of the running attempts, in µs.
  std::int64_t StartSum = 0;
  /// Smoothed service time of each route in µs.
  std::unordered_map<std::string, double> RouteTimes;
  ColdMeter Cold;
  /// Whether the begin of the current cold time was reported.
  bool ColdReported = false;
  std::uint64_t ColdHandBacks = 0;
  SpeedTracker Tracker;
  bool SpeedProbeRunning = false;
  /// When the speed is probed again during a slowdown.
  std::optional<TimePoint> NextSpeedProbe;
  /// End of the time in which the speed counts as normal after a failed probe.
  TimePoint AssumeNormalUntil;
  ConcurrencyLimit Limit;
  AdmissionQueue Queue;
  std::unordered_map<AttemptId, AdmittedAttempt> Running;
  FinishedAttempts Finished;
};

} // namespace hyssopford
