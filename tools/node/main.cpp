/// @file
/// @brief The node daemon.
#include "hyssopford/node/node_runtime.hpp"
#include "settings_file.hpp"

#include <Poco/Exception.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <tclap/CmdLine.h>
#include <thread>

using namespace hyssopford;

namespace {

/// Exit status when requests in flight had to be abandoned.
constexpr int ExitInterrupted = 1;
/// Exit status for bad settings or an address in use.
constexpr int ExitSettings = 2;

sigset_t shutdownSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  // Ends the wait itself.
  sigaddset(&Signals, SIGUSR1);
  return Signals;
}

/// Turns the first SIGTERM or SIGINT into a graceful shutdown.
class SignalWaiter {
public:
  explicit SignalWaiter(NodeRuntime &Target)
      : Waiter([this, &Target] {
          const sigset_t Signals = shutdownSignals();
          int Received = 0;
          sigwait(&Signals, &Received);
          if (!Done) {
            Target.requestShutdown();
          }
        }) {}

  ~SignalWaiter() {
    Done = true;
    pthread_kill(Waiter.native_handle(), SIGUSR1);
    Waiter.join();
  }

  SignalWaiter(const SignalWaiter &) = delete;
  SignalWaiter &operator=(const SignalWaiter &) = delete;

private:
  std::atomic<bool> Done = false;
  std::thread Waiter;
};

/// Tells scripts which addresses the system chose. The file appears complete
/// or not at all.
bool writeReadyFile(const NodeRuntime &Node, const std::string &Path) {
  const nlohmann::json Ready{{"caller_address", Node.callerAddress()},
                             {"local_address", Node.localAddress()},
                             {"peer_address", Node.peerAddress()},
                             {"operator_address", Node.operatorAddress()},
                             {"node", toString(Node.core().self().Node)}};
  const std::string Temporary = Path + ".new";
  std::ofstream File(Temporary);
  File << Ready.dump() << '\n';
  File.close();
  return File.good() && std::rename(Temporary.c_str(), Path.c_str()) == 0;
}

int runNode(const std::string &SettingsPath, const std::string &ReadyPath) {
  Error Fault;
  const auto Settings = readSettings(SettingsPath, Fault);
  if (!Settings) {
    fmt::print(stderr, "{}\n", toString(Fault));
    return ExitSettings;
  }
  NodeRuntime Node(Settings->Node);
  if (!Settings->RoutingFile.empty()) {
    auto Routing = readRouting(Settings->RoutingFile, Fault);
    if (!Routing) {
      fmt::print(stderr, "{}\n", toString(Fault));
      return ExitSettings;
    }
    Node.adopt(std::move(*Routing));
  }
  if (!ReadyPath.empty() && !writeReadyFile(Node, ReadyPath)) {
    fmt::print(stderr, "event=ready_file_failed path=\"{}\"\n", ReadyPath);
    return ExitSettings;
  }
  fmt::print(stderr, "event=ready node={} caller={} local={} peer={} ops={}\n",
             toString(Node.core().self().Node), Node.callerAddress(),
             Node.localAddress(), Node.peerAddress(), Node.operatorAddress());
  const SignalWaiter Signals(Node);
  const bool Finished = Node.run();
  fmt::print(stderr, "event=stopped complete={}\n", Finished);
  return Finished ? EXIT_SUCCESS : ExitInterrupted;
}

} // namespace

int main(int Count, char **Arguments) {
  const sigset_t Signals = shutdownSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes while it is written to is reported by the write.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine Line("Node of the hyssopford load balancer", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> SettingsPath(
        "s", "settings", "settings file (JSON)", true, "", "file", Line);
    TCLAP::ValueArg<std::string> ReadyPath(
        "r", "ready-file", "file to write the addresses in use to", false, "",
        "file", Line);
    Line.parse(Count, Arguments);
    return runNode(SettingsPath.getValue(), ReadyPath.getValue());
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{}: {}\n", Fault.argId(), Fault.error());
  } catch (const Poco::Exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.displayText());
  } catch (const std::exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.what());
  }
  return ExitSettings;
}
