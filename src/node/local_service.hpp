/// @file
/// @brief The port of the upstream on this VM.
#pragma once

#include "hyssopford/node/node_runtime.hpp"

#include <unordered_set>

namespace hyssopford {

/// @brief Takes announcements under a reserved path and passes other requests
/// on to a CallerService.
class NodeRuntime::LocalService final : public CallerService {
public:
  /// Path of announcements: POST announces or renews, DELETE leaves.
  static constexpr std::string_view AnnouncePath = "/.hyssopford/upstream";

  LocalService(CoreDriver &Target, UpstreamRegistry &Announcements)
      : CallerService(Target, true), Registry(Announcements) {}

  /// @brief Sets the server that the requests come from.
  void attachTo(HttpServer &Source) {
    attach(Source);
    Own = &Source;
  }

  HeadDecision onHead(const Poco::Net::HTTPRequest &Head,
                      const HttpHeadFacts &Facts) override;
  void onRequest(RequestId Id, HttpRequest Request) override;

private:
  UpstreamRegistry &Registry;
  HttpServer *Own = nullptr;
};

} // namespace hyssopford
