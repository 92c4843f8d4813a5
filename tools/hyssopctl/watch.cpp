#include "commands.hpp"
#include "table.hpp"

#include <fmt/format.h>
#include <map>
#include <ostream>
#include <set>

namespace hyssopford::ctl {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollInterval{200};

/// A node that is expected to take the version.
struct WatchedNode {
  std::string Operators;
  std::optional<std::uint64_t> Heard;
  bool InForce = false;
};

using WatchedNodes = std::map<std::string, WatchedNode>;

std::optional<std::uint64_t> versionIn(const json &Object) {
  const auto Found = Object.find("version");
  return Found != Object.end() && Found->is_number_unsigned()
             ? std::optional(Found->get<std::uint64_t>())
             : std::nullopt;
}

/// Updates the list of nodes; dead and leaving ones are no longer waited for.
/// A node that has the version keeps it, since versions never go back.
void updateNodes(const json &Status, WatchedNodes &Nodes) {
  std::set<std::string> Present;
  for (const json &Each : Status.value("nodes", json::array())) {
    const std::string State = Each.value("state", "");
    const std::string Address = Each.value("address", "");
    if (State == "dead" || State == "leaving") {
      continue;
    }
    Present.insert(Address);
    WatchedNode &Node = Nodes[Address];
    Node.Operators = Each.value("operators", "");
    Node.Heard = versionIn(Each);
  }
  std::erase_if(
      Nodes, [&](const auto &Entry) { return !Present.contains(Entry.first); });
}

/// Asks each node that is not known to have the version, directly where its
/// operators' address is known.
void askNodes(const Session &Run, std::uint64_t Version, WatchedNodes &Nodes) {
  for (auto &[Address, Node] : Nodes) {
    if (Node.InForce) {
      continue;
    }
    std::optional<std::uint64_t> Current = Node.Heard;
    if (!Node.Operators.empty() && (!Current || *Current < Version)) {
      const CallResult Answer =
          Run.Server.getFrom(Node.Operators, "watch", "/v1/version");
      if (Answer.ok()) {
        Current = versionIn(Answer.Body);
        Node.Heard = Current;
      }
    }
    Node.InForce = Current && *Current >= Version;
  }
}

std::size_t countInForce(const WatchedNodes &Nodes) {
  std::size_t Result = 0;
  for (const auto &[Address, Node] : Nodes) {
    Result += Node.InForce ? 1 : 0;
  }
  return Result;
}

void printResult(const Session &Run, std::uint64_t Version,
                 const WatchedNodes &Nodes, bool Complete) {
  if (Run.Json) {
    json Missing = json::array();
    for (const auto &[Address, Node] : Nodes) {
      if (!Node.InForce) {
        Missing.push_back(
            {{"address", Address},
             {"version", Node.Heard ? json(*Node.Heard) : json()}});
      }
    }
    Run.print({{"version", Version},
               {"complete", Complete},
               {"nodes", Nodes.size()},
               {"in_force", countInForce(Nodes)},
               {"missing", std::move(Missing)}});
    return;
  }
  if (Complete) {
    Run.Surroundings.Out << fmt::format("version {} is in force on all {} "
                                        "nodes\n",
                                        Version, Nodes.size());
    return;
  }
  Table Rows({"ADDRESS", "VERSION"});
  for (const auto &[Address, Node] : Nodes) {
    if (!Node.InForce) {
      Rows.add({Address, Node.Heard ? std::to_string(*Node.Heard) : "unknown"});
    }
  }
  Run.Surroundings.Out << "MISSING\n" << Rows.render();
}

} // namespace

ExitCode watch(const Session &Run, std::optional<std::uint64_t> Version,
               std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  WatchedNodes Nodes;
  std::optional<std::size_t> Reported;
  while (true) {
    const CallResult Status = Run.Server.get("watch", "/v1/status");
    if (Status.ok()) {
      if (!Version) {
        Version = versionIn(Status.Body).value_or(0);
      }
      updateNodes(Status.Body, Nodes);
      askNodes(Run, *Version, Nodes);
    } else if (Status.Status != 0) {
      return Run.fail(Status);
    }
    const std::size_t InForce = countInForce(Nodes);
    if (Version && Reported != InForce) {
      Reported = InForce;
      Run.Surroundings.Err << fmt::format(
          "watch: version {} on {} of {} nodes\n", *Version, InForce,
          Nodes.size());
    }
    if (!Nodes.empty() && InForce == Nodes.size()) {
      printResult(Run, *Version, Nodes, true);
      return ExitCode::Done;
    }
    if (std::chrono::steady_clock::now() >= End) {
      if (!Status.ok() && Nodes.empty()) {
        return Run.fail(Status);
      }
      printResult(Run, *Version, Nodes, false);
      Run.report(
          {Error{numberOf(ErrorCode::WatchTimeout), "watch", "",
                 fmt::format("version {} is in force on {} of {} nodes "
                             "after {} ms",
                             *Version, InForce, Nodes.size(), Limit.count())}});
      return ExitCode::WatchTimeout;
    }
    Run.Surroundings.Sleep(PollInterval);
  }
}

} // namespace hyssopford::ctl
