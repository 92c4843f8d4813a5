#include "hyssopford/net/http_forward.hpp"

#include "hyssopford/net/parse_number.hpp"
#include "hyssopford/telemetry/trace_parent.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <utility>
#include <vector>

namespace hyssopford {

namespace {

constexpr const char *TimeoutField = "Hyssopford-Timeout-Ms";
constexpr const char *PriorityField = "Hyssopford-Priority";
constexpr const char *ExtraField = "Hyssopford-Extra";
constexpr const char *AccountField = "Hyssopford-Account";
constexpr const char *TraceField = "traceparent";
/// Upper bound for the timeout that a caller states: one day.
constexpr std::int64_t MaximumTimeoutMs = 86'400'000;

/// Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that are replaced in
/// the forwarded message.
constexpr std::array<std::string_view, 12> DroppedFields{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "proxy-authenticate",
    "proxy-authorization",
    "expect",
    "proxy-authentication-info"};

/// Fields of requests that are replaced or not forwarded.
constexpr std::array<std::string_view, 6> DroppedRequestFields{
    "forwarded",         "x-forwarded-for", "x-forwarded-host",
    "x-forwarded-proto", "traceparent",     "via"};

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size> &Names,
              std::string_view Name) {
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Each) {
    return namesSameVariable(Each, Name);
  });
}

bool isInternal(std::string_view Name) {
  constexpr std::string_view Prefix = "hyssopford-";
  return namesSameVariable(Name.substr(0, Prefix.size()), Prefix);
}

/// Names of fields that Connection fields declare as hop-by-hop.
std::vector<std::string>
connectionFieldNames(const Poco::Net::HTTPMessage &Head) {
  std::vector<std::string> Names;
  for (auto Field = Head.find("Connection"); Field != Head.end(); ++Field) {
    if (!equalsIgnoreCase(Field->first, "connection")) {
      break;
    }
    std::string Name;
    for (const char C : Field->second + ",") {
      if (C == ',') {
        Names.push_back(Name);
        Name.clear();
      } else if (C != ' ' && C != '\t') {
        Name += C;
      }
    }
  }
  return Names;
}

bool isDropped(std::string_view Name,
               const std::vector<std::string> &ConnectionFields) {
  return contains(DroppedFields, Name) || isInternal(Name) ||
         std::any_of(
             ConnectionFields.begin(), ConnectionFields.end(),
             [&](const auto &Each) { return equalsIgnoreCase(Each, Name); });
}

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

std::string hostOf(const HttpRequest &Request) {
  return Request.Facts.TargetOffset > 0 ? Request.Facts.Host
                                        : Request.Head.get("Host", "");
}

void appendForwardingFields(std::string &Out, const HttpRequest &Request,
                            bool Trusted) {
  const std::string Ip = Request.Peer.substr(0, Request.Peer.rfind(':'));
  const std::string Host = hostOf(Request);
  const bool Quoted = Ip.find(':') != std::string::npos;
  std::string Forwarded = fmt::format("for={0}{1}{0};host=\"{2}\";proto=http",
                                      Quoted ? "\"" : "", Ip, Host);
  std::string For = Ip;
  if (Trusted && Request.Head.has("Forwarded")) {
    Forwarded = Request.Head.get("Forwarded") + ", " + Forwarded;
  }
  if (Trusted && Request.Head.has("X-Forwarded-For")) {
    For = Request.Head.get("X-Forwarded-For") + ", " + For;
  }
  appendField(Out, "Forwarded", Forwarded);
  appendField(Out, "X-Forwarded-For", For);
  appendField(Out, "X-Forwarded-Host", Host);
  appendField(Out, "X-Forwarded-Proto", "http");
  const std::string Via = Request.Head.get("Via", "");
  appendField(Out, "Via",
              Via.empty() ? "1.1 hyssopford" : Via + ", 1.1 hyssopford");
}

/// Puts the head before the body, in the memory of a large body.
Payload joinMessage(std::string Head, std::string Body, MemoryCharge Memory) {
  if (Body.size() < MemoryBudget::LargeSize) {
    Head.append(Body);
    Body.swap(Head);
  } else {
    Body.insert(0, Head);
  }
  if (Memory.size() < Body.size()) {
    Memory.resize(Body.size());
  }
  return Payload(std::move(Body), std::move(Memory));
}

} // namespace

