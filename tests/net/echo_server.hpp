/// @file
/// @brief An HTTP server on its own loop whose answers a test controls.
#pragma once

#include "hyssopford/net/http_server.hpp"
#include "loop_thread.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford::test {

/// Answers with target and body, or holds requests until the test replies.
class EchoHandler final : public HttpServerHandler {
public:
  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts & /*Facts*/) override {
    HeadDecision Decision;
    Decision.BodyLimit = 100'000;
    if (Head.getURI() == "/none" || Head.getURI() == "/discard") {
      Decision.Refusal = makeHttpAnswer(404, "", "none");
      Decision.DiscardBody = Head.getURI() == "/discard";
    }
    return Decision;
  }
  void onRequest(RequestId Id, HttpRequest Request) override {
    ++Requests;
    const std::string Text = Request.Head.getURI() + "=" + Request.Body;
    if (Hold) {
      Held.emplace_back(Id, Text);
    } else {
      Server->reply(Id, makeHttpAnswer(200, "", Text), "X-Extra: 1\r\n");
    }
  }
  void onDisconnected(RequestId /*Id*/) override { ++Disconnects; }
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

  HttpServer *Server = nullptr;
  bool Hold = false;
  int Requests = 0;
  int Disconnects = 0;
  std::vector<std::pair<RequestId, std::string>> Held;
};

struct Fixture {
  explicit Fixture(HttpServerSettings Settings = {}) {
    Settings.HeadTimeout = 150ms;
    Settings.StallTimeout = 200ms;
    Settings.BodyTimeout = 400ms;
    Settings.IdleTimeout = 600ms;
    Thread.call([&] {
      Server = std::make_unique<HttpServer>(Thread.Loop, Handler, Settings);
      Handler.Server = Server.get();
      return 0;
    });
  }
  ~Fixture() {
    Thread.call([&] {
      Server.reset();
      return 0;
    });
  }
  std::string address() { return Server->address(); }
  int requests() {
    return Thread.call([&] { return Handler.Requests; });
  }

  LoopThread Thread;
  EchoHandler Handler;
  std::unique_ptr<HttpServer> Server;
};

inline std::string get(const std::string &Target,
                       const std::string &Fields = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n";
}

} // namespace hyssopford::test
