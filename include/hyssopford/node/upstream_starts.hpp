/// @file
/// @brief Decides which start of the upstream on this VM a node uses.
#pragma once

#include "hyssopford/core/time.hpp"
#include "hyssopford/node/announcement.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief The starts of the upstream that announced themselves to a node.
///
/// An announcement that does not continue the start in use is only a claim:
/// anyone may have sent it, and it may be late. Claims take effect once a probe
/// has shown who is at the address. docs/design/upstream-starts.md has the
/// rules.
class UpstreamStarts {
public:
  /// Most claims, replaced starts and departures that are kept of each.
  static constexpr std::size_t KeptMax = 8;

  /// @brief What to do with an announcement.
  enum class Decision : std::uint8_t {
    /// It is in force: it renews the start in use.
    Renewed,
    /// It claims another start than the one in use, which a probe must confirm.
    Claimed,
    /// As Claimed, but must not be acknowledged: the start in use may be a
    /// later one, or another upstream.
    Contested,
    /// As the AnnouncementResult of the same name.
    Holds,
    Dropped,
    Foreign
  };

  /// @brief What a probe has shown.
  struct Finding {
    /// The claim that it confirmed, if any.
    std::optional<Announcement> Confirmed;
    /// Whether that start is later than the one used last.
    bool IsNewRun = false;
    /// Another upstream than the one in use is at the address.
    bool IsReplaced = false;
    /// Claims that the probe refuted.
    std::vector<Announcement> Refuted;
  };

  /// @param OwnService the service that the settings name for this VM; empty if
  /// they name none
  explicit UpstreamStarts(std::string OwnService = {})
      : Service(std::move(OwnService)) {}

  /// @name Inputs
  /// @{

  /// @brief Considers an announcement that renews the registration.
  Decision consider(const Announcement &New, TimePoint Now);

  /// @brief Records a departure.
  /// @param Instance the identifier of the upstream that departs
  /// @param Start its start; 0 if it states none
  /// @return whether that start is known from an announcement
  bool depart(const std::string &Instance, std::uint64_t Start);

  /// @brief Handles the answer of a probe at the address.
  /// @param Instance the identifier that the answer states; empty if none
  /// @param TakesRequests whether it states that the upstream takes requests
  Finding conclude(const std::string &Instance, bool TakesRequests,
                   TimePoint Now);

  /// @brief Uses a start that a probe has confirmed.
  void use(const Announcement &Confirmed);

  /// @brief Ends the use of the current start.
  void end() { Current.reset(); }
  /// @}

  /// @name Observers
  /// @{

  /// @return the announcement in force, if any
  const std::optional<Announcement> &current() const { return Current; }

  /// @return the claim that arrived last, if a probe may confirm any
  const Announcement *pendingClaim() const;
  /// @}

private:
  struct Claim {
    Announcement Stated;
    TimePoint Received;
    bool Departed = false;
    bool IsNewRun = false;

    /// Whether the start may be used once a probe has confirmed it.
    bool isUsable() const {
      return !Departed && Stated.State != UpstreamState::Draining;
    }
  };
  struct Departure {
    std::string Instance;
    /// 0 while it is not known.
    std::uint64_t Start = 0;
  };

  /// Decides on an announcement that is no later than a known one of its start.
  std::optional<Decision> decideOvertaken(const Announcement &New) const;
  Decision addClaim(const Announcement &New, TimePoint Now);
  bool hasDeparted(const Announcement &New);
  bool isProvable(const Claim &Each, const std::string &Instance) const;

  std::string Service;
  std::optional<Announcement> Current;
  /// The last start in use that stated its number; kept after its end.
  std::optional<Announcement> Latest;
  /// The start in Latest sent a departure.
  bool Departed = false;
  /// The latest announcement of each start that was not confirmed.
  std::deque<Claim> Claims;
  /// The latest announcement of each start that was in use before Latest.
  std::deque<Announcement> Replaced;
  std::deque<Departure> Departures;
};

} // namespace hyssopford
