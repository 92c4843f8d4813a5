/// @file
/// @brief Tests of the translation between the platform's formats and the types
/// of the node.
#include "account_rows.hpp"
#include "announcements.hpp"
#include "config_document.hpp"
#include "edge_policy.hpp"
#include "hyssopford/net/key_digest.hpp"
#include "settings.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hyssopford;
using namespace hyssopford::platform;
using nlohmann::json;

namespace {

json goodSettings() {
  return json::parse(R"({"node":"n-1","failure_domain":"a","region":"r",
    "service":"s","upstream_address":"10.0.0.1:8","caller_address":"10.0.0.1:1",
    "announcement_address":"10.0.0.1:2","ready_address":"10.0.0.1:3",
    "ip":"10.0.0.1","ports":[7600,7615],"store_address":"10.9.9.9:1",
    "announcement_period_s":1.5,
    "bounds":{"graceS":6,"retryBudgetRatio":0.2,"retrySlack":62}})");
}

json goodReport() {
  return json::parse(R"({"service":"s","address":"10.0.0.1:8","zone":"a",
    "version":"v1","capacity":9,"state":"ready","coldRemainingS":0,
    "sequence":4,"born":1700000000000})");
}

json goodConfig() {
  return json::parse(R"({"version":12,"routes":[
    {"name":"read","host":"h.example","prefix":"/p/","kind":"safe",
     "timeoutS":1.0,"targetLatencyS":0.4,"priority":2,"service":"a",
     "maxAttempts":2},
    {"name":"pay","host":"h.example","prefix":"/p/pay/","kind":"unsafe",
     "timeoutS":0.6,"targetLatencyS":0.25,"priority":0,"maxAttempts":1,
     "trafficSplit":[{"service":"a","weight":95},{"service":"b","weight":5}]}],
    "services":[{"name":"a","healthPath":"/health","maxConnections":260}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,
    "idleTimeoutS":15}})");
}

