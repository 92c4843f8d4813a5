/// @file
/// @brief Tests of nodes with the platform adapter on loopback, against
/// stand-ins of the platform's store and instances.
#include "platform_site.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::platform;
using namespace hyssopford::platform::test;

TEST_CASE("a node forwards requests to its instance",
          "[platform][deployment]") {
  PlatformStandins Site;
  InstanceStandin &Instance = Site.addInstance();
  TestNode First(Site, Instance);
  SECTION("without a configuration the node is not ready and answers 503") {
    CHECK_FALSE(First.isReady());
    const std::string Answer = First.send("GET", "/read/x", "t0");
    CHECK(Answer.starts_with("HTTP/1.1 503"));
    CHECK(Answer.find("Retry-After") != std::string::npos);
    Site.putConfig(1);
    CHECK(eventually([&] { return First.isReady(); }));
  }
  Site.putConfig(1);
  REQUIRE(First.serves("t1"));
  SECTION("a forwarded request carries the platform's fields") {
    const std::string Answer = First.send("POST", "/write/x", "t2");
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(Answer.find("X-Server-Signature: i-1.t2") != std::string::npos);
    const auto Head = Site.call([&] { return Instance.lastHead(); });
    CHECK(Head.get("X-Caller-Service") == "seats");
    CHECK(Head.get("X-Expected-Instance") == "i-1");
    CHECK(std::stoi(Head.get("X-Deadline-Ms")) <= 2000);
    CHECK(First.send("GET", "/other/x", "t3").starts_with("HTTP/1.1 404"));
  }
  SECTION(
      "an invalid configuration is rejected, a later one comes into force") {
    Site.call([&] {
      Site.Store->put("op/config", "{\"version\":5,\"routes\":3}");
      return 0;
    });
    CHECK(eventually([&] { return First.Log.contains("config_unreadable"); }));
    CHECK(First.serves("t4"));
    Site.putConfig(9);
    CHECK(eventually(
        [&] { return First.Log.contains("event=config_in_force version=9"); }));
  }
  SECTION("an extra answer to another request is not passed on") {
    Site.call([&] {
      Instance.setFault(InstanceFault::ExtraAnswer);
      return 0;
    });
    const std::string Answer = First.send("GET", "/read/x", "t5");
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(Answer.find("wrong") == std::string::npos);
  }
  SECTION("a success without signature is answered with 502") {
    Site.call([&] {
      Instance.setFault(InstanceFault::Unsigned);
      return 0;
    });
    const std::string Answer = First.send("POST", "/write/x", "t6");
    CHECK(Answer.starts_with("HTTP/1.1 502"));
    CHECK(Site.call([&] { return Instance.runs().at("t6"); }) == 1);
  }
  SECTION("a refusal of the instance is passed on as not run") {
    Site.call([&] {
      Instance.setFault(InstanceFault::RejectsAll);
      return 0;
    });
    CHECK(First.send("POST", "/write/x", "t7").starts_with("HTTP/1.1 503"));
    CHECK(eventually([&] { return First.Log.contains("id=t7"); }));
    CHECK(First.Log.contains("upstream-refused"));
  }
  SECTION("a caller's disconnect reaches the instance within 0.5 s") {
    Site.call([&] {
      Instance.setFault(InstanceFault::Hangs);
      return 0;
    });
    {
      RawClient Client(First.Node->callerAddress());
      Client.send(
          "GET /read/x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: t8\r\n\r\n");
      REQUIRE(eventually([&] {
        return Site.call([&] { return Instance.runs().contains("t8"); });
      }));
    }
    const TimePoint Left = EventLoop::now();
    CHECK(eventually(
        [&] { return Site.call([&] { return Instance.cancelled() > 0; }); }));
    CHECK(EventLoop::now() - Left < 500ms);
  }
}

