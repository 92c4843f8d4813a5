/// @file
/// @brief Tests of node settings, their schema and the example files.
#include "hyssopford/config/node_settings.hpp"
#include "hyssopford/config/routing_config_json.hpp"
#include "schema_probe.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>

using namespace hyssopford;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

using Fault = std::pair<int, std::string>;

std::vector<Fault> faultsOf(const json &Document) {
  std::vector<Error> Errors;
  const auto Parsed = parseNodeSettings(Document.dump(), Errors);
  REQUIRE(Parsed.has_value() == Errors.empty());
  std::vector<Fault> Result(Errors.size());
  std::transform(Errors.begin(), Errors.end(), Result.begin(),
                 [](const Error &Each) { return Fault(Each.Code, Each.Peer); });
  return Result;
}

NodeSettings fullSettings() {
  NodeSettings Result;
  Result.Site = "courses";
  Result.SiteKeyFile = "/etc/hyssopford/site.key";
  Result.FailureDomain = "fd-1";
  Result.Region = "north";
  Result.Addresses = {"0.0.0.0:8080", "192.0.2.7:7101", "127.0.0.1:7102",
                      "192.0.2.7:7103"};
  Result.Seeds = {"192.0.2.8:7101"};
  Result.Store = "192.0.2.200:2379";
  Result.ReadTokenFile = "/etc/hyssopford/read.token";
  Result.WriteTokenFile = "/etc/hyssopford/write.token";
  Result.ProbeBudgetPpm = 100;
  Result.Tracing.Collector = "192.0.2.201:4318";
  return Result;
}

/// A file that the destructor removes.
class TemporaryFile {
public:
  TemporaryFile(const std::string &Name, const std::string &Content)
      : Path((std::filesystem::path(HYSSOPFORD_BINARY_DIR) / Name).string()) {
    std::ofstream(Path) << Content;
  }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  ~TemporaryFile() { std::filesystem::remove(Path); }

  std::string Path;
};

} // namespace

TEST_CASE("schema/node.schema.json and the parser agree",
          "[settings][schema]") {
  test::probeSchema(
      json::parse(test::readRepositoryFile("schema/node.schema.json")),
      json::parse(renderNodeSettings(fullSettings())),
      [](const std::string &Document) {
        std::vector<Error> Errors;
        parseNodeSettings(Document, Errors);
        return Errors;
      });
}

TEST_CASE("node settings are unchanged by rendering and parsing",
          "[settings]") {
  std::vector<Error> Errors;
  REQUIRE(parseNodeSettings(renderNodeSettings(fullSettings()), Errors) ==
          fullSettings());
}

TEST_CASE("printed defaults match the parser and the schema", "[settings]") {
  const json Defaults = json::parse(defaultNodeSettings());
  const json Schema =
      json::parse(test::readRepositoryFile("schema/node.schema.json"));

  SECTION("only the required fields are missing") {
    REQUIRE(faultsOf(Defaults) == std::vector<Fault>{{104, "/site"},
                                                     {104, "/site_key_file"},
                                                     {104, "/failure_domain"},
                                                     {104, "/region"},
                                                     {104, "/store"},
                                                     {104, "/read_token_file"},
                                                     {104, "/write_token_file"},
                                                     {104, "/addresses"}});
  }
  SECTION("each default of the schema is printed") {
    for (const char *Group :
         {"", "/limits", "/timeouts", "/keys", "/tracing"}) {
      const json::json_pointer At(Group);
      const json &Properties =
          At.empty() ? Schema["properties"]
                     : Schema["properties"][At.back()]["properties"];
      for (const auto &[Name, Property] : Properties.items()) {
        CAPTURE(Group, Name);
        if (Property.contains("default")) {
          REQUIRE(Defaults[At / Name] == Property["default"]);
        }
      }
    }
  }
}

TEST_CASE("conflicting node settings are refused", "[settings]") {
  json Document = json::parse(renderNodeSettings(fullSettings()));

  SECTION("addresses") {
    Document["addresses"]["peers"] = "0.0.0.0:7101";
    Document["addresses"]["announcements"] = "192.0.2.7:7103";
    REQUIRE(faultsOf(Document) ==
            std::vector<Fault>{{113, "/addresses/peers"},
                               {113, "/addresses/announcements"},
                               {113, "/addresses/operators"}});
  }
  SECTION("several addresses with port 0 do not conflict") {
    for (auto &Address : Document["addresses"]) {
      Address = "127.0.0.1:0";
    }
    REQUIRE(faultsOf(Document).empty());
  }
  SECTION("limits and token files") {
    Document["limits"]["line_bytes"] = 40'000;
    Document["limits"]["memory_bytes"] = 1'048'576;
    Document["write_token_file"] = Document["read_token_file"];
    REQUIRE(faultsOf(Document) ==
            std::vector<Fault>{{113, "/limits/line_bytes"},
                               {113, "/limits/memory_bytes"},
                               {113, "/write_token_file"}});
  }
}

