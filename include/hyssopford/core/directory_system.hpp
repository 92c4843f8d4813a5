/// @file
/// @brief Bootstrap through a compact directory in the store.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/random_source.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Writes contact addresses under a lease if that is this node's duty,
/// and reads them while the node is alone.
class DirectorySystem {
public:
  /// Keys of the directory: two for each of four failure domains. More domains
  /// share them.
  static constexpr std::uint32_t Slots = 8;
  /// Lease of a slot and time between two renewals.
  static constexpr Duration LeaseTime = 30s;
  static constexpr Duration RenewPeriod = 10s;
  /// The writer treats its lease as lapsed so much earlier than the store.
  static constexpr Duration LeaseMargin = 5s;
  /// Time between two changes of a slot's value.
  static constexpr Duration RewritePeriod = 30s;
  /// Time after which a store call counts as lost.
  static constexpr Duration CallTime = 5s;

  DirectorySystem(std::string Address, RandomSource &Source,
                  const StartSettings &Chosen = {});

  /// @name Inputs
  /// @{

  /// @brief Sets the slot to write, if any, and the addresses for it.
  void setDirectorySlot(std::optional<std::uint32_t> NewSlot,
                        std::vector<std::string> Addresses, TimePoint Now);

  /// @brief Says whether the node has no usable link.
  void setIsolated(bool Value, TimePoint Now);

  /// @brief Takes the end of a store call of this system.
  void receive(const StoreReplied &Reply, TimePoint Now);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return addresses read since the last call
  std::vector<std::string> takeContacts();

  /// @return the lease held, or 0
  std::uint64_t lease() const { return Lease; }
  /// @}

private:
  enum class Step : std::uint8_t { None, Read, Grant, Renew, Write };

  void call(Step Next, StoreOperation Operation, TimePoint Now, Actions &Out);
  void read(TimePoint Now, Actions &Out);
  void write(TimePoint Now, Actions &Out);
  void finishRead(const StoreResult &Result, TimePoint Now);
  void finishWrite(const StoreResult &Result, TimePoint Now);
  void finishLease(Step Done, const StoreResult &Result, TimePoint Now);
  void addContacts(const std::string &Value);
  std::string value() const;

  std::string Address;
  RandomSource &Random;
  StartSettings Settings;

  /// @name Store call
  /// @{
  std::uint64_t LastCall = 0;
  Step Open = Step::None;
  std::uint64_t OpenCall = 0;
  TimePoint CallStart;
  /// @}

  /// @name Writer
  /// @{
  std::optional<std::uint32_t> Slot;
  std::vector<std::string> Contacts;
  std::uint64_t Lease = 0;
  TimePoint LeaseEnd;
  std::uint64_t Revision = 0;
  std::string Written;
  TimePoint NextRenewal;
  TimePoint NextWrite;
  /// @}

  /// @name Reader
  /// @{
  bool Alone = true;
  /// True once a round through the slots found nothing.
  bool FoundNone = false;
  std::optional<TimePoint> NextRead;
  Duration Backoff = 1s;
  std::uint32_t FirstSlot = 0;
  std::uint32_t SlotsRead = 0;
  /// Slot of the last read.
  std::uint32_t ReadSlot = 0;
  /// Rounds in a row that found contacts of which none could be reached.
  std::uint32_t FruitlessRounds = 0;
  std::vector<std::string> Found;
  /// @}
};

} // namespace hyssopford