std::optional<Announcement> decode(const std::string &Body, Error &Fault,
                                   const std::string &Method = "PUT") {
  return PlatformAnnouncements("10.0.0.1:8", 1'500ms)
      .decode(Method, "/hyssopford/instances/i-1", Body, Fault);
}

Poco::Net::HTTPResponse response(int Status) {
  return Poco::Net::HTTPResponse(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
}

} // namespace

TEST_CASE("settings of the platform", "[platform]") {
  Error Fault;
  SECTION("addresses, bounds and periods are read") {
    const auto Read = parseSettings(goodSettings().dump(), Fault);
    REQUIRE(Read.has_value());
    CHECK(Read->PeerAddress == "10.0.0.1:7600");
    CHECK(Read->Grace == 6s);
    CHECK(Read->RetrySlack == 62.0);
    const NodeRuntimeSettings Runtime = runtimeSettings(*Read);
    CHECK(Runtime.DrainDeadline < Read->Grace);
    CHECK(Runtime.UpstreamIp == "10.0.0.1");
    CHECK_FALSE(Runtime.Keys.Enabled);
    CHECK(Runtime.MemoryBytes == NodeRuntimeSettings().MemoryBytes);
  }
  SECTION("a part of the stated memory is for requests and answers") {
    json Settings = goodSettings();
    Settings["memory_mb"] = 160;
    const auto Read = parseSettings(Settings.dump(), Fault);
    REQUIRE(Read.has_value());
    const MemoryBudget Budget(runtimeSettings(*Read).MemoryBytes);
    // 56 MiB are left for the program and the kernel's buffers.
    CHECK(Budget.limit() == 109'051'904);
    // The largest body that operators may allow fits on the smallest machine.
    CHECK(Budget.largeLimit() > 67'108'864 + 65'536);
  }
  SECTION("the descriptors of the VM less those reserved are for the node") {
    json Settings = goodSettings();
    Settings["max_fds"] = 4'100;
    const auto Read = parseSettings(Settings.dump(), Fault);
    REQUIRE(Read.has_value());
    CHECK(runtimeSettings(*Read).Descriptors == 3'900);
    CHECK(runtimeSettings(*parseSettings(goodSettings().dump(), Fault))
              .Descriptors == 0);
  }
  SECTION("unknown fields are ignored") {
    json Settings = goodSettings();
    Settings["new"] = {{"x", 1}};
    CHECK(parseSettings(Settings.dump(), Fault).has_value());
  }
  SECTION("a missing field is rejected and named in the reason") {
    for (const char *Field :
         {"node", "service", "upstream_address", "caller_address", "ip",
          "ports", "store_address", "ready_address"}) {
      json Settings = goodSettings();
      Settings.erase(Field);
      INFO(Field);
      CHECK_FALSE(parseSettings(Settings.dump(), Fault).has_value());
      CHECK(Fault.Reason.find(Field) != std::string::npos);
    }
    CHECK_FALSE(parseSettings("no JSON", Fault).has_value());
  }
}

TEST_CASE("status reports", "[platform]") {
  Error Fault;
  SECTION("instance, state, capacity and sequence are read") {
    const auto Read = decode(goodReport().dump(), Fault);
    REQUIRE(Read.has_value());
    CHECK(Read->Instance == "i-1");
    CHECK(Read->State == UpstreamState::Serving);
    CHECK(Read->Slots == 9);
    CHECK(Read->Start == 1'700'000'000'000U);
    CHECK(Read->Sequence == 4);
  }
  SECTION("an instance with remaining cold time is cold") {
    json Report = goodReport();
    Report["coldRemainingS"] = 1.5;
    CHECK(decode(Report.dump(), Fault)->State == UpstreamState::Cold);
    CHECK(decode(Report.dump(), Fault)->ColdTime == 1500ms);
  }
  SECTION("a draining state and a deregistration are read") {
    json Report = goodReport();
    Report["state"] = "draining";
    CHECK(decode(Report.dump(), Fault)->State == UpstreamState::Draining);
    CHECK(decode("", Fault, "DELETE")->Kind == AnnouncementKind::Departure);
  }
  SECTION("reports that are malformed or state another address are rejected") {
    for (const char *Field :
         {"service", "address", "capacity", "state", "sequence", "born"}) {
      json Report = goodReport();
      Report.erase(Field);
      INFO(Field);
      CHECK_FALSE(decode(Report.dump(), Fault).has_value());
      Report[Field] = json::array();
      CHECK_FALSE(decode(Report.dump(), Fault).has_value());
    }
    json Report = goodReport();
    Report["state"] = "resting";
    CHECK_FALSE(decode(Report.dump(), Fault).has_value());
    Report = goodReport();
    Report["address"] = "10.0.0.2:8";
    CHECK_FALSE(decode(Report.dump(), Fault).has_value());
    CHECK_FALSE(decode("\xff\xfe", Fault).has_value());
    CHECK_FALSE(Fault.Reason.empty());
  }
}

TEST_CASE("configuration documents", "[platform]") {
  const ConfigDocument Codec;
  std::vector<Error> Errors;
  Error Fault;
  SECTION("routes, splits, services and limits are read") {
    const std::string Text = goodConfig().dump();
    REQUIRE(Codec.parseHead(Text, Fault).has_value());
    CHECK(Codec.parseHead(Text, Fault)->Version == 12);
    const auto Config = Codec.parseConfig(Text, 12, Errors);
    REQUIRE(Config.has_value());
    REQUIRE(Config->Routes.size() == 2);
    CHECK(Config->Routes[0].Idempotent == true);
    CHECK(Config->Routes[0].Deadline == 1s);
    CHECK(Config->Routes[0].TargetLatency == 400ms);
    CHECK(Config->Routes[0].AttemptLimit == 2);
    CHECK(Config->Routes[1].Idempotent == false);
    CHECK(Config->Routes[1].Split.size() == 2);
    CHECK(Config->Routes[1].Class < Config->Routes[0].Class);
    // The highest priority is reserved for calls made by running requests.
    CHECK(Config->Routes[1].Class > Priority::High);
    CHECK(Config->Services[0].HealthPath == "/health");
    CHECK(Config->Callers->IdleTimeout == 15s);
    CHECK(Config->Routes[0].BodyLimit == 1'000);
    CHECK(findRoute(*Config, "h.example", "/p/pay/x", "POST")->Name == "pay");
  }
  SECTION("invalid documents are rejected with a reason") {
    CHECK_FALSE(Codec.parseHead("{", Fault).has_value());
    for (const char *Field : {"routes", "services", "limits"}) {
      json Config = goodConfig();
      Config[Field] = 7;
      CHECK_FALSE(Codec.parseConfig(Config.dump(), 12, Errors).has_value());
    }
    json Config = goodConfig();
    Config["routes"][0].erase("timeoutS");
    CHECK_FALSE(Codec.parseConfig(Config.dump(), 12, Errors).has_value());
    CHECK(Errors.size() == 4);
    CHECK_FALSE(Codec.applyPatch("{}", "[]", Fault).has_value());
  }
}

namespace {

constexpr const char *FirstKey = "key-of-north-1";
constexpr const char *SecondKey = "key-of-south-1";

json configWithAccounts() {
  json Config = goodConfig();
  Config["tenants"] =
      json::array({{{"name", "north"},
                    {"apiKeys", {FirstKey, "key-of-north-2"}},
                    {"priority", 2},
                    {"perS", 40.5},
                    {"burst", 8}},
                   {{"name", "south"}, {"apiKeys", {SecondKey}}}});
  Config["routes"][0]["public"] = true;
  return Config;
}

} // namespace

TEST_CASE("client accounts of configuration documents", "[platform]") {
  const ConfigDocument Codec;
  std::vector<Error> Errors;
  Error Fault;
  SECTION("accounts, public routes, kinds and cold limits are read") {
    json Document = configWithAccounts();
    Document["routes"][0]["kind"] = "download";
    Document["routes"][1]["kind"] = "upload";
    Document["services"][0]["coldS"] = 3;
    Document["services"][0]["coldPerS"] = 16;
    const auto Config = Codec.parseConfig(Document.dump(), 12, Errors);
    REQUIRE(Config.has_value());
    CHECK(Config->HasAccounts);
    CHECK(Config->Routes[0].IsPublic);
    CHECK_FALSE(Config->Routes[1].IsPublic);
    CHECK(Config->Routes[0].Idempotent == true);
    CHECK(Config->Routes[1].Idempotent == false);
    CHECK(Config->Services[0].ColdTime == 3s);
    CHECK(Config->Services[0].ColdRate == 16.0);
    REQUIRE(Config->Accounts.size() == 2);
    const ClientAccount North{
        "north",
        {digestOfKey(FirstKey), digestOfKey("key-of-north-2")},
        priorityFromRank(2),
        40.5,
        8.0};
    CHECK(Config->Accounts[0] == North);
    CHECK(Config->Accounts[1] ==
          ClientAccount{"south", {digestOfKey(SecondKey)}, {}, 0.0, 0.0});
  }
  SECTION("only a document without accounts needs no key") {
    CHECK_FALSE(
        Codec.parseConfig(goodConfig().dump(), 12, Errors)->HasAccounts);
    json Document = goodConfig();
    Document["tenants"] = json::array();
    CHECK(Codec.parseConfig(Document.dump(), 12, Errors)->HasAccounts);
  }
  SECTION("no key is kept or passed to peers") {
    const std::string Text = configWithAccounts().dump();
    const auto Head = Codec.parseHead(Text, Fault);
    REQUIRE(Head.has_value());
    CHECK(Head->Document.find("key-of-") == std::string::npos);
    CHECK(Codec.parseConfig(Head->Document, 12, Errors) ==
          Codec.parseConfig(Text, 12, Errors));
    CHECK(Codec.parseHead(Head->Document, Fault)->Document == Head->Document);
    // A node of an earlier release sends the document as the store has it.
    CHECK(Codec.decompressDocument(Codec.compressDocument(Text)) ==
          Head->Document);
    const std::string Plain = goodConfig().dump();
    CHECK(Codec.parseHead(Plain, Fault)->Document == Plain);
  }
  SECTION("invalid accounts are refused with the field and without keys") {
    const auto Refused = [&](auto Change, const std::string &Field) {
      json Document = configWithAccounts();
      Change(Document["tenants"]);
      Errors.clear();
      CHECK_FALSE(Codec.parseConfig(Document.dump(), 12, Errors).has_value());
      REQUIRE(Errors.size() == 1);
      INFO(Errors[0].Reason);
      CHECK(Errors[0].Reason.find(Field) != std::string::npos);
      CHECK(Errors[0].Reason.find("key-of-") == std::string::npos);
    };
    Refused([](json &Rows) { Rows[1]["name"] = ""; }, "/tenants/1/name");
    Refused([](json &Rows) { Rows[1]["name"] = "north"; }, "/tenants/1/name");
    // Such a name would add a field to the requests of instances.
    Refused([](json &Rows) { Rows[1]["name"] = "a\r\nX-Other: 1"; },
            "/tenants/1/name");
    Refused([](json &Rows) { Rows[1]["apiKeys"].push_back(FirstKey); },
            "/tenants/1/apiKeys/1");
    Refused([](json &Rows) { Rows[1]["apiKeys"] = SecondKey; },
            "/tenants/1/apiKeys");
    Refused([](json &Rows) { Rows[1].erase("apiKeys"); }, "/tenants/1/apiKeys");
    Refused([](json &Rows) { Rows[1]["keyDigests"] = {SecondKey}; },
            "/tenants/1/keyDigests");
    Refused([](json &Rows) { Rows[0]["perS"] = -1; }, "/tenants/0/perS");
    Refused(
        [](json &Rows) {
          Rows = json::object({{"x", FirstKey}});
        },
        "/tenants");
  }
  SECTION("a document that is no JSON is refused without quoting it") {
    std::string Text = configWithAccounts().dump();
    Text.replace(Text.find("\",\"key-of-north-2"), 1, "\n");
    CHECK_FALSE(Codec.parseHead(Text, Fault).has_value());
    CHECK(Fault.Reason.find("not JSON") != std::string::npos);
    CHECK(Fault.Reason.find("key-of-") == std::string::npos);
  }
}

TEST_CASE("the account of a request in header fields", "[platform]") {
  const PlatformEdgePolicy Edge("s");
  Poco::Net::HTTPRequest Head("GET", "/p/x", "HTTP/1.1");
  Head.add("Host", "h.example");
  Head.add("X-Credential", FirstKey);
  Head.add("x-tenant", "forged");
  Head.add("X-Tenant", "forged too");
  const Payload Forwarded = Edge.forwardedRequest(
      HttpRequest{Head, HttpHeadFacts(), "", "1.2.3.4:5"}, false);
  CHECK(Forwarded.bytes().find(FirstKey) == std::string_view::npos);
  CHECK(Forwarded.bytes().find("forged") == std::string_view::npos);
  ForwardToUpstream Attempt;
  CHECK(Edge.attemptFields(Attempt, "i").find("X-Tenant") == std::string::npos);
  Attempt.Account = "north";
  CHECK(Edge.attemptFields(Attempt, "i").find("X-Tenant: north\r\n") !=
        std::string::npos);
}

TEST_CASE("answers of instances", "[platform]") {
  const PlatformEdgePolicy Edge("s");
  const auto Classify = [&](const Poco::Net::HTTPResponse &Head,
                            bool IsFirst = true) {
    return Edge.classifyResponse(Head, "t1", IsFirst);
  };
  auto Good = response(200);
  Good.set("X-Attempt-Id", "t1");
  Good.set("X-Server-Signature", "x");
  CHECK(Classify(Good) == AnswerKind::Answer);

  SECTION("a success that is unsigned, unidentified or encoded is invalid") {
    auto Head = Good;
    Head.erase("X-Server-Signature");
    CHECK(Classify(Head) == AnswerKind::Invalid);
    Head = Good;
    Head.erase("X-Attempt-Id");
    CHECK(Classify(Head) == AnswerKind::Invalid);
    Head = Good;
    Head.set("Content-Encoding", "gzip");
    CHECK(Classify(Head) == AnswerKind::Invalid);
  }
  SECTION("an answer with the identifier of another request is detected") {
    auto Head = Good;
    Head.set("X-Attempt-Id", "t2");
    CHECK(Classify(Head) == AnswerKind::Mismatched);
  }
  SECTION("only 421 and X-Not-Executed count as not run") {
    CHECK(Classify(response(421)) == AnswerKind::NotRun);
    auto Plain = response(503);
    Plain.set("X-Attempt-Id", "t1");
    CHECK(Classify(Plain) == AnswerKind::Answer);
    CHECK(Classify(Plain, false) == AnswerKind::Answer);
    auto Head = response(503);
    Head.set("X-Not-Executed", "1");
    CHECK(Classify(Head) == AnswerKind::NotRun);
    Head.set("X-Attempt-Id", "t1");
    CHECK(Classify(Head, false) == AnswerKind::NotRun);
    Good.set("X-Not-Executed", "1");
    CHECK(Classify(Good) == AnswerKind::Invalid);
  }
  SECTION("without identifier, an answer counts on a new connection only") {
    CHECK(Classify(response(421), false) == AnswerKind::UnprovenNotRun);
    auto Head = response(503);
    Head.set("X-Not-Executed", "1");
    CHECK(Classify(Head, false) == AnswerKind::UnprovenNotRun);
    for (const int Status : {302, 404, 429, 500, 503}) {
      CHECK(Classify(response(Status), false) == AnswerKind::Mismatched);
    }
    CHECK(Classify(response(500)) == AnswerKind::Answer);
    // Callers would take these as a promise that the instance has not given.
    for (const int Status : {408, 429, 503}) {
      CHECK(Classify(response(Status)) == AnswerKind::Invalid);
    }
  }
  SECTION("a probe is answered by the health endpoint only") {
    auto Head = response(200);
    CHECK(Edge.classifyProbeResponse(Head, true) == AnswerKind::Invalid);
    Head.set("X-Instance-Id", "i-1");
    CHECK(Edge.classifyProbeResponse(Head, false) == AnswerKind::Answer);
    Head.set("X-Attempt-Id", "t1");
    CHECK(Edge.classifyProbeResponse(Head, true) == AnswerKind::Mismatched);
    CHECK(Edge.classifyProbeResponse(response(503), true) ==
          AnswerKind::Answer);
    CHECK(Edge.classifyProbeResponse(response(503), false) ==
          AnswerKind::Invalid);
  }
  SECTION("an error status of the instance counts as its answer") {
    auto Head = response(500);
    Head.set("X-Attempt-Id", "t1");
    CHECK(Classify(Head) == AnswerKind::Answer);
  }
  SECTION("the remaining cold time is read, if it is valid") {
    auto Head = response(200);
    CHECK(Edge.coldTimeOf(Head) == Duration{0});
    Head.set("X-Cold-Ms", "1250");
    CHECK(Edge.coldTimeOf(Head) == 1250ms);
    Head.set("X-Cold-Ms", "9000000000000000");
    CHECK(Edge.coldTimeOf(Head) == 3600s);
    for (const char *Bad : {"-5", "x", "0", "1.5"}) {
      Head.set("X-Cold-Ms", Bad);
      CHECK(Edge.coldTimeOf(Head) == Duration{0});
    }
  }
  SECTION("the speed is the fourth value of X-Server-Load, if it is valid") {
    auto Head = response(200);
    CHECK(Edge.slownessPercentOf(Head) == 0);
    Head.set("X-Server-Load", "3,0,8");
    CHECK(Edge.slownessPercentOf(Head) == 0);
    Head.set("X-Server-Load", "3,0,8,500");
    CHECK(Edge.slownessPercentOf(Head) == 500);
    Head.set("X-Server-Load", "3,0,8,x");
    CHECK(Edge.slownessPercentOf(Head) == 0);
  }
}

TEST_CASE("error answers of the node", "[platform]") {
  const PlatformEdgePolicy Edge("s");
  const auto Refuse = [&](Outcome Result, OutcomeReason Reason) {
    EdgeRefusal Refused;
    Refused.Result = Result;
    Refused.Code = Reason;
    Refused.RetryAfter = 120ms;
    return std::string(Edge.refusal(Refused).bytes());
  };
  SECTION("a request that did not run gets 503 with Retry-After") {
    const std::string Answer =
        Refuse(Outcome::NotRun, OutcomeReason::QueueFull);
    CHECK(Answer.starts_with("HTTP/1.1 503"));
    CHECK(Answer.find("Retry-After: 0.120\r\n") != std::string::npos);
  }
  SECTION("an unknown key gives 401, a used allotment 429 with Retry-After") {
    const std::string Unknown =
        Refuse(Outcome::NotRun, OutcomeReason::UnknownCredential);
    CHECK(Unknown.starts_with("HTTP/1.1 401"));
    CHECK(Unknown.find("Retry-After") == std::string::npos);
    const std::string Exceeded =
        Refuse(Outcome::NotRun, OutcomeReason::AllotmentExceeded);
    CHECK(Exceeded.starts_with("HTTP/1.1 429"));
    CHECK(Exceeded.find("Retry-After: 0.120\r\n") != std::string::npos);
    CHECK(Refuse(Outcome::NotRun, OutcomeReason::CredentialsStale)
              .starts_with("HTTP/1.1 503"));
  }
  SECTION("a missing configuration gives 503, a missing route 404") {
    CHECK(Refuse(Outcome::NotRun, OutcomeReason::NoConfig)
              .starts_with("HTTP/1.1 503"));
    CHECK(Refuse(Outcome::NotRun, OutcomeReason::NoRoute)
              .starts_with("HTTP/1.1 404"));
  }
  SECTION("a request that may have run gets 502 or 504 without Retry-After") {
    for (const OutcomeReason Reason :
         {OutcomeReason::UpstreamClosed, OutcomeReason::LinkLost,
          OutcomeReason::DeadlineExceeded, OutcomeReason::UpstreamTimeout}) {
      const std::string Answer = Refuse(Outcome::Unknown, Reason);
      const bool HasUnknownOutcome = Answer.starts_with("HTTP/1.1 502") ||
                                     Answer.starts_with("HTTP/1.1 504");
      CHECK(HasUnknownOutcome);
      CHECK(Answer.find("Retry-After") == std::string::npos);
    }
  }
}

TEST_CASE("requests forwarded to instances", "[platform]") {
  const PlatformEdgePolicy Edge("s");
  Poco::Net::HTTPRequest Head("POST", "/p/x?q=1", "HTTP/1.1");
  Head.set("Host", "h.example");
  Head.set("X-Attempt-Id", "t1");
  Head.set("x-caller-service", "forged");
  Head.set("X-Expected-Instance", "forged");
  Head.set("X-Deadline-Ms", "700");
  Head.set("X-Other", "kept");
  HttpHeadFacts Facts;
  Facts.Framing = BodyFraming::Chunked;
  CHECK(Edge.readRequestContext(Head, false).Deadline == 700ms);
  const Payload Request =
      Edge.forwardedRequest({Head, Facts, "body", "10.0.0.9:1"}, false);
  const std::string Text(Request.bytes());
  CHECK(Text.starts_with("POST /p/x?q=1 HTTP/1.1\r\nHost: h.example\r\n"));
  CHECK(Text.find("forged") == std::string::npos);
  CHECK(Text.find("X-Caller-Service: s\r\n") != std::string::npos);
  CHECK(Text.find("X-Other: kept\r\n") != std::string::npos);
  CHECK(Text.find("X-Deadline-Ms") == std::string::npos);
  CHECK(Text.ends_with("Content-Length: 4\r\n\r\nbody"));
  CHECK(Edge.correlationIdOf(Text) == "t1");
  ForwardToUpstream Attempt;
  Attempt.Remaining = 650ms;
  CHECK(Edge.attemptFields(Attempt, "i-1") ==
        "X-Deadline-Ms: 650\r\nX-Expected-Instance: i-1\r\n");
}
