/// @file
/// @brief Checks that schema/routing.schema.json and the parser agree.
#include "hyssopford/config/routing_config_json.hpp"
#include "schema_probe.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

TEST_CASE("schema/routing.schema.json and the parser agree",
          "[config][schema]") {
  RoutingConfig Config;
  Route Full;
  Full.Name = "enrol";
  Full.Host = "courses.example";
  Full.Methods = {"POST"};
  Full.Service = "enrolment";
  Full.Idempotent = false;
  Config.Routes = {Full};
  Config.Drains = {"192.0.2.7:7101"};
  Config.Lifts = {QuarantineLift{1, 2}};
  Config.HasAccounts = true;
  ClientAccount Account{
      "north", {KeyDigest{0x12, 0xff}}, Priority::High, 40.0, 8.0};
  Config.Accounts = {Account};

  test::probeSchema(nlohmann::json::parse(
                        test::readRepositoryFile("schema/routing.schema.json")),
                    nlohmann::json::parse(renderRoutingConfig(Config)),
                    [](const std::string &Document) {
                      std::vector<Error> Errors;
                      parseRoutingConfig(Document, 1, Errors);
                      return Errors;
                    });
}
