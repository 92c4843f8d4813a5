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

/// @param FirstVersion first version of the archive
/// @return the store key of an archive of changes
std::string configArchiveKey(std::uint64_t FirstVersion);

/// @brief A version of the configuration that the store is known to hold.
struct StoredVersion {
  std::uint64_t Version = 0;
  std::string Document;
};

/// @brief Processes submissions one at a time: reads the head value, validates
/// the patched document and writes the new head value by compare-and-swap. A
/// lost answer is resolved by repeating the same write: it can succeed only
/// once, and after a conflict the history shows whether it has the patch.
class PatchWriter {
public:
  /// Largest head value in bytes; the store accepts 1 MB.
  static constexpr std::size_t HeadLimit = 900'000;
  /// Changes kept in the head value. Older ones are moved to an archive key.
  static constexpr std::size_t HistoryLimit = 64;
  /// Changes moved to one archive key, unless the head value is too large.
  static constexpr std::size_t ChangesPerArchive = 32;
  /// Archives that the head value lists. Older ones can be found by their keys:
  /// the first begins with version 1, and each other one with the version after
  /// the end of the one before.
  static constexpr std::size_t ArchiveLimit = 256;
  /// Largest number of queued submissions; further ones are rejected.
  static constexpr std::size_t QueueLimit = 32;
  /// Longest patch, and longest identifier or author, in bytes.
  static constexpr std::size_t PatchLimit = 500'000;
  static constexpr std::size_t NameLimit = 200;
  /// Time for which a failed call is retried if no write is unresolved.
  static constexpr Duration CallRetryTime = 1s;
  /// Time for which a write without answer is retried.
  static constexpr Duration WriteRetryTime = 10s;
  /// Time after which a store call counts as lost.
  static constexpr Duration CallTimeout = 5s;
  /// Time between a failed call and its retry.
  static constexpr Duration RetryPeriod = 200ms;

  /// @param Json codec of the JSON form of the configuration
  explicit PatchWriter(const ConfigCodec &Json) : Codec(Json) {}

  /// @brief Queues a submission, or rejects it if it is not valid or the queue
  /// is full.
  void submit(const PatchSubmitted &Input, TimePoint Now, Actions &Out);

  /// @brief Handles the result of a store call; calls of other systems are
  /// ignored.
  void receive(const StoreReplied &Reply, TimePoint Now, Actions &Out);

  /// @brief Sets the version in force. Patches are rejected while the store
  /// serves an older one.
  void setVersion(std::uint64_t Version) { InForce = Version; }

  /// @brief Accepts lower revisions from now on, because the store has lost
  /// what it had acknowledged.
  void forgetRevisions() {
    if (Current) {
      Current->MinRevision = 0;
    }
  }

  /// @brief Runs the timers.
  void tick(TimePoint Now, Actions &Out);

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @return a version found in or written to the store since the last call, if
  /// any
  std::optional<StoredVersion> takeStored();

private:
  enum class Phase : std::uint8_t { ReadHead, ReadArchive, Archive, Write };

  struct Submission {
    PatchSubmitted Input;
    Phase Step = Phase::ReadHead;
    TimePoint RetryUntil;
    std::optional<TimePoint> RetryAt;
    TimePoint CallDeadline;
    /// True once a write had no answer.
    bool WriteUncertain = false;
    ConfigHead Head;
    std::uint64_t Revision = 0;
    /// Lowest revision that a read after a conflict may return.
    std::uint64_t MinRevision = 0;
    ConfigHead NewHead;
    std::string NewValue;
    ConfigArchive NewArchive;
    std::uint64_t ArchiveRead = 0;
  };

  void startNext(TimePoint Now, Actions &Out);
  void callStore(StoreOperation Operation, TimePoint Now, Actions &Out);
  void issueCall(TimePoint Now, Actions &Out);
  void retryOrGiveUp(const StoreResult &Result, TimePoint Now, Actions &Out);
  void headRead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void archiveRead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void archiveWritten(const StoreResult &Result, TimePoint Now, Actions &Out);
  void headWritten(const StoreResult &Result, TimePoint Now, Actions &Out);
  void rereadHead(const StoreResult &Result, TimePoint Now, Actions &Out);
  void processHead(TimePoint Now, Actions &Out);
  bool finishFromHistory(const std::vector<ConfigChange> &Changes,
                         TimePoint Now, Actions &Out);
  void rejectStale(TimePoint Now, Actions &Out);
  void buildNewHead(TimePoint Now, Actions &Out);
  void archiveOrWrite(TimePoint Now, Actions &Out);
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
