#include "schedule.hpp"

#include "support/fleet.hpp"

#include <fmt/format.h>
#include <map>

namespace hyssopford::test {

namespace {

constexpr TimePoint FaultStart{1s};
constexpr TimePoint FaultEnd{7s};
constexpr TimePoint End{10s};

struct Submitted {
  std::string Key;
  std::uint64_t Body = 0;
  bool Idempotent = false;
};

/// Generates the faults and requests of one schedule.
class Schedule {
public:
  Schedule(const FleetSettings &Settings, Duration KeyRetention)
      : Cores(Settings), Random(Cores.random()), Retention(KeyRetention) {
    // Fault rates differ between schedules, so that many run nearly
    // undisturbed.
    Cores.Rates.Lost = Random.below(3) == 0 ? Random.below(100) : 0;
    Cores.Rates.Duplicated = Random.below(100);
    // Retention must exceed the age that a delayed frame can reach.
    Cores.Rates.Late =
        Random.below(2) == 0 && Retention > 10s ? Random.below(80) : 0;
    Cores.Rates.ConnectFailed = Random.below(150);
    Cores.Rates.ConnectionLost = Random.below(150);
    Cores.Rates.StoreAnswerLost = Random.below(300);
    const std::size_t Faults = Random.below(14);
    for (std::size_t Count = 0; Count < Faults; ++Count) {
      Cores.at(randomTime(), [this] { injectFault(); });
    }
    const std::size_t Keys = 4 + Random.below(10);
    for (std::size_t Key = 0; Key < Keys; ++Key) {
      Cores.at(randomTime(),
               [this, Key] { submitWithRepeats(fmt::format("k{}", Key)); });
    }
    for (std::size_t Count = 0; Count < 6; ++Count) {
      Cores.at(randomTime(), [this] { submit("", Random.next(), false); });
      Cores.at(randomTime(), [this] { submit("", Random.next(), true); });
    }
    Cores.at(FaultEnd, [this] { endFaults(); });
  }

  void run() { Cores.run(End); }

  ScheduleResult verdict() {
    ScheduleResult Result;
    std::map<std::uint64_t, std::size_t> Runs;
    std::map<std::string, TimePoint> LastRun;
    for (const Execution &Each : Cores.Executions) {
      const Submitted &Sent = Submissions.at(Each.Submission);
      ++Runs[Each.Submission];
      if (!Sent.Idempotent && Runs[Each.Submission] > 1) {
        Result.Violation =
            fmt::format("submission {} ran twice", Each.Submission);
      }
      if (Sent.Key.empty()) {
        continue;
      }
      const auto [Last, IsNew] = LastRun.try_emplace(Sent.Key, Each.At);
      if (!IsNew && Each.At - Last->second < Retention) {
        Result.Violation = fmt::format("key {} ran twice", Sent.Key);
      }
      Last->second = Each.At;
    }
    for (const auto &[Id, Reply] : Cores.Replies) {
      checkReply(Id, Reply, Runs, Result);
    }
    Result.Submissions = Submissions.size();
    Result.Executions = Cores.Executions.size();
    Result.Frames = Cores.Frames;
    Result.StoreWrites = Cores.StoreWrites;
    Result.Events = Cores.Events;
    return Result;
  }

private:
  TimePoint randomTime() {
    return FaultStart + Duration(Random.below(static_cast<std::uint64_t>(
                            (FaultEnd - FaultStart).count())));
  }

  std::size_t anyNode() { return Random.below(Cores.size()); }

