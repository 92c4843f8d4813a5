/// @file
/// @brief Settings of one node.
#pragma once

#include "hyssopford/config/secret.hpp"
#include "hyssopford/core/decision_settings.hpp"
#include "hyssopford/core/error.hpp"
#include "hyssopford/core/log_level.hpp"
#include "hyssopford/core/node_core.hpp"
#include "hyssopford/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief Which objective has more weight; tailProfile and costProfile hold the
/// constants.
enum class Profile : std::uint8_t {
  /// Tail latency.
  Tail,
  /// Cost of measurement and of extra calls.
  Cost
};

/// @brief Addresses on which a node listens, each "ip:port". Port 0 takes a
/// free port, which only tests and demos can use.
struct AddressSettings {
  std::string Callers;
  /// Address by which peers know the node; gives it its identifier.
  std::string Peers;
  /// Where the upstream on this VM announces itself; a loopback address.
  std::string Announcements;
  std::string Operators;

  friend bool operator==(const AddressSettings &,
                         const AddressSettings &) = default;
};

/// @brief Bounds on what one node accepts and keeps.
struct LimitSettings {
  /// Longest request line or header line, in bytes.
  std::uint64_t LineBytes = 8'192;
  /// Largest header section, in bytes.
  std::uint64_t HeaderBytes = 32'768;
  /// Largest request body on any route, in bytes.
  std::uint64_t BodyBytes = 8'388'608;
  /// Largest answer of the upstream, in bytes.
  std::uint64_t AnswerBytes = 16'777'216;
  std::uint64_t CallerConnections = 4'096;
  std::uint64_t UpstreamConnections = 250;
  /// Bytes of requests and answers held at a time.
  std::uint64_t MemoryBytes = 134'217'728;

  friend bool operator==(const LimitSettings &,
                         const LimitSettings &) = default;
};

/// @brief Longest waits for outside parties.
struct TimeoutSettings {
  /// From the first byte of a request to the end of its header section.
  Duration HeaderRead = 5s;
  /// From the end of the header section to the end of the body.
  Duration BodyRead = 30s;
  /// Between two requests on a caller's connection.
  Duration CallerIdle = 60s;
  /// For writing an answer to a caller.
  Duration CallerWrite = 30s;
  Duration UpstreamConnect = 250ms;
  /// Age at which an idle upstream connection is closed.
  Duration UpstreamIdle = 4s;
  Duration PeerConnect = 1s;
  Duration StoreCall = 2s;
  /// Without renewal for this long, an announced upstream is gone.
  Duration Announcement = 3s;

  friend bool operator==(const TimeoutSettings &,
                         const TimeoutSettings &) = default;
};

/// @brief Tracing of requests.
struct TracingSettings {
  /// Traces started by this node that are sampled, per million.
  std::uint32_t SamplingPpm = 0;
  /// Collector of OTLP over HTTP, "ip:port"; empty if spans are not exported.
  std::string Collector;
  /// Spans waiting for export; more are dropped and counted.
  std::uint64_t QueueSpans = 4'096;

  friend bool operator==(const TracingSettings &,
                         const TracingSettings &) = default;
};

/// @brief Settings of one node. Values of files named here are read by
/// loadSecrets, never by the parser.
struct NodeSettings {
  std::string Site;
  std::string SiteKeyFile;
  std::string FailureDomain;
  std::string Region;
  AddressSettings Addresses;
  /// Peer addresses of nodes to contact first.
  std::vector<std::string> Seeds;
  /// Address of the platform's key-value service, "ip:port".
  std::string Store;
  std::string ReadTokenFile;
  std::string WriteTokenFile;
  LimitSettings Limits;
  TimeoutSettings Timeouts;
  Profile Objective = Profile::Tail;
  /// Replaces the profile's probe budget.
  std::optional<std::uint32_t> ProbeBudgetPpm;
  /// Longest wait for requests in flight at shutdown.
  Duration DrainDeadline = 30s;
  /// Table of idempotency keys.
  KeySettings Keys;
  TracingSettings Tracing;
  LogLevel Level = LogLevel::Info;

  friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

/// @brief Key of the site and tokens of the operators' port.
struct NodeSecrets {
  Secret SiteKey;
  Secret ReadToken;
  Secret WriteToken;
};

/// @name Reading
/// @{

/// @brief Reads and validates settings. Their form is published in
/// schema/node.schema.json.
/// @param Json the document
/// @param Errors receives every fault, each with its JSON pointer in
/// Error::Peer; errors 101 to 108 and 113
/// @return the settings, or nothing if the document has any fault
/// @note Complexity: linear in the length of the document.
std::optional<NodeSettings> parseNodeSettings(std::string_view Json,
                                              std::vector<Error> &Errors);

/// @brief Reads settings from a file.
/// @param Path the file
/// @param Errors receives every fault as above, or error 112
/// @return the settings, or nothing
std::optional<NodeSettings> readNodeSettings(const std::string &Path,
                                             std::vector<Error> &Errors);

/// @brief Reads the files of secrets that settings name.
/// @param Settings the settings
/// @param Errors receives a fault for each file; errors 112 and 114
/// @return the secrets, or nothing if any file has a fault
std::optional<NodeSecrets> loadSecrets(const NodeSettings &Settings,
                                       std::vector<Error> &Errors);
/// @}

/// @name Writing
/// @{

/// @brief Writes settings as a document. Texts that are empty are left out.
/// @param Settings the settings
/// @return the document, indented
std::string renderNodeSettings(const NodeSettings &Settings);

/// @brief Answers --print-defaults.
/// @return the document with every optional field at its default
std::string defaultNodeSettings();

/// @brief Answers --check: reads settings from a file and reports every fault.
/// @param Path the file
/// @param Report receives one line for each fault, or one line of success
/// @return the exit code: 0 if the file is valid, otherwise 2
int checkNodeSettings(const std::string &Path, std::string &Report);
/// @}

/// @name Use
/// @{

/// @brief Gives the constants of the profile with the overrides of the
/// settings.
DecisionSettings decisionSettings(const NodeSettings &Settings);

/// @brief Gives the part of the settings that the decision core needs.
/// @param Settings the settings
/// @param Run run of the node
/// @param Seed start value of the random source
NodeCoreSettings coreSettings(const NodeSettings &Settings, Incarnation Run,
                              std::uint64_t Seed);
/// @}

} // namespace hyssopford
