/// @file
/// @brief Registration of the upstream on this VM.
#pragma once

#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/upstream_client.hpp"
#include "hyssopford/node/announcement.hpp"
#include "hyssopford/node/core_driver.hpp"
#include "hyssopford/node/node_telemetry.hpp"
#include "hyssopford/node/upstream_starts.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Holds the current announcement of the upstream and removes it when it
/// is not renewed in time. Asks the health endpoint who is at the address
/// before it uses another start of the upstream.
class UpstreamRegistry {
public:
  /// @name Construction
  /// @{

  /// @param Loop the loop on which announcements expire
  /// @param Driver receives changes of the upstream's state
  /// @param Client receives the address of the upstream
  /// @param Log receives a log line for each change
  /// @param Service the service that the settings name for this VM; empty if
  /// they name none
  UpstreamRegistry(EventLoop &Loop, CoreDriver &Driver, UpstreamClient &Client,
                   NodeTelemetry &Log, std::string Service = {});
  ~UpstreamRegistry();
  UpstreamRegistry(const UpstreamRegistry &) = delete;
  UpstreamRegistry &operator=(const UpstreamRegistry &) = delete;
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Applies an announcement of any kind.
  ///
  /// Announcements of the start in use apply in the order of their sequence.
  /// Those of another one take effect when the health endpoint confirms it.
  AnnouncementResult apply(const Announcement &New);

  /// @brief Probes the upstream if announcements wait for it. Called again when
  /// the path of its health endpoint becomes known.
  void probePresence();

  /// @brief Handles the result of the probe that probePresence() started.
  void presenceProbed(const ProbeFinished &Result);

  /// @brief Ends the announcement and reports the upstream as gone. Requests
  /// that it is running end with their connections.
  /// @param Crashed false if the upstream signed off itself
  /// @param Reason cause for the log
  void removeUpstream(bool Crashed, std::string_view Reason);
  /// @}

  /// @return the announcement in force, if any
  const std::optional<Announcement> &current() const {
    return Starts.current();
  }

private:
  AnnouncementResult depart(const Announcement &New);
  /// Puts the current announcement in force.
  /// @param Previous the one before it, if the core knows it
  void renew(const std::optional<Announcement> &Previous);
  void submitState();
  /// Submits the state if it differs from a previous one.
  void submitChange(const std::optional<Announcement> &Previous);
  void startProbe();

  EventLoop &Loop;
  CoreDriver &Driver;
  UpstreamClient &Client;
  NodeTelemetry &Log;

  UpstreamStarts Starts;
  /// Whether the core was not told yet that the upstream has started.
  bool NewRun = false;
  bool Probing = false;
  /// An announcement came while the probe was under way, which may have been
  /// answered before that.
  bool ProbeAgain = false;
  EventLoop::TimerId Expiry = 0;
};

} // namespace hyssopford
