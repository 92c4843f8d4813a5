/// @file
/// @brief Tests of the traceparent header.
#include "hyssopford/telemetry/trace_parent.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

TEST_CASE("traceparent values", "[trace]") {
  const std::string Valid =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const TraceContext Expected{0x4bf92f3577b34da6, 0xa3ce929d0e0e4736,
                              0x00f067aa0ba902b7, true};

  SECTION("version 00 is parsed and rendered") {
    REQUIRE(parseTraceParent(Valid) == Expected);
    REQUIRE(renderTraceParent(Expected) == Valid);
  }
  SECTION("flags other than sampled are ignored") {
    REQUIRE_FALSE(parseTraceParent(Valid.substr(0, 53) + "fe")->Sampled);
    REQUIRE(parseTraceParent(Valid.substr(0, 53) + "ff")->Sampled);
  }
  SECTION("a later version may be longer after a dash") {
    REQUIRE(parseTraceParent("cc" + Valid.substr(2) + "-what") == Expected);
    REQUIRE_FALSE(parseTraceParent("cc" + Valid.substr(2) + ".what"));
  }
  SECTION("invalid values") {
    for (const std::string &Value :
         {std::string(), std::string("00"), Valid + "-", Valid + " ",
          "ff" + Valid.substr(2),
          std::string(
              "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"),
          std::string(
              "00-00000000000000000000000000000000-00f067aa0ba902b7-01"),
          std::string(
              "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"),
          std::string(
              "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
          std::string(
              "00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01"),
          std::string(
              "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0x")}) {
      CAPTURE(Value);
      REQUIRE_FALSE(parseTraceParent(Value));
    }
  }
}

TEST_CASE("the trace of a request", "[trace]") {
  SeededRandomSource Random(1);

  SECTION("a valid header keeps its trace and sampling decision") {
    const auto Trace = traceOfRequest(
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00",
        TraceSampler(1'000'000), Random);
    REQUIRE(Trace.TraceHigh == 0x4bf92f3577b34da6);
    REQUIRE_FALSE(Trace.Sampled);
  }
  SECTION("an invalid or absent header starts a new trace") {
    const auto First =
        traceOfRequest("nonsense", TraceSampler(1'000'000), Random);
    const auto Second =
        traceOfRequest(std::nullopt, TraceSampler(1'000'000), Random);
    REQUIRE(First.Sampled);
    REQUIRE(First.ParentSpan == 0);
    REQUIRE(First.TraceLow != 0);
    REQUIRE(First.TraceLow != Second.TraceLow);
  }
  SECTION("the share of sampled traces matches the setting") {
    std::uint32_t Sampled = 0;
    for (int Count = 0; Count < 20'000; ++Count) {
      Sampled +=
          traceOfRequest(std::nullopt, TraceSampler(100'000), Random).Sampled;
    }
    REQUIRE(Sampled > 1'800);
    REQUIRE(Sampled < 2'200);
    REQUIRE_FALSE(TraceSampler(0).isSampled(0));
  }
}
