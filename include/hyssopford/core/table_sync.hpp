/// @file
/// @brief Anti-entropy: compares member tables and transfers the differences.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/byte_budget.hpp"
#include "hyssopford/core/link_table.hpp"
#include "hyssopford/core/member_table.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hyssopford {

/// @brief Fetches the differences to the tables of random peers, completely
/// when joining and periodically afterwards (anti-entropy).
class TableSync {
public:
  /// Bounds of the time between two comparisons. It is the shorter one while
  /// comparisons find differences, and doubles otherwise.
  static constexpr Duration MinInterval = 1s;
  static constexpr Duration MaxInterval = 10s;
  /// Time between two comparisons while each changes more than one record in
  /// GrowthShare, as when many nodes start together.
  static constexpr Duration GrowthInterval = 200ms;
  static constexpr std::size_t GrowthShare = 20;
  /// Time between two requests of one comparison.
  static constexpr Duration RequestInterval = 100ms;
  /// Time after which another peer is asked.
  static constexpr Duration ReplyTimeout = 1s;
  /// Time after the first request after which the table counts as settled even
  /// if no comparison was completed.
  static constexpr Duration SettleTimeout = 5s;
  /// Bytes of records after which a reply ends.
  static constexpr std::size_t ReplyBytes = 4'096;
  /// Rate and burst of the records sent. A joining node asks different peers,
  /// so the load of a restarting rack is spread over the site.
  static constexpr std::int64_t BytesPerSecond = 1'024;
  static constexpr std::int64_t BurstBytes = 262'144;

  /// @param Members the member table
  /// @param Connections usable links
  /// @param Source source of jitter and of the choice of peers
  TableSync(const MemberTable &Members, const LinkTable &Connections,
            RandomSource &Source)
      : Table(Members), Links(Connections), Random(Source),
        Budget(BytesPerSecond, BurstBytes) {}

  /// @brief Fetches the whole table again.
  void restart(TimePoint Now);

  /// @brief Answers a peer with the records that differ.
  void receive(NodeId From, const SyncRequest &Request, TimePoint Now,
               Actions &Out);

  /// @brief Handles a peer's answer after its records have been merged.
  /// @param Changed number of its records that changed the table
  void receive(const SyncReply &Reply, std::size_t Changed, TimePoint Now);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);

  /// @return whether a table has been fetched completely since the last start
  bool joined() const { return Joined; }

  /// @return whether the table has stopped growing quickly since the start of
  /// the process; stays true afterwards
  bool settled() const { return Settled; }

  /// @return the time of the next timer
  TimePoint nextWakeup() const { return NextAction; }

private:
  const MemberTable &Table;
  const LinkTable &Links;
  RandomSource &Random;
  ByteBudget Budget;
  bool Joined = false;
  bool Settled = false;
  std::optional<TimePoint> FirstRequest;
  bool Waiting = false;
  /// Next bucket to compare.
  std::uint32_t Cursor = 0;
  /// True if the current comparison has found a difference.
  bool FoundDifference = false;
  /// Records that the current comparison has changed.
  std::size_t ChangedRecords = 0;
  Duration Interval = MinInterval;
  TimePoint NextAction;
};

} // namespace hyssopford