// Guards against keys that leave the ingress, and against callers that choose
// the account that the instance sees.
TEST_CASE("a node authenticates requests by the keys of client accounts",
          "[platform][deployment][accounts]") {
  PlatformStandins Site;
  InstanceStandin &Instance = Site.addInstance();
  TestNode First(Site, Instance);
  const auto Put = [&](std::uint64_t Version, const char *Key) {
    json Document = json::parse(configText(Version));
    Document["routes"][0]["public"] = true;
    Document["tenants"] = {{{"name", "north"}, {"apiKeys", {Key}}}};
    Site.call([&] {
      Site.Store->put("op/config", Document.dump());
      return 0;
    });
  };
  const auto Send = [&](const std::string &Path, const std::string &Key,
                        const std::string &Id, std::size_t Length = 0) {
    RawClient Client(First.Node->callerAddress());
    Client.send(fmt::format(
        "POST {} HTTP/1.1\r\nHost: a\r\n"
        "Connection: close\r\nX-Attempt-Id: {}\r\n"
        "X-Deadline-Ms: 2000\r\n{}X-Tenant: forged\r\n"
        "Content-Length: {}\r\n\r\n",
        Path, Id, Key.empty() ? "" : "X-Credential: " + Key + "\r\n", Length));
    return Client.receiveAll();
  };
  // A node without configuration cannot tell wrong keys from right ones.
  CHECK(Send("/write/x", "secret-1", "t0").starts_with("HTTP/1.1 503"));
  Put(1, "secret-1");
  REQUIRE(First.serves("t1"));

  CHECK(Send("/write/x", "secret-1", "t2").starts_with("HTTP/1.1 200"));
  auto Head = Site.call([&] { return Instance.lastHead(); });
  CHECK(Head.get("X-Tenant") == "north");
  CHECK_FALSE(Head.has("X-Credential"));
  CHECK(Send("/read/x", "secret-1", "t3").starts_with("HTTP/1.1 200"));
  Head = Site.call([&] { return Instance.lastHead(); });
  CHECK_FALSE(Head.has("X-Tenant"));
  CHECK_FALSE(Head.has("X-Credential"));

  // The refusal does not wait for the body, which never comes here.
  CHECK(Send("/write/x", "wrong", "t4", 100).starts_with("HTTP/1.1 401"));
  CHECK(Send("/write/x", "", "t5").starts_with("HTTP/1.1 401"));
  // Longer than POCO's limit of a value, and with bytes that fields must not
  // have.
  std::string Odd(12'000, 'k');
  Odd[1] = '\0';
  Odd[2] = '\x7f';
  Odd[3] = '\xff';
  const std::string Answer = Send("/write/x", Odd, "t6");
  CHECK(Answer.starts_with("HTTP/1.1 401"));
  CHECK(Answer.find("kkk") == std::string::npos);
  CHECK(Site.call([&] { return Instance.runs().count("t6"); }) == 0);

  Put(2, "secret-2");
  CHECK(eventually([&] {
    return Send("/write/x", "secret-1", "t7").starts_with("HTTP/1.1 401");
  }));
  CHECK(Send("/write/x", "secret-2", "t8").starts_with("HTTP/1.1 200"));
  // Repeated, because the log limits the lines of an event per second.
  CHECK(eventually([&] {
    Send("/write/x", "secret-1", "t9");
    return First.Log.contains("event=request_refused id=t9");
  }));
  CHECK(First.Log.contains("reason=unknown-credential"));
  CHECK_FALSE(First.Log.contains("secret-"));
  CHECK_FALSE(First.Log.contains("kkk"));
  CHECK(eventually([&] {
    return First.metrics("/metrics")
               .find("hyssopford_credential_refusals_total ") !=
           std::string::npos;
  }));
}

// Guards against metrics that are recorded but not served, and against an
// occupied metrics port that keeps a node from serving requests.
TEST_CASE("a node serves its metrics", "[platform][deployment]") {
  PlatformStandins Site;
  InstanceStandin &Instance = Site.addInstance();
  Site.putConfig(3);
  TestNode First(Site, Instance);
  REQUIRE(First.serves("t1"));
  const std::string Page = First.metrics("/metrics");
  CHECK(Page.starts_with("HTTP/1.1 200"));
  CHECK(Page.find("hyssopford_config_version 3") != std::string::npos);
  CHECK(Page.find("hyssopford_requests_total{") != std::string::npos);
  CHECK(First.metrics("/other").starts_with("HTTP/1.1 404"));

  First.stop();
  First.MetricsAddress = Site.call([&] { return Site.Store->address(); });
  First.start();
  CHECK(First.serves("t2"));
  CHECK(First.Node->metricsAddress().empty());
  CHECK(First.Log.contains("event=metrics_unavailable"));
}

TEST_CASE("nodes find each other through the store", "[platform][deployment]") {
  PlatformStandins Site;
  InstanceStandin &Near = Site.addInstance();
  InstanceStandin &Far = Site.addInstance();
  Site.putConfig(1);
  TestNode First(Site, Near);
  TestNode Second(Site, Far);
  REQUIRE(First.serves("t1"));
  REQUIRE(eventually([&] {
    return First.Node->core().membership().linkedPeers().size() == 1;
  }));
  SECTION("requests avoid an instance in a slow period") {
    REQUIRE(Second.serves("t2"));
    Site.call([&] {
      Near.setSlow(true);
      return 0;
    });
    const auto Before = Site.call([&] { return Near.slowStarts(); });
    for (int Index = 0; Index < 10; ++Index) {
      CHECK(First.send("POST", "/write/x", fmt::format("s{}", Index))
                .starts_with("HTTP/1.1 200"));
    }
    // A probe before the change may still let one request start.
    CHECK(Site.call([&] { return Near.slowStarts(); }) - Before <= 1);
  }
  SECTION("a leaving instance gets no new requests from any node") {
    const bool SaysDraining = GENERATE(true, false);
    Site.call([&] {
      Near.leave(SaysDraining);
      return 0;
    });
    REQUIRE(eventually([&] { return First.Log.contains("state=draining"); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::size_t Before = Site.call([&] { return Near.runs().size(); });
    for (int Index = 0; Index < 5; ++Index) {
      CHECK(First.send("POST", "/write/x", fmt::format("d{}", Index))
                .starts_with("HTTP/1.1 200"));
      CHECK(Second.send("POST", "/write/x", fmt::format("e{}", Index))
                .starts_with("HTTP/1.1 200"));
    }
    CHECK(Site.call([&] { return Near.runs().size(); }) == Before);
  }
  SECTION("a restarted node does not use an instance that has deregistered") {
    // A report sent before the deregistration may arrive after the restart.
    Site.call([&] {
      Near.leave(false);
      return 0;
    });
    First.stop();
    const std::size_t Before = Site.call([&] { return Near.runs().size(); });
    First.start();
    REQUIRE(First.serves("r1"));
    CHECK(Site.call([&] { return Near.runs().size(); }) == Before);
  }
  SECTION("a restarted node uses its running instance after the first report") {
    // The health path may still be unknown when that report arrives.
    REQUIRE(Second.serves("r0"));
    First.stop();
    First.start();
    REQUIRE(eventually(
        [&] { return First.Log.contains("event=upstream_announced"); }));
    CHECK(First.serves("r3"));
  }
  SECTION(
      "a node that restarts while the store is unresponsive finds its peer") {
    Site.call([&] {
      Site.Store->setFault(StoreFault::Unresponsive);
      return 0;
    });
    First.stop();
    First.start();
    CHECK(First.serves("r2"));
  }
}

TEST_CASE("a node that shuts down still serves callers that have not noticed",
          "[platform][deployment]") {
  PlatformStandins Site;
  InstanceStandin &Instance = Site.addInstance();
  Site.putConfig(1);
  TestNode First(Site, Instance, 400ms);
  REQUIRE(First.serves("t1"));
  First.Node->requestShutdown();
  REQUIRE(eventually([&] { return !First.isReady(); }));
  const std::string Answer = First.send("GET", "/read/x", "t2");
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(Answer.find("Connection: close") != std::string::npos);
  CHECK(First.stop());
}
