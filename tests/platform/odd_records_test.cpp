/// @file
/// @brief Tests and fuzz test of the readers of records that other programs
/// write: status reports, configurations and values of the store.
/// scripts/fuzz.sh runs more rounds under sanitizers.
#include "announcements.hpp"
#include "base64_text.hpp"
#include "config_document.hpp"
#include "hyssopford/config/config_codec.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

using namespace hyssopford;
using namespace hyssopford::platform;
using nlohmann::json;

namespace {

const char *const Report = R"({"service":"s","address":"10.0.0.1:8","zone":"a",
  "version":"v1","capacity":9,"state":"ready","coldRemainingS":0,
  "sequence":4,"born":1700000000000})";

const char *const Document = R"({"version":12,"routes":[
  {"name":"read","host":"h.example","prefix":"/p/","kind":"safe",
   "timeoutS":1.0,"targetLatencyS":0.4,"priority":2,"service":"a",
   "maxAttempts":2},
  {"name":"pay","host":"h.example","prefix":"/p/pay/","kind":"unsafe",
   "timeoutS":0.6,"priority":0,"maxAttempts":1,
   "trafficSplit":[{"service":"a","weight":95},{"service":"b","weight":5}]}],
  "services":[{"name":"a","healthPath":"/health","maxConnections":260}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,
  "idleTimeoutS":15}})";

const char *const Head = R"({"version":3,"document":{"a":[1]},"history":[
  {"version":3,"base":2,"patch_id":"p","author":"x","time_ms":5,
   "patch":"[]"}],"archives":[{"first_version":1,"last_version":2}]})";

