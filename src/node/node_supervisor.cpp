#include "hyssopford/node/node_supervisor.hpp"

namespace hyssopford {

bool NodeSupervisor::run() {
  Incarnation Least;
  bool IsComplete = true;
  while (!isStopping()) {
    const std::unique_ptr<NodeRunner> Run = Start(Least);
    setCurrent(Run.get());
    IsComplete = Run->run();
    setCurrent(nullptr);
    const std::optional<Incarnation> Required = Run->requiredIncarnation();
    if (!Required) {
      break;
    }
    Least = *Required;
  }
  return IsComplete;
}

void NodeSupervisor::requestShutdown() {
  const std::scoped_lock Lock(Mutex);
  Stopping = true;
  if (Current != nullptr) {
    Current->requestShutdown();
  }
}

bool NodeSupervisor::isStopping() const {
  const std::scoped_lock Lock(Mutex);
  return Stopping;
}

void NodeSupervisor::setCurrent(NodeRunner *Run) {
  const std::scoped_lock Lock(Mutex);
  Current = Run;
  if (Stopping && Current != nullptr) {
    // The request came while the run was starting, which listens already.
    Current->requestShutdown();
  }
}

} // namespace hyssopford
