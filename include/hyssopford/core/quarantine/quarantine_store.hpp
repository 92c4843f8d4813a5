/// @file
/// @brief Keeps crash sightings in the store, so that they outlast all nodes.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/quarantine/quarantine_message.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// Key of the record of crash sightings.
inline constexpr const char *QuarantineKey = "hyssopford/quarantine";

/// @brief Decides when the record of crash sightings is read and written. All
/// nodes share one record under a lease, which ends it. A node reads it once,
/// unless a peer that has done so passes its sightings on first, and writes it
/// after a crash or trial of its own upstream.
class QuarantineStore {
public:
  /// Time of the lease; a record ends this long after its last write.
  static constexpr Duration LeaseTime = 600s;
  /// How long a lease is used for further writes.
  static constexpr Duration LeaseUse = 60s;
  /// Time from the start until the record is read; up to ReadSpread is added at
  /// random. Meanwhile a peer may pass its sightings on.
  static constexpr Duration ReadDelay = 200ms;
  static constexpr Duration ReadSpread = 300ms;
  /// Least time between two writes that nothing waits for.
  static constexpr Duration WritePeriod = 250ms;
  /// Most times that a write is repeated at once because another node wrote.
  static constexpr std::uint32_t ConflictsMax = 8;
  /// First and longest time until a failed call is repeated.
  static constexpr Duration RetryMin = 250ms;
  static constexpr Duration RetryMax = 5s;
  /// Time after which a call that the client did not end counts as failed.
  static constexpr Duration CallTimeout = DefaultStoreTimeout + 2s;

  /// Returns the sightings that the record is to hold.
  using Snapshot = std::function<std::vector<CrashSighting>(TimePoint)>;

  /// @param Settings whether there is a record
  /// @param Source source of the delays
  /// @param Contents called for each write
  QuarantineStore(const QuarantineSettings &Settings, RandomSource &Source,
                  Snapshot Contents);

  /// @name Inputs
  /// @{

  /// @brief Notes that a peer whose table includes the record has passed on all
  /// of its sightings.
  void completeByPeer();

  /// @brief Notes that the sightings have changed and must be written.
  /// @param IsUrgent whether something waits for the write
  /// @return the number of the change
  std::uint64_t change(bool IsUrgent, TimePoint Now);

  /// @brief Handles the end of a call to the store; calls of other systems are
  /// looked at for the era only.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Calls the store if a call is due.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return whether sightings are kept in the store
  bool enabled() const { return Enabled; }

  /// @return whether the table of this node includes the record; true without
  /// one
  bool complete() const { return Complete; }

  /// @return the number of the last change that the store has acknowledged
  std::uint64_t acknowledged() const { return Acknowledged; }

  /// @return whether the last call failed
  bool failing() const { return Failures > 0; }

  /// @return the time of the next call or of the end of the open one, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @brief Removes the sightings of other nodes that the store returned.
  std::vector<CrashSighting> takeSightings();
  /// @}

private:
  enum class Step : std::uint8_t { Read, Grant, Write };

  bool hasUnwritten() const { return Changes > Acknowledged; }
  void call(Step Next, StoreOperation Operation, TimePoint Now, Actions &Out);
  void write(TimePoint Now, Actions &Out);
  void finishRead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void finishGrant(const StoreResult &Result, TimePoint Now, Actions &Out);
  void finishWrite(const StoreResult &Result, TimePoint Now, Actions &Out);
  /// @return whether the value could be read
  bool merge(const std::string &Value, Actions &Out);
  /// Reports the first read.
  void reportRead(std::size_t Sightings, Actions &Out) const;
  void fail(const std::string &Reason, TimePoint Now, Actions &Out);
  void succeed(Actions &Out);

  bool Enabled;
  RandomSource &Random;
  Snapshot Contents;
  bool Complete;
  std::vector<CrashSighting> Found;

  /// @name Calls
  /// @{
  std::uint64_t LastCall = 0;
  /// Number of the open call; 0 for none.
  std::uint64_t OpenCall = 0;
  Step OpenStep = Step::Read;
  TimePoint CallStart;
  /// When the next calls may start; empty before the first tick.
  std::optional<TimePoint> NextRead;
  TimePoint NextWrite;
  std::uint32_t Failures = 0;
  std::uint32_t Conflicts = 0;
  /// @}

  /// @name Record
  /// @{
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0;
  TimePoint LeaseUntil;
  /// Whether another node has written a value that this one does not know.
  bool IsUnknown = false;
  /// Numbers of the last change, of the last one in the open write and of the
  /// last one that the store has acknowledged.
  std::uint64_t Changes = 0;
  std::uint64_t Writing = 0;
  std::uint64_t Acknowledged = 0;
  /// Last change that something waits for.
  std::uint64_t Urgent = 0;
  /// @}
};

} // namespace hyssopford
