/// @file
/// @brief Registration of the upstream on this VM.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_telemetry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

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
  /// It is in force.
  Applied,
  /// It came too late to change anything, but what it states holds.
  Holds,
  /// It was dropped: another one is in force. Must not be acknowledged.
  Dropped
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

/// @brief Holds the current announcement of the upstream and removes it when it
/// is not renewed in time.
class UpstreamRegistry {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop on which announcements expire
  /// @param Driver receives changes of the upstream's state
  /// @param Client receives the address of the upstream
  /// @param Log receives a log line for each change
  UpstreamRegistry(EventLoop &Loop, CoreDriver &Driver, UpstreamClient &Client,
                   NodeTelemetry &Log);
  ~UpstreamRegistry();
  UpstreamRegistry(const UpstreamRegistry &) = delete;
  UpstreamRegistry &operator=(const UpstreamRegistry &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Applies an announcement of any kind.
  ///
  /// Announcements of one start apply in the order of their sequence. Those of
  /// a higher start number replace those of a lower one at once. As clocks may
  /// step back, a lower one is taken too, but only when no other announcement
  /// is in force, and when a probe has confirmed the upstream.
  AnnouncementResult apply(const Announcement &New);

  /// @brief Probes an unverified upstream; see Unverified. Called again when
  /// the path of its health endpoint becomes known.
  void probePresence();

  /// @brief Handles the result of the probe that probePresence() started.
  /// @param TakesRequests whether the health endpoint answered with success
  void presenceProbed(bool TakesRequests);

  /// @brief Ends the announcement and reports the upstream as gone.
  /// @param Crashed false if the upstream signed off itself
  /// @param Reason cause for the log
  void removeUpstream(bool Crashed, std::string_view Reason);
  /// @}

  /// @return the announcement in force, if any
  const std::optional<Announcement> &current() const { return Current; }

private:
  EventLoop &Loop;
  CoreDriver &Driver;
  UpstreamClient &Client;
  NodeTelemetry &Log;

  /// Whether the upstream has started since the previous announcement, as far
  /// as this node can tell.
  bool isNewRun(const Announcement &New) const;
  AnnouncementResult depart(const std::string &Instance);
  bool isOvertaken(const Announcement &New) const;
  bool holds(const Announcement &New) const;
  /// Keeps the sequence of an acknowledged announcement of another start, so
  /// that an earlier one of it is not applied later.
  void noteSequence(const Announcement &New);
  /// Makes an announcement with a start number the latest one.
  void remember(const Announcement &New);
  void submitState();
  void startDraining();

  std::optional<Announcement> Current;
  /// The latest announcement with a start number; kept after the upstream has
  /// gone to detect overtaken announcements.
  std::optional<Announcement> Latest;
  /// Whether the core was not told yet that the upstream has started.
  bool NewRun = false;
  /// The start in Latest sent a departure.
  bool Departed = false;
  /// The announcement with the highest acknowledged sequence of each start
  /// other than that of Latest, the newest start last.
  std::deque<Announcement> Others;
  /// Instances that sent a departure, but no announcement to this incarnation
  /// before it.
  std::deque<std::string> DepartedUnseen;
  /// The upstream may have sent its departure to an earlier incarnation of this
  /// node, and no probe has confirmed yet that it still takes requests.
  bool Unverified = false;
  EventLoop::TimerId Expiry = 0;
};

} // namespace hyssopford
