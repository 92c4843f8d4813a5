#include "commands.hpp"
#include "table.hpp"

#include <Poco/URI.h>
#include <fmt/format.h>
#include <fstream>
#include <ostream>
#include <sstream>

namespace hyssopford::ctl {

namespace {

using nlohmann::json;

/// Elements of an array member; none if it is absent or of another type.
json listOf(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_array() ? *Found : json::array();
}

std::string joined(const json &List) {
  std::string Result;
  for (const json &Each : List) {
    Result += (Result.empty() ? "" : ",") + cell(Each);
  }
  return Result.empty() ? "any" : Result;
}

void printOperations(std::ostream &Out, const json &Patch,
                     const json &Before = json()) {
  for (const json &Each : Patch) {
    const std::string Op = cell(Each, "op");
    const std::string Path = cell(Each, "path");
    Out << "  " << Op << ' ' << Path;
    const json::json_pointer At(Each.value("path", ""));
    if (Before.is_object() && Op != "add" && Before.contains(At)) {
      Out << ": " << Before.at(At).dump();
    }
    if (Each.contains("value")) {
      Out << (Op == "add" ? ": " : " -> ") << Each["value"].dump();
    }
    if (Each.contains("from")) {
      Out << " from " << cell(Each, "from");
    }
    Out << '\n';
  }
}

void printQuarantine(std::ostream &Out, const json &Entries) {
  Table Rows({"FINGERPRINT", "ROUTE", "METHOD", "CRASHES", "REMAINING_MS"});
  for (const json &Each : Entries) {
    Rows.add({cell(Each, "fingerprint"), cell(Each, "route"),
              cell(Each, "method"), cell(Each, "crashes"),
              cell(Each, "remaining_ms")});
  }
  Out << "QUARANTINE\n" << Rows.render();
}

void printNodes(std::ostream &Out, const json &Nodes) {
  Table Rows({"ADDRESS", "FAILURE_DOMAIN", "REGION", "STATE", "VERSION",
              "VERSION_AGE_MS"});
  for (const json &Each : Nodes) {
    Rows.add({cell(Each, "address"), cell(Each, "failure_domain"),
              cell(Each, "region"), cell(Each, "state"), cell(Each, "version"),
              cell(Each, "version_age_ms")});
  }
  Out << "NODES\n" << Rows.render();
}

void printUpstreams(std::ostream &Out, const json &Upstreams) {
  Table Rows({"ADDRESS", "SERVICE", "STATE", "DRAINED", "SLOTS", "LIMIT",
              "IN_FLIGHT", "QUEUED", "SERVICE_US", "REPORT_AGE_MS"});
  for (const json &Each : Upstreams) {
    Rows.add({cell(Each, "address"), cell(Each, "service"), cell(Each, "state"),
              cell(Each, "drained"), cell(Each, "slots"), cell(Each, "limit"),
              cell(Each, "in_flight"), cell(Each, "queued"),
              cell(Each, "service_time_us"), cell(Each, "report_age_ms")});
  }
  Out << "UPSTREAMS\n" << Rows.render();
}

} // namespace

ExitCode show(const Session &Run) {
  const CallResult Result = Run.Server.get("show", "/v1/config");
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  if (Run.Json) {
    Run.print(Result.Body);
    return ExitCode::Done;
  }
  const json Document = Result.Body.value("document", json::object());
  std::ostream &Out = Run.Surroundings.Out;
  Out << "version " << cell(Result.Body, "version") << "\n\nROUTES\n";
  Table Rows({"NAME", "HOST", "PREFIX", "METHODS", "SERVICE", "DEADLINE_MS",
              "IDEMPOTENT", "PRIORITY", "TRIES", "BODY_LIMIT"});
  for (const json &Each : listOf(Document, "routes")) {
    Rows.add(
        {cell(Each, "name"), cell(Each, "host"), cell(Each, "path_prefix"),
         joined(listOf(Each, "methods")), cell(Each, "service"),
         cell(Each, "deadline_ms"),
         Each.contains("idempotent") ? cell(Each, "idempotent") : "by method",
         cell(Each, "priority"), cell(Each, "try_limit"),
         cell(Each, "body_limit")});
  }
  Out << Rows.render() << "\nDRAINS\n";
  Table Drains({"ADDRESS"});
  for (const json &Each : listOf(Document, "drains")) {
    Drains.add({cell(Each)});
  }
  Out << Drains.render() << "\nQUARANTINE LIFTS\n";
  Table Lifts({"FINGERPRINT", "SERIAL"});
  for (const json &Each : listOf(Document, "quarantine_lifts")) {
    Lifts.add({cell(Each, "fingerprint"), cell(Each, "serial")});
  }
  Out << Lifts.render();
  return ExitCode::Done;
}

ExitCode history(const Session &Run, std::uint64_t Limit) {
  const CallResult Result =
      Run.Server.get("history", fmt::format("/v1/history?limit={}", Limit));
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  if (Run.Json) {
    Run.print(Result.Body);
    return ExitCode::Done;
  }
  Table Rows({"VERSION", "TIME", "AUTHOR", "BASE", "OPERATIONS", "PATCH_ID"});
  for (const json &Each : listOf(Result.Body, "entries")) {
    Rows.add({cell(Each, "version"), cell(Each, "time"), cell(Each, "author"),
              cell(Each, "base_version"),
              std::to_string(listOf(Each, "patch").size()),
              cell(Each, "patch_id")});
  }
  Run.Surroundings.Out << Rows.render();
  return ExitCode::Done;
}

ExitCode diffFile(const Session &Run, const std::string &File) {
  std::ifstream Stream(File);
  std::ostringstream Content;
  Content << Stream.rdbuf();
  const json Target = json::parse(Content.str(), nullptr, false);
  if (!Stream || !Target.is_object()) {
    return Run.usage(ErrorCode::InputUnreadable, "diff.read", File,
                     "expected a readable file with a configuration document");
  }
  const CallResult Result = Run.Server.get("diff", "/v1/config");
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  const json Current = Result.Body.value("document", json::object());
  const json Patch = json::diff(Current, Target);
  if (Run.Json) {
    Run.print(
        {{"base_version", Result.Body.value("version", 0)}, {"patch", Patch}});
    return ExitCode::Done;
  }
  Run.Surroundings.Out << "version " << cell(Result.Body, "version") << " -> "
                       << File << (Patch.empty() ? ": no difference\n" : "\n");
  printOperations(Run.Surroundings.Out, Patch, Current);
  return ExitCode::Done;
}

ExitCode diffVersions(const Session &Run, std::uint64_t From,
                      std::optional<std::uint64_t> To) {
  const CallResult Result = Run.Server.get("diff", "/v1/history?limit=1000");
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  json Between = json::array();
  std::uint64_t Oldest = UINT64_MAX;
  for (const json &Each : listOf(Result.Body, "entries")) {
    const auto Version = Each.value("version", std::uint64_t{0});
    Oldest = std::min(Oldest, Version);
    if (Version > From && (!To || Version <= *To)) {
      Between.insert(Between.begin(), Each);
    }
  }
  if (Oldest != UINT64_MAX && From + 1 < Oldest) {
    return Run.usage(ErrorCode::InvalidCommand, "diff", "",
                     fmt::format("the history starts at version {}; expected "
                                 "--from {} or higher",
                                 Oldest, Oldest - 1));
  }
  if (Run.Json) {
    Run.print({{"entries", Between}});
    return ExitCode::Done;
  }
  for (const json &Each : Between) {
    Run.Surroundings.Out << "version " << cell(Each, "version") << ", "
                         << cell(Each, "time") << ", " << cell(Each, "author")
                         << '\n';
    printOperations(Run.Surroundings.Out, listOf(Each, "patch"));
  }
  return ExitCode::Done;
}

ExitCode status(const Session &Run) {
  const CallResult Result = Run.Server.get("status", "/v1/status");
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  if (Run.Json) {
    Run.print(Result.Body);
    return ExitCode::Done;
  }
  std::ostream &Out = Run.Surroundings.Out;
  Out << "version " << cell(Result.Body, "version") << " at node "
      << cell(Result.Body, "address") << "\n\n";
  printNodes(Out, listOf(Result.Body, "nodes"));
  Out << '\n';
  printUpstreams(Out, listOf(Result.Body, "upstreams"));
  Out << "\nDRAINS\n";
  Table Drains({"ADDRESS"});
  for (const json &Each : listOf(Result.Body, "drains")) {
    Drains.add({cell(Each)});
  }
  Out << Drains.render() << '\n';
  printQuarantine(Out, listOf(Result.Body, "quarantine"));
  return ExitCode::Done;
}

ExitCode listQuarantine(const Session &Run) {
  const CallResult Result = Run.Server.get("quarantine", "/v1/quarantine");
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  if (Run.Json) {
    Run.print(Result.Body);
  } else {
    printQuarantine(Run.Surroundings.Out, listOf(Result.Body, "entries"));
  }
  return ExitCode::Done;
}

ExitCode explain(const Session &Run, const std::string &Method,
                 const std::string &Host, const std::string &Path) {
  Poco::URI Target("/v1/explain");
  Target.addQueryParameter("method", Method);
  Target.addQueryParameter("host", Host);
  Target.addQueryParameter("path", Path);
  const CallResult Result = Run.Server.get("explain", Target.getPathAndQuery());
  if (!Result.ok()) {
    return Run.fail(Result);
  }
  if (Run.Json) {
    Run.print(Result.Body);
    return ExitCode::Done;
  }
  const json &Body = Result.Body;
  std::ostream &Out = Run.Surroundings.Out;
  Out << "version " << cell(Body, "version") << ", route "
      << cell(Body, "route") << ", service " << cell(Body, "service")
      << "\nidempotent " << cell(Body, "idempotent") << ", priority "
      << cell(Body, "priority") << ", deadline_ms " << cell(Body, "deadline_ms")
      << "\n\nROUTES CONSIDERED\n";
  Table Routes({"ROUTE", "MATCHES", "REASON"});
  for (const json &Each : listOf(Body, "considered")) {
    Routes.add(
        {cell(Each, "route"), cell(Each, "matches"), cell(Each, "reason")});
  }
  Out << Routes.render() << "\nCANDIDATES\n";
  Table Rows({"ADDRESS", "FAILURE_DOMAIN", "ELIGIBLE", "SCORE_US",
              "ROUND_TRIP_US", "QUEUE_US", "SERVICE_US", "FAILURE_US",
              "REPORT_AGE_MS", "REASON"});
  for (const json &Each : listOf(Body, "candidates")) {
    Rows.add({cell(Each, "address"), cell(Each, "failure_domain"),
              cell(Each, "eligible"), cell(Each, "score_us"),
              cell(Each, "round_trip_us"), cell(Each, "queue_us"),
              cell(Each, "service_us"), cell(Each, "failure_us"),
              cell(Each, "report_age_ms"), cell(Each, "reason")});
  }
  Out << Rows.render();
  return ExitCode::Done;
}

} // namespace hyssopford::ctl
