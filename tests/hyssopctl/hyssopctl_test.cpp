/// @file
/// @brief Tests of hyssopctl against a fake node.
#include "commands.hpp"
#include "fake_node.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace hyssopford;
using nlohmann::json;

namespace {

constexpr const char *Operation =
    R"([{"op": "add", "path": "/drains/-", "value": "192.0.2.7:7101"}])";

/// Runs hyssopctl in-process.
class Tool {
public:
  Tool() {
    TokenFile = HYSSOPFORD_BINARY_DIR "/hyssopctl-test.token";
    std::ofstream(TokenFile) << test::FakeNode::Token << '\n';
  }
  Tool(const Tool &) = delete;
  Tool &operator=(const Tool &) = delete;
  ~Tool() { std::filesystem::remove(TokenFile); }

  int operator()(const std::vector<std::string> &Words,
                 const std::string &Input = "") {
    std::istringstream In(Input);
    std::ostringstream OutStream;
    std::ostringstream ErrStream;
    ctl::Environment Where{
        In,
        OutStream,
        ErrStream,
        [this](std::chrono::milliseconds) {
          ++Pauses;
          if (OnPause) {
            OnPause();
          }
        },
        [this] { return "patch-id-" + std::to_string(++Ids); },
        "ana",
        Node,
        TokenFile};
    const int Code = ctl::run(Words, Where);
    Out = OutStream.str();
    Err = ErrStream.str();
    return Code;
  }

  std::string Node;
  std::string TokenFile;
  std::string Out;
  std::string Err;
  std::function<void()> OnPause;
  int Pauses = 0;
  int Ids = 0;
};

json node(const std::string &Address, const std::string &Operators,
          const json &Version, const std::string &State = "alive") {
  return {{"node", "00"},           {"address", Address},
          {"operators", Operators}, {"failure_domain", "fd-1"},
          {"region", "north"},      {"state", State},
          {"version", Version},     {"version_age_ms", 5}};
}

} // namespace

TEST_CASE("patch", "[hyssopctl]") {
  test::FakeNode &Server = test::FakeNode::shared();
  Tool Run;
  Run.Node = Server.address();

  SECTION("is accepted with its base, author and id") {
    REQUIRE(Run({"patch", "--base", "1"}, Operation) == 0);
    REQUIRE(Run.Out == "accepted: version 2, patch patch-id-1\n");
    const json &Sent = Server.state().Submissions.at(0);
    REQUIRE(Sent["author"] == "ana");
    REQUIRE(Sent["dry_run"] == false);
    REQUIRE(Server.state().Document["drains"][0] == "192.0.2.7:7101");
  }
  SECTION("a lost answer: the same submission is sent again, applied once") {
    Server.state().AnswersLost = 2;
    REQUIRE(Run({"patch", "--base", "1"}, Operation) == 0);
    REQUIRE(Run.Out ==
            "accepted: version 2, patch patch-id-1 (accepted earlier)\n");
    REQUIRE(Server.state().Submissions.size() == 3);
    REQUIRE(Server.state().Submissions[0] == Server.state().Submissions[2]);
    REQUIRE(Server.state().Document["drains"].size() == 1);
  }
  SECTION("the next node is asked after a lost answer") {
    test::FakeNode &Second = test::FakeNode::shared(1);
    Server.state().AnswersLost = 1;
    REQUIRE(Run({"patch", "--base", "1", "-n", Server.address(), "-n",
                 Second.address()},
                Operation) == 0);
    REQUIRE(Second.state().Submissions.at(0) ==
            Server.state().Submissions.at(0));
  }
  SECTION("an unknown outcome is reported as such, with the id") {
    Server.state().AnswersLost = 100;
    REQUIRE(Run({"patch", "--base", "1"}, Operation) == 7);
    REQUIRE(Run.Err.find("--patch-id patch-id-1 --base 1") !=
            std::string::npos);
    Server.state().AnswersLost = 0;
    REQUIRE(Run({"patch", "--base", "1", "--patch-id", "patch-id-1"},
                Operation) == 0);
    REQUIRE(Server.state().Version == 2);
  }
  SECTION("an outage of the store after a lost answer leaves it unknown") {
    Server.state().AnswersLost = 1;
    Run.OnPause = [&] { Server.state().SubmitStatus = 503; };
    REQUIRE(Run({"patch", "--base", "1"}, Operation) == 7);
  }
  SECTION("an outage of the store: nothing was written, nothing is resent") {
    Server.state().SubmitStatus = 503;
    REQUIRE(Run({"patch", "--base", "1"}, Operation) == 6);
    REQUIRE(Server.state().Submissions.size() == 1);
    REQUIRE(Run.Err.find("[hyssopford.407] fake (" + Server.address() + ")") !=
            std::string::npos);
  }
  SECTION("an outdated base is never replaced by the tool") {
    Server.state().Races = 1;
    REQUIRE(Run({"patch", "--base", "1"}, Operation) == 3);
    REQUIRE(Server.state().Submissions.size() == 1);
    REQUIRE(Server.state().Document["drains"].empty());
  }
  SECTION("an invalid result, with errors as JSON") {
    REQUIRE(Run({"patch", "--base", "1", "--json"},
                R"([{"op": "add", "path": "/drains/-", "value": "x"}])") == 4);
    REQUIRE(json::parse(Run.Err)["errors"][0]["code"] == 107);
  }
  SECTION("a dry run changes nothing") {
    REQUIRE(Run({"patch", "--base", "1", "--dry-run"}, Operation) == 0);
    REQUIRE(Run.Out == "valid: version 2, patch patch-id-1\n");
    REQUIRE(Server.state().Version == 1);
  }
  SECTION("a faulty input is not sent") {
    REQUIRE(Run({"patch", "--base", "1"}, "{}") == 2);
    REQUIRE(Run({"patch", "--base", "1", "/nonexistent"}) == 2);
    REQUIRE(Run({"patch"}, Operation) == 2);
    REQUIRE(Run({"patch", "--bse", "1"}, Operation) == 2);
    REQUIRE(Server.state().Submissions.empty());
  }
}

