#include "load_run.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

namespace {

/// How long answers are awaited after the last request.
constexpr Duration EndGrace = 5s;

} // namespace

/// One connection with at most one request at a time.
class LoadRun::Caller final : public TcpStreamHandler {
public:
  explicit Caller(LoadRun &Owner)
      : Run(Owner), Stream(Owner.Loop, *this),
        Reader(HttpReader::Kind::Response, HttpLimits()) {
    Stream.connect(Run.Plan.Address);
  }

  void onConnected() override { Run.Free.push_back(this); }

  void onData(std::string_view Bytes) override {
    Reader.feed(Bytes);
    HttpReader::Progress State = HttpReader::Progress::HeadReady;
    while (State == HttpReader::Progress::HeadReady) {
      State = Reader.advance();
    }
    if (State == HttpReader::Progress::NeedMore) {
      return;
    }
    const bool Complete = State == HttpReader::Progress::Complete;
    const bool Reusable = Complete && Reader.facts().KeepAlive;
    const int Status = Reader.facts().Status;
    Reader.next();
    if (!Reusable) {
      Stream.close();
    }
    Run.ended(*this, Complete, Status);
    if (!Reusable) {
      Run.lost(*this);
    }
  }

  void onClosed(bool /*Orderly*/, std::string_view /*Reason*/) override {
    if (Busy) {
      Run.ended(*this, false, 0);
    }
    Run.lost(*this);
  }

  LoadRun &Run;
  TcpStream Stream;
  HttpReader Reader;
  TimePoint Intended;
  bool Busy = false;
};

std::int64_t LoadResult::percentile(double Share) const {
  if (Latencies.empty()) {
    return 0;
  }
  const auto Last = static_cast<double>(Latencies.size() - 1);
  return Latencies[static_cast<std::size_t>(Share * Last + 0.5)];
}

LoadRun::LoadRun(EventLoop &EventSource, LoadPlan ThePlan)
    : Loop(EventSource), Plan(std::move(ThePlan)) {
  Request = fmt::format("{} {} HTTP/1.1\r\nHost: load.example\r\n", Plan.Method,
                        Plan.Path);
  if (!Plan.Body.empty()) {
    Request += fmt::format("Content-Length: {}\r\n", Plan.Body.size());
  }
  Request += "\r\n" + Plan.Body;
  for (std::size_t Index = 0; Index < Plan.Connections; ++Index) {
    Callers.push_back(std::make_unique<Caller>(*this));
  }
  const double Seconds = std::chrono::duration<double>(Plan.Length).count();
  Total = static_cast<std::uint64_t>(Plan.RatePerSecond * Seconds);
}

LoadRun::~LoadRun() = default;

void LoadRun::start(TimePoint First) { Begin = First; }

void LoadRun::poll(TimePoint Now) {
  while (Due < Total) {
    const auto Offset = static_cast<std::int64_t>(static_cast<double>(Due) *
                                                  1e6 / Plan.RatePerSecond);
    const TimePoint Intended = Begin + Duration(Offset);
    if (Intended > Now) {
      break;
    }
    Waiting.push_back(Intended);
    ++Due;
  }
  while (!Waiting.empty() && !Free.empty()) {
    Caller &Next = *Free.back();
    Free.pop_back();
    send(Next);
  }
}

bool LoadRun::finished(TimePoint Now) const {
  return Ended == Total || Now > Begin + Plan.Length + EndGrace;
}

LoadResult LoadRun::takeResult() {
  Result.Failed += Total - Ended;
  std::sort(Result.Latencies.begin(), Result.Latencies.end());
  return std::move(Result);
}

void LoadRun::send(Caller &On) {
  On.Intended = Waiting.front();
  Waiting.pop_front();
  On.Busy = true;
  On.Stream.write(Request);
}

void LoadRun::ended(Caller &On, bool Answered, int Status) {
  On.Busy = false;
  ++Ended;
  const TimePoint Now = EventLoop::now();
  if (On.Intended >= Begin + Plan.WarmUp) {
    if (Answered && Status >= 200 && Status < 300) {
      ++Result.Answered;
      Result.Latencies.push_back((Now - On.Intended).count());
      Result.Elapsed = Now - Begin - Plan.WarmUp;
    } else {
      ++Result.Failed;
    }
  }
  if (On.Stream.isOpen()) {
    Free.push_back(&On);
  }
}

void LoadRun::lost(Caller &On) {
  Free.erase(std::remove(Free.begin(), Free.end(), &On), Free.end());
  // Its own handler is running.
  Loop.defer([this, &On] {
    const auto Found =
        std::find_if(Callers.begin(), Callers.end(),
                     [&](const auto &Each) { return Each.get() == &On; });
    if (Found != Callers.end()) {
      *Found = std::make_unique<Caller>(*this);
    }
  });
}

} // namespace hyssopford
