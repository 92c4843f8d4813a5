/// @file
/// @brief Tests of collectors whose answers never end.
#include "hyssopford/telemetry/span_exporter.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

using namespace hyssopford;

namespace {

/// Sends a text again and again on its only connection.
class EndlessCollector {
public:
  explicit EndlessCollector(const std::string &Unit)
      : Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Runner([this, Unit](const std::stop_token &Stop) {
          if (!Listener.poll(Poco::Timespan(2, 0),
                             Poco::Net::Socket::SELECT_READ)) {
            return;
          }
          Poco::Net::StreamSocket Peer = Listener.acceptConnection();
          std::array<char, 4'096> Request{};
          Peer.receiveBytes(Request.data(), Request.size());
          // Ends the test if the exporter does not.
          const auto Last =
              std::chrono::steady_clock::now() + std::chrono::seconds(4);
          try {
            while (!Stop.stop_requested() &&
                   std::chrono::steady_clock::now() < Last) {
              Peer.sendBytes(Unit.data(), static_cast<int>(Unit.size()));
              std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
          } catch (const Poco::Exception &) {
            // The exporter closed the connection.
          }
        }) {}

  std::string address() { return Listener.address().toString(); }

private:
  Poco::Net::ServerSocket Listener;
  std::jthread Runner;
};

} // namespace

// Guards against a node that does not end, as its exporter waits for a
// collector.
TEST_CASE("an endless answer of the collector delays the end by one timeout",
          "[spans][endless]") {
  const std::string Unit =
      GENERATE(" ", "x", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 2");
  INFO(Unit);
  EndlessCollector Collector(Unit);
  SpanExporterSettings Settings;
  Settings.Collector = Collector.address();
  Settings.Interval = std::chrono::milliseconds(5);
  Settings.Timeout = std::chrono::milliseconds(300);
  auto Exporter = std::make_unique<SpanExporter>(Settings, SpanOrigin{});
  SpanFinished Span;
  Span.Trace = TraceContext{1, 2, 3, true};
  Exporter->offer(Span);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const auto Begin = std::chrono::steady_clock::now();
  Exporter.reset();
  CHECK(std::chrono::steady_clock::now() - Begin < std::chrono::seconds(2));
}
