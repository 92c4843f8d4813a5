/// @file
/// @brief Keys, leases, rate limits and faults of the store stand-in.
#pragma once

#include "hyssopford/core/store_call.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hyssopford::standin {

/// @brief Injected faults and rate limits.
struct StoreFaults {
  /// No call is answered and none has an effect.
  bool Down = false;
  /// Time by which each answer is delayed.
  Duration Delay{0};
  /// Number of next writes that take effect but get no answer.
  std::uint32_t LoseWriteAnswers = 0;
  /// Reads and watches return the previous value of a key instead of the
  /// current one.
  bool ServeOlder = false;
  /// Writes and lease calls per second above which calls are refused.
  std::uint32_t WriteLimit = 300;
  /// Reads and watches per second above which calls are refused.
  std::uint32_t ReadLimit = 2'000;
};

/// @brief Numbers of calls since the start.
struct StoreCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Refused = 0;
  /// Calls without an answer because of a fault.
  std::uint64_t Unanswered = 0;
  /// Most reads and watches within one second.
  std::uint64_t PeakReads = 0;
  /// Most writes and lease calls within one second.
  std::uint64_t PeakWrites = 0;
};

/// @brief An in-memory key-value store without threads or clock. The time is a
/// parameter, so that tests can run it in virtual time.
class StoreTable {
public:
  /// Largest value in bytes.
  static constexpr std::size_t ValueLimit = 1'048'576;

  /// @brief Runs one call. A watch without a change returns Unchanged at once;
  /// the caller then polls changed() until the watch times out.
  /// @param Operation the call
  /// @param Now the current time
  /// @return the result; NoAnswer if an injected fault suppresses the answer
  /// @note Complexity: linear in the number of leases and keys with leases.
  StoreResult call(const StoreOperation &Operation, TimePoint Now);

  /// @brief Checks whether a waiting watch has a result, without counting a
  /// call.
  /// @param Watch the watch
  /// @param Now the current time
  /// @return the result, or nothing if the watch must wait longer
  std::optional<StoreResult> changed(const StoreWatch &Watch, TimePoint Now);

  /// @brief Expires a lease before its time and deletes its keys.
  /// @param Lease the lease; 0 expires all leases
  void lapse(std::uint64_t Lease);

  StoreFaults &faults() { return Faults; }
  const StoreCounters &counters() const { return Counters; }

private:
  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
    std::string PreviousValue;
    std::uint64_t PreviousRevision = 0;
  };

  /// Calls in a window of one second, for a rate limit.
  struct RateWindow {
    TimePoint Start;
    std::uint64_t Count = 0;
  };

  StoreResult run(const StoreRead &Call, TimePoint Now);
  StoreResult run(const StoreWrite &Call, TimePoint Now);
  StoreResult run(const StoreWatch &Call, TimePoint Now);
  StoreResult run(const StoreLease &Call, TimePoint Now);
  StoreResult run(const StoreList &Call, TimePoint Now);

  /// Counts a call against its rate limit.
  /// @return false if the limit is reached
  bool admit(bool IsWrite, TimePoint Now);
  /// Deletes leases past their expiry, and their keys.
  void expire(TimePoint Now);
  /// Returns a key as reads see it: its previous value if ServeOlder is set.
  StoreResult lookUp(const std::string &Key) const;

  StoreFaults Faults;
  StoreCounters Counters;
  RateWindow ReadWindow;
  RateWindow WriteWindow;
  std::uint64_t LastRevision = 0;
  std::uint64_t LastLease = 0;
  std::map<std::string, Entry> Entries;
  std::map<std::uint64_t, TimePoint> LeaseExpiries;
  std::map<std::uint64_t, Duration> LeaseDurations;
};

} // namespace hyssopford::standin
