/// @file
/// @brief Tests of the order of announcements at one address.
#include "test_site.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Decodes "start sequence state" at /instances/NAME.
class OrderedDecoder final : public AnnouncementDecoder {
public:
  explicit OrderedDecoder(std::string Upstream)
      : Address(std::move(Upstream)) {}

  bool accepts(std::string_view Path) const override {
    return Path.starts_with(Prefix);
  }
  std::optional<Announcement> decode(const std::string &Method,
                                     std::string_view Path,
                                     const std::string &Body,
                                     Error & /*Fault*/) const override {
    Announcement New;
    New.Instance = std::string(Path.substr(Prefix.size()));
    if (Method == "DELETE") {
      New.Kind = AnnouncementKind::Departure;
      return New;
    }
    New.Service = "service";
    New.Address = Address;
    New.TimeToLive = 600ms;
    std::string State;
    std::istringstream(Body) >> New.Start >> New.Sequence >> State;
    New.State =
        State == "draining" ? UpstreamState::Draining : UpstreamState::Serving;
    return New;
  }

private:
  static constexpr std::string_view Prefix = "/instances/";
  std::string Address;
};

struct OrderedNode {
  OrderedNode()
      : Decoder(Upstream.address()),
        Node(testSettings(), testRouting(), adapters(Decoder)) {}

  static NodeAdapters adapters(const AnnouncementDecoder &Decoder) {
    NodeAdapters Result;
    Result.Announcements = &Decoder;
    return Result;
  }

  /// Returns the status of the answer.
  std::string report(const std::string &Instance, int Start, int Sequence,
                     const std::string &State = "ready") {
    return exchange(Node.Node.localAddress(), "PUT", "/instances/" + Instance,
                    "", fmt::format("{} {} {}", Start, Sequence, State))
        .substr(9, 3);
  }
  std::string depart(const std::string &Instance) {
    return exchange(Node.Node.localAddress(), "DELETE",
                    "/instances/" + Instance)
        .substr(9, 3);
  }
  bool answers() {
    return exchange(Node.Node.callerAddress(), "GET", "/x")
        .starts_with("HTTP/1.1 200");
  }
  bool serves() {
    return eventually([&] { return answers(); });
  }

  TestUpstream Upstream;
  OrderedDecoder Decoder;
  TestNode Node;
};

} // namespace

// Guards against a successor that is ignored for good, and its draining
// acknowledged, since a step of the clock put its start before the
// forerunner's.
TEST_CASE("an upstream with an earlier start than its forerunner is taken",
          "[node][registry]") {
  OrderedNode Case;
  REQUIRE(Case.report("old", 2'000, 1) == "200");
  REQUIRE(Case.serves());
  // The forerunner may still run: its announcement is in force.
  REQUIRE(Case.report("new", 1'000, 1) == "409");
  REQUIRE(eventually([&] { return Case.report("new", 1'000, 2) == "200"; }));
  REQUIRE(Case.serves());
  SECTION("a late report of the forerunner is dropped") {
    REQUIRE(Case.report("old", 2'000, 1) == "409");
    REQUIRE(Case.serves());
  }
  SECTION("its draining is acknowledged and kept") {
    REQUIRE(Case.report("new", 1'000, 4, "draining") == "200");
    REQUIRE(eventually([&] {
      return exchange(Case.Node.Node.callerAddress(), "GET", "/x")
          .starts_with("HTTP/1.1 503");
    }));
    REQUIRE(Case.report("new", 1'000, 3) == "409");
    REQUIRE_FALSE(Case.answers());
  }
}

// Guards against a draining that is acknowledged and thrown away.
TEST_CASE("an announcement is acknowledged only if what it states holds",
          "[node][registry]") {
  OrderedNode Case;
  REQUIRE(Case.report("one", 1'000, 5) == "200");
  REQUIRE(Case.serves());
  // A copy holds, an overtaken one does not.
  REQUIRE(Case.report("one", 1'000, 5) == "200");
  REQUIRE(Case.report("one", 1'000, 4, "draining") == "409");
  REQUIRE(Case.report("one", 1'000, 5, "draining") == "409");
  REQUIRE(Case.serves());
  SECTION("one that came before the state in force holds") {
    REQUIRE(Case.report("one", 1'000, 7, "draining") == "200");
    REQUIRE(Case.report("one", 1'000, 6, "draining") == "200");
    REQUIRE(Case.report("one", 1'000, 6) == "409");
  }
  SECTION("the draining of a replaced start holds, and stays in force") {
    REQUIRE(Case.report("two", 3'000, 1) == "200");
    REQUIRE(Case.report("one", 1'000, 9, "draining") == "200");
    REQUIRE(Case.report("one", 1'000, 8) == "409");
  }
}

// Guards against requests at an instance that signed off at a node that had
// restarted and heard its late report afterwards.
TEST_CASE("a report behind the departure does not bring the upstream back",
          "[node][registry]") {
  OrderedNode Case;
  REQUIRE(Case.depart("one") == "200");
  Case.report("one", 1'000, 8);
  Case.report("one", 1'000, 9);
  std::this_thread::sleep_for(300ms);
  REQUIRE_FALSE(Case.answers());
  REQUIRE(Case.report("one", 2'000, 1) == "200");
  REQUIRE(Case.serves());
}
