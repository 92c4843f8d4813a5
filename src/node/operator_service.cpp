#include "hyssopford/node/operator_service.hpp"

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

/// Largest body of an operator's request: a patch on a configuration, which
/// itself is below 1 MB.
constexpr std::uint64_t BodyLimit = 1'048'576;
constexpr std::size_t DefaultHistory = 50;
constexpr std::size_t MaximumHistory = 1'000;

Payload answer(int Status, const json &Body, const std::string &Fields = {}) {
  return makeHttpAnswer(
      Status, Fields + "Content-Type: application/json\r\n",
      Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

Payload problem(int Status, ErrorCode Code, const std::string &Reason) {
  return answer(
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
    // A malformed query has no values.
  }
  return {};
}

/// Reads a submission; unknown fields are refused.
std::optional<PatchSubmitted> parseSubmission(const std::string &Text,
                                              std::string &Reason) {
  static const std::set<std::string> Known{"patch_id", "base_version", "author",
                                           "dry_run", "patch"};
  PatchSubmitted Result;
  try {
    const json Root = json::parse(Text);
    for (const auto &Each : Root.items()) {
      if (!Known.contains(Each.key())) {
        Reason = "unknown field " + Each.key();
        return std::nullopt;
      }
    }
    Result.PatchId = Root.at("patch_id").get<std::string>();
    Result.Author = Root.at("author").get<std::string>();
    Result.Base = Root.at("base_version").get<std::uint64_t>();
    Result.Patch = Root.at("patch").dump();
    Result.DryRun = Root.value("dry_run", false);
  } catch (const json::exception &Exception) {
    Reason = Exception.what();
    return std::nullopt;
  }
  Result.TimeMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return Result;
}

} // namespace

OperatorService::OperatorService(OperatorView Reported, OperatorTokens Accepted)
    : View(std::move(Reported)), Tokens(std::move(Accepted)) {}

void OperatorService::attach(HttpServer &Source) {
  Server = &Source;
  View.OperatorAddress = Source.address();
}

HeadDecision OperatorService::onHead(const Poco::Net::HTTPRequest &Head,
                                     const HttpHeadFacts & /*Facts*/) {
  constexpr std::string_view Scheme = "Bearer ";
  HeadDecision Decision;
  Decision.BodyLimit = BodyLimit;
  const std::string Given = Head.get("Authorization", "");
  const bool IsBearer = equalsIgnoreCase(
      std::string_view(Given).substr(0, Scheme.size()), Scheme);
  const std::string_view Token =
      std::string_view(Given).substr(IsBearer ? Scheme.size() : Given.size());
  const bool MayWrite = Tokens.Write.matches(Token);
  if (!MayWrite && !Tokens.Read.matches(Token)) {
    Decision.Refusal = problem(401, ErrorCode::TokenMissing,
                               "the request carries no known token");
  } else if (!MayWrite && Head.getMethod() != "GET" &&
             Head.getMethod() != "HEAD") {
    Decision.Refusal = problem(403, ErrorCode::TokenInsufficient,
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
             !read(Id, Path, Request.Head.getURI())) {
    Server->reply(
        Id, problem(404, ErrorCode::NoSuchEndpoint, "no such path or method"));
  }
}

void OperatorService::onDisconnected(RequestId Id) {
  Patches.erase(Id.Value);
  Histories.erase(Id.Value);
}

Payload OperatorService::refusal(const HttpFault &Fault) {
  return problem(Fault.Status, ErrorCode::MalformedRequest, Fault.Reason);
}

bool OperatorService::read(RequestId Id, const std::string &Path,
                           const std::string &Target) {
  json Body;
  if (Path == "/v1/version") {
    Body = versionView(View);
  } else if (Path == "/v1/config") {
    Body = configView(View);
  } else if (Path == "/v1/status") {
    Body = statusView(View);
  } else if (Path == "/v1/members") {
    Body = membersView(View);
  } else if (Path == "/v1/load") {
    Body = loadView(View);
  } else if (Path == "/v1/quarantine") {
    Body = quarantineView(View);
  } else if (Path == "/v1/node") {
    Body = nodeView(View);
  } else if (Path == "/v1/explain") {
    Body = explainView(View, queryValue(Target, "method"),
                       queryValue(Target, "host"), queryValue(Target, "path"));
  } else if (Path == "/metrics") {
    const std::string Page = View.Telemetry.render(
        View.Driver.core(), View.Links.usable(), EventLoop::now());
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
  Server->reply(Id, answer(200, Body));
  return true;
}

void OperatorService::submitPatch(RequestId Id, const std::string &Text) {
  std::string Reason;
  auto Submission = parseSubmission(Text, Reason);
  if (!Submission) {
    Server->reply(Id, problem(400, ErrorCode::MalformedRequest, Reason));
    return;
  }
  if (View.Driver.core().configSystem() == nullptr) {
    Server->reply(
        Id, problem(503, ErrorCode::StoreUnavailable, "the node has no store"));
    return;
  }
  Submission->Request = Id.Value;
  Patches[Id.Value] =
      PendingPatch{*Submission, View.Driver.core().config().Version};
  View.Driver.submit(std::move(*Submission));
}

void OperatorService::finish(const PatchResult &Result) {
  const auto Found = Patches.find(Result.Request);
  if (Found == Patches.end()) {
    return;
  }
  const PendingPatch Pending = std::move(Found->second);
  Patches.erase(Found);
  const RequestId Id{Result.Request};
  if (Result.Status != PatchStatus::Accepted) {
    json Body = errorsView(Result.Errors);
    if (Result.Version != 0) {
      Body["version"] = Result.Version;
    }
    Server->reply(Id, answer(patchStatus(Result), Body));
    return;
  }
  json Body{{"status", Result.DryRun ? "valid" : "accepted"},
            {"version", Result.Version},
            {"patch_id", Result.PatchId}};
  if (Result.DryRun) {
    Error Fault;
    const auto Document =
        applyJsonPatch(renderRoutingConfig(View.Driver.core().config()),
                       Pending.Submission.Patch, Fault);
    Body["document"] = Document ? json::parse(*Document) : json();
  } else {
    // A version in force before the submission cannot come from it.
    Body["already_applied"] = Result.Version <= Pending.VersionBefore;
  }
  Server->reply(Id, answer(200, Body));
}

void OperatorService::requestHistory(RequestId Id, const std::string &Limit) {
  std::size_t Count = DefaultHistory;
  const char *const End = Limit.data() + Limit.size();
  const auto Parsed = std::from_chars(Limit.data(), End, Count);
  if (!Limit.empty() && (Parsed.ec != std::errc() || Parsed.ptr != End ||
                         Count == 0 || Count > MaximumHistory)) {
    Server->reply(Id, problem(400, ErrorCode::MalformedRequest,
                              "limit: expected 1 to 1000"));
    return;
  }
  if (View.Driver.core().configSystem() == nullptr) {
    Server->reply(
        Id,
        answer(200, historyView(HistoryResult(),
                                View.Driver.core().config().Version, Count)));
    return;
  }
  Histories[Id.Value] = Count;
  HistoryRequested Question;
  Question.Request = Id.Value;
  View.Driver.submit(Question);
}

void OperatorService::finish(const HistoryResult &Result) {
  const auto Found = Histories.find(Result.Request);
  if (Found == Histories.end()) {
    return;
  }
  const std::size_t Limit = Found->second;
  Histories.erase(Found);
  const RequestId Id{Result.Request};
  if (!Result.Errors.empty()) {
    Server->reply(Id, answer(503, errorsView(Result.Errors)));
    return;
  }
  Server->reply(
      Id, answer(200, historyView(Result, View.Driver.core().config().Version,
                                  Limit)));
}

} // namespace hyssopford
