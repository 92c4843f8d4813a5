#include "commands.hpp"

#include "hyssopford/config/node_settings.hpp"
#include "hyssopford/config/secret.hpp"

#include <fmt/format.h>
#include <map>
#include <memory>
#include <ostream>
#include <tclap/CmdLine.h>

namespace hyssopford::ctl {

namespace {

constexpr const char *Version = "0.1.0";
constexpr std::int64_t DefaultTimeoutMs = 5'000;
constexpr std::int64_t DefaultWatchMs = 30'000;
constexpr std::uint64_t DefaultHistory = 20;

constexpr const char *Usage =
    "usage: hyssopctl COMMAND [OPTION...]\n"
    "\n"
    "  patch [FILE]               submit a JSON Patch (standard input without "
    "FILE)\n"
    "  show                       configuration in force\n"
    "  history                    accepted patches, newest first\n"
    "  diff FILE                  patch from the configuration in force to "
    "FILE\n"
    "  diff --from N [--to M]     patches after version N\n"
    "  status                     nodes, upstreams, drains, quarantine\n"
    "  watch [VERSION]            wait until a version is in force everywhere\n"
    "  drain ADDRESS              take the upstream of a node out of service\n"
    "  undrain ADDRESS            end a drain\n"
    "  quarantine list            fingerprints in quarantine\n"
    "  quarantine lift FINGERPRINT\n"
    "  explain --method M --host H --path P\n"
    "                             why a request would go where\n"
    "  settings --check FILE      check a file of node settings, without a "
    "site\n"
    "  settings --print-defaults  node settings at their defaults\n"
    "  routing --check FILE       check a configuration document, without a "
    "site\n"
    "\n"
    "hyssopctl COMMAND --help lists the options. Every command takes --node,\n"
    "--token-file, --timeout-ms and --json.\n";

/// Writes help to the streams of the environment.
class HelpOutput final : public TCLAP::StdOutput {
public:
  explicit HelpOutput(std::ostream &Target) : Out(Target) {}

  void usage(TCLAP::CmdLineInterface &Line) override {
    Out << Line.getProgramName() << ": " << Line.getMessage() << "\n\n";
    for (const TCLAP::Arg *Each : Line.getArgList()) {
      Out << "  " << Each->longID() << "\n      " << Each->getDescription()
          << '\n';
    }
  }
  void version(TCLAP::CmdLineInterface &Line) override {
    Out << "hyssopctl " << Line.getVersion() << '\n';
  }

private:
  std::ostream &Out;
};

/// A command line with the options that all commands share.
class CommandLine {
public:
  CommandLine(const std::string &Name, const std::string &Help,
              Environment &Where)
      : Surroundings(Where), Command(Name), Output(Where.Out),
        Line(Help, ' ', Version) {
    // The library keeps this for the whole process; the tests run many command
    // lines in one.
    TCLAP::OptionalUnlabeledTracker::alreadyOptional() = false;
    Line.setExceptionHandling(false);
    Line.setOutput(&Output);
  }

  /// Parses the arguments, connects the client and runs the command.
  ExitCode run(std::vector<std::string> Arguments,
               const std::function<ExitCode(const Session &)> &Body) {
    Arguments.insert(Arguments.begin(), "hyssopctl " + Command);
    Line.parse(Arguments);
    std::vector<std::string> Addresses = Nodes.getValue();
    if (Addresses.empty() && !Surroundings.Node.empty()) {
      Addresses.push_back(Surroundings.Node);
    }
    Client NoServer({}, {}, {});
    const Session Early{Surroundings, NoServer, Json.getValue()};
    if (Addresses.empty()) {
      return Early.usage(ErrorCode::InvalidCommand, Command, "",
                         "expected --node or HYSSOPFORD_NODE with a node's "
                         "operators' address");
    }
    const std::string File =
        TokenFile.isSet() ? TokenFile.getValue() : Surroundings.TokenFile;
    Error Fault;
    auto Token = readSecretFile(File, Fault);
    if (!Token) {
      Early.report({Fault});
      return ExitCode::Usage;
    }
    Client Server(Addresses, std::move(*Token),
                  std::chrono::milliseconds(TimeoutMs.getValue()));
    return Body(Session{Surroundings, Server, Json.getValue()});
  }

