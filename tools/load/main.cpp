/// @file
/// @brief Load tool: one or more open-loop runs at the same time, one JSON
/// object a line for each.
#include "constant_server.hpp"
#include "load_run.hpp"

#include <Poco/Exception.h>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace hyssopford;

namespace {

/// Time for connections before the first request.
constexpr Duration ConnectTime = 300ms;

nlohmann::json reportOf(const LoadPlan &Plan, const LoadResult &Result) {
  const double Seconds = std::chrono::duration<double>(Result.Elapsed).count();
  const auto Answered = static_cast<double>(Result.Answered);
  return {{"bench", Plan.Name},
          {"rate", Plan.RatePerSecond},
          {"connections", Plan.Connections},
          {"answered", Result.Answered},
          {"failed", Result.Failed},
          {"calls_per_s", Seconds > 0 ? Answered / Seconds : 0},
          {"p50_us", Result.percentile(0.50)},
          {"p90_us", Result.percentile(0.90)},
          {"p99_us", Result.percentile(0.99)},
          {"p999_us", Result.percentile(0.999)},
          {"max_us", Result.percentile(1.0)}};
}

void runAll(std::vector<LoadPlan> Plans) {
  EventLoop Loop;
  std::vector<std::unique_ptr<LoadRun>> Runs;
  for (LoadPlan &Each : Plans) {
    Runs.push_back(std::make_unique<LoadRun>(Loop, std::move(Each)));
  }
  TimePoint Begin = EventLoop::now() + ConnectTime;
  for (std::size_t Index = 0; Index < Runs.size(); ++Index) {
    // The runs alternate rather than send at the same moment.
    const double Spacing = 1e6 / Runs[Index]->plan().RatePerSecond;
    Runs[Index]->start(Begin + Duration(static_cast<std::int64_t>(
                                   Spacing * static_cast<double>(Index) /
                                   static_cast<double>(Runs.size()))));
  }
  // Polls without waiting: the loop's timers are too coarse for the send times.
  std::function<void()> Round = [&] {
    const TimePoint Now = EventLoop::now();
    bool Finished = true;
    for (const auto &Each : Runs) {
      Each->poll(Now);
      Finished = Finished && Each->finished(Now);
    }
    if (Finished) {
      Loop.stop();
    } else {
      Loop.defer(Round);
    }
  };
  Loop.defer(Round);
  Loop.run();
  for (const auto &Each : Runs) {
    const LoadResult Result = Each->takeResult();
    fmt::print("{}\n", reportOf(Each->plan(), Result).dump());
  }
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine Line("Open-loop load on HTTP servers", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> Targets(
        "t", "target", "NAME=ip:port; repeated for runs at the same time",
        false, "name=ip:port", Line);
    TCLAP::ValueArg<double> Rate("r", "rate", "requests per second and target",
                                 false, 200, "number", Line);
    TCLAP::ValueArg<int> Seconds("d", "seconds", "length of the run", false, 5,
                                 "number", Line);
    TCLAP::ValueArg<std::size_t> Connections("c", "connections",
                                             "connections for each target",
                                             false, 32, "number", Line);
    TCLAP::ValueArg<std::string> Path("p", "path", "request target", false, "/",
                                      "path", Line);
    TCLAP::ValueArg<std::size_t> BodySize(
        "b", "body-bytes", "size of the body; above 0 sends POST", false, 0,
        "number", Line);
    TCLAP::ValueArg<std::string> Serve(
        "", "serve-loop", "serve a constant answer on the event loop", false,
        "", "ip:port", Line);
    TCLAP::ValueArg<std::string> ServeThreads(
        "", "serve-threads", "serve a constant answer on POCO's threads", false,
        "", "ip:port", Line);
    Line.parse(Count, Arguments);
    if (!Serve.getValue().empty()) {
      serveOnEventLoop(Serve.getValue());
    } else if (!ServeThreads.getValue().empty()) {
      serveOnThreads(ServeThreads.getValue(),
                     static_cast<int>(Connections.getValue()) + 16);
    }
    std::vector<LoadPlan> Plans;
    for (const std::string &Each : Targets.getValue()) {
      LoadPlan Plan;
      const std::size_t Equals = Each.find('=');
      Plan.Name = Each.substr(0, Equals);
      Plan.Address = Each.substr(Equals + 1);
      Plan.Path = Path.getValue();
      Plan.RatePerSecond = Rate.getValue();
      Plan.Length = std::chrono::seconds(Seconds.getValue());
      Plan.Connections = Connections.getValue();
      Plan.Body = std::string(BodySize.getValue(), 'b');
      Plan.Method = Plan.Body.empty() ? "GET" : "POST";
      Plans.push_back(Plan);
    }
    runAll(std::move(Plans));
    return EXIT_SUCCESS;
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{}: {}\n", Fault.argId(), Fault.error());
  } catch (const Poco::Exception &Fault) {
    fmt::print(stderr, "{}\n", Fault.displayText());
  }
  return EXIT_FAILURE;
}
