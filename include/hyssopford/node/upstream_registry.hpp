/// @file
/// @brief Announcements of the upstream on this VM.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_telemetry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief What an announcement asks for.
enum class AnnouncementKind : std::uint8_t {
  /// The upstream is there, in the state that it names.
  Renewal,
  /// The upstream leaves: it finishes what it runs and gets nothing new.
  Departure,
  /// The upstream is gone.
  Removal
};

/// @brief What an upstream states about itself.
struct Announcement {
  AnnouncementKind Kind = AnnouncementKind::Renewal;
  std::string Service;
  std::uint32_t Slots = 1;
  /// Address that it listens on, "ip:port".
  std::string Address;
  std::string HealthPath = "/health";
  UpstreamState State = UpstreamState::Serving;
  /// Time after which the upstream counts as gone unless it announces itself
  /// again.
  Duration TimeToLive = 3s;
  /// Identifier of the upstream, empty if it states none.
  std::string Instance;
  /// Orders the starts of upstreams at one address; 0 if not stated.
  std::uint64_t Start = 0;
  /// Orders the announcements of one start; 0 if not stated.
  std::uint64_t Sequence = 0;

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

  /// @param Loop the loop on which announcements expire
  /// @param Driver learns of the upstream's state
  /// @param Client learns where the upstream is
  /// @param Log takes a line for each change
  UpstreamRegistry(EventLoop &Loop, CoreDriver &Driver, UpstreamClient &Client,
                   NodeTelemetry &Log);
  ~UpstreamRegistry();
  UpstreamRegistry(const UpstreamRegistry &) = delete;
  UpstreamRegistry &operator=(const UpstreamRegistry &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Takes an announcement of any kind.
  /// @return false if it was overtaken by a later one, and is ignored
  bool announce(const Announcement &New);

  /// @brief Probes an upstream that this node found running and has not asked
  /// yet, e.g. once the path of its health endpoint is known.
  void verify();

  /// @brief Takes the result of a probe of an upstream that this node found
  /// running.
  /// @param TakesRequests whether the upstream says that it is well
  void verified(bool TakesRequests);

  /// @brief Ends the announcement.
  /// @param Crashed true if the upstream did not leave by itself
  /// @param Reason why, for the log
  void withdraw(bool Crashed, std::string_view Reason);
  /// @}

  /// @return the announcement in force, if any
  const std::optional<Announcement> &current() const { return Current; }

private:
  EventLoop &Loop;
  CoreDriver &Driver;
  UpstreamClient &Client;
  NodeTelemetry &Log;
  bool isOvertaken(const Announcement &New) const;
  void submitState();
  void depart();

  std::optional<Announcement> Current;
  /// The latest announcement that states its order, also after its end.
  std::optional<Announcement> Latest;
  bool Departed = false;
  /// True while an upstream that an earlier run of this node may have seen
  /// leave has not been asked whether it still takes requests.
  bool Unverified = false;
  EventLoop::TimerId Expiry = 0;
};

} // namespace hyssopford
