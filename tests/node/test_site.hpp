/// @file
/// @brief Fixtures of the node tests: nodes and an upstream, each on a thread.
#pragma once

#include "hyssopford/net/http_server.hpp"
#include "hyssopford/node/node_runtime.hpp"
#include "net/loop_thread.hpp"

#include <atomic>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace hyssopford::test {

/// @brief An upstream on its own event loop. It answers after X-Delay-Ms with
/// the target and the hash of the body, followed by X-Pad filler bytes.
class TestUpstream final : public HttpServerHandler {
public:
  TestUpstream() {
    Thread.call([&] {
      HttpServerSettings Settings;
      Settings.IdleTimeout = 60s;
      Server = std::make_unique<HttpServer>(Thread.Loop, *this, Settings);
      return 0;
    });
  }
  ~TestUpstream() override {
    Thread.call([&] {
      Server.reset();
      return 0;
    });
  }
  TestUpstream(const TestUpstream &) = delete;
  TestUpstream &operator=(const TestUpstream &) = delete;

  /// @return the answer of the upstream without filler bytes
  static std::string answerTo(const std::string &Target,
                              const std::string &Body) {
    return fmt::format("{} {:016x}", Target, hashBytes(Body));
  }

  HeadDecision onHead(const Poco::Net::HTTPRequest & /*Head*/,
                      const HttpHeadFacts & /*Facts*/) override {
    HeadDecision Decision;
    Decision.BodyLimit = 67'108'864;
    return Decision;
  }
  void onRequest(RequestId Id, HttpRequest Request) override {
    ++Runs;
    LastHead = Request.Head;
    std::string Answer = answerTo(Request.Head.getURI(), Request.Body);
    if (Request.Head.has("X-Pad")) {
      Answer += std::string(std::stoul(Request.Head.get("X-Pad")), 'p');
    }
    const Duration Delay = std::chrono::milliseconds(
        std::stol(Request.Head.get("X-Delay-Ms", "0")));
    Thread.Loop.after(Delay, [this, Id, Answer] {
      if (Server) {
        Server->reply(Id, makeHttpAnswer(200, "", Answer));
      }
    });
  }
  void onDisconnected(RequestId /*Id*/) override { ++Cancelled; }
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

  std::string address() const { return Server->address(); }
  Poco::Net::HTTPRequest lastHead() {
    return Thread.call([&] { return LastHead; });
  }

  LoopThread Thread;
  std::unique_ptr<HttpServer> Server;
  std::atomic<int> Runs = 0;
  std::atomic<int> Cancelled = 0;

private:
  Poco::Net::HTTPRequest LastHead;
};

/// @brief A node that runs on its own thread until it is destroyed.
class TestNode {
public:
  explicit TestNode(const NodeRuntimeSettings &Settings,
                    const RoutingConfig &Config, NodeAdapters Adapters = {})
      : Node(Settings, std::move(Adapters)) {
    Node.adopt(Config);
    Runner = std::thread([this] { Finished = Node.run(); });
  }
  ~TestNode() { stop(); }
  TestNode(const TestNode &) = delete;
  TestNode &operator=(const TestNode &) = delete;

  /// @return whether all requests in flight ended before the drain deadline
  bool stop() {
    if (Runner.joinable()) {
      Node.requestShutdown();
      Runner.join();
    }
    return Finished;
  }

  NodeRuntime Node;
  std::atomic<bool> Finished = false;

private:
  std::thread Runner;
};

inline NodeRuntimeSettings testSettings(std::vector<std::string> Seeds = {}) {
  NodeRuntimeSettings Settings;
  Settings.Site = "test";
  Settings.SiteKey = "key";
  Settings.Seeds = std::move(Seeds);
  Settings.Tokens = {Secret("read"), Secret("write")};
  Settings.DrainDeadline = 5s;
  return Settings;
}

inline RoutingConfig testRouting() {
  RoutingConfig Config;
  Config.Version = 1;
  Route Only;
  Only.Name = "only";
  Only.Service = "service";
  Only.Deadline = 5s;
  Only.BodyLimit = 1'048'576;
  Config.Routes = {Only};
  return Config;
}

/// @brief Sends one request on a new connection.
/// @return the whole answer, head included
inline std::string exchange(const std::string &Address,
                            const std::string &Method,
                            const std::string &Target,
                            const std::string &Fields = "",
                            const std::string &Body = "") {
  RawClient Client(Address);
  Client.send(fmt::format("{} {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                          "{}Content-Length: {}\r\n\r\n{}",
                          Method, Target, Fields, Body.size(), Body));
  return Client.receiveAll();
}

/// @brief Announces an upstream to a node.
/// @return whether the node accepted it
inline bool announce(TestNode &Node, const std::string &Address, int Slots,
                     const std::string &State = "serving") {
  const std::string Body =
      fmt::format("{{\"service\":\"service\",\"slots\":{},\"address\":\"{}\","
                  "\"ttl_ms\":60000,\"state\":\"{}\"}}",
                  Slots, Address, State);
  return exchange(Node.Node.localAddress(), "POST", "/.hyssopford/upstream", "",
                  Body)
      .starts_with("HTTP/1.1 200");
}

/// @brief Reads a resource of the operators' port.
/// @return the whole answer, head included
inline std::string operatorGet(TestNode &Node, const std::string &Path,
                               const std::string &Token = "read") {
  return exchange(Node.Node.operatorAddress(), "GET", Path,
                  "Authorization: Bearer " + Token + "\r\n");
}

/// @brief Two nodes, Ingress and Owner; the upstream is announced to Owner.
struct TwoNodes {
  using MakeSettings = NodeRuntimeSettings (*)(std::vector<std::string> Seeds);

  explicit TwoNodes(int Slots = 300, MakeSettings Settings = testSettings,
                    const RoutingConfig &Routing = testRouting())
      : Ingress(Settings({}), Routing),
        Owner(Settings({Ingress.Node.peerAddress()}), Routing) {
    announce(Owner, Upstream.address(), Slots);
    // The first request to a service opens the links to its owners.
    eventually([&] {
      return exchange(Ingress.Node.callerAddress(), "GET", "/warm-up")
          .starts_with("HTTP/1.1 200");
    });
    Upstream.Runs = 0;
  }

  TestUpstream Upstream;
  TestNode Ingress;
  TestNode Owner;
};

} // namespace hyssopford::test
