/// @file
/// @brief Fixtures of the platform tests: nodes with the platform adapter on
/// loopback, and stand-ins of the platform's store and instances.
#pragma once

#include "instance_standin.hpp"
#include "net/loop_thread.hpp"
#include "node_adapters.hpp"
#include "store_standin.hpp"

#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace hyssopford::platform::test {

using namespace hyssopford::test;
using nlohmann::json;

class CapturedLog final : public LogSink {
public:
  void write(std::string_view Line) override {
    const std::scoped_lock Lock(Mutex);
    Text.append(Line).append("\n");
  }
  bool contains(const std::string &Expected) const {
    const std::scoped_lock Lock(Mutex);
    return Text.find(Expected) != std::string::npos;
  }

private:
  mutable std::mutex Mutex;
  std::string Text;
};

inline std::string configText(std::uint64_t Version) {
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

/// Stand-ins of the store and the instances on one event loop.
struct PlatformStandins {
  PlatformStandins() {
    Thread.call([&] {
      Store = std::make_unique<StoreStandin>(Thread.Loop);
      return 0;
    });
  }
  ~PlatformStandins() {
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
  void putConfig(std::uint64_t Version) {
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

/// A node that runs on its own thread beside an instance.
class TestNode {
public:
  TestNode(PlatformStandins &Standins, InstanceStandin &LocalInstance,
           Duration Delay = Duration{0})
      : Site(Standins), Instance(LocalInstance), DelayBeforeDrain(Delay) {
    start();
  }
  ~TestNode() { stop(); }
  TestNode(const TestNode &) = delete;
  TestNode &operator=(const TestNode &) = delete;

  void start() {
    Settings NodeSettings;
    NodeSettings.Node = "test";
    NodeSettings.FailureDomain = "a";
    NodeSettings.Region = "r";
    NodeSettings.Service = "seats";
    NodeSettings.CallerAddress = "127.0.0.1:0";
    NodeSettings.AnnouncementAddress = "127.0.0.1:0";
    NodeSettings.ReadyAddress = "127.0.0.1:0";
    NodeSettings.MetricsAddress = MetricsAddress;
    NodeSettings.PeerAddress =
        PeerAddress.empty() ? "127.0.0.1:0" : PeerAddress;
    NodeSettings.UpstreamAddress =
        Site.call([&] { return Instance.address(); });
    NodeSettings.StoreAddress =
        Site.call([&] { return Site.Store->address(); });
    NodeSettings.AnnouncementPeriod = 200ms;
    Adapters = std::make_unique<PlatformAdapters>(NodeSettings, Log);
    NodeRuntimeSettings Runtime = runtimeSettings(NodeSettings);
    // The test's callers share the upstream's IP address; they must not be
    // taken for the upstream.
    Runtime.UpstreamIp.clear();
    Runtime.DrainDelay = DelayBeforeDrain;
    Node = std::make_unique<NodeRuntime>(Runtime, Adapters->adapters());
    PeerAddress = Node->peerAddress();
    Caller = Node->callerAddress();
    Ready = Node->readyAddress();
    const std::string ReportAddress = Node->localAddress();
    Site.call([&] {
      Instance.reportTo(ReportAddress);
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

  std::string upstreamAddress() const {
    return Site.call([&] { return Instance.address(); });
  }

  std::string send(const std::string &Method, const std::string &Path,
                   const std::string &CallerRequestId) const {
    RawClient Client(Caller);
    Client.send(fmt::format("{} {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                            "X-Attempt-Id: {}\r\nX-Deadline-Ms: 2000\r\n"
                            "Content-Length: 2\r\n\r\nok",
                            Method, Path, CallerRequestId));
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
  bool serves(const std::string &CallerRequestId) const {
    return eventually([&] {
      return send("GET", "/read/x", CallerRequestId)
          .starts_with("HTTP/1.1 200");
    });
  }

  CapturedLog Log;
  std::string MetricsAddress = "127.0.0.1:0";
  std::unique_ptr<NodeRuntime> Node;

private:
  PlatformStandins &Site;
  InstanceStandin &Instance;
  Duration DelayBeforeDrain;
  std::unique_ptr<PlatformAdapters> Adapters;
  std::string PeerAddress;
  std::string Caller;
  std::string Ready;
  std::thread Runner;
  std::atomic<bool> Finished = false;
};

} // namespace hyssopford::platform::test
