/// @file
/// @brief The runs of a node within one process.
#pragma once

#include "hyssopford/core/ids.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace hyssopford {

/// @brief One run of a node, as a supervisor sees it.
class NodeRunner {
public:
  virtual ~NodeRunner() = default;

  /// @brief Runs until shutdown.
  /// @return whether all requests in flight ended with their own outcome
  virtual bool run() = 0;

  /// @brief Starts a graceful shutdown. May be called from any thread, also
  /// before run().
  virtual void requestShutdown() = 0;

  /// @return the incarnation with which the node must start again, if any
  virtual std::optional<Incarnation> requiredIncarnation() const = 0;
};

/// @brief Runs a node, and starts it again under a higher incarnation when the
/// site requires one. A request to shut down holds for the process: no further
/// run starts after it.
class NodeSupervisor {
public:
  /// Starts a run whose incarnation is at least the given one.
  using Factory = std::function<std::unique_ptr<NodeRunner>(Incarnation Least)>;

  /// @param StartRun starts the runs
  explicit NodeSupervisor(Factory StartRun) : Start(std::move(StartRun)) {}
  NodeSupervisor(const NodeSupervisor &) = delete;
  NodeSupervisor &operator=(const NodeSupervisor &) = delete;

  /// @brief Runs the node until it is shut down.
  /// @return whether all requests in flight of the last run ended with their
  /// own outcome; true if none has started
  bool run();

  /// @brief Starts the shutdown. May be called from any thread, at any time.
  void requestShutdown();

private:
  bool isStopping() const;
  /// Makes a run the one that is to be shut down; null for none.
  void setCurrent(NodeRunner *Run);

  Factory Start;
  mutable std::mutex Mutex;
  bool Stopping = false;
  NodeRunner *Current = nullptr;
};

} // namespace hyssopford
