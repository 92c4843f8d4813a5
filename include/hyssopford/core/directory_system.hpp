/// @file
/// @brief Bootstrap through a small directory of contact addresses in the
/// store.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Writes contact addresses under a lease if a directory slot is
/// assigned to this node, and reads them while the node has no usable link.
class DirectorySystem {
public:
  /// Number of directory slots, each a key in the store: two for each of four
  /// failure domains. More domains share them.
  static constexpr std::uint32_t Slots = 8;
  /// Duration of the lease of a slot, and time between two renewals.
  static constexpr Duration LeaseDuration = 30s;
  static constexpr Duration RenewPeriod = 10s;
  /// The writer treats its lease as lapsed this much earlier than the store.
  static constexpr Duration LeaseMargin = 5s;
  /// Time between two changes of a slot's value.
  static constexpr Duration RewritePeriod = 30s;
  /// Time after which a store call counts as lost.
  static constexpr Duration CallTimeout = 5s;

  /// @param Address peer address of this node
  /// @param Source source of jitter and of the first slot to read
  /// @param Chosen constants of the start
  DirectorySystem(std::string Address, RandomSource &Source,
                  const StartSettings &Chosen = {});

  /// @name Inputs
  /// @{

  /// @brief Sets the slot that this node writes, if any.
  /// @param NewSlot number of the slot
  /// @param Addresses contact addresses to write, this node's own first
  void setDirectorySlot(std::optional<std::uint32_t> NewSlot,
                        std::vector<std::string> Addresses, TimePoint Now);

  /// @brief Sets how the members are counted that written values state. Without
  /// it they state none.
  void setMemberCount(std::function<std::uint32_t(TimePoint)> Count) {
    CountMembers = std::move(Count);
  }

  /// @brief Sets whether the node has no usable link.
  void setIsolated(bool Value, TimePoint Now);

  /// @brief Handles the result of a store call; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return the contact addresses read since the last call
  std::vector<std::string> takeContacts();

  /// @return the lease held, or 0
  std::uint64_t lease() const { return Lease; }
  /// @}

private:
  enum class Step : std::uint8_t { None, Read, Grant, Renew, Write };

  void callStore(Step Next, StoreOperation Operation, TimePoint Now,
                 Actions &Out);
  void readSlot(TimePoint Now, Actions &Out);
  void writeSlot(TimePoint Now, Actions &Out);
  void finishRead(const StoreResult &Result, TimePoint Now);
  void finishWrite(const StoreResult &Result, TimePoint Now);
  void finishLease(Step Done, const StoreResult &Result, TimePoint Now);
  void addContacts(const std::string &Value);
  std::string renderContacts(TimePoint Now) const;

  std::string Address;
  RandomSource &Random;
  StartSettings Settings;

  /// @name Store call
  /// @{
  std::uint64_t LastCall = 0;
  Step OpenStep = Step::None;
  std::uint64_t OpenCall = 0;
  TimePoint CallStart;
  /// Era of the store, and that at the start of the call.
  std::uint64_t Era = 0;
  std::uint64_t CallEra = 0;
  /// @}

  /// @name Writer
  /// @{
  std::optional<std::uint32_t> Slot;
  std::vector<std::string> Contacts;
  std::uint64_t Lease = 0;
  TimePoint LeaseEnd;
  std::uint64_t Revision = 0;
  std::string WrittenValue;
  /// Value of the last write.
  std::string SentValue;
  std::function<std::uint32_t(TimePoint)> CountMembers;
  TimePoint NextRenewal;
  TimePoint NextWrite;
  /// @}

  /// @name Reader
  /// @{
  bool Isolated = true;
  /// True once a round of reads found no contacts or the slot is to be taken
  /// over; the node may then write although it is isolated.
  bool FoundNoContacts = false;
  std::optional<TimePoint> NextRead;
  Duration Backoff = 1s;
  /// First slot of the current round, and slots read in it.
  std::uint32_t FirstSlot = 0;
  std::uint32_t SlotsRead = 0;
  /// Slot of the last read.
  std::uint32_t ReadSlot = 0;
  /// Consecutive rounds that found contacts of which none could be reached.
  std::uint32_t UnreachableRounds = 0;
  std::vector<std::string> FoundContacts;
  /// @}
};

} // namespace hyssopford
