/// @file
/// @brief Measures idempotency keys and quarantine over complete cores in
/// virtual time. Prints one JSON object per line.
#include "support/fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <malloc.h>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

/// Bytes that the process has allocated from the heap.
std::uint64_t heapBytes() { return mallinfo2().uordblks; }

/// Estimated bytes of a message about keys; 0 for any other message.
std::uint64_t payloadBytes(const PeerMessage &Message) {
  if (const auto *Claim = std::get_if<KeyClaim>(&Message)) {
    return sizeof(KeyClaim) + Claim->Key.size();
  }
  if (const auto *End = std::get_if<KeyOutcome>(&Message)) {
    return sizeof(KeyOutcome) + End->Key.size() + End->Result.Answer.size();
  }
  if (std::holds_alternative<KeyClaimReply>(Message)) {
    return sizeof(KeyClaimReply);
  }
  return std::holds_alternative<KeyAck>(Message) ? sizeof(KeyAck) : 0;
}

struct Cost {
  double Frames = 0;
  double KeyBytes = 0;
  double CpuMicros = 0;
  double MedianMicros = 0;
};

/// Sends requests one after the other and returns the cost per request.
/// Delay is the one-way latency between nodes.
Cost measure(Duration Delay, bool Keyed) {
  constexpr std::size_t Requests = 2000;
  FleetSettings Settings;
  Settings.Delay = Delay;
  Fleet Cores(Settings);
  Cores.run(TimePoint{6s});
  std::uint64_t KeyBytes = 0;
  std::uint64_t Frames = 0;
  Cores.OnFrame = [&](const PeerMessage &Message) {
    const bool Background = std::holds_alternative<RosterRequest>(Message) ||
                            std::holds_alternative<RosterUpdate>(Message) ||
                            std::holds_alternative<Dispatch>(Message) ||
                            std::holds_alternative<DispatchReply>(Message);
    KeyBytes += payloadBytes(Message);
    Frames += !Background && payloadBytes(Message) > 0 ? 1 : 0;
  };
  std::map<std::uint64_t, TimePoint> Sent;
  const auto Start = std::chrono::steady_clock::now();
  for (std::size_t Count = 0; Count < Requests; ++Count) {
    CallerRequest Request;
    Request.Method = "POST";
    Request.Path = "/enrol";
    Request.BodyHash = Count;
    if (Keyed) {
      Request.Key = fmt::format("01890a5d-ac96-774b-bcce-{:012}", Count);
    }
    const TimePoint At = Cores.now();
    Sent[Cores.submit(Count % Cores.size(), std::move(Request))] = At;
    Cores.run(At + 30ms);
  }
  const std::chrono::duration<double, std::micro> Cpu =
      std::chrono::steady_clock::now() - Start;
  std::vector<std::int64_t> Times;
  for (const auto &[Id, Reply] : Cores.Replies) {
    Times.push_back((Cores.RepliedAt.at(Id) - Sent.at(Id)).count());
  }
  std::sort(Times.begin(), Times.end());
  return Cost{static_cast<double>(Frames) / Requests,
              static_cast<double>(KeyBytes) / Requests, Cpu.count() / Requests,
              static_cast<double>(Times[Times.size() / 2])};
}

void measureRequests() {
  for (const Duration Delay : {250us, 750us}) {
    const Cost Plain = measure(Delay, false);
    const Cost Keyed = measure(Delay, true);
    fmt::print("{{\"bench\": \"keyed_request\", \"round_trip_us\": {}, "
               "\"key_frames\": {:.2f}, \"key_bytes\": {:.0f}, "
               "\"added_cpu_us_all_nodes\": {:.1f}, \"median_us_unkeyed\": "
               "{:.0f}, \"median_us_keyed\": {:.0f}}}\n",
               2 * Delay.count(), Keyed.Frames, Keyed.KeyBytes,
               Keyed.CpuMicros - Plain.CpuMicros, Plain.MedianMicros,
               Keyed.MedianMicros);
  }
}