TEST_CASE("docs/settings.md lists each setting with its default", "[docs]") {
  const std::string Page = test::readRepositoryFile("docs/settings.md");
  const json Schema =
      json::parse(test::readRepositoryFile("schema/node.schema.json"));
  std::size_t Rows = 0;
  const std::function<void(const json &, const std::string &)> Visit =
      [&](const json &Node, const std::string &Prefix) {
        for (const auto &[Name, Property] : Node["properties"].items()) {
          if (Property.contains("properties")) {
            Visit(Property, Prefix + Name + "/");
            continue;
          }
          ++Rows;
          std::string FirstCell = "| `";
          FirstCell.append(Prefix).append(Name).append("` |");
          CAPTURE(FirstCell);
          const std::size_t Row = Page.find(FirstCell);
          REQUIRE(Row != std::string::npos);
          const std::string Line = Page.substr(Row, Page.find('\n', Row) - Row);
          if (Property.contains("default")) {
            REQUIRE(Line.find("`" + Property["default"].dump() + "`") !=
                    std::string::npos);
          }
        }
      };
  Visit(Schema, "/");
  std::size_t Documented = 0;
  for (std::size_t At = Page.find("\n| `/"); At != std::string::npos;
       At = Page.find("\n| `/", At + 1)) {
    ++Documented;
  }
  REQUIRE(Documented == Rows);
}

TEST_CASE("profiles select the constants of the decision core", "[settings]") {
  NodeSettings Settings = fullSettings();
  Settings.ProbeBudgetPpm.reset();
  REQUIRE(decisionSettings(Settings) == tailProfile());
  // Deployment A allows less than 1 % of the slots for probes, B 0.3 %.
  REQUIRE(decisionSettings(Settings).Probing.BudgetPpm < 10'000);
  Settings.Objective = Profile::Cost;
  REQUIRE(decisionSettings(Settings) == costProfile());
  REQUIRE(decisionSettings(Settings).Probing.BudgetPpm <= 3'000);
  Settings.ProbeBudgetPpm = 0;
  REQUIRE(decisionSettings(Settings).Probing.BudgetPpm == 0);
}

TEST_CASE("coreSettings copies the fields of the core", "[settings]") {
  const NodeSettings Settings = fullSettings();
  NodeCoreSettings Expected;
  Expected.Address = "192.0.2.7:7101";
  Expected.Run = Incarnation{5};
  Expected.FailureDomain = "fd-1";
  Expected.Region = "north";
  Expected.Seeds = {"192.0.2.8:7101"};
  Expected.Seed = 9;
  Expected.Decisions =
      Settings.Objective == Profile::Tail ? tailProfile() : costProfile();
  Expected.Decisions.Probing.BudgetPpm =
      Settings.ProbeBudgetPpm.value_or(Expected.Decisions.Probing.BudgetPpm);
  Expected.Keys = Settings.Keys;
  REQUIRE(coreSettings(Settings, Incarnation{5}, 9) == Expected);
}

TEST_CASE("secrets", "[settings]") {
  Error Last;
  const std::string Key(32, 'k');

  SECTION("the line feed is not part of the secret") {
    const TemporaryFile File("secret-good.key", Key + "\n");
    REQUIRE(readSecretFile(File.Path, Last)->reveal() == Key);
  }
  SECTION("an error does not show the content") {
    const TemporaryFile File("secret-bad.key", "hunter2");
    REQUIRE_FALSE(readSecretFile(File.Path, Last));
    REQUIRE(Last.Code == 114);
    REQUIRE(toString(Last).find("hunter2") == std::string::npos);
  }
  SECTION("every unreadable file is reported") {
    std::vector<Error> Errors;
    NodeSettings Settings = fullSettings();
    Settings.SiteKeyFile = "/nonexistent/site.key";
    Settings.ReadTokenFile = "/nonexistent/read.token";
    Settings.WriteTokenFile = "/nonexistent/write.token";
    REQUIRE_FALSE(loadSecrets(Settings, Errors));
    REQUIRE(Errors.size() == 3);
    REQUIRE(Errors[2].Code == 112);
    REQUIRE(Errors[2].Peer == Settings.WriteTokenFile);
  }
  SECTION("comparison") {
    REQUIRE(Secret("abc").matches("abc"));
    REQUIRE_FALSE(Secret("abc").matches("abd"));
    REQUIRE_FALSE(Secret("abc").matches("ab"));
    // A node without a token must not accept an empty one.
    REQUIRE_FALSE(Secret().matches(""));
  }
}

TEST_CASE("example files are valid", "[settings][examples]") {
  for (const std::string Deployment : {"cafea-deschisa", "sunbelt-glazing"}) {
    const std::string Folder = "examples/" + Deployment;
    std::string Report;
    const int Code = checkNodeSettings(
        HYSSOPFORD_SOURCE_DIR "/" + Folder + "/node.json", Report);
    CAPTURE(Report);
    REQUIRE(Code == 0);
    std::vector<Error> Errors;
    REQUIRE(parseRoutingConfig(
        test::readRepositoryFile(Folder + "/routing.json"), 1, Errors));
  }
  std::string Document =
      test::readRepositoryFile("examples/cafea-deschisa/routing.json");
  for (const auto &Entry : std::filesystem::directory_iterator(
           HYSSOPFORD_SOURCE_DIR "/examples/patches")) {
    Error Last;
    std::vector<Error> Errors;
    const auto Patched = applyJsonPatch(
        Document,
        test::readRepositoryFile("examples/patches/" +
                                 Entry.path().filename().string()),
        Last);
    CAPTURE(Entry.path().string(), Last.Reason);
    REQUIRE(Patched);
    REQUIRE(parseRoutingConfig(*Patched, 2, Errors));
  }
}

TEST_CASE("--check reports one line for each fault", "[settings]") {
  const TemporaryFile File("check.json", R"({"site": 1, "stor": ""})");
  std::string Report;
  REQUIRE(checkNodeSettings(File.Path, Report) == 2);
  REQUIRE(Report.find("settings.parse (/stor): unknown field") !=
          std::string::npos);
  REQUIRE(std::count(Report.begin(), Report.end(), '\n') == 9);
  REQUIRE(checkNodeSettings("/nonexistent/node.json", Report) == 2);
}
