/// @file
/// @brief Reading of the announcements of upstreams.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/node/upstream_registry.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Reads the calls with which an upstream announces itself.
class AnnouncementDecoder {
public:
  virtual ~AnnouncementDecoder() = default;

  /// @brief Says whether a call is meant for the registry of upstreams.
  /// @param Path the path of the call without query
  virtual bool accepts(std::string_view Path) const = 0;

  /// @brief Reads a call.
  /// @param Method the HTTP method
  /// @param Path the path of the call without query
  /// @param Body the body
  /// @param Fault receives the reason if nothing is returned
  /// @return what the upstream states
  virtual std::optional<Announcement> decode(const std::string &Method,
                                             std::string_view Path,
                                             const std::string &Body,
                                             Error &Fault) const = 0;
};

/// @brief Announcements of hyssopford's own interface (docs/http.md).
class OwnAnnouncementDecoder final : public AnnouncementDecoder {
public:
  /// Path of the calls.
  static constexpr std::string_view AnnouncePath = "/.hyssopford/upstream";

  bool accepts(std::string_view Path) const override {
    return Path == AnnouncePath;
  }
  std::optional<Announcement> decode(const std::string &Method,
                                     std::string_view Path,
                                     const std::string &Body,
                                     Error &Fault) const override;
};

} // namespace hyssopford
