/// @file
/// @brief Checks that docs/errors.md, error_codes.hpp and the sources agree on
/// the numbers of errors.
#include "schema_probe.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <regex>
#include <set>

using namespace hyssopford;

namespace {

std::set<std::string> matches(const std::string &Text, const char *Pattern) {
  const std::regex Expression(Pattern);
  std::set<std::string> Result;
  for (std::sregex_iterator Match(Text.begin(), Text.end(), Expression), End;
       Match != End; ++Match) {
    std::string Entry = (*Match)[1].str();
    if (Match->size() > 2) {
      Entry += ' ' + (*Match)[2].str();
    }
    // The set would hide a duplicate entry.
    REQUIRE(Result.insert(Entry).second);
  }
  return Result;
}

} // namespace

TEST_CASE("docs/errors.md lists every numbered error", "[docs]") {
  const std::string Header =
      test::readRepositoryFile("include/hyssopford/core/error_codes.hpp");
  const std::string Page = test::readRepositoryFile("docs/errors.md");
  const auto Numbered = matches(Header, "\n  ([A-Z]\\w+ = \\d+),");
  std::set<std::string> Expected;
  for (const std::string &Each : Numbered) {
    const std::size_t Split = Each.find(" = ");
    Expected.insert(Each.substr(Split + 3) + ' ' + Each.substr(0, Split));
  }
  REQUIRE(Expected.size() > 30);
  REQUIRE(matches(Page, "\n\\| (\\d+) \\| (\\w+) \\|") == Expected);
  REQUIRE(matches(Header, "\n  [A-Z]\\w+ = (\\d+),").size() == Expected.size());
}

TEST_CASE("error numbers in the sources are listed in docs/errors.md",
          "[docs]") {
  const std::set<std::string> Documented =
      matches(test::readRepositoryFile("docs/errors.md"), "\n\\| (\\d+) \\|");
  const std::regex Literal("Error\\{(\\d+),");
  for (const char *Folder : {"src", "tools", "include"}) {
    for (const auto &Entry : std::filesystem::recursive_directory_iterator(
             std::string(HYSSOPFORD_SOURCE_DIR "/") + Folder)) {
      const std::string Name = Entry.path().string();
      if (!Name.ends_with(".cpp") && !Name.ends_with(".hpp")) {
        continue;
      }
      const std::string Source = test::readRepositoryFile(
          Name.substr(std::string(HYSSOPFORD_SOURCE_DIR).size() + 1));
      for (std::sregex_iterator Match(Source.begin(), Source.end(), Literal),
           End;
           Match != End; ++Match) {
        CAPTURE(Name);
        REQUIRE(Documented.contains((*Match)[1].str()));
      }
    }
  }
}
