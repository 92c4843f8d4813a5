/// @file
/// @brief Whether the answers of the store are the newest that the site knows.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/evidence/era_mark.hpp"
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hyssopford {

/// @brief Decides whether answers of the store in its present era count as the
/// newest.
///
/// A store that comes back from an older copy states a higher era. From then on
/// its answers prove nothing until a node that ran through the loss has written
/// an EraMark with what it knows, or until Limit has passed. Nodes that know
/// more than the mark raise it. In the first era nothing has been lost, so that
/// answers count at once and nothing is read or written.
/// docs/design/store-evidence.md describes the protocol.
class StoreEvidence {
public:
  /// First era of a store.
  static constexpr std::uint64_t FirstEra = 1;
  /// Time after a rise of the era in which peers may name a newer version,
  /// before this node writes what it knows; also the time between two reads of
  /// the mark, to which up to half as much is added at random.
  static constexpr Duration SettleTime = 300ms;
  /// Longest time between the last contact with the site and the rise of the
  /// era after which a node may still write what it knows: it may have missed
  /// changes in a longer one.
  static constexpr Duration ContactTime = 2s;
  /// Time after which answers of an era count although nobody has proven it.
  static constexpr Duration Limit = 10s;
  /// Time after which a call counts as lost.
  static constexpr Duration CallTimeout = 2s;

  /// What a result states about the era of the store.
  enum class EraChange : std::uint8_t { None, Risen, Earlier };

  /// @param Source source of jitter
  explicit StoreEvidence(RandomSource &Source) : Random(Source) {}

  /// @name Inputs
  /// @{

  /// @brief Notes the era that a result of any call states.
  EraChange noteEra(const StoreResult &Result, TimePoint Now, Actions &Out);

  /// @brief Notes that a peer has named a version.
  void noteVersion(std::uint64_t Version) {
    LeastVersion = std::max(LeastVersion, Version);
  }

  /// @brief Notes that a version is in force at this node.
  void noteInForce(std::uint64_t Version, TimePoint Now, Actions &Out);

  /// @brief Notes that this node is in contact with a member that has a version
  /// in force.
  void noteContact(TimePoint Now) { LastContact = Now; }

  /// @brief Sets the addresses that a mark of this node names.
  void setContacts(std::vector<std::string> Addresses) {
    Contacts = std::move(Addresses);
  }

  /// @brief Handles the result of a store call; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return whether answers of the store count as the newest
  bool isProven() const { return Current != State::Unproven; }

  /// @return the highest version known to exist; lower ones are outdated
  std::uint64_t leastVersion() const { return LeastVersion; }

  /// @return the era of the store; 0 if it states none
  std::uint64_t era() const { return Era; }

  /// @return when this node saw the era rise, if it is not proven
  std::optional<TimePoint> unprovenSince() const {
    return isProven() ? std::nullopt : std::optional(RisenAt);
  }

  /// @return the contacts of the marks read since the last call
  std::vector<std::string> takeContacts() {
    return std::exchange(FoundContacts, {});
  }

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;
  /// @}

private:
  enum class State : std::uint8_t {
    Proven,
    Unproven,
    /// Limit has passed; the mark is not written yet.
    Assumed
  };

  void call(StoreOperation Operation, TimePoint Now, Actions &Out);
  /// Acts on the mark as far as it is known.
  void decide(TimePoint Now, Actions &Out);
  void takeMark(const StoreResult &Result);
  void prove(TimePoint Now, Actions &Out);
  /// Whether this node knew the newest version when the era rose, as far as it
  /// and its peers can tell.
  bool mayWrite(TimePoint Now) const;

  RandomSource &Random;
  std::vector<std::string> Contacts;
  std::vector<std::string> FoundContacts;

  /// @name Knowledge
  /// @{
  std::uint64_t Era = 0;
  State Current = State::Proven;
  TimePoint RisenAt;
  std::optional<TimePoint> LastContact;
  std::uint64_t InForce = 0;
  /// Highest version in force here, named by a peer or by a mark.
  std::uint64_t LeastVersion = 0;
  /// Latest mark read in this era; one of era 0 if there is none.
  std::optional<EraMark> Mark;
  std::uint64_t MarkRevision = 0;
  bool IsOwnMark = false;
  /// @}

  /// @name Store call
  /// @{
  std::uint64_t LastCall = 0;
  std::uint64_t OpenCall = 0;
  /// Whether the open call is a write, and of which version.
  bool IsWriting = false;
  std::uint64_t WrittenVersion = 0;
  TimePoint CallStart;
  TimePoint NextRead;
  /// @}
};

} // namespace hyssopford
