/// @file
/// @brief HTTP handler of the port for the upstream on this VM.
#pragma once

#include "hyssopford/node/announcement_decoder.hpp"
#include "hyssopford/node/node_runtime.hpp"

namespace hyssopford {

/// @brief Applies announcements of the upstream and handles its other requests
/// as a CallerService.
class NodeRuntime::LocalService final : public CallerService {
public:
  LocalService(CoreDriver &Target, const EdgePolicy &Fields,
               UpstreamRegistry &Announcements,
               const AnnouncementDecoder &Reader, NodeTelemetry &Observer)
      : CallerService(Target, Fields, true), Registry(Announcements),
        Decoder(Reader), Log(Observer) {}

  /// @brief Sets the server that the requests come from.
  void attachServer(HttpServer &Source) {
    attach(Source);
    LocalServer = &Source;
  }

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;

private:
  UpstreamRegistry &Registry;
  const AnnouncementDecoder &Decoder;
  NodeTelemetry &Log;
  HttpServer *LocalServer = nullptr;
};

} // namespace hyssopford
