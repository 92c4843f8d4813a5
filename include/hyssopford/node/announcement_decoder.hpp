/// @file
/// @brief Decoders for the HTTP calls with which an upstream registers.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/node/announcement.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Decodes the HTTP calls with which an upstream announces itself.
class AnnouncementDecoder {
public:
  virtual ~AnnouncementDecoder() = default;

  /// @brief Tells announcements from the upstream's other calls.
  /// @param Path request path without query
  /// @return whether the call is an announcement
  virtual bool accepts(std::string_view Path) const = 0;

  /// @brief Decodes an announcement.
  /// @param Method HTTP method
  /// @param Path request path without query
  /// @param Body request body
  /// @param Fault receives the error if nothing is returned
  /// @return the announcement, or nothing if the call is malformed
  virtual std::optional<Announcement> decode(const std::string &Method,
                                             std::string_view Path,
                                             const std::string &Body,
                                             Error &Fault) const = 0;
};

/// @brief Decodes announcements in hyssopford's own format (docs/http.md).
class DefaultAnnouncementDecoder final : public AnnouncementDecoder {
public:
  /// Path of the announcement endpoint.
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
