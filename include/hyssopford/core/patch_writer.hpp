/// @file
/// @brief Checks submitted patches and writes them to the store.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/config_codec.hpp"
#include "hyssopford/core/config_event.hpp"
#include "hyssopford/core/event.hpp"
#include "hyssopford/core/store_call.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// Key of the head value.
inline constexpr const char *ConfigHeadKey = "hyssopford/config/head";

/// @return the key of an archive of changes
std::string configArchiveKey(std::uint64_t FirstVersion);

/// @brief A version of the configuration that the store is known to hold.
struct StoredVersion {
  std::uint64_t Version = 0;
  std::string Document;
};

/// @brief Runs submissions one after the other: reads the head value, checks
/// the complete result, writes it by compare-and-swap. An answer that was lost
/// is resolved by repeating the same write: it can succeed only once, and a
/// conflict shows the history, which has the patch id or not.
class PatchWriter {
public:
  /// Largest head value; the store takes 1 MB.
  static constexpr std::size_t HeadLimit = 900'000;
  /// Changes kept in the head value. Older ones move to an archive key.
  static constexpr std::size_t HistoryLimit = 64;
  /// Changes moved to one archive key, unless the head value is too large.
  static constexpr std::size_t ArchiveCount = 32;
  /// Archives that the head value lists. Older ones are found by their names:
  /// the first is 1, and each begins with the version after the one before.
  static constexpr std::size_t ArchiveLimit = 256;
  /// Submissions that wait; further ones are rejected.
  static constexpr std::size_t QueueLimit = 32;
  /// Longest patch and longest identifier or author, in bytes.
  static constexpr std::size_t PatchLimit = 500'000;
  static constexpr std::size_t NameLimit = 200;
  /// Time in which a read that fails is repeated.
  static constexpr Duration ReadTime = 1s;
  /// Time in which a write without answer is repeated.
  static constexpr Duration ResolveTime = 10s;
  /// Time after which a store call counts as lost.
  static constexpr Duration CallTime = 5s;
  static constexpr Duration RepeatPeriod = 200ms;

  explicit PatchWriter(const ConfigCodec &Json) : Codec(Json) {}

  /// @brief Queues a submission.
  void submit(const PatchSubmitted &Input, TimePoint Now, Actions &Out);

  /// @brief Takes the end of a store call of this writer.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Sets the version in force; a store that serves an older one is
  /// not trusted with a patch.
  void setVersion(std::uint64_t Version) { InForce = Version; }

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return a version found in or written to the store since the last call
  std::optional<StoredVersion> takeStored();

private:
  enum class Phase : std::uint8_t { ReadHead, ReadArchive, Archive, Write };

  struct Submission {
    PatchSubmitted Input;
    Phase Step = Phase::ReadHead;
    TimePoint GiveUp;
    std::optional<TimePoint> RepeatAt;
    TimePoint CallEnd;
    /// True once a write had no answer.
    bool Uncertain = false;
    ConfigHead Head;
    std::uint64_t Revision = 0;
    /// Revision that a read must reach after a conflict.
    std::uint64_t MinRevision = 0;
    ConfigHead NewHead;
    std::string NewValue;
    ConfigArchive Moving;
    std::uint64_t ArchiveRead = 0;
  };

  void startNext(TimePoint Now, Actions &Out);
  void call(StoreOperation Operation, TimePoint Now, Actions &Out);
  void issue(TimePoint Now, Actions &Out);
  void failed(const StoreResult &Result, TimePoint Now, Actions &Out);
  void headRead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void archiveRead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void archiveWritten(const StoreResult &Result, TimePoint Now, Actions &Out);
  void headWritten(const StoreResult &Result, TimePoint Now, Actions &Out);
  void conflicted(const StoreResult &Result, TimePoint Now, Actions &Out);
  void decide(TimePoint Now, Actions &Out);
  bool settleFrom(const std::vector<ConfigChange> &Changes, TimePoint Now,
                  Actions &Out);
  void rejectStale(TimePoint Now, Actions &Out);
  void build(TimePoint Now, Actions &Out);
  void fit(TimePoint Now, Actions &Out);
  void reject(std::vector<Error> Errors, TimePoint Now, Actions &Out);
  void finish(PatchStatus Status, std::uint64_t Version,
              std::vector<Error> Errors, TimePoint Now, Actions &Out);

  const ConfigCodec &Codec;
  std::uint64_t InForce = 0;
  std::uint64_t LastCall = 0;
  std::uint64_t OpenCall = 0;
  std::unique_ptr<Submission> Current;
  std::deque<PatchSubmitted> Queue;
  std::optional<StoredVersion> Stored;
};

} // namespace hyssopford
