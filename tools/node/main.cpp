/// @file
/// @brief The node daemon.
#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/node/node_runtime.hpp"
#include "hyssopford/node/process_memory.hpp"
#include "hyssopford/node/process_signals.hpp"
#include "runtime_settings.hpp"

#include <Poco/Exception.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tclap/CmdLine.h>
#include <vector>

using namespace hyssopford;

namespace {

/// Exit status if requests in flight were abandoned at the drain deadline.
constexpr int ExitIncomplete = 1;
/// Exit status for bad settings or an address in use.
constexpr int ExitSettings = 2;

/// Writes the addresses in use to a file for scripts. The file is renamed into
/// place, so readers never see a partial one.
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

/// Options of the command line.
struct CommandLine {
  std::string SettingsPath;
  std::string ReadyPath;
  std::string RoutingPath;
  bool RecordTrace = false;
};

int reportFaults(const std::vector<Error> &Faults) {
  for (const Error &Each : Faults) {
    fmt::print(stderr, "{}\n", toString(Each));
  }
  return ExitSettings;
}

std::optional<RoutingConfig> readRouting(const std::string &Path,
                                         std::vector<Error> &Faults) {
  std::ifstream File(Path);
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  return parseRoutingConfig(Text, 1, Faults);
}

/// Starts a run of the node.
/// @throws std::runtime_error if the ready file cannot be written
std::unique_ptr<NodeRuntime>
startRun(const NodeRuntimeSettings &Settings, const CommandLine &Options,
         const std::optional<RoutingConfig> &Routing) {
  auto Node = std::make_unique<NodeRuntime>(Settings);
  if (Routing) {
    Node->adopt(*Routing);
  }
  if (!Options.ReadyPath.empty() && !writeReadyFile(*Node, Options.ReadyPath)) {
    throw std::runtime_error("cannot write the ready file " +
                             Options.ReadyPath);
  }
  fmt::print(stderr, "event=ready node={} caller={} local={} peer={} ops={}\n",
             toString(Node->core().self().Node), Node->callerAddress(),
             Node->localAddress(), Node->peerAddress(),
             Node->operatorAddress());
  return Node;
}

int runNode(const CommandLine &Options) {
  std::vector<Error> Faults;
  const auto Settings = readNodeSettings(Options.SettingsPath, Faults);
  if (!Settings) {
    return reportFaults(Faults);
  }
  const auto Secrets = loadSecrets(*Settings, Faults);
  if (!Secrets) {
    return reportFaults(Faults);
  }
  std::optional<RoutingConfig> Routing;
  if (!Options.RoutingPath.empty()) {
    Routing = readRouting(Options.RoutingPath, Faults);
    if (!Routing) {
      return reportFaults(Faults);
    }
  }
  NodeRuntimeSettings Runtime = runtimeSettings(*Settings, *Secrets);
  if (Options.RecordTrace) {
    Runtime.TraceSink = [](std::string_view Line) {
      fmt::print("{}\n", Line);
      std::fflush(stdout);
    };
  }
  NodeSupervisor Supervisor([&](Incarnation Least) {
    Runtime.MinIncarnation = Least;
    return startRun(Runtime, Options, Routing);
  });
  // Signals are handled for all runs, so that none falls between two of them.
  const ProcessSignals Signals([&] { Supervisor.requestShutdown(); }, [] {});
  const bool IsComplete = Supervisor.run();
  fmt::print(stderr, "event=stopped complete={}\n", IsComplete);
  return IsComplete ? EXIT_SUCCESS : ExitIncomplete;
}

int check(const std::string &Path) {
  std::vector<Error> Faults;
  if (!readNodeSettings(Path, Faults)) {
    return reportFaults(Faults);
  }
  fmt::print("{}: no faults\n", Path);
  return EXIT_SUCCESS;
}

} // namespace

int main(int Count, char **Arguments) {
  ProcessSignals::block();
  returnLargeBlocks();
  try {
    TCLAP::CmdLine Line("Node of the hyssopford load balancer", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> SettingsPath(
        "s", "settings", "settings file (JSON)", false, "", "file", Line);
    TCLAP::ValueArg<std::string> ReadyPath(
        "r", "ready-file", "file to which the addresses in use are written",
        false, "", "file", Line);
    TCLAP::ValueArg<std::string> RoutingPath(
        "", "routing", "routing configuration to start with, as version 1",
        false, "", "file", Line);
    TCLAP::SwitchArg RecordTrace(
        "", "record", "write a trace of answered requests to standard output",
        Line);
    TCLAP::SwitchArg Check("", "check",
                           "report all faults of the settings and exit", Line);
    TCLAP::SwitchArg Defaults("", "print-defaults",
                              "print the default settings and exit", Line);
    Line.parse(Count, Arguments);
    if (Defaults.getValue()) {
      fmt::print("{}\n", defaultNodeSettings());
      return EXIT_SUCCESS;
    }
    if (SettingsPath.getValue().empty()) {
      fmt::print(stderr, "the option --settings is missing\n");
      return ExitSettings;
    }
    if (Check.getValue()) {
      return check(SettingsPath.getValue());
    }
    return runNode(CommandLine{SettingsPath.getValue(), ReadyPath.getValue(),
                               RoutingPath.getValue(), RecordTrace.getValue()});
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{}: {}\n", Fault.argId(), Fault.error());
  } catch (const Poco::Exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.displayText());
  } catch (const std::exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.what());
  }
  return ExitSettings;
}