TEST_CASE("drain and undrain", "[hyssopctl]") {
  test::FakeNode &Server = test::FakeNode::shared();
  Tool Run;
  Run.Node = Server.address();
  Server.state().Nodes = {node("192.0.2.7:7101", "", 1)};

  SECTION("are patches on the version in force") {
    REQUIRE(Run({"drain", "192.0.2.7:7101"}) == 0);
    REQUIRE(Server.state().Document["drains"] == json{"192.0.2.7:7101"});
    REQUIRE(Run({"drain", "192.0.2.7:7101"}) == 0);
    REQUIRE(Run.Out == "unchanged: version 2\n");
    REQUIRE(Run({"undrain", "192.0.2.7:7101"}) == 0);
    REQUIRE(Server.state().Document["drains"].empty());
    REQUIRE(Run({"undrain", "192.0.2.7:7101"}) == 2);
    REQUIRE(Run.Err.find("[hyssopford.506] undrain (192.0.2.7:7101)") !=
            std::string::npos);
  }
  SECTION("another operator's patch comes first: a new patch on the new base") {
    Server.state().Races = 2;
    REQUIRE(Run({"drain", "192.0.2.7:7101"}) == 0);
    REQUIRE(Server.state().Submissions.size() == 3);
    REQUIRE(Server.state().Submissions[0]["patch_id"] !=
            Server.state().Submissions[1]["patch_id"]);
    REQUIRE(Server.state().Document["drains"].size() == 1);
  }
  SECTION("an unknown address is refused unless forced") {
    REQUIRE(Run({"drain", "192.0.2.9:7101"}) == 2);
    REQUIRE(Server.state().Submissions.empty());
    REQUIRE(Run({"drain", "192.0.2.9:7101", "--force"}) == 0);
  }
  SECTION("a document without the array") {
    Server.state().Document.erase("drains");
    REQUIRE(Run({"drain", "192.0.2.7:7101"}) == 0);
    REQUIRE(Server.state().Document["drains"].size() == 1);
  }
}

TEST_CASE("quarantine", "[hyssopctl]") {
  test::FakeNode &Server = test::FakeNode::shared();
  Tool Run;
  Run.Node = Server.address();
  Server.state().Quarantine = {{{"fingerprint", "00c0ffee00c0ffee"},
                                {"route", "enrol"},
                                {"method", "POST"},
                                {"crashes", 2},
                                {"remaining_ms", 540000}}};

  REQUIRE(Run({"quarantine", "list"}) == 0);
  REQUIRE(Run.Out == "QUARANTINE\n"
                     "FINGERPRINT       ROUTE  METHOD  CRASHES  REMAINING_MS\n"
                     "00c0ffee00c0ffee  enrol  POST    2        540000\n");
  SECTION("a second lift raises the serial") {
    REQUIRE(Run({"quarantine", "lift", "00c0ffee00c0ffee"}) == 0);
    REQUIRE(Run({"quarantine", "lift", "00c0ffee00c0ffee"}) == 0);
    REQUIRE(
        Server.state().Document["quarantine_lifts"] ==
        json::array({{{"fingerprint", "00c0ffee00c0ffee"}, {"serial", 2}}}));
  }
  SECTION("an unknown fingerprint is refused") {
    REQUIRE(Run({"quarantine", "lift", "00000000000000aa"}) == 2);
    REQUIRE(Run.Err.find("[hyssopford.507]") != std::string::npos);
  }
}

