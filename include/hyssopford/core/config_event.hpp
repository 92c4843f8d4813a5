/// @file
/// @brief Events by which operators change and read the configuration, and
/// their results.
#pragma once

#include "hyssopford/core/config_codec.hpp"
#include "hyssopford/core/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief An operator submits a patch. Ends with PatchResult.
struct PatchSubmitted {
  /// Number of the request, repeated in the result.
  std::uint64_t Request = 0;
  /// Unique identifier, chosen by the author.
  std::string PatchId;
  std::string Author;
  /// Version that the patch is based on.
  std::uint64_t Base = 0;
  /// Array of RFC 6902 operations.
  std::string Patch;
  /// If true, the patch is checked but not written.
  bool DryRun = false;
  /// Wall-clock time in ms since 1970-01-01 UTC, for the history.
  std::uint64_t TimeMs = 0;

  friend bool operator==(const PatchSubmitted &,
                         const PatchSubmitted &) = default;
};

/// @brief Result of the submission of a patch.
enum class PatchStatus : std::uint8_t {
  /// The patch is part of the configuration or, in a dry run, passed all
  /// checks.
  Accepted,
  /// The patch had and will have no effect.
  Rejected,
  /// The store did not confirm whether the write took effect. Submitting the
  /// same patch with the same identifier again resolves this.
  Unresolved
};

/// @brief Answers PatchSubmitted.
struct PatchResult {
  std::uint64_t Request = 0;
  std::string PatchId;
  PatchStatus Status = PatchStatus::Rejected;
  /// Version that the patch created; for a rejected patch the current version,
  /// or 0 if it is not known.
  std::uint64_t Version = 0;
  bool DryRun = false;
  /// Why the patch was rejected or is unresolved.
  std::vector<Error> Errors;

  friend bool operator==(const PatchResult &, const PatchResult &) = default;
};

/// @brief An operator requests the history of accepted patches. Ends with
/// HistoryResult.
struct HistoryRequested {
  /// Number of the request, repeated in the result.
  std::uint64_t Request = 0;
  /// First version of the archive to read; 0 for the recent changes.
  std::uint64_t Archive = 0;

  friend bool operator==(const HistoryRequested &,
                         const HistoryRequested &) = default;
};

/// @brief Answers HistoryRequested.
struct HistoryResult {
  std::uint64_t Request = 0;
  /// Changes, oldest first.
  std::vector<ConfigChange> Changes;
  /// Archives with older changes; empty if an archive was requested.
  std::vector<ConfigArchive> Archives;
  /// Empty unless the history could not be read.
  std::vector<Error> Errors;

  friend bool operator==(const HistoryResult &,
                         const HistoryResult &) = default;
};

} // namespace hyssopford
