/// @file
/// @brief Exit codes of hyssopctl; docs/hyssopctl.md lists them.
#pragma once

namespace hyssopford::ctl {

/// @brief Exit code of a command.
enum class ExitCode : int {
  Done = 0,
  /// The node rejected the request for another reason than those below.
  Rejected = 1,
  /// The command line or an input is faulty; nothing was sent.
  Usage = 2,
  /// The base is not the newest version.
  Conflict = 3,
  /// The patch does not apply or its result is invalid.
  Invalid = 4,
  /// No node answered, or not with a usable answer.
  Unreachable = 5,
  /// The store was not available; nothing was written.
  StoreUnavailable = 6,
  /// The submission may have been accepted.
  OutcomeUnknown = 7,
  /// The version is not in force on every node in time.
  WatchTimeout = 8,
  /// The token is missing, unknown or allows too little.
  NotAuthorized = 9
};

} // namespace hyssopford::ctl
