/// @file
/// @brief Tests of servers whose answers to a call never end: the call ends by
/// a limit of bytes or by its deadline.
#include "endless_sender.hpp"
#include "hyssopford/net/http_client.hpp"
#include "hyssopford/net/store_client.hpp"
#include "loop_thread.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Longest answer of a store, and what the buffers of the sockets hold. A chunk
/// takes two bytes for each one of its body.
constexpr std::size_t AcceptedMax = 2 * 8'000'000 + 12'582'912;
constexpr Duration Deadline = 300ms;

} // namespace

// Guards against a store, or a gateway before it, whose answer is kept without
// a bound and holds up all calls behind it.
TEST_CASE("a store call without an end of its answer ends by a limit",
          "[store][endless]") {
  const Shape Each = GENERATE(from_range(shapes()));
  const Duration Pause = GENERATE(0ms, 2ms);
  INFO(Each.Name << ", pause " << Pause.count() << " us");
  EndlessUpstream Server(Each.Start, Each.Unit, Pause);
  std::mutex Lock;
  std::vector<StoreResult> Results;
  HttpStoreSettings Settings;
  Settings.Address = Server.address();
  Settings.CallTimeout = Deadline;
  auto Client = std::make_unique<HttpStoreClient>(
      Settings, [&](std::uint64_t, StoreResult Result) {
        const std::lock_guard<std::mutex> Guard(Lock);
        Results.push_back(std::move(Result));
      });
  const auto Begin = std::chrono::steady_clock::now();
  Client->start(StoreCall{1, StoreRead{"k"}});
  CHECK(eventually([&] {
    const std::lock_guard<std::mutex> Guard(Lock);
    return Results.size() == 1;
  }));
  CHECK(std::chrono::steady_clock::now() - Begin < 2s);
  Client.reset();
  CHECK(eventually([&] { return Server.Ended.load(); }));
  CHECK(Server.Sent <= AcceptedMax);
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Status == StoreStatus::NoAnswer);
}

TEST_CASE("an HTTP call without an end of its answer ends by a limit",
          "[http][endless]") {
  const Shape Each = GENERATE(from_range(shapes()));
  const Duration Pause = GENERATE(0ms, 2ms);
  INFO(Each.Name << ", pause " << Pause.count() << " us");
  EndlessUpstream Server(Each.Start, Each.Unit, Pause);
  LoopThread Thread;
  std::unique_ptr<HttpClient> Client;
  std::vector<HttpCallResult> Results;
  Thread.call([&] {
    Client = std::make_unique<HttpClient>(Thread.Loop,
                                          HttpClientSettings{Server.address()});
    Client->call("GET", "/x", "", Deadline, [&](HttpCallResult Result) {
      Results.push_back(std::move(Result));
    });
    return 0;
  });
  CHECK(eventually(
      [&] { return Thread.call([&] { return Results.size() == 1; }); }));
  CHECK(Results.at(0).Status == 0);
  CHECK(Results.at(0).Sent);
  Thread.call([&] {
    Client.reset();
    return 0;
  });
  CHECK(eventually([&] { return Server.Ended.load(); }));
  CHECK(Server.Sent <= AcceptedMax);
}
