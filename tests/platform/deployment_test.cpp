/// @file
/// @brief Nodes of the platform deployment on loopback, with stand-ins of its
/// store and instances.
#include "instance_standin.hpp"
#include "net/loop_thread.hpp"
#include "node_adapters.hpp"
#include "store_standin.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>

using namespace hyssopford;
using namespace hyssopford::platform;
using namespace hyssopford::test;
using nlohmann::json;

namespace {

class KeptLines final : public LogSink {
public:
  void write(std::string_view Line) override {
    const std::scoped_lock Lock(Mutex);
    Text.append(Line).append("\n");
  }
  bool contains(const std::string &Wanted) const {
    const std::scoped_lock Lock(Mutex);
    return Text.find(Wanted) != std::string::npos;
  }

private:
  mutable std::mutex Mutex;
  std::string Text;
};

std::string configText(std::uint64_t Version) {
  const auto Route = [](const char *Name, const char *Prefix,
                        const char *Kind) {
    return json{{"name", Name},  {"host", "a"},      {"prefix", Prefix},
                {"kind", Kind},  {"timeoutS", 2.0},  {"targetLatencyS", 0.5},
                {"priority", 1}, {"maxAttempts", 2}, {"service", "seats"}};
  };
  return json{
      {"version", Version},
      {"routes",
       {Route("read", "/read/", "safe"), Route("write", "/write/", "unsafe")}},
      {"services",
       {{{"name", "seats"},
         {"healthPath", "/health"},
         {"maxConnections", 100}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 1'048'576},
        {"headerTimeoutS", 3.0},
        {"idleTimeoutS", 15.0}}}}
      .dump();
}

/// The store and instances, on a loop of their own.
struct Platform {
  Platform() {
    Thread.call([&] {
      Store = std::make_unique<StoreStandin>(Thread.Loop);
      return 0;
    });
  }
  ~Platform() {
    Thread.call([&] {
      Instances.clear();
      Store.reset();
      return 0;
    });
  }
  InstanceStandin &addInstance(Duration Work = 20ms) {
    return *Thread.call([&] {
      InstanceSettings Settings;
      Settings.Id = fmt::format("i-{}", Instances.size() + 1);
      Settings.Service = "seats";
      Settings.Work = Work;
      Settings.ReportPeriod = 200ms;
      Instances.push_back(
          std::make_unique<InstanceStandin>(Thread.Loop, Settings));
      return Instances.back().get();
    });
  }
  void put(std::uint64_t Version) {
    Thread.call([&] {
      Store->put("op/config", configText(Version));
      return 0;
    });
  }
  template <typename Function> auto call(Function What) {
    return Thread.call(What);
  }

  LoopThread Thread;
  std::unique_ptr<StoreStandin> Store;
  std::vector<std::unique_ptr<InstanceStandin>> Instances;
};

/// A node beside an instance, on a thread of its own.
class Machine {
public:
  Machine(Platform &Deployment, InstanceStandin &Beside,
          Duration Time = Duration{0})
      : Site(Deployment), Instance(Beside), Notice(Time) {
    start();
  }
  ~Machine() { stop(); }
  Machine(const Machine &) = delete;
  Machine &operator=(const Machine &) = delete;

  void start() {
    Settings Given;
    Given.Node = "test";
    Given.FailureDomain = "a";
    Given.Region = "r";
    Given.Service = "seats";
    Given.CallerAddress = "127.0.0.1:0";
    Given.AnnouncementAddress = "127.0.0.1:0";
    Given.ReadyAddress = "127.0.0.1:0";
    Given.MetricsAddress = MetricsAddress;
    Given.PeerAddress = PeerAddress.empty() ? "127.0.0.1:0" : PeerAddress;
    Given.UpstreamAddress = Site.call([&] { return Instance.address(); });
    Given.StoreAddress = Site.call([&] { return Site.Store->address(); });
    Given.AnnouncementPeriod = 200ms;
    Parts = std::make_unique<PlatformAdapters>(Given, Lines);
    NodeRuntimeSettings Runtime = runtimeSettings(Given);
    // Callers of this test come from the address of the upstream.
    Runtime.UpstreamHost.clear();
    Runtime.ShutdownNotice = Notice;
    Node = std::make_unique<NodeRuntime>(Runtime, Parts->adapters());
    PeerAddress = Node->peerAddress();
    Caller = Node->callerAddress();
    Ready = Node->readyAddress();
    const std::string Control = Node->localAddress();
    Site.call([&] {
      Instance.reportTo(Control);
      return 0;
    });
    Runner = std::thread([this] { Finished = Node->run(); });
  }
  bool stop() {
    if (Runner.joinable()) {
      Node->requestShutdown();
      Runner.join();
      Node.reset();
    }
    return Finished;
  }

