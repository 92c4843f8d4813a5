/// @file
/// @brief Client of the operators' HTTP interface.
#pragma once

#include "hyssopford/config/secret.hpp"
#include "hyssopford/core/error.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopford::ctl {

/// @brief End of one call.
struct CallResult {
  /// HTTP status; 0 if no node answered.
  int Status = 0;
  nlohmann::json Body;
  /// Empty exactly if the call was successful.
  std::vector<Error> Errors;

  bool ok() const { return Errors.empty(); }
};

/// @brief Calls the first node of a list that answers.
class Client {
public:
  /// @param Nodes operators' addresses, "ip:port", in order of preference
  /// @param Bearer token of the calls
  /// @param Limit longest wait for each step of a call
  Client(std::vector<std::string> Nodes, Secret Bearer,
         std::chrono::milliseconds Limit);

  /// @brief Gets a resource from the first node that answers.
  /// @param Step step named in errors, e.g. "status"
  /// @param Path path and query
  CallResult get(const std::string &Step, const std::string &Path) const;

  /// @brief Gets a resource from one node.
  CallResult getFrom(const std::string &Node, const std::string &Step,
                     const std::string &Path) const;

  /// @brief Posts a document to one node.
  CallResult postTo(const std::string &Node, const std::string &Step,
                    const std::string &Path,
                    const nlohmann::json &Document) const;

  /// @return the addresses in order of preference
  const std::vector<std::string> &nodes() const { return Addresses; }

private:
  CallResult call(const std::string &Node, const std::string &Step,
                  const std::string &Method, const std::string &Path,
                  const std::string &Content) const;

  std::vector<std::string> Addresses;
  Secret Token;
  std::chrono::milliseconds Timeout;
};

} // namespace hyssopford::ctl
