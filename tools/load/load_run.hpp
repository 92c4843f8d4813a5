/// @file
/// @brief Open-loop load on one HTTP server.
#pragma once

#include "hyssopford/net/event_loop.hpp"
#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief What to send.
struct LoadPlan {
  std::string Name;
  /// "ip:port" of the server.
  std::string Address;
  std::string Method = "GET";
  std::string Path = "/";
  std::string Body;
  double RatePerSecond = 100;
  Duration Length = 5s;
  /// Time at the start whose answers are not counted.
  Duration WarmUp = 1s;
  std::size_t Connections = 32;
};

/// @brief What came back.
struct LoadResult {
  std::uint64_t Answered = 0;
  /// Answers other than 2xx and requests without an answer.
  std::uint64_t Failed = 0;
  /// Latency of each answer from its intended send time, in µs, sorted.
  std::vector<std::int64_t> Latencies;
  Duration Elapsed{0};

  /// @return the latency that the given share of answers does not exceed
  std::int64_t percentile(double Share) const;
};

/// @brief Sends requests at fixed times whether or not earlier ones were
/// answered, so a slow server does not lower the load on itself. A request
/// without a free connection waits for one; its latency counts from its
/// intended time.
class LoadRun {
public:
  LoadRun(EventLoop &Loop, LoadPlan Plan);
  ~LoadRun();
  LoadRun(const LoadRun &) = delete;
  LoadRun &operator=(const LoadRun &) = delete;

  /// @brief Starts sending.
  /// @param Begin time of the first request
  void start(TimePoint Begin);

  /// @brief Sends what is due. To be called in every round of the loop.
  void poll(TimePoint Now);

  /// @return whether everything was sent and answered, or given up
  bool finished(TimePoint Now) const;

  /// @return the result; to be called after the end
  LoadResult takeResult();

  const LoadPlan &plan() const { return Plan; }

private:
  class Caller;

  void send(Caller &On);
  void ended(Caller &On, bool Answered, int Status);
  void lost(Caller &On);

  EventLoop &Loop;
  LoadPlan Plan;
  std::string Request;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<Caller *> Free;
  /// Intended times of requests that wait for a connection.
  std::deque<TimePoint> Waiting;
  TimePoint Begin;
  std::uint64_t Due = 0;
  std::uint64_t Total = 0;
  std::uint64_t Ended = 0;
  LoadResult Result;
};

} // namespace hyssopford
