#include "hyssopford/node/operator_service.hpp"

#include "hyssopford/config/record_reader.hpp"
#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/core/error_codes.hpp"
#include "hyssopford/net/http_forward.hpp"
#include "operator_views.hpp"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace hyssopford {

namespace {

using nlohmann::json;

/// Largest request body in bytes. It holds a patch; the configuration that the
/// patch changes is itself below 1 MB.
constexpr std::uint64_t BodyLimit = 1'048'576;
constexpr std::size_t DefaultHistory = 50;
constexpr std::size_t MaximumHistory = 1'000;

Payload jsonAnswer(int Status, const json &Body,
                   const std::string &Fields = {}) {
  return makeHttpAnswer(
      Status, Fields + "Content-Type: application/json\r\n",
      Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

Payload errorAnswer(int Status, ErrorCode Code, const std::string &Reason) {
  return jsonAnswer(
      Status,
      errorsView({Error{static_cast<int>(Code), "operators", "", Reason}}),
      Status == 401 ? "WWW-Authenticate: Bearer\r\n" : "");
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  try {
    for (const auto &[Key, Value] : Poco::URI(Target).getQueryParameters()) {
      if (Key == Name) {
        return Value;
      }
    }
  } catch (const Poco::Exception &) {
    // A malformed query is treated as empty.
  }
  return {};
}

/// Parses the body of POST /v1/patches. Unknown fields are an error.
std::optional<PatchSubmitted> parseSubmission(const std::string &Text,
                                              std::string &Reason) {
  static const std::set<std::string> KnownFields{"patch_id", "base_version",
                                                 "author", "dry_run", "patch"};
  PatchSubmitted Result;
  try {
    const json Root = detail::parseRecord(Text);
    for (const auto &Each : Root.items()) {
      if (!KnownFields.contains(Each.key())) {
        Reason = "unknown field " + Each.key();
        return std::nullopt;
      }
    }
    Result.PatchId = detail::textOf(Root, "patch_id");
    Result.Author = detail::textOf(Root, "author");
    Result.Base = detail::wholeNumberOf(Root, "base_version");
    Result.Patch = Root.at("patch").dump();
    Result.DryRun = Root.value("dry_run", false);
  } catch (const std::exception &Exception) {
    Reason = detail::printable(Exception.what());
    return std::nullopt;
  }
  Result.TimeMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return Result;
}

} // namespace

OperatorService::OperatorService(OperatorContext Parts, OperatorTokens Accepted)
    : Context(std::move(Parts)), Tokens(std::move(Accepted)) {}

void OperatorService::attach(HttpServer &Source) {
  Server = &Source;
  Context.OperatorAddress = Source.address();
}

HeadDecision OperatorService::onHead(const Poco::Net::HTTPRequest &Head,
                                     const HttpHeadFacts & /*Facts*/) {
  constexpr std::string_view Scheme = "Bearer ";
  HeadDecision Decision;
  Decision.BodyLimit = BodyLimit;
  const std::string Authorization = Head.get("Authorization", "");
  const bool IsBearer = equalsIgnoreCase(
      std::string_view(Authorization).substr(0, Scheme.size()), Scheme);
  const std::string_view Token =
      std::string_view(Authorization)
          .substr(IsBearer ? Scheme.size() : Authorization.size());
  const bool MayWrite = Tokens.Write.matches(Token);
  if (!MayWrite && !Tokens.Read.matches(Token)) {
    Decision.Refusal = errorAnswer(401, ErrorCode::TokenMissing,
                                   "the request carries no known token");
  } else if (!MayWrite && Head.getMethod() != "GET" &&
             Head.getMethod() != "HEAD") {
    Decision.Refusal = errorAnswer(403, ErrorCode::TokenInsufficient,
                                   "the read token does not allow changes");
  }
  return Decision;
}

void OperatorService::onRequest(RequestId Id, HttpRequest Request) {
  const std::string &Method = Request.Head.getMethod();
  const std::string Path(pathOf(Request.Head, Request.Facts));
  if (Method == "POST" && Path == "/v1/patches") {
    submitPatch(Id, Request.Body);
  } else if ((Method != "GET" && Method != "HEAD") ||
             !answerGet(Id, Path, Request.Head.getURI())) {
    Server->reply(Id, errorAnswer(404, ErrorCode::NoSuchEndpoint,
                                  "no such path or method"));
  }
}

void OperatorService::onDisconnected(RequestId Id) {
  PendingPatches.erase(Id.Value);
  HistoryLimits.erase(Id.Value);
}

Payload OperatorService::refusal(const HttpFault &Fault) {
  return errorAnswer(Fault.Status, ErrorCode::MalformedRequest, Fault.Reason);
}

bool OperatorService::answerGet(RequestId Id, const std::string &Path,
                                const std::string &Target) {
  json Body;
  if (Path == "/v1/version") {
    Body = versionView(Context);
  } else if (Path == "/v1/config") {
    Body = configView(Context);
  } else if (Path == "/v1/status") {
    Body = statusView(Context);
  } else if (Path == "/v1/members") {
    Body = membersView(Context);
  } else if (Path == "/v1/load") {
    Body = loadView(Context);
  } else if (Path == "/v1/quarantine") {
    Body = quarantineView(Context);
  } else if (Path == "/v1/node") {
    Body = nodeView(Context);
  } else if (Path == "/v1/explain") {
    Body = explainView(Context, queryValue(Target, "method"),
                       queryValue(Target, "host"), queryValue(Target, "path"));
  } else if (Path == "/metrics") {
    const std::string Page = Context.Telemetry.render(
        Context.Driver.core(), Context.Links.usable(), EventLoop::now());
    Server->reply(
        Id, makeHttpAnswer(200, "Content-Type: text/plain; version=0.0.4\r\n",
                           Page));
    return true;
  } else if (Path == "/v1/history") {
    requestHistory(Id, queryValue(Target, "limit"));
    return true;
  } else {
    return false;
  }
  Server->reply(Id, jsonAnswer(200, Body));
  return true;
}

void OperatorService::submitPatch(RequestId Id, const std::string &Text) {
  std::string Reason;
  auto Submission = parseSubmission(Text, Reason);
  if (!Submission) {
    Server->reply(Id, errorAnswer(400, ErrorCode::MalformedRequest, Reason));
    return;
  }
  if (Context.Driver.core().configSystem() == nullptr) {
    Server->reply(Id, errorAnswer(503, ErrorCode::StoreUnavailable,
                                  "the node has no store"));
    return;
  }
  Submission->Request = Id.Value;
  PendingPatches[Id.Value] =
      PendingPatch{*Submission, Context.Driver.core().config().Version};
  Context.Driver.submit(std::move(*Submission));
}

void OperatorService::onResult(const PatchResult &Result) {
  const auto Found = PendingPatches.find(Result.Request);
  if (Found == PendingPatches.end()) {
    return;
  }
  const PendingPatch Pending = std::move(Found->second);
  PendingPatches.erase(Found);
  const RequestId Id{Result.Request};
  if (Result.Status != PatchStatus::Accepted) {
    json Body = errorsView(Result.Errors);
    if (Result.Version != 0) {
      Body["version"] = Result.Version;
    }
    Server->reply(Id, jsonAnswer(patchStatus(Result), Body));
    return;
  }
  json Body{{"status", Result.DryRun ? "valid" : "accepted"},
            {"version", Result.Version},
            {"patch_id", Result.PatchId}};
  if (Result.DryRun) {
    Error Fault;
    const auto Document =
        applyJsonPatch(renderRoutingConfig(Context.Driver.core().config()),
                       Pending.Submission.Patch, Fault);
    Body["document"] = Document ? json::parse(*Document) : json();
  } else {
    // A version that was in force before the submission stems from an earlier
    // one.
    Body["already_applied"] = Result.Version <= Pending.VersionBefore;
  }
  Server->reply(Id, jsonAnswer(200, Body));
}

void OperatorService::requestHistory(RequestId Id, const std::string &Limit) {
  std::size_t Count = DefaultHistory;
  const char *const End = Limit.data() + Limit.size();
  const auto Parsed = std::from_chars(Limit.data(), End, Count);
  if (!Limit.empty() && (Parsed.ec != std::errc() || Parsed.ptr != End ||
                         Count == 0 || Count > MaximumHistory)) {
    Server->reply(Id, errorAnswer(400, ErrorCode::MalformedRequest,
                                  "limit: expected 1 to 1000"));
    return;
  }
  if (Context.Driver.core().configSystem() == nullptr) {
    Server->reply(
        Id, jsonAnswer(200, historyView(HistoryResult(),
                                        Context.Driver.core().config().Version,
                                        Count)));
    return;
  }
  HistoryLimits[Id.Value] = Count;
  HistoryRequested Input;
  Input.Request = Id.Value;
  Context.Driver.submit(Input);
}

void OperatorService::onResult(const HistoryResult &Result) {
  const auto Found = HistoryLimits.find(Result.Request);
  if (Found == HistoryLimits.end()) {
    return;
  }
  const std::size_t Limit = Found->second;
  HistoryLimits.erase(Found);
  const RequestId Id{Result.Request};
  if (!Result.Errors.empty()) {
    Server->reply(Id, jsonAnswer(503, errorsView(Result.Errors)));
    return;
  }
  Server->reply(
      Id, jsonAnswer(200,
                     historyView(Result, Context.Driver.core().config().Version,
                                 Limit)));
}

} // namespace hyssopford
