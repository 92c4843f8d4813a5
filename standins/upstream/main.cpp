/// @file
/// @brief Stand-in for an upstream: an HTTP server that announces itself to the
/// node on its VM.
#include "behaviour.hpp"
#include "handlers.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <thread>

using namespace hyssopford;

namespace {

/// Time between renewals of the announcement; a third of its time to live.
constexpr std::chrono::milliseconds RenewalPeriod{1'000};
constexpr int TimeToLiveMs = 3'000;
/// Threads beyond the slots, for health checks and control requests.
constexpr int SpareThreads = 64;

std::atomic<bool> Interrupted{false};

void onSignal(int /*Number*/) { Interrupted = true; }

/// Sends the announcements of this upstream to the node on its VM.
class Announcer {
public:
  Announcer(Behaviour &Settings, std::string Node, std::string UpstreamAddress)
      : Current(Settings), NodeAddress(std::move(Node)),
        OwnAddress(std::move(UpstreamAddress)) {}

  /// Announces the upstream or renews its announcement.
  /// @return whether the node accepted it, or no node is set
  bool announce() {
    return send("POST", nlohmann::json{{"service", Current.Service},
                                       {"slots", Current.Slots.load()},
                                       {"address", OwnAddress},
                                       {"health_path", "/health"},
                                       {"ttl_ms", TimeToLiveMs},
                                       {"state", Current.Draining ? "draining"
                                                                  : "serving"}}
                            .dump());
  }

  /// Removes the announcement, so that the node sends no further requests.
  /// @return whether the node accepted it, or no node is set
  bool withdraw() { return send("DELETE", ""); }

private:
  bool send(const std::string &Method, const std::string &Body) {
    if (NodeAddress.empty()) {
      return true;
    }
    try {
      Poco::Net::HTTPClientSession Session{
          Poco::Net::SocketAddress(NodeAddress)};
      Session.setTimeout(Poco::Timespan(1, 0));
      Poco::Net::HTTPRequest Request(Method, "/.hyssopford/upstream",
                                     Poco::Net::HTTPMessage::HTTP_1_1);
      Request.setContentLength(static_cast<std::streamsize>(Body.size()));
      Session.sendRequest(Request) << Body;
      Poco::Net::HTTPResponse Response;
      Poco::NullOutputStream Ignored;
      Poco::StreamCopier::copyStream(Session.receiveResponse(Response),
                                     Ignored);
      return Response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
      return false;
    }
  }

  Behaviour &Current;
  std::string NodeAddress;
  std::string OwnAddress;
};

/// Renews the announcement until a signal or a control request ends the
/// process. A change of the slots or of draining is announced at once.
void renewAnnouncement(Behaviour &Current, Announcer &Sender) {
  auto NextRenewal = std::chrono::steady_clock::now();
  bool LastDraining = false;
  std::uint32_t LastSlots = Current.Slots;
  bool Announced = false;
  while (!Interrupted && !Current.Stopping) {
    const bool Changed =
        LastDraining != Current.Draining || LastSlots != Current.Slots;
    if (Changed || std::chrono::steady_clock::now() >= NextRenewal) {
      LastDraining = Current.Draining;
      LastSlots = Current.Slots;
      const bool Sent = Sender.announce();
      if (!Sent && Announced) {
        fmt::print(stderr, "event=announce_failed\n");
      }
      Announced = Sent;
      NextRenewal = std::chrono::steady_clock::now() +
                    (Sent ? RenewalPeriod : std::chrono::milliseconds(100));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/// Serves requests until the process is asked to end.
/// @return the exit status
int serve(Behaviour &Current, const std::string &Listen,
          const std::string &Node, const std::string &ReadyPath) {
  Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress(Listen)};
  const int Threads = static_cast<int>(Current.Slots) + SpareThreads;
  Poco::ThreadPool Pool(2, Threads);
  Poco::Net::HTTPServerParams::Ptr Parameters = new Poco::Net::HTTPServerParams;
  Parameters->setMaxThreads(Threads);
  Parameters->setMaxQueued(1'024);
  Parameters->setKeepAlive(true);
  Poco::Net::HTTPServer Server(new HandlerFactory(Current), Pool, Socket,
                               Parameters);
  Server.start();
  const std::string Address = Socket.address().toString();
  if (Current.Instance.empty()) {
    Current.Instance = Address;
  }
  if (!ReadyPath.empty()) {
    const std::string Temporary = ReadyPath + ".new";
    std::ofstream(Temporary) << nlohmann::json{{"address", Address}} << '\n';
    std::rename(Temporary.c_str(), ReadyPath.c_str());
  }
  fmt::print(stderr, "event=ready service={} address={}\n", Current.Service,
             Address);
  Announcer Announcements(Current, Node, Address);
  renewAnnouncement(Current, Announcements);
  // After the withdrawal the node sends no new requests; those in flight are
  // completed before the server stops.
  Announcements.withdraw();
  while (Current.Running > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  Server.stopAll();
  return EXIT_SUCCESS;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine Line("Upstream stand-in", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> Service("s", "service", "name of the service",
                                         true, "", "name", Line);
    TCLAP::ValueArg<std::string> Instance(
        "i", "instance", "name in answers; default is the address", false, "",
        "name", Line);
    TCLAP::ValueArg<std::string> Node("n", "node",
                                      "local address of the node on this VM",
                                      false, "", "ip:port", Line);
    TCLAP::ValueArg<std::string> Listen("l", "listen", "address to listen on",
                                        false, "127.0.0.1:0", "ip:port", Line);
    TCLAP::ValueArg<std::string> Ready("r", "ready-file",
                                       "file to write the address to", false,
                                       "", "file", Line);
    TCLAP::ValueArg<std::uint32_t> Slots("", "slots", "concurrent requests",
                                         false, 10, "number", Line);
    TCLAP::ValueArg<std::int64_t> Time("", "service-time-us",
                                       "time that a request takes", false,
                                       2'000, "number", Line);
    Line.parse(ArgumentCount, Arguments);
    Behaviour Current;
    Current.Service = Service.getValue();
    Current.Instance = Instance.getValue();
    Current.Slots = Slots.getValue();
    Current.ServiceTimeUs = Time.getValue();
    return serve(Current, Listen.getValue(), Node.getValue(), Ready.getValue());
  } catch (const TCLAP::ArgException &Failure) {
    fmt::print(stderr, "{}: {}\n", Failure.argId(), Failure.error());
  } catch (const Poco::Exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.displayText());
  }
  return EXIT_FAILURE;
}