  std::uint64_t submit(const std::string &Key, std::uint64_t Body,
                       bool Idempotent) {
    CallerRequest Request;
    Request.Method = Idempotent ? "GET" : "POST";
    Request.Path = Idempotent ? "/catalogue" : "/enrol";
    Request.Key = Key;
    Request.BodyHash = Body;
    const std::size_t Node = anyNode();
    LastNode = Node;
    const std::uint64_t Id = Cores.submit(Node, std::move(Request));
    Submissions[Id] = Submitted{Key, Body, Idempotent};
    if (Random.below(8) == 0) {
      Cores.at(Cores.now() + Duration(Random.below(20'000)),
               [this, Node, Id] { Cores.dropCaller(Node, Id); });
    }
    return Id;
  }

  /// Sends a keyed request and repeats it through other nodes.
  void submitWithRepeats(const std::string &Key) {
    const std::size_t Repeats = Random.below(5);
    submit(Key, 1, false);
    if (Retention < 10s && Random.below(3) == 0) {
      // Grants reach a paused ingress, and the key expires before it resumes.
      const std::size_t Node = LastNode;
      scheduleWithin(5, [this, Node] { Cores.pause(Node); });
      Cores.at(Cores.now() + 4500ms, [this, Node] { Cores.resume(Node); });
    }
    for (std::size_t Count = 0; Count < Repeats; ++Count) {
      const Duration Wait(Random.below(
          Random.below(3) == 0 || Retention < 10s ? 4'000'000 : 10'000));
      const std::uint64_t Body = Random.below(12) == 0 ? 2 : 1;
      Cores.at(Cores.now() + Wait,
               [this, Key, Body] { submit(Key, Body, false); });
    }
  }

  void scheduleWithin(std::uint64_t MaxMilliseconds,
                      std::function<void()> Step) {
    Cores.at(Cores.now() + Duration(Random.below(MaxMilliseconds * 1000)),
             std::move(Step));
  }

  void injectFault() {
    const std::size_t Node = anyNode();
    // With a short retention, pauses longer than the retention are the most
    // likely to cause a violation.
    const bool LongPause = Retention < 10s && Random.below(2) == 0;
    switch (LongPause ? 1 : Random.below(7)) {
    case 0:
      Cores.crash(Node);
      scheduleWithin(3000, [this, Node] { Cores.restart(Node); });
      break;
    case 1:
    case 2:
      Cores.pause(Node);
      scheduleWithin(Random.below(2) == 0 && !LongPause ? 100 : 4500,
                     [this, Node] { Cores.resume(Node); });
      break;
    case 3: {
      std::set<std::size_t> Side;
      for (std::size_t Each = 0; Each < Cores.size(); ++Each) {
        if (Random.below(3) == 0) {
          Side.insert(Each);
        }
      }
      Cores.partition(Side);
      scheduleWithin(2500, [this] { Cores.heal(); });
      break;
    }
    case 4:
      Cores.StoreDown = true;
      scheduleWithin(2000, [this] { Cores.StoreDown = false; });
      break;
    case 5:
      Cores.leave(Node);
      scheduleWithin(3000, [this, Node] { Cores.restart(Node); });
      break;
    default:
      Cores.crashUpstream(Node);
    }
  }

  void endFaults() {
    Cores.heal();
    Cores.Rates = FaultRates{};
    Cores.StoreDown = false;
    for (std::size_t Node = 0; Node < Cores.size(); ++Node) {
      Cores.resume(Node);
      Cores.restart(Node);
    }
  }

  void checkReply(std::uint64_t Id, const ReplyToCaller &Reply,
                  const std::map<std::uint64_t, std::size_t> &Runs,
                  ScheduleResult &Result) const {
    const Submitted &Own = Submissions.at(Id);
    if (Reply.Result == Outcome::NotRun) {
      ++Result.NotRun;
      if (Runs.contains(Id)) {
        Result.Violation = fmt::format("submission {} is not-run but ran", Id);
      }
    } else if (Reply.Result == Outcome::Unknown) {
      ++Result.Unknown;
    } else {
      ++Result.Answered;
      Result.Replayed += Reply.Replayed ? 1 : 0;
      const std::string Text(Reply.Answer.bytes());
      const std::uint64_t Source = std::stoull(Text.substr(Text.rfind(' ')));
      const Submitted &Other = Submissions.at(Source);
      const bool SameRequest =
          Reply.Replayed && Other.Key == Own.Key && Other.Body == Own.Body;
      if (Source != Id && !SameRequest) {
        Result.Violation =
            fmt::format("submission {} got the answer to {}", Id, Source);
      }
    }
  }

  Fleet Cores;
  SeededRandomSource &Random;
  Duration Retention;
  std::size_t LastNode = 0;
  std::map<std::uint64_t, Submitted> Submissions;
};

struct TwoGrants final : KeyRules {
  bool grantsHeldKey() const override { return true; }
};
struct ReleaseAfterUnknown final : KeyRules {
  bool releases(Outcome Result) const override {
    return Result != Outcome::Answered;
  }
};
struct QuorumOfOne final : KeyRules {
  std::size_t quorum(std::size_t /*Holders*/) const override { return 1; }
};
struct NoSeals final : KeyRules {
  bool waitsForSeals() const override { return false; }
};
struct NoDeadlineCheck final : KeyRules {
  bool checksDeadline() const override { return false; }
};

const std::map<std::string, const KeyRules *> &broken() {
  static const TwoGrants Two;
  static const ReleaseAfterUnknown Release;
  static const QuorumOfOne One;
  static const NoSeals Seals;
  static const NoDeadlineCheck Deadline;
  static const std::map<std::string, const KeyRules *> All{
      {"two-grants", &Two},
      {"release-after-unknown", &Release},
      {"quorum-of-one", &One},
      {"no-seals", &Seals},
      {"no-deadline-check", &Deadline}};
  return All;
}

} // namespace

ScheduleResult runSchedule(std::uint64_t Seed, const KeyRules *Rules,
                           bool Log) {
  SeededRandomSource SetupRandom(hashPair(Seed, 1));
  FleetSettings Settings;
  Settings.Nodes = 5 + SetupRandom.below(4);
  Settings.Domains = 1 + SetupRandom.below(4);
  Settings.Seed = Seed;
  Settings.Jitter = SetupRandom.below(2) == 0 ? 20ms : 500us;
  Settings.ServiceTime = SetupRandom.below(3) == 0 ? 300ms : 5ms;
  Settings.Log = Log;
  // Short times let rosters change and keys expire within a schedule.
  Settings.Keys.JoinAfter = 200ms;
  Settings.Keys.RemoveAfter = 1s;
  Settings.Keys.HandoverLimit = 2s;
  if (SetupRandom.below(3) == 0) {
    Settings.Keys.Retention = 500ms;
    Settings.Keys.MaxFrameAge = NodeCore::PauseLimit + 100ms;
  }
  Settings.Keys.Rules = Rules;
  Schedule Each(Settings, Settings.Keys.Retention);
  Each.run();
  return Each.verdict();
}

const KeyRules *brokenRules(const std::string &Name) {
  const auto Found = broken().find(Name);
  return Found == broken().end() ? nullptr : Found->second;
}

std::vector<std::string> brokenRuleNames() {
  std::vector<std::string> Names;
  for (const auto &[Name, Rules] : broken()) {
    Names.push_back(Name);
  }
  return Names;
}

} // namespace hyssopford::test
