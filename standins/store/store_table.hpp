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

/// @brief Faults and limits in force.
struct StoreFaults {
  /// No call is answered and none has an effect.
  bool Down = false;
  /// Time by which each answer is delayed.
  Duration Delay{0};
  /// Number of coming writes that take effect without an answer.
  std::uint32_t LoseWriteAnswers = 0;
  /// Reads and watches return the value before the current one.
  bool ServeOlder = false;
  /// Writes and lease calls per second above which calls are refused.
  std::uint32_t WriteLimit = 300;
  /// Reads and watches per second above which calls are refused.
  std::uint32_t ReadLimit = 2'000;
};

/// @brief Calls since the start.
struct StoreCounters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Leases = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unanswered = 0;
  /// Most calls of a kind within one second.
  std::uint64_t PeakReads = 0;
  std::uint64_t PeakWrites = 0;
};

/// @brief An in-memory key-value service without threads or clock. The time is
/// a parameter, so tests drive it in virtual time.
class StoreTable {
public:
  /// Largest value in bytes.
  static constexpr std::size_t ValueLimit = 1'048'576;

  /// @brief Runs one call. A watch without a change returns Unchanged at once;
  /// the caller then asks changed() until the watch times out.
  /// @param Operation the call
  /// @param Now the current time
  /// @return the result; NoAnswer if the fault in force withholds the answer
  /// @note Complexity: linear in the number of leases and keys with leases.
  StoreResult call(const StoreOperation &Operation, TimePoint Now);

  /// @brief Looks for the end of a waiting watch without counting a call.
  /// @param Watch the watch
  /// @param Now the current time
  /// @return the result, or none while the watch has to wait
  std::optional<StoreResult> changed(const StoreWatch &Watch, TimePoint Now);

  /// @brief Ends a lease and deletes its keys.
  /// @param Lease the lease; 0 ends all of them
  void lapse(std::uint64_t Lease);

  StoreFaults &faults() { return Faults; }
  const StoreCounters &counters() const { return Counters; }

private:
  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
    std::string OlderValue;
    std::uint64_t OlderRevision = 0;
  };

  struct Window {
    TimePoint Start;
    std::uint64_t Count = 0;
  };

  StoreResult run(const StoreRead &Call, TimePoint Now);
  StoreResult run(const StoreWrite &Call, TimePoint Now);
  StoreResult run(const StoreWatch &Call, TimePoint Now);
  StoreResult run(const StoreLease &Call, TimePoint Now);

  bool admit(bool IsWrite, TimePoint Now);
  void expire(TimePoint Now);
  StoreResult current(const std::string &Key) const;

  StoreFaults Faults;
  StoreCounters Counters;
  Window ReadWindow;
  Window WriteWindow;
  std::uint64_t LastRevision = 0;
  std::uint64_t LastLease = 0;
  std::map<std::string, Entry> Entries;
  std::map<std::uint64_t, TimePoint> LeaseEnds;
  std::map<std::uint64_t, Duration> LeaseTimes;
};

} // namespace hyssopford::standin
