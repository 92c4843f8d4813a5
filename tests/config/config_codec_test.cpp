/// @file
/// @brief Tests of the stored format of the configuration.
#include "hyssopford/config/config_codec.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

TEST_CASE("the head value is unchanged by rendering and parsing", "[config]") {
  const JsonConfigCodec Codec;
  Error LastError;
  ConfigHead Head;
  Head.Version = 7;
  Head.Document = R"({"services":[],"b":1,"a":[2]})";
  Head.History = {{6, 5, "id-6", "ana", 1'790'000'000'000, "[ ]"},
                  {7, 6, "id-7", "\"quoted\"", 2, R"([{"op":"test"}])"}};
  Head.Archives = {{1, 3}, {4, 5}};
  CHECK(Codec.parseHead(Codec.renderHead(Head), LastError) == Head);
  CHECK(Codec.parseArchive(Codec.renderArchive(Head.History), LastError) ==
        Head.History);

  SECTION("invalid UTF-8 in the author does not throw") {
    Head.History[0].Author = "\xff";
    CHECK(Codec.parseHead(Codec.renderHead(Head), LastError).has_value());
  }
  SECTION("malformed values are refused with a reason") {
    const std::string Text = GENERATE("", "[]", "{}", "{\"version\":-1}",
                                      "{\"version\":1,\"document\":{}}");
    CHECK_FALSE(Codec.parseHead(Text, LastError).has_value());
    CHECK_FALSE(LastError.Reason.empty());
    CHECK_FALSE(Codec.parseArchive(Text, LastError).has_value());
  }
}

TEST_CASE("a patch turns the initial empty document into a valid one",
          "[config]") {
  const JsonConfigCodec Codec;
  Error LastError;
  std::vector<Error> Errors;
  const auto Document = Codec.applyPatch(
      ConfigHead{}.Document,
      R"([{"op":"add","path":"/routes","value":[{"name":"all","service":"s"}]}])",
      LastError);
  REQUIRE(Document);
  const auto Config = Codec.parseConfig(*Document, 1, Errors);
  REQUIRE(Config);
  CHECK(Config->Version == 1);
  CHECK(Config->Routes.at(0).Service == "s");
}
