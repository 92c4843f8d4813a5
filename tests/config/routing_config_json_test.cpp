/// @file
/// @brief Tests of the routing configuration in JSON and of patches to it.
#include "hyssopford/config/routing_config_json.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

using Fault = std::pair<int, std::string>;

std::vector<Fault> faultsOf(std::string_view Json) {
  std::vector<Error> Errors;
  const auto Parsed = parseRoutingConfig(Json, 1, Errors);
  REQUIRE(Parsed.has_value() == Errors.empty());
  std::vector<Fault> Result;
  for (const Error &Each : Errors) {
    REQUIRE(Each.Step == "config.parse");
    Result.emplace_back(Each.Code, Each.Peer);
  }
  return Result;
}

Error patchFault(std::string_view Document, std::string_view Patch) {
  Error Last;
  REQUIRE_FALSE(applyJsonPatch(Document, Patch, Last));
  return Last;
}

} // namespace

TEST_CASE("a routing configuration is unchanged by rendering and parsing",
          "[config]") {
  RoutingConfig Config;
  Config.Version = 7;
  Route Enrol;
  Enrol.Name = "enrol";
  Enrol.Host = "courses.example";
  Enrol.PathPrefix = "/enrolments";
  Enrol.Methods = {"POST"};
  Enrol.Service = "enrolment";
  Enrol.Deadline = 400ms;
  Enrol.Idempotent = false;
  Enrol.Class = Priority::High;
  Enrol.AttemptLimit = 2;
  Enrol.BodyLimit = 4096;
  Config.Routes = {Enrol};
  Config.Drains = {"192.0.2.7:7101"};
  Config.Lifts = {QuarantineLift{0xfedcba9876543210, 3}};
  Config.Routes[0].IsPublic = true;
  Config.HasAccounts = true;
  ClientAccount Account{
      "north", {KeyDigest{0x12, 0xff}}, Priority::High, 40.0, 8.0};
  Config.Accounts = {Account};

  std::vector<Error> Errors;
  const auto Parsed =
      parseRoutingConfig(renderRoutingConfig(Config), 7, Errors);
  REQUIRE(Errors.empty());
  REQUIRE(Parsed == Config);
}

TEST_CASE("faults in a routing configuration are reported", "[config]") {
  SECTION("all faults are reported at once, each with its pointer") {
    REQUIRE(faultsOf(R"({"routes": [
        {"name": "a", "servce": "x", "deadline_ms": 0},
        {"name": "A", "service": "x", "path_prefix": "x", "try_limit": 1.5,
         "methods": ["GET", "G T", "GET"], "priority": "low"},
        7], "drains": ["host:1"], "quarantine_lifts": [{"serial": -1}]})") ==
            std::vector<Fault>{{104, "/routes/0/service"},
                               {106, "/routes/0/deadline_ms"},
                               {103, "/routes/0/servce"},
                               {107, "/routes/1/name"},
                               {107, "/routes/1/path_prefix"},
                               {107, "/routes/1/methods/1"},
                               {108, "/routes/1/methods/2"},
                               {107, "/routes/1/priority"},
                               {105, "/routes/1/try_limit"},
                               {105, "/routes/2"},
                               {107, "/drains/0"},
                               {104, "/quarantine_lifts/0/fingerprint"},
                               {106, "/quarantine_lifts/0/serial"}});
  }
  SECTION("text that is not JSON, or nested too deeply") {
    REQUIRE(faultsOf("{") == std::vector<Fault>{{101, "/"}});
    REQUIRE(faultsOf(std::string(100'000, '['))[0].first == 101);
  }
  SECTION("a duplicate key, at any depth, with escapes in its pointer") {
    REQUIRE(faultsOf(R"({"routes": [{}, {"a/b~": 1, "a/b~": 2}]})") ==
            std::vector<Fault>{{102, "/routes/1/a~1b~0"}});
  }
  SECTION("two routes with the same name") {
    REQUIRE(faultsOf(R"({"routes": [
        {"name": "a", "service": "x", "path_prefix": "/a"},
        {"name": "a", "service": "x", "path_prefix": "/b"}]})") ==
            std::vector<Fault>{{108, "/routes/1/name"}});
  }
  SECTION("routes that match the same requests") {
    REQUIRE(faultsOf(R"({"routes": [
        {"name": "a", "service": "x", "methods": ["GET", "PUT"]},
        {"name": "b", "service": "x", "methods": ["POST"]},
        {"name": "c", "service": "x", "methods": ["PUT"]},
        {"name": "d", "service": "x", "host": "h"},
        {"name": "e", "service": "x"}]})") ==
            std::vector<Fault>{{109, "/routes/2"}, {109, "/routes/4"}});
  }
  SECTION("a fingerprint lifted twice") {
    REQUIRE(faultsOf(R"({"routes": [], "quarantine_lifts": [
        {"fingerprint": "00000000000000aa"},
        {"fingerprint": "00000000000000aa", "serial": 1}]})") ==
            std::vector<Fault>{{108, "/quarantine_lifts/1/fingerprint"}});
  }
  SECTION("accounts with one name, or with one key") {
    const std::string Key(64, 'a');
    const std::string Other(64, 'b');
    CHECK(faultsOf(R"({"routes": [], "accounts": [
        {"name": "a", "key_digests": [")" +
                   Other + R"("]},
        {"name": "a", "key_digests": [")" +
                   Key + R"("]},
        {"name": "c", "key_digests": [")" +
                   Key + R"(", "x"]},
        {"name": "d", "key_digests": [")" +
                   Key + R"("]}]})") ==
          std::vector<Fault>{{107, "/accounts/2/key_digests/1"},
                             {108, "/accounts/1/name"},
                             {108, "/accounts/3/key_digests/0"}});
  }
  SECTION("an empty method") {
    REQUIRE(faultsOf(R"({"routes": [{"name": "a", "service": "x",
        "methods": [""]}]})") ==
            std::vector<Fault>{{107, "/routes/0/methods/0"}});
  }
}

