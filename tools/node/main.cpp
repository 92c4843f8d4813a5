/// @file
/// @brief The node daemon.
#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/node/node_runtime.hpp"
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

/// Exit status when requests in flight had to be abandoned.
constexpr int ExitInterrupted = 1;
/// Exit status for bad settings or an address in use.
constexpr int ExitSettings = 2;

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

/// What the command line says.
struct Command {
  std::string SettingsPath;
  std::string ReadyPath;
  std::string RoutingPath;
  bool Records = false;
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

/// Runs the node once.
/// Returns the exit status, or the incarnation to start again with.
int runOnce(const NodeRuntimeSettings &Settings, const Command &Given,
            const std::optional<RoutingConfig> &Routing,
            std::optional<Incarnation> &StartAgain) {
  NodeRuntime Node(Settings);
  if (Routing) {
    Node.adopt(*Routing);
  }
  if (!Given.ReadyPath.empty() && !writeReadyFile(Node, Given.ReadyPath)) {
    fmt::print(stderr, "event=ready_file_failed path=\"{}\"\n",
               Given.ReadyPath);
    return ExitSettings;
  }
  fmt::print(stderr, "event=ready node={} caller={} local={} peer={} ops={}\n",
             toString(Node.core().self().Node), Node.callerAddress(),
             Node.localAddress(), Node.peerAddress(), Node.operatorAddress());
  const ProcessSignals Signals([&] { Node.requestShutdown(); }, [] {});
  const bool Finished = Node.run();
  StartAgain = Node.requiredIncarnation();
  fmt::print(stderr, "event=stopped complete={}\n", Finished);
  return Finished ? EXIT_SUCCESS : ExitInterrupted;
}

int runNode(const Command &Given) {
  std::vector<Error> Faults;
  const auto Settings = readNodeSettings(Given.SettingsPath, Faults);
  if (!Settings) {
    return reportFaults(Faults);
  }
  const auto Secrets = loadSecrets(*Settings, Faults);
  if (!Secrets) {
    return reportFaults(Faults);
  }
  std::optional<RoutingConfig> Routing;
  if (!Given.RoutingPath.empty()) {
    Routing = readRouting(Given.RoutingPath, Faults);
    if (!Routing) {
      return reportFaults(Faults);
    }
  }
  NodeRuntimeSettings Runtime = runtimeSettings(*Settings, *Secrets);
  if (Given.Records) {
    Runtime.Recording = [](std::string_view Line) {
      fmt::print("{}\n", Line);
      std::fflush(stdout);
    };
  }
  while (true) {
    std::optional<Incarnation> StartAgain;
    const int Status = runOnce(Runtime, Given, Routing, StartAgain);
    if (!StartAgain) {
      return Status;
    }
    Runtime.MinIncarnation = *StartAgain;
  }
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
  try {
    TCLAP::CmdLine Line("Node of the hyssopford load balancer", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> SettingsPath(
        "s", "settings", "settings file (JSON)", false, "", "file", Line);
    TCLAP::ValueArg<std::string> ReadyPath(
        "r", "ready-file", "file to write the addresses in use to", false, "",
        "file", Line);
    TCLAP::ValueArg<std::string> RoutingPath(
        "", "routing", "routing configuration to start with, as version 1",
        false, "", "file", Line);
    TCLAP::SwitchArg Records(
        "", "record", "write a trace of answered requests to standard output",
        Line);
    TCLAP::SwitchArg Check("", "check", "report all faults of the settings",
                           Line);
    TCLAP::SwitchArg Defaults("", "print-defaults",
                              "print settings with all defaults", Line);
    Line.parse(Count, Arguments);
    if (Defaults.getValue()) {
      fmt::print("{}\n", defaultNodeSettings());
      return EXIT_SUCCESS;
    }
    if (SettingsPath.getValue().empty()) {
      fmt::print(stderr, "--settings is missing\n");
      return ExitSettings;
    }
    if (Check.getValue()) {
      return check(SettingsPath.getValue());
    }
    return runNode(Command{SettingsPath.getValue(), ReadyPath.getValue(),
                           RoutingPath.getValue(), Records.getValue()});
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{}: {}\n", Fault.argId(), Fault.error());
  } catch (const Poco::Exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.displayText());
  } catch (const std::exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.what());
  }
  return ExitSettings;
}
