/// @file
/// @brief Measures what spans cost the thread that serves calls: off, sampled
/// out and sampled in. Prints one JSON line for each measurement.
#include "hyssopford/core/random_source.hpp"
#include "hyssopford/telemetry/span_exporter.hpp"
#include "hyssopford/telemetry/trace_parent.hpp"

#include "collector/collector_service.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <fmt/format.h>
#include <thread>
#include <vector>

using namespace hyssopford;

namespace {

constexpr int Calls = 200'000;
constexpr int Rounds = 5;
constexpr int SpansPerCall = 4;
/// Calls are paced in groups, so that the exporter keeps up as it does in a
/// node and few spans are dropped.
constexpr int GroupCalls = 256;
constexpr std::chrono::milliseconds GroupPause{100};
constexpr int PacedCalls = 5'120;

std::int64_t cpuNanoseconds(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return Time.tv_sec * 1'000'000'000LL + Time.tv_nsec;
}

SpanFinished spanOf(const TraceContext &Trace, std::uint64_t Span) {
  SpanFinished Result;
  Result.Trace = Trace;
  Result.Span = Span;
  Result.Start = TimePoint(Duration(static_cast<std::int64_t>(Span)));
  Result.End = Result.Start + 5ms;
  Result.Route = "catalogue";
  Result.Peer = NodeId{7};
  Result.Result = Outcome::Answered;
  return Result;
}

/// What a node does for the spans of one call.
void serveCall(const TraceSampler &Sampler, RandomSource &Random,
               SpanExporter &Exporter) {
  const TraceContext Trace = traceOfRequest(std::nullopt, Sampler, Random);
  if (!Trace.Sampled) {
    return;
  }
  for (int Span = 0; Span < SpansPerCall; ++Span) {
    Exporter.offer(spanOf(Trace, Random.next() >> 1));
  }
}

void print(const char *Mode, std::vector<double> PerCall,
           const std::string &More = {}) {
  std::sort(PerCall.begin(), PerCall.end());
  fmt::print(
      "{{\"bench\": \"spans\", \"mode\": \"{}\", \"median_ns_per_call\": "
      "{:.1f}, \"min\": {:.1f}, \"max\": {:.1f}, \"rounds\": {}{}}}\n",
      Mode, PerCall[PerCall.size() / 2], PerCall.front(), PerCall.back(),
      PerCall.size(), More);
}

std::vector<double> measureUnpaced(std::uint32_t SamplingPpm, bool Off) {
  SeededRandomSource Random(1);
  SpanExporter Exporter(SpanExporterSettings{}, {});
  const TraceSampler Sampler(SamplingPpm);
  std::vector<double> Result;
  std::uint64_t Used = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::int64_t Start = cpuNanoseconds(CLOCK_THREAD_CPUTIME_ID);
    for (int Call = 0; Call < Calls; ++Call) {
      Used += Random.next();
      if (!Off) {
        serveCall(Sampler, Random, Exporter);
      }
    }
    Result.push_back(
        static_cast<double>(cpuNanoseconds(CLOCK_THREAD_CPUTIME_ID) - Start) /
        Calls);
  }
  return Used == 0 ? std::vector<double>{0} : Result;
}

void measureSampledIn() {
  standin::CollectorService Collector("127.0.0.1:0");
  SpanExporterSettings Settings;
  Settings.Collector = fmt::format("127.0.0.1:{}", Collector.port());
  Settings.Interval = std::chrono::milliseconds(50);
  SpanExporter Exporter(Settings, {});
  SeededRandomSource Random(1);
  const TraceSampler Sampler(1'000'000);
  std::vector<double> Result;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::int64_t Spent = 0;
    for (int Call = 0; Call < PacedCalls; Call += GroupCalls) {
      const std::int64_t Start = cpuNanoseconds(CLOCK_THREAD_CPUTIME_ID);
      for (int Each = 0; Each < GroupCalls; ++Each) {
        serveCall(Sampler, Random, Exporter);
      }
      Spent += cpuNanoseconds(CLOCK_THREAD_CPUTIME_ID) - Start;
      std::this_thread::sleep_for(GroupPause);
    }
    const int Groups = (PacedCalls + GroupCalls - 1) / GroupCalls;
    Result.push_back(static_cast<double>(Spent) / (Groups * GroupCalls));
  }
  Exporter.flush(std::chrono::seconds(20));
  print("sampled_in", Result,
        fmt::format(", \"exported\": {}, \"dropped\": {}", Exporter.exported(),
                    Exporter.droppedQueueFull() +
                        Exporter.droppedExportFailed()));
}

/// The exporter's thread renders the spans; its cost counts against the node's
/// processor time, not against the call.
void measureRender() {
  std::vector<double> Result;
  const std::vector<SpanFinished> Batch(512, spanOf({1, 2, 3, true}, 9));
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::int64_t Start = cpuNanoseconds(CLOCK_THREAD_CPUTIME_ID);
    std::size_t Bytes = 0;
    for (int Count = 0; Count < 20; ++Count) {
      Bytes += renderSpans(Batch, {}).size();
    }
    const std::int64_t Spent = cpuNanoseconds(CLOCK_THREAD_CPUTIME_ID) - Start;
    Result.push_back(Bytes == 0 ? 0
                                : static_cast<double>(Spent) * SpansPerCall /
                                      (20.0 * 512.0));
  }
  print("export_thread_render", Result);
}

} // namespace

int main() {
  print("off", measureUnpaced(0, true));
  print("sampled_out", measureUnpaced(0, false));
  measureSampledIn();
  measureRender();
  return 0;
}
