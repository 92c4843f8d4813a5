#include "hyssopford/node/operator_service.hpp"

#include "hyssopford/net/http_forward.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopford {

namespace {

using nlohmann::json;

/// Largest body of an operator's request: a patch on a configuration, which
/// itself is below 1 MB.
constexpr std::uint64_t BodyLimit = 1'048'576;

constexpr std::array<const char *, 4> MemberStateNames{"alive", "suspect",
                                                       "leaving", "dead"};
constexpr std::array<const char *, 4> UpstreamStateNames{"none", "cold",
                                                         "serving", "draining"};

const char *nameOf(MemberState State) {
  return MemberStateNames[static_cast<std::size_t>(State)];
}

const char *nameOf(UpstreamState State) {
  return UpstreamStateNames[static_cast<std::size_t>(State)];
}

/// Compares in a time that does not depend on where the texts differ.
bool sameToken(std::string_view Given, std::string_view Expected) {
  if (Expected.empty() || Given.size() != Expected.size()) {
    return false;
  }
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Given.size(); ++Index) {
    Difference |= static_cast<unsigned char>(Given[Index]) ^
                  static_cast<unsigned char>(Expected[Index]);
  }
  return Difference == 0;
}

Payload problem(int Status, const std::string &Reason) {
  const std::string Fields =
      Status == 401 ? "WWW-Authenticate: Bearer\r\n" : "";
  return makeHttpAnswer(Status, Fields + "Content-Type: application/json\r\n",
                        json{{"error", Reason}}.dump() + "\n");
}

Payload success(const std::string &Body) {
  return makeHttpAnswer(200, "Content-Type: application/json\r\n", Body + "\n");
}

} // namespace

OperatorService::OperatorService(const OperatorView &Reported,
                                 OperatorTokens Accepted)
    : View(Reported), Tokens(std::move(Accepted)) {}

HeadDecision OperatorService::onHead(const Poco::Net::HTTPRequest &Head,
                                     const HttpHeadFacts & /*Facts*/) {
  constexpr std::string_view Scheme = "Bearer ";
  HeadDecision Decision;
  Decision.BodyLimit = BodyLimit;
  const std::string Given = Head.get("Authorization", "");
  if (!equalsIgnoreCase(std::string_view(Given).substr(0, Scheme.size()),
                        Scheme)) {
    Decision.Refusal = problem(401, "a bearer token is required");
    return Decision;
  }
  const std::string_view Token = std::string_view(Given).substr(Scheme.size());
  const bool MayWrite = sameToken(Token, Tokens.Write);
  const bool Reads = Head.getMethod() == "GET" || Head.getMethod() == "HEAD";
  if (!MayWrite && !sameToken(Token, Tokens.Read)) {
    Decision.Refusal = problem(401, "the token is not valid");
  } else if (!MayWrite && !Reads) {
    Decision.Refusal = problem(403, "the token does not allow changes");
  }
  return Decision;
}

void OperatorService::onRequest(RequestId Id, HttpRequest Request) {
  const std::string_view Path = pathOf(Request.Head, Request.Facts);
  const std::string &Method = Request.Head.getMethod();
  const bool Reads = Method == "GET" || Method == "HEAD";
  if (Path != "/v1/status" && Path != "/v1/members" && Path != "/v1/load") {
    Server->reply(Id, problem(404, "no such resource"));
  } else if (!Reads) {
    Server->reply(Id, problem(405, "the method is not allowed"));
  } else if (Path == "/v1/status") {
    Server->reply(Id, success(status()));
  } else if (Path == "/v1/members") {
    Server->reply(Id, success(members()));
  } else {
    Server->reply(Id, success(load()));
  }
}

void OperatorService::onGone(RequestId /*Id*/) {}

Payload OperatorService::refusal(const HttpFault &Fault) {
  return problem(Fault.Status, Fault.Reason);
}

std::string OperatorService::status() const {
  const NodeCore &Core = View.Driver.core();
  const PeerLinkCounters &Counters = View.Links.counters();
  json Result{{"node", toString(Core.self().Node)},
              {"incarnation", Core.self().Run.Value},
              {"address", View.Links.address()},
              {"config_version", Core.config().Version},
              {"requests_in_flight", Core.ingress().inFlight()},
              {"attempts_in_flight", Core.owner().inFlight()},
              {"late_replies", Core.ingress().lateReplies()},
              {"links",
               {{"usable", View.Links.usable()},
                {"pending_bytes", View.Links.pending()},
                {"frames_sent", Counters.FramesSent},
                {"frames_received", Counters.FramesReceived},
                {"bytes_sent", Counters.BytesSent},
                {"bytes_received", Counters.BytesReceived},
                {"messages_dropped", Counters.MessagesDropped},
                {"refused", Counters.Refused}}},
              {"upstream_connections",
               {{"active", View.Upstream.active()},
                {"idle", View.Upstream.idle()},
                {"opened", View.Upstream.opened()},
                {"reused", View.Upstream.reused()}}}};
  if (View.Registry.current()) {
    const Announcement &Current = *View.Registry.current();
    Result["upstream"] = {{"service", Current.Service},
                          {"slots", Current.Slots},
                          {"address", Current.Address},
                          {"state", nameOf(Current.State)}};
  } else {
    Result["upstream"] = nullptr;
  }
  return Result.dump();
}

std::string OperatorService::members() const {
  json List = json::array();
  for (const auto &[Id, Record] : View.Driver.core().membership().members()) {
    List.push_back({{"node", toString(Id)},
                    {"incarnation", Record.Id.Run.Value},
                    {"address", Record.Address},
                    {"failure_domain", Record.FailureDomain},
                    {"region", Record.Region},
                    {"state", nameOf(Record.State)},
                    {"service", Record.Service},
                    {"upstream", nameOf(Record.Upstream)},
                    {"slots", Record.Slots}});
  }
  return json{{"members", List}}.dump();
}

std::string OperatorService::load() const {
  const LoadReport Load = View.Driver.core().owner().load();
  return json{{"service", View.Driver.core().owner().service()},
              {"sequence", Load.Sequence},
              {"in_flight", Load.InFlight},
              {"queued", Load.Queued},
              {"limit", Load.Limit},
              {"service_time_us", Load.ServiceTime.count()}}
      .dump();
}

} // namespace hyssopford
