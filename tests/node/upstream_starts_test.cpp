/// @file
/// @brief Tests of the decision which start of the upstream is used.
#include "hyssopford/node/upstream_starts.hpp"

#include <algorithm>
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

// Guards against an upstream that is used again although its leaving was
// acknowledged: by a late first report, a copy, or a report that overtook its
// departure, before or after a restart of the node.
TEST_CASE("no order of reports brings back an upstream that has left",
          "[node][starts]") {
  using Decision = UpstreamStarts::Decision;
  // Whether the departure states the start, and whether the restarted node
  // forgets what came before it.
  const bool StatesStart = GENERATE(true, false);
  const int RestartedAt = GENERATE(range(0, 5));
  std::vector<int> Order = {1, 2, 3, 4};
  do {
    // 1 to 3 are reports, 4 is the departure; then all come again.
    std::vector<int> Sent = Order;
    Sent.insert(Sent.end(), Order.begin(), Order.end());
    UpstreamStarts Starts;
    bool HasLeft = false;
    for (int Index = 0; Index < static_cast<int>(Sent.size()); ++Index) {
      if (Index == RestartedAt) {
        Starts = UpstreamStarts();
      }
      if (Sent[Index] == 4) {
        Starts.depart("one", StatesStart ? 1'000 : 0);
        HasLeft = true;
      } else {
        Starts.consider(announcementOf("one", 1'000, Sent[Index]), TimePoint());
      }
      // The health endpoint answers as long as the upstream serves.
      const auto Found = Starts.conclude("one", !HasLeft, TimePoint());
      if (Found.Confirmed) {
        Starts.use(*Found.Confirmed);
      }
      const bool IsUsed = Starts.current() &&
                          Starts.current()->State != UpstreamState::Draining;
      CAPTURE(Order, Index, RestartedAt, StatesStart);
      REQUIRE_FALSE((HasLeft && IsUsed));
    }
    // A new start under the same identifier or another one serves at once.
    for (const char *Instance : {"one", "two"}) {
      UpstreamStarts Next = Starts;
      const Announcement New = announcementOf(Instance, 2'000, 1);
      CHECK(Next.consider(New, TimePoint()) == Decision::Claimed);
      REQUIRE(Next.conclude(Instance, true, TimePoint()).Confirmed == New);
    }
  } while (std::next_permutation(Order.begin(), Order.end()));
}

// Guards against a draining that stays without effect since the upstream has
// started again under its identifier.
TEST_CASE("a draining report drains whatever start of its upstream is in use",
          "[node][starts]") {
  using Decision = UpstreamStarts::Decision;
  UpstreamStarts Starts;
  Starts.use(announcementOf("one", 2'000, 5));
  // The clock may have stepped back between the starts.
  const std::uint64_t Start = GENERATE(1'000, 3'000);
  const bool IsDeparture = GENERATE(true, false);
  if (IsDeparture) {
    Starts.depart("one", Start);
  } else {
    CHECK(Starts.consider(
              announcementOf("one", Start, 2, UpstreamState::Draining),
              TimePoint()) == Decision::Holds);
  }
  CHECK(Starts.current()->State == UpstreamState::Draining);
  // Unless the start in use shows that it still wants work.
  CHECK(Starts.consider(announcementOf("one", 2'000, 6), TimePoint()) ==
        Decision::Renewed);
  CHECK(Starts.current()->State == UpstreamState::Serving);
}

// Guards against an address that is used again by another service and gets no
// work, and against a report that changes the service of the upstream in use.
TEST_CASE("an upstream of another service takes over by its identifier only",
          "[node][starts]") {
  using Decision = UpstreamStarts::Decision;
  UpstreamStarts Starts("service");
  Starts.use(announcementOf("one", 1'000, 5));
  const char *const Instance = GENERATE("one", "two");
  Announcement Other = announcementOf(Instance, 2'000, 1);
  Other.Service = "other";
  const Decision Result = Starts.consider(Other, TimePoint());
  const auto Found = Starts.conclude(Instance, true, TimePoint());
  if (Other.Instance == "one") {
    CHECK(Result == Decision::Foreign);
    CHECK_FALSE(Found.Confirmed);
  } else {
    CHECK(Result == Decision::Claimed);
    CHECK(Found.Confirmed == Other);
    // The service of the settings may always come back.
    Starts.use(Other);
    CHECK(Starts.consider(announcementOf("two", 3'000, 1), TimePoint()) ==
          Decision::Claimed);
  }
}
