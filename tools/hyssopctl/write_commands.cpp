#include "commands.hpp"

#include "hyssopford/core/ids.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>

namespace hyssopford::ctl {

namespace {

using nlohmann::json;

/// Sends of one submission before its outcome is reported as unknown.
constexpr std::size_t MaxSends = 6;
constexpr std::chrono::milliseconds FirstPause{100};
/// New patches of one command when other operators' patches come first.
constexpr int MaxRebases = 5;

std::optional<std::string> readInput(const Session &Run,
                                     const std::string &File) {
  if (File == "-") {
    return std::string(std::istreambuf_iterator<char>(Run.Surroundings.In), {});
  }
  std::ifstream Stream(File);
  std::string Content{std::istreambuf_iterator<char>(Stream), {}};
  return Stream ? std::optional(std::move(Content)) : std::nullopt;
}

ExitCode finish(const Session &Run, const Submission &What,
                const CallResult &Result) {
  if (!Result.ok()) {
    const ExitCode Code = Run.fail(Result);
    if (Code == ExitCode::OutcomeUnknown || Code == ExitCode::Unreachable) {
      Run.Surroundings.Err << fmt::format(
          "hyssopctl: the patch may have been accepted; submit it again with "
          "--patch-id {} --base {}\n",
          What.PatchId, What.BaseVersion);
      return ExitCode::OutcomeUnknown;
    }
    return Code;
  }
  if (Run.Json) {
    Run.print(Result.Body);
    return ExitCode::Done;
  }
  Run.Surroundings.Out << fmt::format(
      "{}: version {}, patch {}{}\n", Result.Body.value("status", "accepted"),
      Result.Body.value("version", std::uint64_t{0}), What.PatchId,
      Result.Body.value("already_applied", false) ? " (accepted earlier)" : "");
  return ExitCode::Done;
}

/// Builds a patch from the configuration in force. An empty array means that
/// nothing is to be done.
using PatchBuilder =
    std::function<std::optional<json>(const json &Document, Error &Fault)>;

/// Reads the configuration, builds a patch on it and submits it. If another
/// patch came first, nothing was written, and it starts again from the newer
/// configuration.
ExitCode change(const Session &Run, const std::string &Step,
                const ChangeOptions &Options, const PatchBuilder &Build) {
  for (int Round = 0;; ++Round) {
    const CallResult Current = Run.Server.get(Step, "/v1/config");
    if (!Current.ok()) {
      return Run.fail(Current);
    }
    Error Fault;
    const auto Patch =
        Build(Current.Body.value("document", json::object()), Fault);
    if (!Patch) {
      Run.report({Fault});
      return ExitCode::Usage;
    }
    const auto Version = Current.Body.value("version", std::uint64_t{0});
    if (Patch->empty()) {
      if (Run.Json) {
        Run.print({{"status", "unchanged"}, {"version", Version}});
      } else {
        Run.Surroundings.Out << "unchanged: version " << Version << '\n';
      }
      return ExitCode::Done;
    }
    const Submission What{Run.Surroundings.NewPatchId(), Version,
                          Options.Author, Options.DryRun, *Patch};
    const CallResult Result = submit(Run, What);
    if (!Result.ok() && exitCodeOf(Result) == ExitCode::Conflict &&
        Round < MaxRebases) {
      Run.Surroundings.Sleep(FirstPause);
      continue;
    }
    return finish(Run, What, Result);
  }
}

json listOf(const json &Document, const char *Name) {
  const auto Found = Document.find(Name);
  return Found != Document.end() && Found->is_array() ? *Found : json::array();
}

/// Adds an element at the end of an array that may be absent.
json appendOperation(const json &Document, const std::string &Array,
                     const json &Value) {
  if (!Document.contains(Array)) {
    return json::array({{{"op", "add"},
                         {"path", "/" + Array},
                         {"value", json::array({Value})}}});
  }
  return json::array(
      {{{"op", "add"}, {"path", "/" + Array + "/-"}, {"value", Value}}});
}

/// Whether an array of objects in an answer has an element with a member.
bool contains(const json &Body, const char *Array, const char *Member,
              const std::string &Value) {
  const json List = listOf(Body, Array);
  return std::any_of(List.begin(), List.end(), [&](const json &Each) {
    return Each.is_object() && Each.value(Member, "") == Value;
  });
}

} // namespace

CallResult submit(const Session &Run, const Submission &What) {
  const json Document{{"patch_id", What.PatchId},
                      {"base_version", What.BaseVersion},
                      {"author", What.Author},
                      {"dry_run", What.DryRun},
                      {"patch", What.Patch}};
  const std::vector<std::string> &Nodes = Run.Server.nodes();
  CallResult Result;
  bool MayBeWritten = false;
  std::chrono::milliseconds Pause = FirstPause;
  for (std::size_t Send = 0; Send < MaxSends; ++Send) {
    if (Send > 0) {
      Run.Surroundings.Sleep(Pause);
      Pause *= 2;
    }
    Result = Run.Server.postTo(Nodes[Send % Nodes.size()], "patch.submit",
                               "/v1/patches", Document);
    const bool IsUnresolved = Result.Status == 0 || Result.Status == 504;
    // A node that cannot reach the store cannot tell what became of an earlier
    // send, so its answer does not resolve one.
    const bool CannotResolve = MayBeWritten && Result.Status == 503;
    if (!IsUnresolved && !CannotResolve) {
      return Result;
    }
    MayBeWritten = true;
  }
  if (!What.DryRun) {
    Result.Status = 504;
  }
  return Result;
}

ExitCode patch(const Session &Run, const PatchOptions &Options) {
  const auto Input = readInput(Run, Options.File);
  if (!Input) {
    return Run.usage(ErrorCode::InputUnreadable, "patch.read", Options.File,
                     "cannot be read; expected a JSON Patch");
  }
  json Content = json::parse(*Input, nullptr, false);
  std::optional<std::uint64_t> Base = Options.Base;
  // The output of diff --json holds the base beside the patch.
  if (Content.is_object() && Content.contains("patch") &&
      Content.contains("base_version")) {
    const json &Stated = Content["base_version"];
    if (!Base && Stated.is_number_unsigned()) {
      Base = Stated.get<std::uint64_t>();
    }
    Content = json(Content["patch"]);
  }
  if (!Content.is_array()) {
    return Run.usage(ErrorCode::InputUnreadable, "patch.read", Options.File,
                     "expected a JSON Patch (an array of operations)");
  }
  if (!Base) {
    return Run.usage(ErrorCode::InvalidCommand, "patch", "",
                     "expected --base with the version that the patch was "
                     "written for");
  }
  const Submission What{Options.PatchId.empty() ? Run.Surroundings.NewPatchId()
                                                : Options.PatchId,
                        *Base, Options.Author, Options.DryRun, Content};
  return finish(Run, What, submit(Run, What));
}

ExitCode drain(const Session &Run, const std::string &Address,
               const ChangeOptions &Options) {
  if (!Options.Force) {
    const CallResult Site = Run.Server.get("drain", "/v1/status");
    if (!Site.ok()) {
      return Run.fail(Site);
    }
    if (!contains(Site.Body, "nodes", "address", Address)) {
      return Run.usage(ErrorCode::UnknownNode, "drain", Address,
                       "no node has this peer address; expected one of the "
                       "addresses of hyssopctl status, or --force");
    }
  }
  return change(Run, "drain", Options, [&](const json &Document, Error &) {
    const json Drains = listOf(Document, "drains");
    const bool Drained =
        std::find(Drains.begin(), Drains.end(), Address) != Drains.end();
    return std::optional(
        Drained ? json::array() : appendOperation(Document, "drains", Address));
  });
}

ExitCode undrain(const Session &Run, const std::string &Address,
                 const ChangeOptions &Options) {
  return change(
      Run, "undrain", Options,
      [&](const json &Document, Error &Fault) -> std::optional<json> {
        const json Drains = listOf(Document, "drains");
        const auto Found = std::find(Drains.begin(), Drains.end(), Address);
        if (Found == Drains.end()) {
          Fault = Error{numberOf(ErrorCode::NotDrained), "undrain", Address,
                        "not drained; expected one of the addresses that "
                        "hyssopctl show lists under DRAINS"};
          return std::nullopt;
        }
        const std::string Path =
            fmt::format("/drains/{}", std::distance(Drains.begin(), Found));
        return json::array(
            {{{"op", "test"}, {"path", Path}, {"value", Address}},
             {{"op", "remove"}, {"path", Path}}});
      });
}

ExitCode liftQuarantine(const Session &Run, const std::string &Fingerprint,
                        const ChangeOptions &Options) {
  if (!Options.Force) {
    const CallResult Held = Run.Server.get("quarantine", "/v1/quarantine");
    if (!Held.ok()) {
      return Run.fail(Held);
    }
    if (!contains(Held.Body, "entries", "fingerprint", Fingerprint)) {
      return Run.usage(ErrorCode::NotQuarantined, "quarantine.lift",
                       Fingerprint,
                       "not in quarantine; expected a fingerprint of hyssopctl "
                       "quarantine list, or --force");
    }
  }
  return change(
      Run, "quarantine.lift", Options, [&](const json &Document, Error &) {
        const json Lifts = listOf(Document, "quarantine_lifts");
        for (std::size_t Index = 0; Index < Lifts.size(); ++Index) {
          const json &Each = Lifts[Index];
          if (Each.is_object() &&
              Each.value("fingerprint", "") == Fingerprint) {
            json Raised = Each;
            Raised["serial"] = Each.value("serial", std::uint64_t{0}) + 1;
            const std::string Path = fmt::format("/quarantine_lifts/{}", Index);
            return std::optional(json::array(
                {{{"op", "test"}, {"path", Path}, {"value", Each}},
                 {{"op", "replace"}, {"path", Path}, {"value", Raised}}}));
          }
        }
        return std::optional(
            appendOperation(Document, "quarantine_lifts",
                            json{{"fingerprint", Fingerprint}, {"serial", 1}}));
      });
}

} // namespace hyssopford::ctl