RequestContext parseRequestContext(const Poco::Net::HTTPRequest &Head,
                                   bool Trusted) {
  RequestContext Context;
  std::int64_t Milliseconds = 0;
  if (parseNumber(Head.get(TimeoutField, ""), Milliseconds) &&
      Milliseconds >= 0) {
    Context.Deadline =
        std::chrono::milliseconds(std::min(Milliseconds, MaximumTimeoutMs));
  }
  Context.Trace = parseTraceParent(Head.get(TraceField, ""));
  if (Trusted) {
    const std::string Class = Head.get(PriorityField, "");
    if (Class == "high") {
      Context.Class = Priority::High;
    } else if (Class == "normal") {
      Context.Class = Priority::Normal;
    }
    Context.IsExtra = Head.get(ExtraField, "") == "1";
  }
  return Context;
}

std::string renderAttemptFields(const ForwardToUpstream &Attempt) {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Attempt.Remaining)
          .count();
  std::string Lines =
      fmt::format("{}: {}\r\n{}: {}\r\n{}: {}\r\n", TimeoutField,
                  std::max<std::int64_t>(Milliseconds, 0), PriorityField,
                  Attempt.Class == Priority::High ? "high" : "normal",
                  TraceField, renderTraceParent(Attempt.Trace));
  if (Attempt.IsExtra) {
    Lines += fmt::format("{}: 1\r\n", ExtraField);
  }
  if (!Attempt.Account.empty()) {
    Lines += fmt::format("{}: {}\r\n", AccountField, Attempt.Account);
  }
  return Lines;
}

Payload
renderForwardedRequest(HttpRequest Request,
                       const std::function<bool(std::string_view)> &ShouldDrop,
                       const std::string &AddedFields) {
  const Poco::Net::HTTPRequest &Head = Request.Head;
  const std::vector<std::string> ConnectionFields = connectionFieldNames(Head);
  std::string Out;
  Out.reserve(1'024 + (Request.Body.size() < MemoryBudget::LargeSize
                           ? Request.Body.size()
                           : 0));
  Out.append(Head.getMethod()).append(" ");
  Out.append(Head.getURI(), Request.Facts.TargetOffset, std::string::npos);
  Out.append(" HTTP/1.1\r\n");
  appendField(Out, "Host", hostOf(Request));
  for (const auto &[Name, Value] : Head) {
    if (!equalsIgnoreCase(Name, "host") && !isDropped(Name, ConnectionFields) &&
        !ShouldDrop(Name)) {
      appendField(Out, Name, Value);
    }
  }
  Out.append(AddedFields);
  // POST and PUT carry a length even if it is zero (RFC 9110, section 8.6).
  if (Request.Facts.Framing != BodyFraming::None ||
      Head.getMethod() == "POST" || Head.getMethod() == "PUT") {
    appendField(Out, "Content-Length", std::to_string(Request.Body.size()));
  }
  Out.append("\r\n");
  return joinMessage(std::move(Out), std::move(Request.Body),
                     std::move(Request.Memory));
}

Payload buildForwardedRequest(HttpRequest Request, bool Trusted) {
  std::string AddedFields;
  appendForwardingFields(AddedFields, Request, Trusted);
  return renderForwardedRequest(
      std::move(Request),
      [](std::string_view Name) {
        return contains(DroppedRequestFields, Name);
      },
      AddedFields);
}

bool isForwardedField(const Poco::Net::HTTPMessage &Head,
                      std::string_view Name) {
  return !isDropped(Name, connectionFieldNames(Head));
}

Payload buildForwardedAnswer(const Poco::Net::HTTPResponse &Head,
                             std::string Body, bool IsHeadRequest,
                             MemoryCharge Memory) {
  const std::vector<std::string> ConnectionFields = connectionFieldNames(Head);
  std::string Out;
  Out.reserve(512 + (Body.size() < MemoryBudget::LargeSize ? Body.size() : 0));
  fmt::format_to(std::back_inserter(Out), "HTTP/1.1 {} {}\r\n",
                 static_cast<int>(Head.getStatus()), Head.getReason());
  for (const auto &[Name, Value] : Head) {
    if (!isDropped(Name, ConnectionFields)) {
      appendField(Out, Name, Value);
    }
  }
  const int Status = static_cast<int>(Head.getStatus());
  if (IsHeadRequest || Status == 304) {
    if (Head.has("Content-Length")) {
      appendField(Out, "Content-Length", Head.get("Content-Length"));
    }
  } else if (Status != 204) {
    appendField(Out, "Content-Length", std::to_string(Body.size()));
  }
  Out.append("\r\n");
  return joinMessage(std::move(Out), std::move(Body), std::move(Memory));
}

std::string_view pathOf(const Poco::Net::HTTPRequest &Head,
                        const HttpHeadFacts &Facts) {
  const std::string_view Target =
      std::string_view(Head.getURI()).substr(Facts.TargetOffset);
  return Target.substr(0, Target.find('?'));
}

} // namespace hyssopford