TEST_CASE("watch", "[hyssopctl]") {
  test::FakeNode &Server = test::FakeNode::shared();
  test::FakeNode &Second = test::FakeNode::shared(1);
  Tool Run;
  Run.Node = Server.address();
  Server.state().Version = 4;
  Second.state().Version = 3;
  Server.state().Nodes = {node("192.0.2.1:7101", Server.address(), 4),
                          node("192.0.2.2:7101", Second.address(), 3),
                          node("192.0.2.3:7101", "", nullptr, "dead")};

  SECTION("ends when every node that is not dead has the version") {
    Run.OnPause = [&] {
      if (Run.Pauses == 3) {
        Second.state().Version = 5;
      }
    };
    REQUIRE(Run({"watch"}) == 0);
    REQUIRE(Run.Out == "version 4 is in force on all 2 nodes\n");
    REQUIRE(Run.Err == "watch: version 4 on 1 of 2 nodes\n"
                       "watch: version 4 on 2 of 2 nodes\n");
    REQUIRE(Run.Pauses == 3);
  }
  SECTION("a node that joins meanwhile is waited for") {
    Run.OnPause = [&] {
      Second.state().Version = 4;
      Server.state().Nodes.push_back(
          node("192.0.2.4:7101", "", Run.Pauses < 3 ? json() : json(4)));
      if (Run.Pauses >= 3) {
        Server.state().Nodes = {node("192.0.2.4:7101", "", 4)};
      }
    };
    REQUIRE(Run({"watch", "4"}) == 0);
    REQUIRE(Run.Pauses == 3);
  }
  SECTION("a node whose version is unknown does not count as done") {
    Server.state().Nodes = {node("192.0.2.2:7101", "", nullptr)};
    REQUIRE(Run({"watch", "4", "--wait-ms", "0"}) == 8);
    REQUIRE(Run.Out == "MISSING\n"
                       "ADDRESS         VERSION\n"
                       "192.0.2.2:7101  unknown\n");
    REQUIRE(Run.Err.find("[hyssopford.504] watch: version 4 is in force on 0 "
                         "of 1 nodes after 0 ms") != std::string::npos);
  }
  SECTION("the result as JSON") {
    REQUIRE(Run({"watch", "4", "--wait-ms", "0", "--json"}) == 8);
    REQUIRE(json::parse(Run.Out)["missing"] ==
            json::array({{{"address", "192.0.2.2:7101"}, {"version", 3}}}));
  }
}

TEST_CASE("commands that read", "[hyssopctl]") {
  test::FakeNode &Server = test::FakeNode::shared();
  Tool Run;
  Run.Node = Server.address();
  Server.state().Document["routes"] = {
      {{"name", "enrol"}, {"service", "enrolment"}, {"deadline_ms", 400}}};

  SECTION("show") {
    REQUIRE(Run({"show"}) == 0);
    REQUIRE(Run.Out.find("enrol  -     -       any      enrolment  400") !=
            std::string::npos);
    REQUIRE(Run({"show", "--json"}) == 0);
    REQUIRE(json::parse(Run.Out)["version"] == 1);
  }
  SECTION("diff gives a patch that patch takes") {
    const std::string File = HYSSOPFORD_BINARY_DIR "/hyssopctl-test.json";
    json Target = Server.state().Document;
    Target["routes"][0]["deadline_ms"] = 600;
    std::ofstream(File) << Target;
    REQUIRE(Run({"diff", File}) == 0);
    REQUIRE(Run.Out.find("  replace /routes/0/deadline_ms: 400 -> 600\n") !=
            std::string::npos);
    REQUIRE(Run({"diff", File, "--json"}) == 0);
    REQUIRE(Run({"patch"}, std::string(Run.Out)) == 0);
    REQUIRE(Server.state().Document == Target);
    std::filesystem::remove(File);

    REQUIRE(Run({"history"}) == 0);
    REQUIRE(Run.Out ==
            "VERSION  TIME                  AUTHOR  BASE  OPERATIONS  "
            "PATCH_ID\n"
            "2        2026-03-01T09:30:00Z  ana     1     1           "
            "patch-id-1\n");
    REQUIRE(Run({"diff", "--from", "1"}) == 0);
    REQUIRE(Run.Out == "version 2, 2026-03-01T09:30:00Z, ana\n"
                       "  replace /routes/0/deadline_ms -> 600\n");
    REQUIRE(Run({"diff", "--from", "0"}) == 2);
    REQUIRE(Run({"diff"}) == 2);
  }
  SECTION("status shows unknown numbers as dashes") {
    Server.state().Nodes = {node("192.0.2.7:7101", "", nullptr)};
    Server.state().Upstreams = {{{"address", "192.0.2.7:7101"},
                                 {"service", "catalogue\x1b[2J"},
                                 {"state", "serving"},
                                 {"in_flight", nullptr}}};
    REQUIRE(Run({"status"}) == 0);
    REQUIRE(Run.Out.find("192.0.2.7:7101  fd-1            north   alive  -") !=
            std::string::npos);
    // A name from outside must not drive the terminal.
    REQUIRE(Run.Out.find("catalogue?[2J") != std::string::npos);
  }
  SECTION("explain encodes its query") {
    Server.state().Explanation = {{"route", nullptr}};
    REQUIRE(Run({"explain", "--path", "/a b?c", "--method", "PUT"}) == 0);
    REQUIRE(Server.state().LastPath ==
            "/v1/explain?method=PUT&host=&path=%2Fa%20b%3Fc");
    REQUIRE(Run.Out.find("route -") != std::string::npos);
  }
}

