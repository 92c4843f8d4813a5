/// @file
/// @brief Tests of HttpStoreClient against the store stand-in.
#include "hyssopford/net/store_client.hpp"

#include "store/store_service.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>
#include <map>
#include <mutex>

namespace hyssopford {

namespace {

/// A store client with the store stand-in, for synchronous calls.
class Caller {
public:
  explicit Caller(Duration CallTimeout = 2s)
      : Service("127.0.0.1:0"),
        Client(settings(Service.port(), CallTimeout),
               [this](std::uint64_t Call, StoreResult Result) {
                 const std::lock_guard<std::mutex> Guard(Lock);
                 Results[Call] = std::move(Result);
                 Arrived.notify_all();
               }) {}

  std::uint64_t start(StoreOperation Operation) {
    Client.start(StoreCall{++Last, std::move(Operation)});
    return Last;
  }

  StoreResult wait(std::uint64_t Call) {
    std::unique_lock<std::mutex> Guard(Lock);
    REQUIRE(
        Arrived.wait_for(Guard, 10s, [&] { return Results.contains(Call); }));
    return Results.at(Call);
  }

  StoreResult call(StoreOperation Operation) {
    return wait(start(std::move(Operation)));
  }

  void faults(const standin::StoreFaults &Values) {
    Service.withTable(
        [&](standin::StoreTable &Table) { Table.faults() = Values; });
  }

private:
  static HttpStoreSettings settings(std::uint16_t Port, Duration CallTimeout) {
    HttpStoreSettings Values;
    Values.Address = "127.0.0.1:" + std::to_string(Port);
    Values.CallTimeout = CallTimeout;
    return Values;
  }

  std::mutex Lock;
  std::condition_variable Arrived;
  std::map<std::uint64_t, StoreResult> Results;
  std::uint64_t Last = 0;
  standin::StoreService Service;
  HttpStoreClient Client;
};

} // namespace

TEST_CASE("store client: compare-and-swap, leases and watches", "[store]") {
  Caller Store;
  CHECK(Store.call(StoreRead{"a/b c?"}).Status == StoreStatus::Missing);
  const StoreResult Written = Store.call(StoreWrite{"a/b c?", "x\"\n", 0, 0});
  REQUIRE(Written.Status == StoreStatus::Done);
  CHECK(Store.call(StoreRead{"a/b c?"}).Value == "x\"\n");

  SECTION("creating an existing key conflicts and returns its value") {
    const StoreResult Second = Store.call(StoreWrite{"a/b c?", "y", 0, 0});
    CHECK(Second.Status == StoreStatus::Conflict);
    CHECK(Second.Revision == Written.Revision);
    CHECK(Second.Value == "x\"\n");
  }
  SECTION("a running watch does not delay a write and reports it") {
    const auto Watch = Store.start(StoreWatch{"a/b c?", Written.Revision, 5s});
    Store.call(StoreWrite{"a/b c?", "z", Written.Revision, 0});
    CHECK(Store.wait(Watch).Value == "z");
  }
  SECTION("a watch without a change ends unchanged") {
    CHECK(Store.call(StoreWatch{"a/b c?", Written.Revision, 50ms}).Status ==
          StoreStatus::Unchanged);
  }
  SECTION("an expired lease removes its key and cannot be renewed") {
    const auto Lease = Store.call(StoreLease{0, 80ms}).Lease;
    REQUIRE(Lease != 0);
    Store.call(StoreWrite{"leased", "v", 0, Lease});
    const auto Watch =
        Store.call(StoreWatch{"a/b c?", Written.Revision, 150ms});
    CHECK(Store.call(StoreRead{"leased"}).Status == StoreStatus::Missing);
    CHECK(Store.call(StoreLease{Lease, 80ms}).Status == StoreStatus::Missing);
  }
  SECTION("a value above 1 MB is refused, one of 1 MB is stored") {
    CHECK(Store.call(StoreWrite{"big", std::string(1'048'577, 'v'), 0, 0})
              .Status == StoreStatus::Refused);
    CHECK(Store.call(StoreWrite{"big", std::string(1'048'576, 'v'), 0, 0})
              .Status == StoreStatus::Done);
    CHECK(Store.call(StoreRead{"big"}).Value.size() == 1'048'576);
  }
}

TEST_CASE("store client: faults", "[store]") {
  Caller Store(300ms);
  standin::StoreFaults Faults;

  SECTION("a write whose answer is lost ends as NoAnswer but takes effect") {
    Faults.LoseWriteAnswers = 1;
    Store.faults(Faults);
    CHECK(Store.call(StoreWrite{"k", "v", 0, 0}).Status ==
          StoreStatus::NoAnswer);
    CHECK(Store.call(StoreRead{"k"}).Value == "v");
  }
  SECTION("calls fail while the store is down and succeed afterwards") {
    Faults.Down = true;
    Store.faults(Faults);
    CHECK(Store.call(StoreRead{"k"}).Status == StoreStatus::NoAnswer);
    Store.faults({});
    CHECK(Store.call(StoreRead{"k"}).Status == StoreStatus::Missing);
  }
  SECTION("an answer after the timeout ends as NoAnswer") {
    Faults.Delay = 600ms;
    Store.faults(Faults);
    CHECK(Store.call(StoreWrite{"k", "v", 0, 0}).Status ==
          StoreStatus::NoAnswer);
  }
  SECTION("calls above the rate limit are refused") {
    Faults.WriteLimit = 1;
    Store.faults(Faults);
    Store.call(StoreWrite{"k", "v", 0, 0});
    const StoreResult Second = Store.call(StoreWrite{"l", "v", 0, 0});
    CHECK(Second.Status == StoreStatus::Refused);
    CHECK(Second.Reason == "rate limit");
  }
  SECTION("the stand-in can serve an older value") {
    const auto Written = Store.call(StoreWrite{"k", "old", 0, 0});
    Store.call(StoreWrite{"k", "new", Written.Revision, 0});
    Faults.ServeOlder = true;
    Store.faults(Faults);
    CHECK(Store.call(StoreRead{"k"}).Value == "old");
  }
}

TEST_CASE("store client: calls to an unreachable store are refused",
          "[store]") {
  // Guards against NoAnswer (effect unknown) for a write that was never sent.
  std::promise<StoreResult> Result;
  HttpStoreSettings Settings;
  Settings.Address = "127.0.0.1:1";
  HttpStoreClient Client(Settings, [&](std::uint64_t, StoreResult Value) {
    Result.set_value(std::move(Value));
  });
  Client.start(StoreCall{1, StoreWrite{"k", "v", 0, 0}});
  CHECK(Result.get_future().get().Status == StoreStatus::Refused);
}

} // namespace hyssopford
