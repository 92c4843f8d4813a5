/// @file
/// @brief Small server with the operators' HTTP interface for the tests of
/// hyssopctl.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopford::test {

/// @brief State of the fake node. Tests set it between calls.
struct FakeState {
  std::uint64_t Version = 1;
  nlohmann::json Document = {{"routes", nlohmann::json::array()},
                             {"drains", nlohmann::json::array()},
                             {"quarantine_lifts", nlohmann::json::array()}};
  /// Newest first, as in GET /v1/history.
  std::vector<nlohmann::json> History;
  nlohmann::json Nodes = nlohmann::json::array();
  nlohmann::json Upstreams = nlohmann::json::array();
  nlohmann::json Quarantine = nlohmann::json::array();
  nlohmann::json Explanation = nlohmann::json::object();
  /// Submissions whose answers are lost after they took effect.
  int AnswersLost = 0;
  /// Submissions before which another operator's patch is accepted.
  int Races = 0;
  /// If not 0, the status of every submission, without effect.
  int SubmitStatus = 0;
  /// Bodies of all submissions.
  std::vector<nlohmann::json> Submissions;
  /// Path and query of the last GET.
  std::string LastPath;
};

/// @brief Serves the interface from a FakeState.
class FakeNode {
public:
  static constexpr const char *Token = "0123456789abcdef0123456789abcdef";

  FakeNode();
  FakeNode(const FakeNode &) = delete;
  FakeNode &operator=(const FakeNode &) = delete;
  ~FakeNode();

  /// @return "127.0.0.1:port"
  std::string address() const;

  /// @return the state; tests use it only while no call is in progress
  FakeState &state();

  /// @brief Gives a node that all tests share, with a new state. Ending a
  /// server of the library takes 250 ms, so that one for each test is slow.
  /// @param Index 0 or 1
  static FakeNode &shared(std::size_t Index = 0);

private:
  struct Server;
  std::unique_ptr<Server> Data;
};

} // namespace hyssopford::test