  std::string send(const std::string &Method, const std::string &Path,
                   const std::string &Tag) const {
    RawClient Client(Caller);
    Client.send(fmt::format("{} {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                            "X-Attempt-Id: {}\r\nX-Deadline-Ms: 2000\r\n"
                            "Content-Length: 2\r\n\r\nok",
                            Method, Path, Tag));
    return Client.receiveAll();
  }
  bool isReady() const {
    try {
      RawClient Client(Ready);
      Client.send("GET /hyssopford/readiness HTTP/1.1\r\nHost: a\r\n"
                  "Connection: close\r\n\r\n");
      return Client.receiveAll().starts_with("HTTP/1.1 200");
    } catch (const Poco::Exception &) {
      return false;
    }
  }
  std::string metrics(const std::string &Path) const {
    RawClient Client(Node->metricsAddress());
    Client.send("GET " + Path +
                " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return Client.receiveAll();
  }
  bool serves(const std::string &Tag) const {
    return eventually([&] {
      return send("GET", "/read/x", Tag).starts_with("HTTP/1.1 200");
    });
  }

  KeptLines Lines;
  std::string MetricsAddress = "127.0.0.1:0";
  std::unique_ptr<NodeRuntime> Node;

private:
  Platform &Site;
  InstanceStandin &Instance;
  Duration Notice;
  std::unique_ptr<PlatformAdapters> Parts;
  std::string PeerAddress;
  std::string Caller;
  std::string Ready;
  std::thread Runner;
  std::atomic<bool> Finished = false;
};

} // namespace

TEST_CASE("a node serves its instance", "[platform][deployment]") {
  Platform Site;
  InstanceStandin &Instance = Site.addInstance();
  Machine First(Site, Instance);
  SECTION("without a configuration it is not ready and refuses as not run") {
    CHECK_FALSE(First.isReady());
    const std::string Answer = First.send("GET", "/read/x", "t0");
    CHECK(Answer.starts_with("HTTP/1.1 503"));
    CHECK(Answer.find("Retry-After") != std::string::npos);
    Site.put(1);
    CHECK(eventually([&] { return First.isReady(); }));
  }
  Site.put(1);
  REQUIRE(First.serves("t1"));
  SECTION("a request reaches it with the fields that it expects") {
    const std::string Answer = First.send("POST", "/write/x", "t2");
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(Answer.find("X-Server-Signature: i-1.t2") != std::string::npos);
    const auto Head = Site.call([&] { return Instance.lastHead(); });
    CHECK(Head.get("X-Caller-Service") == "seats");
    CHECK(Head.get("X-Expected-Instance") == "i-1");
    CHECK(std::stoi(Head.get("X-Deadline-Ms")) <= 2000);
    CHECK(First.send("GET", "/other/x", "t3").starts_with("HTTP/1.1 404"));
  }
  SECTION("a new configuration is in force soon, a broken one never") {
    Site.call([&] {
      Site.Store->put("op/config", "{\"version\":5,\"routes\":3}");
      return 0;
    });
    CHECK(
        eventually([&] { return First.Lines.contains("config_unreadable"); }));
    CHECK(First.serves("t4"));
    Site.put(9);
    CHECK(eventually([&] {
      return First.Lines.contains("event=config_in_force version=9");
    }));
  }
  SECTION("a surplus answer to another request reaches nobody") {
    Site.call([&] {
      Instance.setFault(InstanceFault::ExtraAnswer);
      return 0;
    });
    const std::string Answer = First.send("GET", "/read/x", "t5");
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(Answer.find("wrong") == std::string::npos);
  }
  SECTION("a success without signature is not passed on") {
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
    CHECK(eventually([&] { return First.Lines.contains("id=t7"); }));
    CHECK(First.Lines.contains("upstream-refused"));
  }
  SECTION("the caller's departure reaches the instance within 0.5 s") {
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

// Guards against metrics that are kept but cannot be read, and against a taken
// port that keeps a node from serving.
TEST_CASE("a node serves its metrics", "[platform][deployment]") {
  Platform Site;
  InstanceStandin &Instance = Site.addInstance();
  Site.put(3);
  Machine First(Site, Instance);
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
  CHECK(First.Lines.contains("event=metrics_unavailable"));
}

TEST_CASE("nodes find each other through the store", "[platform][deployment]") {
  Platform Site;
  InstanceStandin &Near = Site.addInstance();
  InstanceStandin &Far = Site.addInstance();
  Site.put(1);
  Machine First(Site, Near);
  Machine Second(Site, Far);
  REQUIRE(First.serves("t1"));
  REQUIRE(eventually([&] {
    return First.Node->core().membership().linkedPeers().size() == 1;
  }));
  SECTION("work avoids the instance that is in a slow spell") {
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
    // A probe and the start that it allows are moments apart.
    CHECK(Site.call([&] { return Near.slowStarts(); }) - Before <= 1);
  }
  SECTION("an instance that leaves gets nothing new from any node") {
    const bool SaysDraining = GENERATE(true, false);
    Site.call([&] {
      Near.leave(SaysDraining);
      return 0;
    });
    REQUIRE(eventually([&] { return First.Lines.contains("state=draining"); }));
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
  SECTION("a node that restarts beside a leaving instance does not take it") {
    // A report of before the departure may arrive after the restart.
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
  SECTION(
      "a restarted node takes its running instance before its next report") {
    // The first report after the restart finds the health path unknown.
    REQUIRE(Second.serves("r0"));
    First.stop();
    First.start();
    REQUIRE(eventually(
        [&] { return First.Lines.contains("event=upstream_announced"); }));
    CHECK(First.serves("r3"));
  }
  SECTION("a node that restarts while the store is away is found by its peer") {
    Site.call([&] {
      Site.Store->setFault(StoreFault::Unresponsive);
      return 0;
    });
    First.stop();
    First.start();
    CHECK(First.serves("r2"));
  }
}

TEST_CASE("a shutdown gives callers time to notice", "[platform][deployment]") {
  Platform Site;
  InstanceStandin &Instance = Site.addInstance();
  Site.put(1);
  Machine First(Site, Instance, 400ms);
  REQUIRE(First.serves("t1"));
  First.Node->requestShutdown();
  REQUIRE(eventually([&] { return !First.isReady(); }));
  const std::string Answer = First.send("GET", "/read/x", "t2");
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(Answer.find("Connection: close") != std::string::npos);
  CHECK(First.stop());
}
