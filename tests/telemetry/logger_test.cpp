/// @file
/// @brief Tests of the logger.
#include "hyssopford/telemetry/logger.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace std::chrono_literals;

namespace {

class MemorySink final : public LogSink {
public:
  void write(std::string_view Line) override { Lines.emplace_back(Line); }

  std::vector<std::string> Lines;
};

} // namespace

TEST_CASE("log lines", "[log]") {
  MemorySink Sink;
  Logger::WallTime Now{1'767'225'600s};
  Logger Log(LogLevel::Info, Sink, [&Now] { return Now; });

  SECTION("one line of fields for each event") {
    Now += 7ms;
    Log.log(LogLevel::Warning, "member_dead",
            {{"peer", "192.0.2.7:7101"}, {"age_ms", 3000}, {"note", "a b"}});
    REQUIRE(Sink.Lines ==
            std::vector<std::string>{
                "time=2026-01-01T00:00:00.007Z level=warning event=member_dead "
                "peer=192.0.2.7:7101 age_ms=3000 note=\"a b\""});
  }
  SECTION("events below the minimum level are not written") {
    Log.log(LogLevel::Debug, "detail");
    REQUIRE(Sink.Lines.empty());
  }
  SECTION("values are escaped against forged lines and terminal commands") {
    REQUIRE(renderLogValue("a\nlevel=error \"\\\t\x1b[2J\xc3\xa9") ==
            "\"a\\nlevel=error \\\"\\\\\\t\\x1b[2J\\xc3\\xa9\"");
    REQUIRE(renderLogValue("") == "\"\"");
    REQUIRE(renderLogValue("a=b") == "\"a=b\"");
  }
  SECTION("a long value is truncated") {
    Log.log(LogLevel::Info, "long", {{"value", std::string(5'000, 'x')}});
    REQUIRE(Sink.Lines[0].size() < Logger::MaxValueLength + 100);
  }
  SECTION("a repeated event is rate-limited without affecting others") {
    for (std::uint64_t Count = 0; Count < Logger::LinesPerWindow + 5; ++Count) {
      Log.log(LogLevel::Info, "storm");
    }
    Log.log(LogLevel::Info, "other");
    REQUIRE(Sink.Lines.size() == Logger::LinesPerWindow + 1);
    REQUIRE(Log.suppressed() == 5);

    SECTION("the next line carries the suppressed count") {
      Now += 1s;
      Log.log(LogLevel::Info, "storm");
      REQUIRE(Sink.Lines.back().ends_with("event=storm suppressed=5"));
      Log.flushSuppressed();
      REQUIRE(Sink.Lines.back().ends_with("event=storm suppressed=5"));
    }
    SECTION("the suppressed count is written if the event does not recur") {
      Log.flushSuppressed();
      REQUIRE(Sink.Lines.size() == Logger::LinesPerWindow + 1);
      Now += 1s;
      Log.flushSuppressed();
      REQUIRE(Sink.Lines.back().ends_with(
          "event=log_lines_suppressed name=storm count=5"));
    }
  }
  SECTION("setting the clock back opens a new window") {
    for (std::uint64_t Count = 0; Count < Logger::LinesPerWindow; ++Count) {
      Log.log(LogLevel::Info, "storm");
    }
    Now -= 3600s;
    Log.log(LogLevel::Info, "storm");
    REQUIRE(Log.suppressed() == 0);
  }
}