  TCLAP::CmdLine &line() { return Line; }

private:
  Environment &Surroundings;
  std::string Command;
  HelpOutput Output;
  TCLAP::CmdLine Line;
  TCLAP::MultiArg<std::string> Nodes{
      "n",
      "node",
      "operators' address of a node; further ones are tried in turn (default: "
      "HYSSOPFORD_NODE)",
      false,
      "ip:port",
      Line};
  TCLAP::ValueArg<std::string> TokenFile{
      "k",
      "token-file",
      "file with the token (default: HYSSOPFORD_TOKEN_FILE)",
      false,
      "",
      "file",
      Line};
  TCLAP::ValueArg<std::int64_t> TimeoutMs{
      "",    "timeout-ms",     "longest wait for each step of a call",
      false, DefaultTimeoutMs, "ms",
      Line};
  TCLAP::SwitchArg Json{"j", "json", "print JSON", Line};
};

using Arguments = std::vector<std::string>;

ExitCode runPatch(const Arguments &Words, Environment &Where) {
  CommandLine Command("patch", "Submits a JSON Patch", Where);
  TCLAP::UnlabeledValueArg<std::string> File(
      "file",
      "JSON Patch, or the output of diff --json; - is the standard "
      "input",
      false, "-", "FILE", Command.line());
  TCLAP::ValueArg<std::uint64_t> Base("b", "base",
                                      "version that the patch was written for",
                                      false, 0, "version", Command.line());
  TCLAP::ValueArg<std::string> Author("a", "author", "author in the history",
                                      false, Where.User, "name",
                                      Command.line());
  TCLAP::ValueArg<std::string> PatchId(
      "i", "patch-id", "id of an earlier submission with unknown outcome",
      false, "", "id", Command.line());
  TCLAP::SwitchArg DryRun("d", "dry-run", "only validate", Command.line());
  return Command.run(Words, [&](const Session &Run) {
    return patch(Run,
                 {File.getValue(),
                  Base.isSet() ? std::optional(Base.getValue()) : std::nullopt,
                  PatchId.getValue(), Author.getValue(), DryRun.getValue()});
  });
}

ExitCode runHistory(const Arguments &Words, Environment &Where) {
  CommandLine Command("history", "Lists accepted patches", Where);
  TCLAP::ValueArg<std::uint64_t> Limit("l", "limit", "most patches listed",
                                       false, DefaultHistory, "count",
                                       Command.line());
  return Command.run(Words, [&](const Session &Run) {
    return history(Run, Limit.getValue());
  });
}

ExitCode runDiff(const Arguments &Words, Environment &Where) {
  CommandLine Command("diff", "Shows differences", Where);
  TCLAP::UnlabeledValueArg<std::string> File(
      "file", "configuration document to compare with", false, "", "FILE",
      Command.line());
  TCLAP::ValueArg<std::uint64_t> From("f", "from", "version to start after",
                                      false, 0, "version", Command.line());
  TCLAP::ValueArg<std::uint64_t> To("t", "to", "last version", false, 0,
                                    "version", Command.line());
  return Command.run(Words, [&](const Session &Run) {
    if (File.isSet() == From.isSet()) {
      return Run.usage(ErrorCode::InvalidCommand, "diff", "",
                       "expected either FILE or --from");
    }
    return File.isSet() ? diffFile(Run, File.getValue())
                        : diffVersions(Run, From.getValue(),
                                       To.isSet() ? std::optional(To.getValue())
                                                  : std::nullopt);
  });
}

ExitCode runWatch(const Arguments &Words, Environment &Where) {
  CommandLine Command("watch", "Waits until a version is in force", Where);
  TCLAP::UnlabeledValueArg<std::uint64_t> Target(
      "target", "the version (default: that of the node asked)", false, 0,
      "VERSION", Command.line());
  TCLAP::ValueArg<std::int64_t> Limit("w", "wait-ms", "longest wait", false,
                                      DefaultWatchMs, "ms", Command.line());
  return Command.run(Words, [&](const Session &Run) {
    return watch(
        Run, Target.isSet() ? std::optional(Target.getValue()) : std::nullopt,
        std::chrono::milliseconds(Limit.getValue()));
  });
}

ExitCode runExplain(const Arguments &Words, Environment &Where) {
  CommandLine Command("explain", "Says why a request would go where", Where);
  TCLAP::ValueArg<std::string> Method("m", "method", "method", false, "GET",
                                      "method", Command.line());
  TCLAP::ValueArg<std::string> Host("o", "host", "host", false, "", "host",
                                    Command.line());
  TCLAP::ValueArg<std::string> Path("p", "path", "path", true, "", "path",
                                    Command.line());
  return Command.run(Words, [&](const Session &Run) {
    return explain(Run, Method.getValue(), Host.getValue(), Path.getValue());
  });
}

using ChangeFunction = ExitCode (*)(const Session &, const std::string &,
                                    const ChangeOptions &);

ExitCode runChange(const std::string &Name, const std::string &Help,
                   const std::string &Target, ChangeFunction Function,
                   const Arguments &Words, Environment &Where) {
  CommandLine Command(Name, Help, Where);
  TCLAP::UnlabeledValueArg<std::string> Subject(Target, Target, true, "",
                                                Target, Command.line());
  TCLAP::ValueArg<std::string> Author("a", "author", "author in the history",
                                      false, Where.User, "name",
                                      Command.line());
  TCLAP::SwitchArg DryRun("d", "dry-run", "only validate", Command.line());
  TCLAP::SwitchArg Force("", "force", "accept an unknown target",
                         Command.line());
  return Command.run(Words, [&](const Session &Run) {
    return Function(Run, Subject.getValue(),
                    {Author.getValue(), DryRun.getValue(), Force.getValue()});
  });
}

ExitCode runPlain(const std::string &Name, const std::string &Help,
                  ExitCode (*Function)(const Session &), const Arguments &Words,
                  Environment &Where) {
  CommandLine Command(Name, Help, Where);
  return Command.run(Words, Function);
}

ExitCode runQuarantine(Arguments Words, Environment &Where) {
  const std::string Name = Words.empty() ? "" : Words.front();
  if (Name != "list" && Name != "lift") {
    Where.Err << "hyssopctl: expected quarantine list or quarantine lift\n";
    return ExitCode::Usage;
  }
  Words.erase(Words.begin());
  return Name == "list"
             ? runPlain("quarantine list", "Lists fingerprints in quarantine",
                        listQuarantine, Words, Where)
             : runChange("quarantine lift", "Lifts a quarantine", "FINGERPRINT",
                         liftQuarantine, Words, Where);
}

/// The commands that need no site: settings and routing.
ExitCode runCheck(const std::string &Name, Arguments Words,
                  Environment &Where) {
  HelpOutput Output(Where.Out);
  TCLAP::CmdLine Line("Checks a file", ' ', Version);
  Line.setExceptionHandling(false);
  Line.setOutput(&Output);
  TCLAP::ValueArg<std::string> File("c", "check", "file to check", false, "",
                                    "FILE", Line);
  TCLAP::SwitchArg Defaults("", "print-defaults",
                            "print node settings at their defaults", Line);
  Words.insert(Words.begin(), "hyssopctl " + Name);
  Line.parse(Words);
  const bool IsSettings = Name == "settings";
  if (Defaults.getValue() && IsSettings) {
    Where.Out << defaultNodeSettings() << '\n';
    return ExitCode::Done;
  }
  if (!File.isSet()) {
    Where.Err << "hyssopctl: expected --check FILE"
              << (IsSettings ? " or --print-defaults\n" : "\n");
    return ExitCode::Usage;
  }
  return IsSettings ? checkSettingsFile(File.getValue(), Where.Out)
                    : checkRoutingFile(File.getValue(), Where.Out);
}

ExitCode dispatch(const std::string &Name, const Arguments &Words,
                  Environment &Where) {
  using Handler = std::function<ExitCode()>;
  const std::map<std::string, Handler> Handlers{
      {"patch", [&] { return runPatch(Words, Where); }},
      {"show",
       [&] {
         return runPlain("show", "Shows the configuration in force", show,
                         Words, Where);
       }},
      {"history", [&] { return runHistory(Words, Where); }},
      {"diff", [&] { return runDiff(Words, Where); }},
      {"status",
       [&] {
         return runPlain("status", "Shows the site", status, Words, Where);
       }},
      {"watch", [&] { return runWatch(Words, Where); }},
      {"drain",
       [&] {
         return runChange("drain",
                          "Takes the upstream of a node out of service",
                          "ADDRESS", drain, Words, Where);
       }},
      {"undrain",
       [&] {
         return runChange("undrain", "Ends a drain", "ADDRESS", undrain, Words,
                          Where);
       }},
      {"quarantine", [&] { return runQuarantine(Words, Where); }},
      {"settings", [&] { return runCheck(Name, Words, Where); }},
      {"routing", [&] { return runCheck(Name, Words, Where); }},
      {"explain", [&] { return runExplain(Words, Where); }}};
  const auto Found = Handlers.find(Name);
  if (Found == Handlers.end()) {
    Where.Err << fmt::format("hyssopctl: unknown command \"{}\"\n{}", Name,
                             Usage);
    return ExitCode::Usage;
  }
  return Found->second();
}

} // namespace

int run(const std::vector<std::string> &Words, Environment &Where) {
  if (Words.empty() || Words.front() == "--help" || Words.front() == "help") {
    (Words.empty() ? Where.Err : Where.Out) << Usage;
    return static_cast<int>(Words.empty() ? ExitCode::Usage : ExitCode::Done);
  }
  if (Words.front() == "--version") {
    Where.Out << "hyssopctl " << Version << '\n';
    return static_cast<int>(ExitCode::Done);
  }
  try {
    return static_cast<int>(dispatch(
        Words.front(), Arguments(Words.begin() + 1, Words.end()), Where));
  } catch (const TCLAP::ArgException &Fault) {
    Where.Err << "hyssopctl: "
              << toString(Error{numberOf(ErrorCode::InvalidCommand),
                                Words.front(), Fault.argId(), Fault.error()})
              << '\n';
    return static_cast<int>(ExitCode::Usage);
  } catch (const nlohmann::json::exception &Fault) {
    // A member of an answer has another type than docs/operators-api.md says.
    Where.Err << "hyssopctl: "
              << toString(Error{numberOf(ErrorCode::MalformedAnswer),
                                Words.front(), "", Fault.what()})
              << '\n';
    return static_cast<int>(ExitCode::Unreachable);
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus();
  }
}

} // namespace hyssopford::ctl
