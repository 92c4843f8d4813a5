/// @file
/// @brief Tests of the client for HTTP calls.
#include "echo_server.hpp"
#include "hyssopford/net/http_client.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hyssopford;
using namespace hyssopford::test;

// Guards against calls that are lost one after the other on connections that
// have all gone silent.
TEST_CASE("after a call without a response the next one uses a new connection",
          "[http][client]") {
  Fixture Test;
  LoopThread Thread;
  std::unique_ptr<HttpClient> Client;
  std::vector<int> Statuses;
  const auto Call = [&] {
    Client->call("GET", "/x", "", 150ms, [&](const HttpCallResult &Result) {
      Statuses.push_back(Result.Status);
    });
  };
  const auto Ended = [&](std::size_t Count) {
    return eventually(
        [&] { return Thread.call([&] { return Statuses.size(); }) == Count; });
  };
  Thread.call([&] {
    Client = std::make_unique<HttpClient>(Thread.Loop,
                                          HttpClientSettings{Test.address()});
    Call();
    Call();
    return 0;
  });
  REQUIRE(Ended(2));
  REQUIRE(Statuses == std::vector<int>{200, 200});

  // The server no longer answers on the connections that are open.
  Test.Thread.call([&] { return Test.Handler.Hold = true; });
  Thread.call([&] {
    Call();
    return 0;
  });
  REQUIRE(Ended(3));
  CHECK(Statuses.back() == 0);
  CHECK(Thread.call([&] { return Client->opened(); }) == 2);
  Test.Thread.call([&] { return Test.Handler.Hold = false; });
  Thread.call([&] {
    Call();
    return 0;
  });
  REQUIRE(Ended(4));
  CHECK(Statuses.back() == 200);
  CHECK(Thread.call([&] { return Client->opened(); }) == 3);
  Thread.call([&] {
    Client.reset();
    return 0;
  });
}
