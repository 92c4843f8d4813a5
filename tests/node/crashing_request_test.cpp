/// @file
/// @brief Tests of complete nodes with requests that crash their upstream.
#include "test_site.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// An upstream that ends 50 ms after the start of a request for CrashTarget and
/// listens no more.
class CrashingUpstream final : public HttpServerHandler {
public:
  static constexpr const char *CrashTarget = "/crash";
  /// Time that other requests take.
  static constexpr Duration PageTime = 30ms;

  CrashingUpstream() {
    Thread.call([&] {
      Server = std::make_unique<HttpServer>(Thread.Loop, *this,
                                            HttpServerSettings{});
      return 0;
    });
    Address = Server->address();
  }
  ~CrashingUpstream() override {
    Thread.call([&] {
      Server.reset();
      return 0;
    });
  }
  CrashingUpstream(const CrashingUpstream &) = delete;
  CrashingUpstream &operator=(const CrashingUpstream &) = delete;

  HeadDecision onHead(const Poco::Net::HTTPRequest & /*Head*/,
                      const HttpHeadFacts & /*Facts*/) override {
    return HeadDecision{};
  }
  void onRequest(RequestId Id, HttpRequest Request) override {
    if (Request.Head.getURI() == CrashTarget) {
      ++CrashRuns;
      Thread.Loop.after(50ms, [this] { Server.reset(); });
      return;
    }
    Thread.Loop.after(PageTime, [this, Id] {
      if (Server) {
        Server->reply(Id, makeHttpAnswer(200, "", "ok"));
      }
    });
  }
  void onDisconnected(RequestId /*Id*/) override {}
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

  LoopThread Thread;
  std::unique_ptr<HttpServer> Server;
  std::string Address;
  std::atomic<int> CrashRuns = 0;
};

/// Four nodes with an upstream each. Callers at all nodes ask for pages, so
/// that every upstream always runs several requests on kept connections.
struct CrashSite {
  CrashSite() {
    for (std::size_t Index = 0; Index < 4; ++Index) {
      const std::vector<std::string> Seeds =
          Nodes.empty()
              ? std::vector<std::string>{}
              : std::vector<std::string>{Nodes[0]->Node.peerAddress()};
      Nodes.push_back(
          std::make_unique<TestNode>(testSettings(Seeds), testRouting()));
      Upstreams.push_back(std::make_unique<CrashingUpstream>());
      announce(*Nodes.back(), Upstreams.back()->Address, 9);
    }
    for (std::size_t Number = 0; Number < 16; ++Number) {
      Callers.emplace_back([this, Number](const std::stop_token &Stop) {
        while (!Stop.stop_requested()) {
          get(*Nodes[Number % Nodes.size()], fmt::format("/page{}", Number));
        }
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  ~CrashSite() { Callers.clear(); }
  CrashSite(const CrashSite &) = delete;
  CrashSite &operator=(const CrashSite &) = delete;

  static std::string get(TestNode &Node, const std::string &Target) {
    return exchange(Node.Node.callerAddress(), "GET", Target);
  }

  int crashRuns() const {
    int Runs = 0;
    for (const auto &Each : Upstreams) {
      Runs += Each->CrashRuns;
    }
    return Runs;
  }

  std::vector<std::unique_ptr<CrashingUpstream>> Upstreams;
  std::vector<std::unique_ptr<TestNode>> Nodes;
  std::vector<std::jthread> Callers;
};

} // namespace

// Guards against one request that crashes upstream after upstream and is
// answered as if it had not run.
TEST_CASE("a request that crashes its upstream is not passed on", "[node]") {
  CrashSite Site;
  const std::string Answer =
      CrashSite::get(*Site.Nodes[0], CrashingUpstream::CrashTarget);
  CHECK(Answer.starts_with("HTTP/1.1 502"));
  CHECK(Site.crashRuns() == 1);

  for (std::size_t Repeat = 1; Repeat <= 20; ++Repeat) {
    CrashSite::get(*Site.Nodes[Repeat % Site.Nodes.size()],
                   CrashingUpstream::CrashTarget);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(Site.crashRuns() == 2);
  Site.Callers.clear();
  for (const auto &Each : Site.Nodes) {
    CHECK(CrashSite::get(*Each, "/page").starts_with("HTTP/1.1 200"));
  }
}