TEST_CASE("JSON patches", "[config]") {
  const std::string Document = R"({"routes": [], "drains": ["192.0.2.7:1"]})";
  Error Last;

  SECTION("operations apply in order") {
    const auto Result = applyJsonPatch(
        Document,
        R"([{"op": "add", "path": "/drains/-", "value": "192.0.2.8:1"},
            {"op": "test", "path": "/drains/1", "value": "192.0.2.8:1"},
            {"op": "remove", "path": "/drains/0"}])",
        Last);
    REQUIRE(Result);
    std::vector<Error> Errors;
    REQUIRE(parseRoutingConfig(*Result, 1, Errors)->Drains ==
            std::vector<std::string>{"192.0.2.8:1"});
  }
  SECTION("a patch that is not an array of operations") {
    REQUIRE(patchFault(Document, "{}").Code == 110);
    REQUIRE(patchFault(Document, R"([{"op": "add", "path": "/x"}])") ==
            Error{110, "config.patch", "/0", "expected \"value\" for add"});
    REQUIRE(patchFault(Document, R"([{"op": "merge", "path": ""}])").Code ==
            110);
    REQUIRE(
        patchFault(Document, R"([{"op": "remove", "path": "drains"}])").Code ==
        110);
    REQUIRE(patchFault(Document, R"([{"op": "remove", "op": "add"}])").Code ==
            102);
  }
  SECTION("the error names the operation") {
    REQUIRE(patchFault(Document,
                       R"([{"op": "remove", "path": "/drains/0"},
                           {"op": "remove", "path": "/drains/0"}])")
                .Peer == "/1");
  }
  SECTION("a failed test") {
    REQUIRE(patchFault(Document, R"([{"op": "test", "path": "/routes",
                                      "value": [1]}])")
                .Code == 111);
  }
  SECTION("targets below a string, which nlohmann/json does not refuse") {
    for (const char *Patch :
         {R"([{"op": "add", "path": "/drains/0/x", "value": 1}])",
          R"([{"op": "remove", "path": "/drains/0/x"}])",
          R"([{"op": "copy", "from": "/routes", "path": "/drains/0/x"}])",
          R"([{"op": "add", "path": "/drains/7", "value": 1}])",
          R"([{"op": "remove", "path": ""}])",
          R"([{"op": "move", "from": "/none", "path": "/routes"}])"}) {
      REQUIRE(patchFault(Document, Patch).Code == 111);
    }
  }
}
