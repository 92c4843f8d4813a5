/// @file
/// @brief Tests of the runs of a node within one process.
#include "hyssopford/node/node_supervisor.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace hyssopford;

namespace {

/// Moments at which a request to shut down may come.
enum class Moment { Never, BeforeStart, WhileStarting, WhileRunning, AfterRun };

/// Runs that require a higher incarnation, up to a number of them.
struct SupervisorFixture {
  class Run final : public NodeRunner {
  public:
    explicit Run(SupervisorFixture &Parent) : Fixture(Parent) {}

    bool run() override {
      Fixture.reach(Moment::WhileRunning);
      return true;
    }
    void requestShutdown() override { ++Fixture.Shutdowns; }
    std::optional<Incarnation> requiredIncarnation() const override {
      Fixture.reach(Moment::AfterRun);
      return Fixture.Least.size() < Fixture.Runs
                 ? std::optional(Incarnation{10 * Fixture.Least.size()})
                 : std::nullopt;
    }

  private:
    SupervisorFixture &Fixture;
  };

  void reach(Moment Now) {
    if (Now == StopAt && Least.size() == StopIn) {
      Supervisor.requestShutdown();
    }
  }

  std::size_t Runs = 3;
  Moment StopAt = Moment::Never;
  /// Number of the run in which the request comes.
  std::size_t StopIn = 0;
  int Shutdowns = 0;
  std::vector<std::uint64_t> Least;
  NodeSupervisor Supervisor{[this](Incarnation Value) {
    Least.push_back(Value.Value);
    reach(Moment::WhileStarting);
    return std::make_unique<Run>(*this);
  }};
};

} // namespace

// Guards against a node that serves again after it was told to stop, since its
// site required a higher incarnation at that time.
TEST_CASE("no run of a node starts after the request to shut down",
          "[node][supervisor]") {
  SupervisorFixture Test;
  SECTION("without a request it starts until no incarnation is required") {
    CHECK(Test.Supervisor.run());
    CHECK(Test.Least == std::vector<std::uint64_t>{0, 10, 20});
    CHECK(Test.Shutdowns == 0);
  }
  SECTION("a request before the first run") {
    Test.Supervisor.requestShutdown();
    CHECK(Test.Supervisor.run());
    CHECK(Test.Least.empty());
  }
  SECTION("a request in any state of any run") {
    Test.StopIn = GENERATE(std::size_t{1}, std::size_t{2});
    Test.StopAt =
        GENERATE(Moment::WhileStarting, Moment::WhileRunning, Moment::AfterRun);
    CAPTURE(Test.StopIn, static_cast<int>(Test.StopAt));
    CHECK(Test.Supervisor.run());
    CHECK(Test.Least.size() == Test.StopIn);
    // Between two runs there is none to tell.
    CHECK(Test.Shutdowns == (Test.StopAt == Moment::AfterRun ? 0 : 1));
  }
}
