/// @file
/// @brief Announcements of the upstream on this VM.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "hyssopford/node/core_driver.hpp"

#include <optional>
#include <string>

namespace hyssopford {

/// @brief What an upstream states about itself.
struct Announcement {
  std::string Service;
  std::uint32_t Slots = 1;
  /// Address that it listens on, "ip:port".
  std::string Address;
  std::string HealthPath = "/health";
  UpstreamState State = UpstreamState::Serving;
  /// Time after which the upstream counts as gone unless it announces itself
  /// again.
  Duration TimeToLive = 3s;

  friend bool operator==(const Announcement &, const Announcement &) = default;
};

/// @brief Parses an announcement.
/// @param Text JSON with service, slots, address, health_path, state and
/// ttl_ms; service and address are required
/// @param Fault receives the reason if nothing is returned
std::optional<Announcement> parseAnnouncement(const std::string &Text,
                                              Error &Fault);

/// @brief Keeps the announcement in force and ends it when it is not renewed.
class UpstreamRegistry {
public:
  /// @name Construction
  /// @{
  UpstreamRegistry(EventLoop &Loop, CoreDriver &Driver, UpstreamClient &Client);
  ~UpstreamRegistry();
  UpstreamRegistry(const UpstreamRegistry &) = delete;
  UpstreamRegistry &operator=(const UpstreamRegistry &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Takes a new announcement or a renewal.
  void announce(const Announcement &New);

  /// @brief Ends the announcement.
  /// @param Crashed true if the upstream did not leave by itself
  void withdraw(bool Crashed);
  /// @}

  /// @return the announcement in force, if any
  const std::optional<Announcement> &current() const { return Current; }

private:
  EventLoop &Loop;
  CoreDriver &Driver;
  UpstreamClient &Client;
  std::optional<Announcement> Current;
  EventLoop::TimerId Expiry = 0;
};

} // namespace hyssopford
