/// @file
/// @brief HTTP connections to the upstream on this VM.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/net/edge_policy.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/http_head.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopford {

/// @brief Takes what became of attempts and probes.
class UpstreamClientHandler {
public:
  virtual ~UpstreamClientHandler() = default;

  /// @brief An attempt ended with a complete answer.
  virtual void onAnswered(UpstreamAnswered Answer) = 0;

  /// @brief An attempt ended without a complete answer.
  virtual void onFailed(const UpstreamFailed &Failure) = 0;

  /// @brief A probe ended.
  virtual void onProbed(const ProbeFinished &Result) = 0;

  /// @brief The upstream refused a connection: nothing listens there.
  virtual void onRefusedConnection() = 0;
};

/// @brief Limits of the connections.
struct UpstreamClientSettings {
  HttpLimits AnswerLimits{8'192, 65'536, 100, 16'777'216};
  /// Most idle connections kept.
  std::size_t PoolSize = 64;
  /// How long an idle connection is kept. POCO's server closes them after
  /// 15 s by default.
  Duration IdleTimeout = 8s;
  /// Age up to which an idle connection may carry a non-idempotent request.
  /// Servers rarely close connections this young.
  Duration FreshTime = 1s;
};

/// @brief Sends attempts and probes, each on its own connection, and keeps
/// idle connections for reuse.
class UpstreamClient {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop that serves the connections
  /// @param Handler takes the results
  /// @param Settings limits of the connections
  /// @param Edge the header fields of the deployment; must outlive this object
  UpstreamClient(EventLoop &Loop, UpstreamClientHandler &Handler,
                 UpstreamClientSettings Settings = {},
                 const EdgePolicy &Edge = defaultEdgePolicy());
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;
  /// @}

  /// @name Upstream
  /// @{

  /// @brief Sets where the upstream listens; pooled connections to another
  /// address are closed.
  /// @param Address "ip:port"
  /// @param HealthPath path of its health endpoint; empty keeps the one set
  /// @param Instance identifier of the upstream's start, empty if unknown
  void setUpstream(const std::string &Address, const std::string &HealthPath,
                   const std::string &Instance = {});
  /// @}

  /// @brief Sets the path of the upstream's health endpoint.
  void setHealthPath(const std::string &Path) { HealthPath = Path; }

  /// @name Attempts
  /// @{

  /// @brief Sends an attempt; ends with onAnswered or onFailed, unless it is
  /// cancelled.
  void forward(const ForwardToUpstream &Attempt);

  /// @brief Abandons an attempt by closing its connection.
  void cancel(AttemptId Attempt);

  /// @brief Reads the health endpoint; ends with onProbed. Without a known path
  /// nothing is sent: the upstream counts as well, but not as one that has said
  /// that it takes requests.
  void probe(const ProbeUpstream &Probe);
  /// @}

  /// @name Observers
  /// @{
  std::size_t active() const { return Active.size(); }
  std::size_t idle() const { return Idle.size(); }
  std::uint64_t opened() const { return Opened; }
  std::uint64_t reused() const { return Reused; }
  /// @}

private:
  class Exchange;
  friend class Exchange;

  std::shared_ptr<Exchange> takeIdle(bool Idempotent);
  std::shared_ptr<Exchange> openNew();
  void release(Exchange &Done);
  void discard(Exchange &Done);
  void closeStale();

  EventLoop &Loop;
  UpstreamClientHandler &Handler;
  UpstreamClientSettings Settings;
  const EdgePolicy &Edge;
  std::string Address;
  std::string HealthPath = "/";
  std::string Instance;
  std::unordered_map<const Exchange *, std::shared_ptr<Exchange>> Active;
  std::unordered_map<AttemptId, Exchange *> ByAttempt;
  /// Oldest first.
  std::vector<std::shared_ptr<Exchange>> Idle;
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
  EventLoop::TimerId StaleTimer = 0;
};

} // namespace hyssopford
