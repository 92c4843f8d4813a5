/// @file
/// @brief What every command of hyssopctl works with.
#pragma once

#include "client.hpp"
#include "exit_code.hpp"

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace hyssopford::ctl {

/// @brief Streams and effects of a run; replaced in tests.
struct Environment {
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
  std::function<void(std::chrono::milliseconds)> Sleep;
  /// Gives a new patch id.
  std::function<std::string()> NewPatchId;
  /// Default of --author.
  std::string User;
  /// Defaults of --node and --token-file.
  std::string Node;
  std::string TokenFile;
};

/// @brief Options that all commands share, and the client made from them.
struct Session {
  Environment &Surroundings;
  Client &Server;
  bool Json = false;

  /// @brief Writes errors to the error stream, as lines or as JSON.
  void report(const std::vector<Error> &Errors) const;

  /// @brief Reports the errors of a failed call.
  /// @return the exit code that fits the call
  ExitCode fail(const CallResult &Result) const;

  /// @brief Reports a fault of the command line or an input.
  ExitCode usage(ErrorCode Code, std::string Step, std::string Peer,
                 std::string Reason) const;

  /// @brief Writes a JSON document to the output.
  void print(const nlohmann::json &Document) const;
};

/// @brief Gives the exit code of a call that was not successful.
ExitCode exitCodeOf(const CallResult &Result);

} // namespace hyssopford::ctl