void measureMemory(std::size_t AnswerBytes) {
  constexpr std::size_t Records = 100'000;
  KeySettings Settings;
  Settings.MaxAnswerBytes = std::size_t{1} << 32U;
  const KeyRules Rules;
  const NodeRun Self{NodeId{1}, Incarnation{1}};
  KeyHolder Holder(Self, Settings, Rules);
  Roster SingleMember;
  SingleMember.Current = RosterEpoch{1, {RosterMember{Self, "a", "fd"}}};
  Holder.adopt("s", SingleMember, TimePoint{});
  const std::uint64_t Before = heapBytes();
  const auto Start = std::chrono::steady_clock::now();
  for (std::size_t Count = 0; Count < Records; ++Count) {
    const std::string Key =
        fmt::format("01890a5d-ac96-774b-bcce-{:012}", Count);
    const ClaimId Id{Self, Count + 1};
    Holder.claim(KeyClaim{"s", 1, Key, Count, Id, 1s}, TimePoint{});
    KeyResult Result;
    Result.Result = Outcome::Answered;
    Result.Answer = Payload(std::string(AnswerBytes, 'a'));
    Holder.record(KeyOutcome{"s", Key, Count, Id, Result}, TimePoint{});
  }
  const std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - Start;
  fmt::print(
      "{{\"bench\": \"key_memory\", \"answer_bytes\": {}, "
      "\"bytes_per_10000_records\": {}, \"holder_us_per_key\": {:.2f}}}\n",
      AnswerBytes, (heapBytes() - Before) / (Records / 10'000),
      Elapsed.count() / Records);
}

/// Measures the time from the second crash of an upstream until all nodes have
/// the request in quarantine.
void measureQuarantine(std::size_t Nodes, std::size_t MaxLinks) {
  FleetSettings Settings;
  Settings.Nodes = Nodes;
  Settings.MaxLinks = MaxLinks;
  Fleet Cores(Settings);
  Cores.run(TimePoint{5s});
  Cores.IsDeadly = [](const Execution &) { return true; };
  CallerRequest Request;
  Request.Method = "GET";
  Request.Path = "/catalogue";
  Request.BodyHash = 666;
  std::uint64_t Repeats = 0;
  while (Cores.UpstreamCrashes < 2 && Repeats < 100) {
    Cores.submit(Repeats++ % Nodes, Request);
    Cores.run(Cores.now() + 2s);
  }
  const TimePoint Crash = Cores.Executions.back().At;
  // The quarantine tables hold only ages, not when a node learned of an entry,
  // so a second fleet repeats the run and continues in short steps.
  Fleet Replay(Settings);
  Replay.run(TimePoint{5s});
  Replay.IsDeadly = Cores.IsDeadly;
  for (std::uint64_t Count = 0; Count + 1 < Repeats; ++Count) {
    Replay.submit(Count % Nodes, Request);
    Replay.run(Replay.now() + 2s);
  }
  Replay.submit((Repeats - 1) % Nodes, Request);
  const auto Knows = [&](std::size_t Node) {
    return !Replay.core(Node).quarantine().list(Replay.now()).empty();
  };
  const auto AllKnow = [&] {
    for (std::size_t Node = 0; Node < Nodes; ++Node) {
      if (!Knows(Node)) {
        return false;
      }
    }
    return true;
  };
  while (!AllKnow() && Replay.now() < Crash + 10s) {
    Replay.run(Replay.now() + 100us);
  }
  fmt::print(
      "{{\"bench\": \"quarantine_spread\", \"nodes\": {}, \"max_links\": "
      "{}, \"upstream_crashes\": {}, \"known_everywhere_ms\": {:.1f}}}\n",
      Nodes, MaxLinks, Replay.UpstreamCrashes,
      static_cast<double>((Replay.now() - Crash).count()) / 1000.0);
}

} // namespace

int main() {
  measureRequests();
  measureMemory(0);
  measureMemory(200);
  measureQuarantine(13, 0);
  measureQuarantine(60, 0);
  measureQuarantine(60, 12);
  return EXIT_SUCCESS;
}
