/// @file
/// @brief Tests of route matching.
#include "hyssopford/core/routing_config.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

Route route(const char *Name, const char *Host, const char *Prefix,
            std::vector<std::string> Methods = {}) {
  Route Result;
  Result.Name = Name;
  Result.Host = Host;
  Result.PathPrefix = Prefix;
  Result.Methods = std::move(Methods);
  return Result;
}

} // namespace

TEST_CASE("route matching", "[routing]") {
  RoutingConfig Config;
  Config.Routes = {route("root", "", "/"), route("seats", "", "/seats"),
                   route("host", "a.example", "/"),
                   route("enrol", "", "/seats", {"POST"})};

  SECTION("the longest path prefix wins") {
    REQUIRE(findRoute(Config, "b.example", "/seats/4", "GET")->Name == "seats");
  }
  SECTION("a prefix matches on segment boundaries only") {
    REQUIRE(findRoute(Config, "b.example", "/seatsx", "GET")->Name == "root");
  }
  SECTION("an exact host goes before a longer prefix") {
    REQUIRE(findRoute(Config, "a.example", "/seats", "GET")->Name == "host");
  }
  SECTION("no route matches") {
    Config.Routes = {route("enrol", "", "/enrol", {"POST"})};
    REQUIRE(findRoute(Config, "b.example", "/enrol", "GET") == nullptr);
  }
}