TEST_CASE("calls that fail", "[hyssopctl]") {
  test::FakeNode &Server = test::FakeNode::shared();
  Tool Run;
  Run.Node = Server.address();

  SECTION("no node can be reached") {
    {
      const test::FakeNode Gone;
      Run.Node = Gone.address();
    }
    REQUIRE(Run({"show"}) == 5);
    REQUIRE(Run.Err.find("[hyssopford.502] show (" + Run.Node + ")") !=
            std::string::npos);
    REQUIRE(Run({"show", "-n", Run.Node, "-n", Server.address()}) == 0);
  }
  SECTION("the token is refused, and not shown") {
    const std::string Wrong(32, 'w');
    std::ofstream(Run.TokenFile) << Wrong;
    REQUIRE(Run({"show"}) == 9);
    REQUIRE((Run.Out + Run.Err).find(Wrong) == std::string::npos);
  }
  SECTION("no node or token is named") {
    Run.Node.clear();
    REQUIRE(Run({"show"}) == 2);
    Run.Node = Server.address();
    REQUIRE(Run({"show", "--token-file", "/nonexistent"}) == 2);
  }
  SECTION("an answer of another form") {
    Server.state().Document["routes"] = 7;
    Server.state().Nodes = {{{"state", 7}}};
    REQUIRE(Run({"watch"}) == 5);
    REQUIRE(Run.Err.find("[hyssopford.503]") != std::string::npos);
  }
  SECTION("unknown commands and help") {
    REQUIRE(Run({"frobnicate"}) == 2);
    REQUIRE(Run({}) == 2);
    REQUIRE(Run({"--help"}) == 0);
    REQUIRE(Run({"patch", "--help"}) == 0);
    REQUIRE(Run.Out.find("--dry-run") != std::string::npos);
  }
}

TEST_CASE("settings and routing", "[hyssopctl]") {
  Tool Run;
  REQUIRE(Run({"settings", "--print-defaults"}) == 0);
  REQUIRE(json::parse(Run.Out).contains("timeouts"));
  REQUIRE(Run({"settings"}) == 2);
  REQUIRE(Run({"routing", "--check", "/nonexistent"}) == 2);
  REQUIRE(Run.Out.find("[hyssopford.112]") != std::string::npos);
  REQUIRE(Run({"routing", "--check", Run.TokenFile}) == 2);
}

TEST_CASE("examples in the pages", "[docs]") {
  std::size_t Snippets = 0;
  std::size_t Commands = 0;
  std::vector<std::filesystem::path> Pages{HYSSOPFORD_SOURCE_DIR "/README.md",
                                           HYSSOPFORD_SOURCE_DIR
                                           "/CONTRIBUTING.md"};
  for (const auto &Entry :
       std::filesystem::directory_iterator(HYSSOPFORD_SOURCE_DIR "/docs")) {
    Pages.push_back(Entry.path());
  }
  for (const auto &Page : Pages) {
    std::ifstream File(Page);
    std::string Line;
    std::string Snippet;
    bool InJson = false;
    while (std::getline(File, Line)) {
      CAPTURE(Page.string(), Line);
      if (InJson && Line == "```") {
        InJson = false;
        ++Snippets;
        REQUIRE(json::accept(Snippet));
      } else if (InJson) {
        Snippet += Line + "\n";
      } else if (Line == "```json") {
        InJson = true;
        Snippet.clear();
      } else if (Line.starts_with("$ hyssopctl ") &&
                 Line.find("--check") != std::string::npos) {
        ++Commands;
        Tool Run;
        std::istringstream Words(Line.substr(12));
        std::vector<std::string> Arguments{
            std::istream_iterator<std::string>(Words), {}};
        Arguments.back().insert(0, HYSSOPFORD_SOURCE_DIR "/");
        CAPTURE(Run.Out);
        REQUIRE(Run(Arguments) == 0);
      }
    }
  }
  REQUIRE(Snippets >= 9);
  REQUIRE(Commands >= 4);
}
