/// @file
/// @brief Announcements of the upstream on this VM.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/event.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace hyssopford {

/// @brief Kind of an announcement.
enum class AnnouncementKind : std::uint8_t {
  /// Registers the upstream or renews its registration.
  Renewal,
  /// Starts a drain: the upstream finishes its requests and gets no new ones.
  Departure,
  /// Ends the registration: the upstream is gone.
  Removal
};

/// @brief What became of an announcement.
enum class AnnouncementResult : std::uint8_t {
  /// It is in force, or will be once the health endpoint of the upstream
  /// confirms it.
  Applied,
  /// It came too late to change anything, but what it states holds.
  Holds,
  /// It was dropped: another one is in force. Must not be acknowledged.
  Dropped,
  /// It names a service that the upstream does not have. Must not be
  /// acknowledged.
  Foreign
};

/// @brief What an upstream states about itself.
struct Announcement {
  AnnouncementKind Kind = AnnouncementKind::Renewal;
  std::string Service;
  /// Requests that it can run concurrently.
  std::uint32_t Slots = 1;
  /// Address that the upstream listens on, "ip:port".
  std::string Address;
  std::string HealthPath = "/health";
  UpstreamState State = UpstreamState::Serving;
  /// How long it states that it stays cold; 0 if it states none.
  Duration ColdTime{0};
  /// Time after which the upstream is considered gone unless it renews its
  /// announcement.
  Duration TimeToLive = 3s;
  /// Identifier of the upstream, empty if it states none.
  std::string Instance;
  /// Increases with each start of an upstream at one address; 0 if not stated.
  std::uint64_t Start = 0;
  /// Increases with each announcement of one start; 0 if not stated.
  std::uint64_t Sequence = 0;

  friend bool operator==(const Announcement &, const Announcement &) = default;
};

/// @brief Parses an announcement in JSON.
/// @param Text object with service, slots, address, health_path, state and
/// ttl_ms; service and address are required
/// @param Fault receives the error if nothing is returned
/// @return the announcement, or nothing if it is invalid
std::optional<Announcement> parseAnnouncement(const std::string &Text,
                                              Error &Fault);

} // namespace hyssopford
