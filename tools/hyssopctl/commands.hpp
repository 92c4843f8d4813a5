/// @file
/// @brief Commands of hyssopctl.
#pragma once

#include "session.hpp"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford::ctl {

/// @name Commands that only read
/// @{
ExitCode show(const Session &Run);
ExitCode history(const Session &Run, std::uint64_t Limit);
ExitCode diffFile(const Session &Run, const std::string &File);
ExitCode diffVersions(const Session &Run, std::uint64_t From,
                      std::optional<std::uint64_t> To);
ExitCode status(const Session &Run);
ExitCode listQuarantine(const Session &Run);
ExitCode explain(const Session &Run, const std::string &Method,
                 const std::string &Host, const std::string &Path);
/// @}

/// @brief A patch as it is submitted. Sent again unchanged after a lost answer.
struct Submission {
  std::string PatchId;
  std::uint64_t BaseVersion = 0;
  std::string Author;
  bool DryRun = false;
  nlohmann::json Patch;
};

/// @brief Submits a patch; after a lost answer or an unresolved write the same
/// submission is sent again, to the next node.
/// @param Run the session
/// @param What the submission
/// @return the answer, or the last failure
CallResult submit(const Session &Run, const Submission &What);

/// @brief Options of the command patch.
struct PatchOptions {
  /// Input file; "-" is the standard input.
  std::string File = "-";
  std::optional<std::uint64_t> Base;
  std::string PatchId;
  std::string Author;
  bool DryRun = false;
};

/// @brief Options of the commands that write a patch themselves.
struct ChangeOptions {
  std::string Author;
  bool DryRun = false;
  /// Skips the check that the node or fingerprint is known.
  bool Force = false;
};

/// @name Commands that change the configuration
/// @{
ExitCode patch(const Session &Run, const PatchOptions &Options);
ExitCode drain(const Session &Run, const std::string &Address,
               const ChangeOptions &Options);
ExitCode undrain(const Session &Run, const std::string &Address,
                 const ChangeOptions &Options);
ExitCode liftQuarantine(const Session &Run, const std::string &Fingerprint,
                        const ChangeOptions &Options);
/// @}

/// @brief Waits until a version is in force on every node.
/// @param Run the session
/// @param Version the version; the one of the first node that answers if none
/// @param Limit longest wait
ExitCode watch(const Session &Run, std::optional<std::uint64_t> Version,
               std::chrono::milliseconds Limit);

/// @name Checks of files, without a site
/// @{

/// @brief Checks a file of node settings.
ExitCode checkSettingsFile(const std::string &File, std::ostream &Out);

/// @brief Checks a file of routing configuration.
ExitCode checkRoutingFile(const std::string &File, std::ostream &Out);
/// @}

/// @brief Runs hyssopctl.
/// @param Arguments the command line without the program's name
/// @param Surroundings streams and effects
/// @return the exit code
int run(const std::vector<std::string> &Arguments, Environment &Surroundings);

} // namespace hyssopford::ctl
