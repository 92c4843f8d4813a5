#include "trace_file.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopford::replay {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 1;

std::optional<Trace> readHeader(const Json &Line) {
  Trace Result;
  if (Line.at("trace").get<int>() != FormatVersion) {
    return std::nullopt;
  }
  Result.Site = Line.at("site").get<std::string>();
  Result.FailureDomains = Line.at("failure_domains").get<std::uint32_t>();
  Result.RoundTrip = Duration(Line.at("round_trip_us").get<std::int64_t>());
  for (const auto &[Name, Service] : Line.at("services").items()) {
    TracedService &Each = Result.Services[Name];
    Each.Instances = Service.at("instances").get<std::uint32_t>();
    Each.Slots = Service.at("slots").get<std::uint32_t>();
    if (Each.Instances == 0 || Each.Slots == 0) {
      return std::nullopt;
    }
  }
  if (Result.FailureDomains == 0) {
    return std::nullopt;
  }
  return Result;
}

/// Returns whether the line names a known service and class.
bool readArrival(const Json &Line, Trace &Result) {
  const auto Service =
      Result.Services.find(Line.at("service").get<std::string>());
  const std::string Class = Line.at("class").get<std::string>();
  if (Service == Result.Services.end() ||
      (Class != "high" && Class != "normal")) {
    return false;
  }
  experiment::Arrival Each;
  Each.At = TimePoint(Duration(Line.at("at_us").get<std::int64_t>()));
  Each.Work = Line.at("work_us").get<double>();
  Each.Idempotent = Line.at("idempotent").get<bool>();
  Each.Class = Class == "high" ? Priority::High : Priority::Normal;
  // Requests of one caller enter at one node.
  Each.Ingress = hashBytes(Line.at("caller").get<std::string>());
  Service->second.Arrivals.push_back(Each);
  return Each.Work >= 0 && Each.At >= TimePoint{};
}

} // namespace

std::optional<Trace> readTrace(std::istream &Input, Error &LastError) {
  std::optional<Trace> Result;
  std::string Text;
  for (std::size_t Number = 1; std::getline(Input, Text); ++Number) {
    const auto Fail = [&](const std::string &Reason) {
      LastError = Error{numberOf(ErrorCode::MalformedTrace), "trace.read",
                        fmt::format("line {}", Number), Reason};
      return std::nullopt;
    };
    try {
      const Json Line = Json::parse(Text);
      if (!Result) {
        Result = readHeader(Line);
        if (!Result) {
          return Fail("expected a header with trace 1 and positive sizes");
        }
      } else if (!readArrival(Line, *Result)) {
        return Fail("expected a service of the header, class high or normal, "
                    "and times that are not negative");
      }
    } catch (const Json::exception &Fault) {
      return Fail(Fault.what());
    }
  }
  if (!Result) {
    LastError = Error{numberOf(ErrorCode::MalformedTrace), "trace.read",
                      "line 1", "the trace is empty"};
    return std::nullopt;
  }
  for (auto &[Name, Service] : Result->Services) {
    std::stable_sort(
        Service.Arrivals.begin(), Service.Arrivals.end(),
        [](const auto &Left, const auto &Right) { return Left.At < Right.At; });
  }
  return Result;
}

} // namespace hyssopford::replay
