/// @file
/// @brief Errors with the step and the peer at which they occurred.
#pragma once

#include <string>

namespace hyssopford {

/// @brief Why an operation failed. Functions that can fail return
/// `std::optional` and store the last reason in an Error.
/// docs/errors.md lists the codes.
struct Error {
  /// Number of the error, e.g. 101.
  int Code = 0;
  /// Step at which the error occurred, e.g. "settings.parse".
  std::string Step;
  /// Peer, file or address involved; empty if there is none.
  std::string Peer;
  /// Explanation for an operator.
  std::string Reason;

  friend bool operator==(const Error &, const Error &) = default;
};

/// @brief Renders an error as one line.
/// @param Value the error to render
/// @return e.g. "[hyssopford.101] settings.parse (node.json): unexpected end"
std::string toString(const Error &Value);

} // namespace hyssopford
