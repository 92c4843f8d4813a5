#include "constant_server.hpp"

#include "hyssopford/net/http_server.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <csignal>

namespace hyssopford {

namespace {

const std::string Body(128, 'x');

class LoopHandler final : public HttpServerHandler {
public:
  HeadDecision onHead(const Poco::Net::HTTPRequest & /*Head*/,
                      const HttpHeadFacts & /*Facts*/) override {
    return HeadDecision{std::nullopt, 1'048'576};
  }
  void onRequest(RequestId Id, HttpRequest /*Request*/) override {
    Server->reply(Id, makeHttpAnswer(200, "", Body));
  }
  void onDisconnected(RequestId /*Id*/) override {}
  Payload refusal(const HttpFault &Fault) override {
    return makeHttpAnswer(Fault.Status, "", Fault.Reason);
  }

  HttpServer *Server = nullptr;
};

class ThreadHandler final : public Poco::Net::HTTPRequestHandler {
public:
  void handleRequest(Poco::Net::HTTPServerRequest & /*Request*/,
                     Poco::Net::HTTPServerResponse &Response) override {
    Response.sendBuffer(Body.data(), Body.size());
  }
};

class ThreadFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new ThreadHandler;
  }
};

} // namespace

void serveOnEventLoop(const std::string &Address) {
  EventLoop Loop;
  LoopHandler Handler;
  HttpServerSettings Settings;
  Settings.Address = Address;
  HttpServer Server(Loop, Handler, Settings);
  Handler.Server = &Server;
  Loop.run();
}

void serveOnThreads(const std::string &Address, int Threads) {
  const Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress(Address)};
  Poco::ThreadPool Pool(2, Threads);
  Poco::Net::HTTPServerParams::Ptr Parameters = new Poco::Net::HTTPServerParams;
  Parameters->setMaxThreads(Threads);
  Parameters->setKeepAlive(true);
  Poco::Net::HTTPServer Server(new ThreadFactory, Pool, Socket, Parameters);
  Server.start();
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGUSR1);
  int Received = 0;
  sigwait(&Signals, &Received);
}

} // namespace hyssopford
