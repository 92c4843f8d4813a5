#include "support/scenario.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <set>
#include <sstream>

namespace hyssopford::test {

namespace {

std::optional<double> numberOf(std::string_view Text, std::string_view &Unit) {
  double Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  Unit = std::string_view(End, Text.data() + Text.size() - End);
  return Code == std::errc() ? std::optional(Value) : std::nullopt;
}

std::optional<Duration> durationOf(std::string_view Text) {
  const std::map<std::string_view, double> MicrosPerUnit{
      {"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"h", 3.6e9}};
  std::string_view Unit;
  const auto Value = numberOf(Text, Unit);
  const auto Factor = MicrosPerUnit.find(Unit);
  if (!Value || Factor == MicrosPerUnit.end()) {
    return std::nullopt;
  }
  return Duration(static_cast<std::int64_t>(*Value * Factor->second));
}

Duration duration(const ScenarioLine &Line, const std::string &Name,
                  Duration Default) {
  const auto Found = Line.Options.find(Name);
  return Found == Line.Options.end()
             ? Default
             : durationOf(Found->second).value_or(Default);
}

std::uint64_t integer(const ScenarioLine &Line, const std::string &Name,
                      std::uint64_t Default) {
  const auto Found = Line.Options.find(Name);
  return Found == Line.Options.end() ? Default : std::stoull(Found->second);
}

std::string text(const ScenarioLine &Line, const std::string &Name,
                 const std::string &Default) {
  const auto Found = Line.Options.find(Name);
  return Found == Line.Options.end() ? Default : Found->second;
}

bool parseWords(std::istringstream &Input, ScenarioLine &Line) {
  std::string Word;
  while (Input >> Word) {
    const std::size_t Equals = Word.find('=');
    const bool IsRelation = Word.front() == '<' || Word.front() == '>';
    if (Equals == std::string::npos || Equals == 0 || IsRelation) {
      Line.Words.push_back(Word);
    } else {
      Line.Options[Word.substr(0, Equals)] = Word.substr(Equals + 1);
    }
  }
  return true;
}

/// Runs one scenario and collects its violations.
class ScenarioRun {
public:
  explicit ScenarioRun(const Scenario &Chosen)
      : Input(Chosen), Cores(settings(Chosen.Fleet)) {
    Cores.IsDeadly = [this](const Execution &Each) {
      return Deadly.contains(Each.Submission);
    };
  }

  std::vector<std::string> run() {
    for (const ScenarioLine &Step : Input.Steps) {
      Cores.at(Step.At, [this, &Step] { perform(Step); });
    }
    Cores.run(TimePoint{} + duration(Input.Fleet, "end", 10s));
    checkInvariants();
    for (const ScenarioLine &Each : Input.Expectations) {
      expect(Each);
    }
    return Violations;
  }

private:
  struct Submission {
    TimePoint At;
    std::string Key;
    std::uint64_t BodyHash = 0;
    std::string Path;
    bool Idempotent = false;
  };

  static FleetSettings settings(const ScenarioLine &Line) {
    FleetSettings Result;
    Result.Nodes = integer(Line, "nodes", 6);
    Result.Domains = integer(Line, "domains", 3);
    Result.Seed = integer(Line, "seed", 1);
    Result.Slots = static_cast<std::uint32_t>(integer(Line, "slots", 10));
    Result.Delay = duration(Line, "delay", 500us);
    Result.ServiceTime = duration(Line, "service", 5ms);
    Result.Keys.Retention = duration(Line, "retention", 24h);
    return Result;
  }

  std::vector<std::size_t> nodesOf(const ScenarioLine &Line) const {
    std::vector<std::size_t> Result;
    if (Line.Words.empty()) {
      for (std::size_t Node = 0; Node < Cores.size(); ++Node) {
        Result.push_back(Node);
      }
      return Result;
    }
    std::istringstream Numbers(Line.Words.front());
    std::string Number;
    while (std::getline(Numbers, Number, ',')) {
      Result.push_back(std::stoul(Number));
    }
    return Result;
  }

  void perform(const ScenarioLine &Step) {
    if (Step.Verb == "load") {
      load(Step);
    } else if (Step.Verb == "rates") {
      Cores.Rates.Lost = integer(Step, "lost", 0);
      Cores.Rates.Duplicated = integer(Step, "duplicated", 0);
      Cores.Rates.Late = integer(Step, "late", 0);
      Cores.Rates.ConnectFailed = integer(Step, "connect-failed", 0);
      Cores.Rates.ConnectionLost = integer(Step, "connection-lost", 0);
      Cores.Rates.StoreAnswerLost = integer(Step, "store-answer-lost", 0);
    } else if (Step.Verb == "store") {
      Cores.StoreDown = Step.Words.front() == "down";
    } else if (Step.Verb == "heal") {
      Cores.heal();
    } else if (Step.Verb == "partition") {
      const std::vector<std::size_t> Side = nodesOf(Step);
      Cores.partition({Side.begin(), Side.end()});
    } else {
      for (const std::size_t Node : nodesOf(Step)) {
        performOn(Node, Step);
      }
    }
  }

  void performOn(std::size_t Node, const ScenarioLine &Step) {
    if (Step.Verb == "crash") {
      Cores.crash(Node);
    } else if (Step.Verb == "restart") {
      Cores.restart(Node);
    } else if (Step.Verb == "leave") {
      Cores.leave(Node);
    } else if (Step.Verb == "pause") {
      Cores.pause(Node);
    } else if (Step.Verb == "resume") {
      Cores.resume(Node);
    } else if (Step.Verb == "crash-upstream") {
      Cores.crashUpstream(Node);
    } else if (Step.Verb == "slow") {
      Cores.setSlowdown(Node, integer(Step, "factor", 1));
    } else if (Step.Verb == "fail-fast") {
      Cores.setFailFast(Node, text(Step, "on", "yes") == "yes");
    } else if (Step.Verb == "announce") {
      const bool Drains = text(Step, "state", "serving") == "draining";
      Cores.announce(Node,
                     Drains ? UpstreamState::Draining : UpstreamState::Serving);
    } else {
      fail(fmt::format("line {}: unknown step '{}'", Step.Number, Step.Verb));
    }
  }

  void load(const ScenarioLine &Step) {
    const Duration Gap(1'000'000 / integer(Step, "rate", 100));
    const Duration Length = duration(Step, "for", 1s);
    const std::vector<std::size_t> Ingresses = nodesOf(Step);
    std::size_t Count = 0;
    for (Duration Offset{0}; Offset < Length; Offset += Gap, ++Count) {
      const std::size_t Node = Ingresses[Count % Ingresses.size()];
      Cores.at(Step.At + Offset,
               [this, &Step, Node, Count] { submit(Step, Node, Count); });
    }
  }

  void submit(const ScenarioLine &Step, std::size_t Node, std::size_t Count) {
    const std::uint64_t Keys = integer(Step, "keys", 0);
    CallerRequest Request;
    Request.Method = text(Step, "method", "GET");
    Request.Path = text(Step, "path", "/catalogue");
    Request.BodyHash = Keys > 0 ? 1 : Count;
    if (Keys > 0) {
      Request.Key = fmt::format("line{}-{}", Step.Number, Count % Keys);
    }
    if (Step.Options.contains("deadline")) {
      Request.Deadline = duration(Step, "deadline", 1s);
    }
    if (Step.Options.contains("body")) {
      Request.BodyHash = integer(Step, "body", 0);
    }
    if (!Cores.isUp(Node)) {
      return;
    }
    const Submission Each{Cores.now(), Request.Key, Request.BodyHash,
                          Request.Path, Request.Path != "/enrol"};
    if (Step.Options.contains("deadly")) {
      Deadly.insert(Submissions.empty() ? 1 : Submissions.rbegin()->first + 1);
    }
    const std::uint64_t Id = Cores.submit(Node, std::move(Request));
    Submissions[Id] = Each;
  }

  void checkInvariants() {
    std::map<std::string, TimePoint> FirstRuns;
    std::set<std::uint64_t> Ran;
    for (const Execution &Each : Cores.Executions) {
      Ran.insert(Each.Submission);
      const Submission &Source = Submissions.at(Each.Submission);
      if (Source.Idempotent) {
        continue;
      }
      const std::string Name =
          Source.Key.empty() ? std::to_string(Each.Submission) : Source.Key;
      if (!FirstRuns.emplace(Name, Each.At).second) {
        fail(fmt::format("request {} ran twice, again at {} us", Name,
                         Each.At.time_since_epoch().count()));
      }
    }
    for (const auto &[Id, Reply] : Cores.Replies) {
      checkReply(Id, Reply, Ran.contains(Id));
    }
  }

  void checkReply(std::uint64_t Id, const ReplyToCaller &Reply, bool Ran) {
    if (Reply.Result == Outcome::NotRun && Ran) {
      fail(fmt::format("request {} ran, but its caller got not-run at {} us",
                       Id, Cores.RepliedAt.at(Id).time_since_epoch().count()));
    }
    if (Reply.Result != Outcome::Answered) {
      return;
    }
    const std::string Answer(Reply.Answer.bytes());
    const std::uint64_t Source = std::stoull(Answer.substr(Answer.rfind(' ')));
    const bool IsOwn =
        Source == Id || (Reply.Replayed &&
                         Submissions.at(Source).Key == Submissions.at(Id).Key);
    if (!IsOwn) {
      fail(fmt::format("request {} got the answer of request {}", Id, Source));
    }
  }

  /// Returns the submissions that an expectation is about: those in its time
  /// window and of its path, both optional.
  std::vector<std::uint64_t> selected(const ScenarioLine &Line) const {
    const TimePoint From = TimePoint{} + duration(Line, "from", 0s);
    const TimePoint To = TimePoint{} + duration(Line, "to", 24h);
    const std::string Path = text(Line, "path", "");
    std::vector<std::uint64_t> Result;
    for (const auto &[Id, Each] : Submissions) {
      if (Each.At >= From && Each.At < To &&
          (Path.empty() || Path == Each.Path)) {
        Result.push_back(Id);
      }
    }
    return Result;
  }

  double measure(const ScenarioLine &Line) {
    const std::vector<std::uint64_t> Chosen = selected(Line);
    const std::string &What = Line.Words.at(0);
    if (What == "executions") {
      const auto From = TimePoint{} + duration(Line, "from", 0s);
      const auto IsCounted = [&](const Execution &Each) {
        return Each.At >= From && (!Line.Options.contains("node") ||
                                   Each.Node == integer(Line, "node", 0));
      };
      return static_cast<double>(std::count_if(
          Cores.Executions.begin(), Cores.Executions.end(), IsCounted));
    }
    if (What == "upstream-crashes") {
      return static_cast<double>(Cores.UpstreamCrashes);
    }
    if (What == "probe-share") {
      return Cores.probeShare() * 100;
    }
    if (What == "unanswered") {
      return static_cast<double>(
          std::count_if(Chosen.begin(), Chosen.end(), [&](std::uint64_t Id) {
            return !Cores.Replies.contains(Id);
          }));
    }
    if (What.starts_with("latency-p")) {
      return latency(Chosen, std::stod(What.substr(9)));
    }
    const auto Matches = [&](std::uint64_t Id) {
      const auto Reply = Cores.Replies.find(Id);
      return Reply != Cores.Replies.end() &&
             What == toString(Reply->second.Result);
    };
    const auto Count = std::count_if(Chosen.begin(), Chosen.end(), Matches);
    return Chosen.empty() ? 0.0
                          : 100.0 * static_cast<double>(Count) /
                                static_cast<double>(Chosen.size());
  }

  /// Returns a percentile of the latency of answered requests in ms; 0 if none
  /// was answered.
  double latency(const std::vector<std::uint64_t> &Chosen, double Percentile) {
    std::vector<double> Times;
    for (const std::uint64_t Id : Chosen) {
      const auto Reply = Cores.Replies.find(Id);
      if (Reply != Cores.Replies.end() &&
          Reply->second.Result == Outcome::Answered) {
        const Duration Taken = Cores.RepliedAt.at(Id) - Submissions.at(Id).At;
        Times.push_back(static_cast<double>(Taken.count()) / 1000);
      }
    }
    if (Times.empty()) {
      return 0;
    }
    std::sort(Times.begin(), Times.end());
    const auto Rank = static_cast<std::size_t>(
        Percentile / 100 * static_cast<double>(Times.size()));
    return Times[std::min(Rank, Times.size() - 1)];
  }

  void expect(const ScenarioLine &Line) {
    const double Value = measure(Line);
    const std::string &Relation = Line.Words.at(1);
    std::string_view Unit;
    const double Bound = numberOf(Line.Words.at(2), Unit).value_or(0);
    const bool Holds = Relation == ">="   ? Value >= Bound
                       : Relation == ">"  ? Value > Bound
                       : Relation == "<=" ? Value <= Bound
                       : Relation == "<"  ? Value < Bound
                                          : Value == Bound;
    if (!Holds) {
      fail(fmt::format("line {}: expected {} {} {}, was {:.3f}", Line.Number,
                       Line.Words[0], Relation, Line.Words[2], Value));
    }
  }

  void fail(const std::string &What) {
    Violations.push_back(
        fmt::format("seed {}: {}", integer(Input.Fleet, "seed", 1), What));
  }

  const Scenario &Input;
  Fleet Cores;
  std::map<std::uint64_t, Submission> Submissions;
  std::set<std::uint64_t> Deadly;
  std::vector<std::string> Violations;
};

bool parseLine(const std::string &Text, Scenario &Result, ScenarioLine &Line) {
  std::istringstream Words(Text);
  std::string Kind;
  if (!(Words >> Kind)) {
    return true;
  }
  if (Kind == "fleet") {
    Line.Verb = Kind;
    Result.Fleet = Line;
    return parseWords(Words, Result.Fleet);
  }
  if (Kind == "expect") {
    Line.Verb = Kind;
    parseWords(Words, Line);
    Result.Expectations.push_back(Line);
    return Line.Words.size() == 3;
  }
  std::string Time;
  if (Kind != "at" || !(Words >> Time >> Line.Verb) || !durationOf(Time)) {
    return false;
  }
  Line.At = TimePoint{} + *durationOf(Time);
  parseWords(Words, Line);
  Result.Steps.push_back(Line);
  return true;
}

} // namespace

std::optional<Scenario> parseScenario(std::string_view Text, Error &LastError) {
  Scenario Result;
  std::istringstream Lines{std::string(Text)};
  std::string Each;
  for (std::size_t Number = 1; std::getline(Lines, Each); ++Number) {
    ScenarioLine Line;
    Line.Number = Number;
    if (!parseLine(Each.substr(0, Each.find('#')), Result, Line)) {
      LastError = Error{0, "scenario.parse", fmt::format("line {}", Number),
                        "expected 'fleet', 'at TIME STEP' or 'expect MEASURE "
                        "RELATION BOUND'"};
      return std::nullopt;
    }
  }
  return Result;
}

std::vector<std::string> runScenario(const Scenario &Input) {
  return ScenarioRun(Input).run();
}

} // namespace hyssopford::test