std::uint64_t numberOf(const char *Name, std::uint64_t Default) {
  const char *const Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

std::optional<Announcement> decode(const std::string &Body, Error &Fault) {
  return PlatformAnnouncements("10.0.0.1:8", 1'500ms)
      .decode("PUT", "/hyssopford/instances/i-1", Body, Fault);
}

/// A value of any kind as JSON text, odd ones included.
std::string oddValue(std::mt19937_64 &Random) {
  static const std::vector<std::string> Values{"null",
                                               "true",
                                               "false",
                                               "0",
                                               "-1",
                                               "1",
                                               "0.5",
                                               "4.0",
                                               "1764909172.123",
                                               "-0.0",
                                               "1e999",
                                               "-1e999",
                                               "1e308",
                                               "1e-300",
                                               "18446744073709551615",
                                               "18446744073709551616",
                                               "9007199254740993",
                                               "-9223372036854775808",
                                               "4294967296",
                                               "65537",
                                               "\"\"",
                                               "\"x\"",
                                               "\"draining\"",
                                               "\"ready\"",
                                               "\"\xff\"",
                                               "\"\\ud800\"",
                                               "\"\\u0000\\r\\n\"",
                                               "[]",
                                               "{}",
                                               "[[1]]",
                                               "{\"a\":1,\"a\":2}",
                                               "nan",
                                               "\"10.0.0.1:99999\""};
  switch (Random() % 20) {
  case 0:
    return std::string(200'000, '[');
  case 1:
    return std::string(5'000, '[') + std::string(5'000, ']');
  case 2:
    return "\"" + std::string(300'000, 'x') + "\"";
  default:
    return Values[Random() % Values.size()];
  }
}

/// Replaces a value, repeats or removes a member, or changes bytes.
std::string mutate(std::string Text, std::mt19937_64 &Random) {
  for (std::uint64_t Count = Random() % 3 + 1; Count > 0; --Count) {
    const std::size_t Colon = Text.find(':', Random() % (Text.size() + 1));
    const std::size_t End =
        Colon == std::string::npos ? Colon : Text.find_first_of(",}]", Colon);
    if (Random() % 4 != 0 && End != std::string::npos) {
      switch (Random() % 4) {
      case 0:
        Text.insert(End, "," + Text.substr(Text.rfind('"', Colon - 2),
                                           End - Text.rfind('"', Colon - 2)));
        break;
      case 1:
        Text.insert(Colon, "_\"");
        break;
      default:
        Text.replace(Colon + 1, End - Colon - 1, oddValue(Random));
      }
    } else if (!Text.empty()) {
      Text[Random() % Text.size()] = static_cast<char>(Random());
    }
  }
  return Text;
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Each) { return Each >= ' ' && Each <= '~'; });
}

/// Returns whether a report is taken with plausible values, or refused with a
/// reason that can be logged and sent.
bool passesReport(const std::string &Text) {
  Error Fault;
  const std::optional<Announcement> Read = decode(Text, Fault);
  if (!Read) {
    return !Fault.Reason.empty() && isPrintable(Fault.Reason);
  }
  return !Read->Service.empty() && Read->Slots >= 1 && Read->Slots <= 65'536 &&
         Read->Address == "10.0.0.1:8" && Read->Start != 0;
}

bool passesDocument(const std::string &Text) {
  const ConfigDocument Codec;
  std::vector<Error> Errors;
  Error Fault;
  const auto Parsed = Codec.parseHead(Text, Fault);
  const auto Config = Codec.parseConfig(Text, 1, Errors);
  if (!Config) {
    return !Errors.empty() && isPrintable(Errors.back().Reason);
  }
  return std::all_of(Config->Routes.begin(), Config->Routes.end(),
                     [](const Route &Each) {
                       return Each.Deadline >= 0s && Each.Deadline <= 8'784h &&
                              Each.TargetLatency >= 0s;
                     });
}

bool passesHead(const std::string &Text) {
  const JsonConfigCodec Codec;
  Error Fault;
  const auto Parsed = Codec.parseHead(Text, Fault);
  // A head that is taken must survive rendering and parsing.
  return Parsed ? Codec.parseHead(Codec.renderHead(*Parsed), Fault) == Parsed
                : isPrintable(Fault.Reason);
}

} // namespace

// Guards against a report of another writer that makes a node acknowledge and
// drop the later draining of its instance.
TEST_CASE("a status report with a field of another kind is refused",
          "[platform][records]") {
  const auto [Field, Value] =
      GENERATE(table<const char *, const char *>({{"sequence", "1764909172.25"},
                                                  {"sequence", "true"},
                                                  {"sequence", "-1"},
                                                  {"sequence", "\"4\""},
                                                  {"sequence", "1e300"},
                                                  {"born", "1700000000000.5"},
                                                  {"born", "false"},
                                                  {"capacity", "true"},
                                                  {"capacity", "1.5"},
                                                  {"capacity", "70000"},
                                                  {"version", "null"},
                                                  {"zone", "7"},
                                                  {"coldRemainingS", "\"1\""},
                                                  {"coldRemainingS", "-1"},
                                                  {"coldRemainingS", "1e300"},
                                                  {"state", "1"},
                                                  {"service", "[]"}}));
  json Changed = json::parse(Report);
  Changed[Field] = json::parse(Value);
  Error Fault;
  INFO(Field << " " << Value);
  CHECK_FALSE(decode(Changed.dump(), Fault).has_value());
  CHECK_FALSE(Fault.Reason.empty());
}

// Guards against a node that ends, or takes an undefined time or weight, when
// another writer left an odd configuration in the store.
TEST_CASE("a configuration with numbers out of range is refused",
          "[platform][records]") {
  const auto [Path, Value] = GENERATE(table<const char *, const char *>(
      {{"/routes/0/timeoutS", "-1"},
       {"/routes/0/timeoutS", "1e300"},
       {"/routes/0/timeoutS", "true"},
       {"/routes/0/maxAttempts", "1.5"},
       {"/routes/0/maxAttempts", "4294967296"},
       {"/routes/0/priority", "-1"},
       {"/routes/1/trafficSplit", "{}"},
       {"/routes/1/trafficSplit/0/weight", "-5"},
       {"/routes/1/trafficSplit/0/weight", "false"},
       {"/limits/idleTimeoutS", "-1e300"},
       {"/limits/maxBodyBytes", "0.5"},
       {"/services/0/healthPath", "\"/x y\\r\\n\""},
       {"/services/0/maxConnections", "-1"}}));
  json Changed = json::parse(Document);
  Changed[json::json_pointer(Path)] = json::parse(Value);
  std::vector<Error> Errors;
  INFO(Path << " " << Value);
  CHECK_FALSE(
      ConfigDocument().parseConfig(Changed.dump(), 12, Errors).has_value());
  CHECK(Errors.size() == 1);
}

// Guards against a node that ends when a value in the store is not base64.
TEST_CASE("a value that is not base64 is read as empty",
          "[platform][records]") {
  REQUIRE(decodeBase64("aGk=") == "hi");
  REQUIRE(decodeBase64("\xff\xfe!!").empty());
  REQUIRE(decodeBase64("{\"version\":1}").empty());
}

// Guards against records that end a process or are taken with odd values.
TEST_CASE("readers withstand records of other writers",
          "[platform][records][fuzz]") {
  REQUIRE(passesReport(Report));
  REQUIRE(passesDocument(Document));
  REQUIRE(passesHead(Head));
  std::mt19937_64 Random(numberOf("HYSSOPFORD_FUZZ_SEED", 1));
  const std::uint64_t Rounds = numberOf("HYSSOPFORD_FUZZ_ROUNDS", 5'000);
  bool Passed = true;
  for (std::uint64_t Round = 0; Round < Rounds && Passed; ++Round) {
    INFO("round " << Round);
    Passed = passesReport(mutate(Report, Random)) &&
             passesDocument(mutate(Document, Random)) &&
             passesHead(mutate(Head, Random));
    decodeBase64(mutate("aGVsbG8=", Random));
    CHECK(Passed);
  }
}
