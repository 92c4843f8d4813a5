/// @file
/// @brief HTTP client for the upstream on this VM.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/net/edge_policy.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/http_head.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Receives the results of attempts and probes.
class UpstreamClientHandler {
public:
  virtual ~UpstreamClientHandler() = default;

  /// @brief An attempt ended with a complete answer.
  virtual void onAnswered(UpstreamAnswered Answer) = 0;

  /// @brief An attempt ended without a complete answer.
  virtual void onFailed(const UpstreamFailed &Failure) = 0;

  /// @brief A probe ended.
  virtual void onProbed(const ProbeFinished &Result) = 0;

  /// @brief A connection to the upstream could not be opened: nothing listens
  /// at its address. Attempts that lost their connection have not ended yet.
  virtual void onRefusedConnection() = 0;

  /// @brief Bytes on a connection could not be attributed to its request.
  /// The parameter states where they arrived.
  virtual void onForeignBytes(std::string_view /*Reason*/) {}
};

/// @brief Limits of an UpstreamClient.
struct UpstreamClientSettings {
  HttpLimits AnswerLimits{8'192, 65'536, 100, 16'777'216};
  /// Maximum number of idle connections kept.
  std::size_t PoolSize = 64;
  /// How long an idle connection is kept. POCO's server closes them after
  /// 15 s by default.
  Duration IdleTimeout = 8s;
  /// Idle time up to which a connection may carry a non-idempotent request.
  /// Servers rarely close connections that were idle for so short a time.
  Duration NonIdempotentReuseLimit = 1s;
  /// Budget that answers are charged to; must outlive the client. Null for
  /// none.
  MemoryBudget *Memory = nullptr;
  /// How long non-idempotent requests avoid connections in use before after a
  /// refusal that did not identify its request: on a new connection it can only
  /// belong to the request there.
  Duration UnidentifiedRefusalMemory = 10s;
};

/// @brief Sends attempts and probes. Each running one has its own connection;
/// idle connections are pooled.
class UpstreamClient {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop that serves the connections
  /// @param Handler receives the results
  /// @param Settings limits of the connections
  /// @param Edge header fields of the deployment; must outlive this object
  UpstreamClient(EventLoop &Loop, UpstreamClientHandler &Handler,
                 UpstreamClientSettings Settings = {},
                 const EdgePolicy &Edge = defaultEdgePolicy());
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;
  /// @}

  /// @name Upstream
  /// @{

  /// @brief Sets the address of the upstream; pooled connections to another
  /// address are closed.
  /// @param Address "ip:port"
  /// @param HealthPath path of its health endpoint; empty keeps the present one
  /// @param Instance identifier of this start of the upstream; empty if unknown
  void setUpstream(const std::string &Address, const std::string &HealthPath,
                   const std::string &Instance = {});
  /// @}

  /// @brief Sets the path of the upstream's health endpoint.
  void setHealthPath(const std::string &Path) { HealthPath = Path; }

  /// @name Attempts
  /// @{

  /// @brief Sends an attempt once; it ends with onAnswered or onFailed unless
  /// it is cancelled. If its connection is lost, it ends only after a new
  /// connection has shown whether the upstream still listens.
  void forward(const ForwardToUpstream &Attempt);

  /// @brief Cancels an attempt by closing its connection.
  void cancel(AttemptId Attempt);

  /// @brief Requests the health endpoint; ends with onProbed. If the path is
  /// empty, nothing is sent: probes succeed, except those for an arrival, since
  /// the upstream has not confirmed that it takes requests.
  void probe(const ProbeUpstream &Probe);
  /// @}

  /// @name Observers
  /// @{
  std::size_t active() const { return Active.size(); }
  std::size_t idle() const { return Idle.size(); }
  /// @return the number of attempts that the upstream may have received and
  /// whose connection is open
  std::size_t sentAttempts() const;
  /// @return the attempts that wait for a connection, so that the upstream
  /// cannot have received them
  std::vector<AttemptId> unsentAttempts() const;
  std::uint64_t opened() const { return Opened; }
  std::uint64_t reused() const { return Reused; }
  /// @}

private:
  class Exchange;
  friend class Exchange;

  std::shared_ptr<Exchange> takeIdle(bool Idempotent);
  void noteUnidentifiedRefusal();
  std::shared_ptr<Exchange> openConnection();
  void returnToPool(Exchange &Finished);
  void discard(Exchange &Finished);
  void closeExpired();
  /// @brief Resumes the answers that wait for memory after a short time.
  void scheduleMemoryCheck();
  void checkMemory();
  /// @brief Ends a failed attempt once it is known whether the upstream still
  /// listens.
  void confirmLoss(const UpstreamFailed &Failure);
  void startLossCheck();
  void finishLossCheck(bool IsRefused);

  EventLoop &Loop;
  UpstreamClientHandler &Handler;
  UpstreamClientSettings Settings;
  const EdgePolicy &Edge;
  std::string Address;
  std::string HealthPath = "/";
  std::string Instance;
  std::unordered_map<const Exchange *, std::shared_ptr<Exchange>> Active;
  std::unordered_map<AttemptId, Exchange *> ByAttempt;
  /// Ordered by the start of the idle time, oldest first.
  std::vector<std::shared_ptr<Exchange>> Idle;
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
  EventLoop::TimerId IdleCheckTimer = 0;
  EventLoop::TimerId MemoryTimer = 0;
  /// Attempts that lost their connection and wait for the check.
  std::vector<UpstreamFailed> Lost;
  bool LossCheckRunning = false;
  /// Refused checks in a row that were repeated.
  std::uint32_t LossRechecks = 0;
  EventLoop::TimerId LossTimer = 0;
  /// Until then, non-idempotent requests use new connections.
  TimePoint NewConnectionsUntil;
};

} // namespace hyssopford
