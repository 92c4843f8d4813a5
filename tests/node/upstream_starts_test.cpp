/// @file
/// @brief Tests of the decision which start of the upstream is used.
#include "hyssopford/node/upstream_starts.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

Announcement announcementOf(std::string Instance, std::uint64_t Start,
                            std::uint64_t Sequence,
                            UpstreamState State = UpstreamState::Serving) {
  Announcement New;
  New.Service = "service";
  New.Address = "127.0.0.1:1";
  New.Instance = std::move(Instance);
  New.Start = Start;
  New.Sequence = Sequence;
  New.State = State;
  return New;
}

} // namespace

// Guards against another upstream that takes over the registration by its own
// word where announcements have no identifiers.
TEST_CASE("an announcement without identifier renews its own upstream only",
          "[node][starts]") {
  using Decision = UpstreamStarts::Decision;
  UpstreamStarts Starts;
  const Announcement Own = announcementOf("", 0, 0);
  Announcement Other = Own;
  (GENERATE(true, false) ? Other.Service : Other.Address) = "127.0.0.1:2";
  REQUIRE(Starts.consider(Own, TimePoint()) == Decision::Renewed);
  CHECK(Starts.consider(Other, TimePoint()) == Decision::Contested);
  CHECK(Starts.current() == Own);
  CHECK(Starts.consider(Own, TimePoint()) == Decision::Renewed);
  Starts.end();
  CHECK(Starts.consider(Other, TimePoint()) == Decision::Renewed);
}
