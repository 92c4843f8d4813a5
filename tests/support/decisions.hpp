/// @file
/// @brief Builders of inputs and filters of outputs for tests of the core.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/candidate.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/event.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssopford::test {

inline TimePoint at(Duration Since) { return TimePoint(Since); }

inline NodeRun nodeRun(std::uint64_t Node, std::uint64_t Run = 1) {
  return NodeRun{NodeId{Node}, Incarnation{Run}};
}

/// Returns the actions of one type, in order.
template <typename Kind> std::vector<Kind> all(const Actions &From) {
  std::vector<Kind> Found;
  for (const Action &Each : From) {
    if (const auto *Match = std::get_if<Kind>(&Each)) {
      Found.push_back(*Match);
    }
  }
  return Found;
}

/// A peer message of one type with its receiver.
template <typename Kind> struct Addressed {
  NodeId To;
  Kind Message;
};

/// Returns the peer messages of one type, in order.
template <typename Kind>
std::vector<Addressed<Kind>> messages(const Actions &From) {
  std::vector<Addressed<Kind>> Found;
  for (const SendToPeer &Each : all<SendToPeer>(From)) {
    if (const auto *Match = std::get_if<Kind>(&Each.Message)) {
      Found.push_back({Each.To, *Match});
    }
  }
  return Found;
}

inline Candidate candidate(std::uint64_t Node, const std::string &Domain = "d1",
                           const std::string &Region = "r1") {
  Candidate Result;
  Result.Owner = nodeRun(Node);
  Result.Service = "seats";
  Result.FailureDomain = Domain;
  Result.Region = Region;
  Result.Slots = 4;
  return Result;
}

inline CallerRequest callerRequest(std::uint64_t Id,
                                   const std::string &Method = "GET") {
  CallerRequest Result;
  Result.Id = RequestId{Id};
  Result.Method = Method;
  return Result;
}

inline Route seatsRoute() {
  Route Result;
  Result.Name = "seats";
  Result.Service = "seats";
  return Result;
}

inline Dispatch dispatchOf(std::uint64_t Sequence,
                           Priority Class = Priority::Normal,
                           Duration Remaining = 1s) {
  Dispatch Result;
  Result.Attempt = AttemptId{nodeRun(9), Sequence};
  Result.Owner = Incarnation{1};
  Result.Service = "seats";
  Result.Remaining = Remaining;
  Result.Class = Class;
  return Result;
}

/// Returns the start settings of the platform adapter.
inline StartSettings platformStart() {
  StartSettings Settings;
  Settings.PeerConfigWait = 50ms;
  Settings.StoreIsAuthoritative = true;
  Settings.MissingConfigPeriod = 250ms;
  Settings.DirectoryDelay = 50ms;
  Settings.DirectoryInterval = 5ms;
  Settings.DirectoryReads = 2;
  Settings.DirectoryBackoff = 150ms;
  Settings.DirectoryBackoffMax = 2s;
  Settings.DirectoryWriteJitter = 100ms;
  Settings.RejoinWindow = 20s;
  return Settings;
}

} // namespace hyssopford::test
