/// @file
/// @brief Tests of the calls to the platform's store, with its faults.
#include "net/loop_thread.hpp"
#include "store_client.hpp"
#include "store_standin.hpp"

#include "hyssopford/core/patch_writer.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace hyssopford;
using namespace hyssopford::platform;
using namespace hyssopford::test;

namespace {

struct Fixture {
  Fixture() {
    Thread.call([&] {
      Store = std::make_unique<StoreStandin>(Thread.Loop);
      Client = std::make_unique<PlatformStoreClient>(
          Thread.Loop, Store->address(),
          [this](std::uint64_t Call, StoreResult Result) {
            Results[Call] = std::move(Result);
          });
      return 0;
    });
  }
  ~Fixture() {
    Thread.call([&] {
      Client.reset();
      Store.reset();
      return 0;
    });
  }
  std::uint64_t start(StoreOperation Operation) {
    return Thread.call([&] {
      Client->start(StoreCall{++LastCall, std::move(Operation)});
      return LastCall;
    });
  }
  StoreResult await(std::uint64_t Call) {
    REQUIRE(eventually(
        [&] { return Thread.call([&] { return Results.contains(Call); }); }));
    return Thread.call([&] { return Results.at(Call); });
  }
  StoreResult run(StoreOperation Operation) {
    return await(start(std::move(Operation)));
  }
  void trouble(StoreFault New) {
    Thread.call([&] {
      Store->setFault(New);
      return 0;
    });
  }

  LoopThread Thread;
  std::unique_ptr<StoreStandin> Store;
  std::unique_ptr<PlatformStoreClient> Client;
  std::map<std::uint64_t, StoreResult> Results;
  std::uint64_t LastCall = 0;
};

} // namespace

TEST_CASE("keys and conditions", "[platform][store]") {
  Fixture Test;
  CHECK(Test.run(StoreRead{"a/b"}).Status == StoreStatus::Missing);
  const StoreResult Lease = Test.run(StoreLease{0, 10s});
  REQUIRE(Lease.Status == StoreStatus::Done);
  const std::string Bytes("x\0\xff y", 5);
  const StoreResult Written =
      Test.run(StoreWrite{"a/b", Bytes, 0, Lease.Lease});
  REQUIRE(Written.Status == StoreStatus::Done);
  const StoreResult Read = Test.run(StoreRead{"a/b"});
  CHECK(Read.Value == Bytes);
  CHECK(Read.Revision == Written.Revision);
  CHECK(Read.Lease == Lease.Lease);
  SECTION("a failed condition tells the current value") {
    const StoreResult Conflict = Test.run(StoreWrite{"a/b", "y", 0, 0});
    CHECK(Conflict.Status == StoreStatus::Conflict);
    CHECK(Conflict.Value == Bytes);
    CHECK(Conflict.Revision == Written.Revision);
  }
  SECTION("a lease is renewed, and an unknown one is missing") {
    CHECK(Test.run(StoreLease{Lease.Lease, 10s}).Status == StoreStatus::Done);
    CHECK(Test.run(StoreLease{77, 10s}).Status == StoreStatus::Missing);
    CHECK(Test.run(StoreWrite{"a/c", "y", 0, 77}).Status ==
          StoreStatus::Missing);
  }
}

TEST_CASE("watches of the configuration", "[platform][store]") {
  Fixture Test;
  Test.Thread.call([&] {
    Test.Store->put("op/config", "one");
    return 0;
  });
  const StoreResult First = Test.run(StoreRead{ConfigHeadKey});
  REQUIRE(First.Value == "one");
  SECTION("a change ends the watch with the new value") {
    const std::uint64_t Call =
        Test.start(StoreWatch{ConfigHeadKey, First.Revision, 5s});
    Test.Thread.call([&] {
      Test.Store->put("other", "x");
      Test.Store->put("op/config", "two");
      return 0;
    });
    CHECK(Test.await(Call).Value == "two");
  }
  SECTION("without a change it ends unchanged") {
    CHECK(Test.run(StoreWatch{ConfigHeadKey, First.Revision, 50ms}).Status ==
          StoreStatus::Unchanged);
  }
  SECTION("a lost history is made good by a read") {
    // The watch goes on from the store's revision, not from that of the item,
    // which is often older than the history.
    Test.Thread.call([&] {
      Test.Store->put("op/config", "two");
      Test.Store->compact();
      return 0;
    });
    const StoreResult Result =
        Test.run(StoreWatch{ConfigHeadKey, First.Revision, 5s});
    CHECK(Result.Status == StoreStatus::Done);
    CHECK(Result.Value == "two");
    CHECK(Test.run(StoreWatch{ConfigHeadKey, Result.Revision, 50ms}).Status ==
          StoreStatus::Unchanged);
  }
}

TEST_CASE("a store in trouble", "[platform][store]") {
  Fixture Test;
  SECTION("what was refused is told from what may have been done") {
    Test.trouble(StoreFault::Busy);
    CHECK(Test.run(StoreWrite{"a", "x", 0, 0}).Status == StoreStatus::Refused);
    Test.trouble(StoreFault::RateLimited);
    CHECK(Test.run(StoreWrite{"a", "x", 0, 0}).Status == StoreStatus::Refused);
    Test.trouble(StoreFault::LosesAnswers);
    CHECK(Test.run(StoreWrite{"a", "x", 0, 0}).Status == StoreStatus::NoAnswer);
    Test.trouble(StoreFault::None);
    CHECK(Test.run(StoreRead{"a"}).Value == "x");
  }
  SECTION("a silent store ends a call after a bounded time") {
    Test.trouble(StoreFault::Unresponsive);
    const TimePoint Start = EventLoop::now();
    const StoreResult Result = Test.run(StoreRead{"a"});
    CHECK(Result.Status == StoreStatus::NoAnswer);
    CHECK_FALSE(Result.Reason.empty());
    CHECK(EventLoop::now() - Start < 2s);
  }
  SECTION("a watch that the store has forgotten ends soon") {
    // A version written 3 s after a disturbance must be in force 2.5 s later.
    REQUIRE(Test.run(StoreWrite{"w", "x", 0, 0}).Status == StoreStatus::Done);
    const StoreResult Now = Test.run(StoreRead{"w"});
    Test.trouble(StoreFault::Unresponsive);
    const TimePoint Start = EventLoop::now();
    const StoreResult Result =
        Test.run(StoreWatch{"w", Now.Revision, Duration{30s}});
    CHECK(Result.Status == StoreStatus::NoAnswer);
    CHECK(EventLoop::now() - Start < 5s);
  }
  SECTION("a store that is gone refuses") {
    Test.Thread.call([&] {
      Test.Store.reset();
      return 0;
    });
    CHECK(Test.run(StoreRead{"a"}).Status == StoreStatus::Refused);
  }
}
