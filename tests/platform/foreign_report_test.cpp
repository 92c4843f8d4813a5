/// @file
/// @brief Tests of reports that name another party than the instance on this
/// VM.
#include "platform_site.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace hyssopford;
using namespace hyssopford::platform;
using namespace hyssopford::platform::test;

namespace {

/// A node whose instance is running a request.
struct BusyNode {
  explicit BusyNode(Duration Work)
      : Instance((Site.putConfig(1), Site.addInstance(Work))),
        Node(Site, Instance) {
    REQUIRE(Node.serves("first"));
    Answer = std::async(std::launch::async, [this] {
      return Node.send("POST", "/write/x", "running");
    });
    REQUIRE(eventually([&] {
      return Site.call([&] { return Instance.runs().contains("running"); });
    }));
  }

  std::string report(const std::string &Method, const std::string &Id,
                     const json &Changes) {
    json Body{{"service", "seats"},
              {"address", Node.upstreamAddress()},
              {"zone", "a"},
              {"version", "v1"},
              {"capacity", 9},
              {"state", "ready"},
              {"sequence", 1},
              {"coldRemainingS", 0},
              {"born", 9'000'000'000'000}};
    Body.update(Changes);
    RawClient Client(Node.Node->localAddress());
    const std::string Text = Body.dump();
    Client.send(
        fmt::format("{} /hyssopford/instances/{} HTTP/1.1\r\nHost: a\r\n"
                    "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                    Method, Id, Text.size(), Text));
    return Client.receiveAll().substr(9, 3);
  }
  std::size_t reports() {
    return Site.call([&] { return Instance.reports(); });
  }

  PlatformStandins Site;
  InstanceStandin &Instance;
  TestNode Node;
  std::future<std::string> Answer;
};

struct ForeignReport {
  const char *Method;
  const char *Id;
  json Changes;
};

} // namespace

// Guards against a report of another writer that ends the requests which the
// instance is running, and takes its place.
TEST_CASE("a report that names another party changes nothing",
          "[platform][reports]") {
  const auto Report = GENERATE(values<ForeignReport>({
      {"PUT", "other", {{"service", "stock"}}},
      {"PUT", "i-1", {{"service", "stock"}}},
      {"PUT", "other", json::object()},
      {"PUT", "other", {{"sequence", 7}}},
      {"PUT", "other", {{"state", "draining"}}},
      {"PUT", "other", {{"address", "127.0.0.1:1"}}},
      {"DELETE", "other", json::object()},
  }));
  INFO(Report.Method << " " << Report.Id << " " << Report.Changes.dump());
  BusyNode Test(300ms);
  const std::size_t Before = Test.reports();
  Test.report(Report.Method, Report.Id, Report.Changes);
  CHECK(Test.Answer.get().starts_with("HTTP/1.1 200"));
  CHECK(Test.Node.send("POST", "/write/x", "next").starts_with("HTTP/1.1 200"));
  CHECK(Test.Site.call([&] { return Test.Instance.cancelled(); }) == 0);
  // One of two may have been under way.
  CHECK(eventually([&] { return Test.reports() >= Before + 2; }));
}

// Guards against a silence of the reports, or a new start that is only claimed,
// that ends requests whose connections show that the instance lives.
TEST_CASE("requests end with their connections only", "[platform][reports]") {
  const bool IsClaimed = GENERATE(true, false);
  CAPTURE(IsClaimed);
  BusyNode Test(1'900ms);
  if (IsClaimed) {
    CHECK(Test.report("PUT", "i-1", json::object()) == "200");
  } else {
    Test.Site.call([&] {
      Test.Instance.reportTo("");
      return 0;
    });
    REQUIRE(eventually([&] {
      return Test.Node.Log.contains("reason=\"announcement expired\"");
    }));
  }
  CHECK(Test.Answer.get().starts_with("HTTP/1.1 200"));
}

// Guards against a health answer that may be read as that of either of two
// instances, or as that of any.
TEST_CASE("a health answer names one instance", "[platform][reports]") {
  const PlatformEdgePolicy Edge("seats");
  const auto Names = GENERATE(
      values<std::vector<const char *>>({{"i-1"}, {"i-1", "i-2"}, {""}, {}}));
  Poco::Net::HTTPResponse Head;
  for (const char *Each : Names) {
    Head.add("X-Instance-Id", Each);
  }
  const bool IsNamed = Names.size() == 1 && *Names.front() != '\0';
  CAPTURE(Names.size());
  CHECK(Edge.classifyProbeResponse(Head, true) ==
        (IsNamed ? AnswerKind::Answer : AnswerKind::Invalid));
}

// Guards against the late departure of an earlier start that drains the one
// which has taken its identifier.
TEST_CASE("a departure names its start if it states one",
          "[platform][reports]") {
  const PlatformAnnouncements Decoder("127.0.0.1:1", 1s);
  const auto Case =
      GENERATE(table<const char *, std::uint64_t>({{"{\"born\":12}", 12},
                                                   {"{\"born\":\"12\"}", 0},
                                                   {"{}", 0},
                                                   {"x", 0},
                                                   {"", 0}}));
  Error Fault;
  const auto Decoded = Decoder.decode("DELETE", "/hyssopford/instances/i-1",
                                      std::get<0>(Case), Fault);
  REQUIRE(Decoded);
  CHECK(Decoded->Kind == AnnouncementKind::Departure);
  CHECK(Decoded->Start == std::get<1>(Case));
}
