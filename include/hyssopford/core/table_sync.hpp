/// @file
/// @brief Exchange of whole tables in bounded pieces.
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

/// @brief Fetches the differences to the table of a random peer: all at once
/// when joining, then now and then (anti-entropy).
class TableSync {
public:
  /// Time between two comparisons after joining, while they find differences
  /// and at most.
  static constexpr Duration FirstInterval = 1s;
  static constexpr Duration Period = 10s;
  /// Time between two pieces.
  static constexpr Duration PieceInterval = 100ms;
  /// Time after which another peer is asked.
  static constexpr Duration ReplyTimeout = 1s;
  /// Most bytes of records in one piece.
  static constexpr std::size_t PieceBytes = 4'096;
  /// Rate and burst of the records sent. A joining node asks different peers,
  /// so the load of a rack that restarts is spread over the site.
  static constexpr std::int64_t BytesPerSecond = 1'024;
  static constexpr std::int64_t BurstBytes = 32'768;

  TableSync(const MemberTable &Members, const LinkTable &Connections,
            RandomSource &Source)
      : Table(Members), Links(Connections), Random(Source),
        Budget(BytesPerSecond, BurstBytes) {}

  /// @brief Fetches the whole table again.
  void restart(TimePoint Now);

  /// @brief Answers a peer.
  void receive(NodeId From, const SyncRequest &Request, TimePoint Now,
               Actions &Out);

  /// @brief Notes an answer; its records are merged by the caller.
  void receive(const SyncReply &Reply, TimePoint Now);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);

  /// @return whether a table has been fetched completely since the last start
  bool joined() const { return Joined; }

  /// @return the time of the next timer
  TimePoint nextWakeup() const { return Next; }

private:
  const MemberTable &Table;
  const LinkTable &Links;
  RandomSource &Random;
  ByteBudget Budget;
  bool Joined = false;
  bool Waiting = false;
  std::uint32_t Cursor = 0;
  /// True if the comparison that runs has found a difference.
  bool Changed = false;
  Duration Interval = FirstInterval;
  TimePoint Next;
};

} // namespace hyssopford
