/// @file
/// @brief Tests of the client of the platform's store, including faults of the
/// store.
#include "net/loop_thread.hpp"
#include "store_client.hpp"
#include "store_standin.hpp"

#include "hyssopford/core/evacuation/evacuation_system.hpp"
#include "hyssopford/core/patch_writer.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace hyssopford;
using namespace hyssopford::platform;
using namespace hyssopford::test;

namespace {

struct StoreFixture {
  StoreFixture() {
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
  ~StoreFixture() {
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
  void injectFault(StoreFault Fault) {
    Thread.call([&] {
      Store->setFault(Fault);
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

TEST_CASE("reads, conditional writes and leases", "[platform][store]") {
  StoreFixture Test;
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
  SECTION("a failed condition returns the current value") {
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
  StoreFixture Test;
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
  SECTION("a watch without a change ends as unchanged") {
    CHECK(Test.run(StoreWatch{ConfigHeadKey, First.Revision, 50ms}).Status ==
          StoreStatus::Unchanged);
  }
  SECTION("a compacted history is replaced by a read of the key") {
    // Watches must continue from the revision of the store: that of the item is
    // often older than the history.
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

TEST_CASE("faults of the store", "[platform][store]") {
  StoreFixture Test;
  SECTION("a refused write is distinguished from one that may have been done") {
    Test.injectFault(StoreFault::Busy);
    CHECK(Test.run(StoreWrite{"a", "x", 0, 0}).Status == StoreStatus::Refused);
    Test.injectFault(StoreFault::RateLimited);
    CHECK(Test.run(StoreWrite{"a", "x", 0, 0}).Status == StoreStatus::Refused);
    Test.injectFault(StoreFault::LosesAnswers);
    CHECK(Test.run(StoreWrite{"a", "x", 0, 0}).Status == StoreStatus::NoAnswer);
    Test.injectFault(StoreFault::None);
    CHECK(Test.run(StoreRead{"a"}).Value == "x");
  }
  SECTION("a call to an unresponsive store times out") {
    Test.injectFault(StoreFault::Unresponsive);
    const TimePoint Start = EventLoop::now();
    const StoreResult Result = Test.run(StoreRead{"a"});
    CHECK(Result.Status == StoreStatus::NoAnswer);
    CHECK_FALSE(Result.Reason.empty());
    CHECK(EventLoop::now() - Start < 2s);
  }
  SECTION("a watch on an unresponsive store times out") {
    // A configuration written 3 s after a fault must be in force 2.5 s later.
    REQUIRE(Test.run(StoreWrite{"w", "x", 0, 0}).Status == StoreStatus::Done);
    const StoreResult Now = Test.run(StoreRead{"w"});
    Test.injectFault(StoreFault::Unresponsive);
    const TimePoint Start = EventLoop::now();
    const StoreResult Result =
        Test.run(StoreWatch{"w", Now.Revision, Duration{30s}});
    CHECK(Result.Status == StoreStatus::NoAnswer);
    CHECK(EventLoop::now() - Start < 5s);
  }
  SECTION("a call to a store that does not listen is refused") {
    Test.Thread.call([&] {
      Test.Store.reset();
      return 0;
    });
    CHECK(Test.run(StoreRead{"a"}).Status == StoreStatus::Refused);
  }
}

// Guards against watches that hang at a revision which the store has lost.
TEST_CASE("a store that comes back older states a higher era",
          "[platform][store][freshness]") {
  StoreFixture Test;
  const auto Put = [&](const char *Value) {
    Test.Thread.call([&] {
      Test.Store->put("op/config", Value);
      return 0;
    });
  };
  Put("one");
  const StoreResult First = Test.run(StoreRead{ConfigHeadKey});
  REQUIRE(First.Era == 1);
  const TimePoint Written = EventLoop::now();
  Put("two");
  const StoreResult Second = Test.run(StoreRead{ConfigHeadKey});
  REQUIRE(Second.Value == "two");
  const std::uint64_t Watch =
      Test.start(StoreWatch{ConfigHeadKey, Second.Revision, 1s});
  Test.run(StoreRead{"other"});
  Test.Thread.call([&] {
    Test.Store->returnToCopy(EventLoop::now() - Written);
    return 0;
  });
  const StoreResult Answer = Test.await(Watch);
  CHECK(Answer.Value == "one");
  CHECK(Answer.Era == 2);
  SECTION("a watch from the lost revision reads the key") {
    CHECK(Test.run(StoreWatch{ConfigHeadKey, Second.Revision, 1s}).Value ==
          "one");
  }
  SECTION("a watch from the revision of the copy reports changes") {
    const std::uint64_t Next =
        Test.start(StoreWatch{ConfigHeadKey, Answer.Revision, 1s});
    Put("three");
    CHECK(Test.await(Next).Value == "three");
  }
  SECTION("leases of the copy can be renewed, lost ones not") {
    const StoreResult Lease = Test.run(StoreLease{0, 10s});
    Test.Thread.call([&] {
      Test.Store->returnToCopy(EventLoop::now() - Written);
      return 0;
    });
    CHECK(Test.run(StoreLease{Lease.Lease, 10s}).Status ==
          StoreStatus::Missing);
  }
}

TEST_CASE("the evacuated failure domains are listed and watched",
          "[platform][store][evacuation]") {
  // Guards against pages, tombstones or a lost history that hide a key.
  StoreFixture Test;
  const auto Change = [&](const std::string &Key, bool Removed = false) {
    Test.Thread.call([&] {
      Removed ? Test.Store->erase(Key) : Test.Store->put(Key, "any");
      return 0;
    });
  };
  const StoreResult None = Test.run(StoreList{EvacuationPrefix});
  CHECK(None.Status == StoreStatus::Done);
  CHECK(None.Keys.empty());
  CHECK(None.Revision == 100);
  Test.Thread.call([&] {
    Test.Store->setPageSize(2);
    return 0;
  });
  for (const char *Name : {"a", "b", "c", "d", "e"}) {
    Change(std::string("op/evacuate/") + Name);
  }
  Change("op/other");
  const StoreResult All = Test.run(StoreList{EvacuationPrefix});
  CHECK(All.Keys == std::vector<std::string>{"a", "b", "c", "d", "e"});
  CHECK(All.Values == std::vector<std::string>(5, "any"));
  const StoreResult Quiet =
      Test.run(StoreList{EvacuationPrefix, All.Revision, 50ms});
  CHECK(Quiet.Status == StoreStatus::Unchanged);
  CHECK(Quiet.Revision == All.Revision);
  const std::uint64_t Watch =
      Test.start(StoreList{EvacuationPrefix, All.Revision, 2s});
  Change("op/evacuate/b", true);
  CHECK(Test.await(Watch).Keys == std::vector<std::string>{"a", "c", "d", "e"});
  Test.Thread.call([&] {
    Test.Store->compact();
    return 0;
  });
  const StoreResult Compacted =
      Test.run(StoreList{EvacuationPrefix, All.Revision, 2s});
  CHECK(Compacted.Status == StoreStatus::Done);
  CHECK(Compacted.Keys.size() == 4);
  Test.injectFault(StoreFault::Busy);
  CHECK(Test.run(StoreList{EvacuationPrefix}).Status == StoreStatus::Refused);
}
