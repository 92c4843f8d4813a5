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

/// @brief Objective that routing favours; its constants are in tailProfile and
/// costProfile.
enum class Profile : std::uint8_t {
  /// Low tail latency.
  Tail,
  /// Few probes and extra calls.
  Cost
};

/// @brief Addresses on which a node listens, each "ip:port". Port 0 selects
/// a free port, which is of use only in tests and demos.
struct AddressSettings {
  std::string Callers;
  /// Address under which peers reach the node; its identifier is derived from
  /// it.
  std::string Peers;
  /// Address on which the upstream on this VM announces itself; a loopback
  /// address.
  std::string Announcements;
  std::string Operators;

  friend bool operator==(const AddressSettings &,
                         const AddressSettings &) = default;
};

/// @brief Limits of message sizes, connections and memory of one node.
struct LimitSettings {
  /// Longest request line or header line, in bytes.
  std::uint64_t LineBytes = 8'192;
  /// Largest header section, in bytes.
  std::uint64_t HeaderBytes = 32'768;
  /// Largest request body on any route, in bytes.
  std::uint64_t BodyBytes = 8'388'608;
  /// Largest answer of the upstream, in bytes.
  std::uint64_t AnswerBytes = 16'777'216;
  /// Most connections of callers at a time.
  std::uint64_t CallerConnections = 4'096;
  /// Most connections of one client address at a time; 0 for no limit.
  std::uint64_t ConnectionsPerAddress = 0;
  /// Most requests of one connection that are passed on before the first of
  /// them is answered.
  std::uint64_t PipelinedRequests = 16;
  /// Size of the bodies and answers held for one connection above which no
  /// further request is read, in bytes.
  std::uint64_t PipelinedBytes = 1'048'576;
  /// Most idle connections to the upstream that are kept for reuse.
  std::uint64_t UpstreamConnections = 250;
  /// Total size of the requests and answers held at a time, in bytes.
  std::uint64_t MemoryBytes = 134'217'728;

  friend bool operator==(const LimitSettings &,
                         const LimitSettings &) = default;
};

/// @brief Timeouts for callers, the upstream, peers and the store.
struct TimeoutSettings {
  /// From the first byte of a request to the end of its header section.
  Duration HeaderRead = 5s;
  /// From the end of the header section to the end of the body.
  Duration BodyRead = 30s;
  /// Between two requests on a connection of a caller.
  Duration CallerIdle = 60s;
  /// For writing an answer to a caller.
  Duration CallerWrite = 30s;
  Duration UpstreamConnect = 250ms;
  /// Age at which an idle upstream connection is closed.
  Duration UpstreamIdle = 4s;
  /// For connecting to a peer, including the handshake.
  Duration PeerConnect = 1s;
  /// For one call to the store.
  Duration StoreCall = 2s;
  /// An announced upstream is gone if it does not renew for this long.
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
  /// Most spans waiting for export; further ones are dropped and counted.
  std::uint64_t QueueSpans = 4'096;

  friend bool operator==(const TracingSettings &,
                         const TracingSettings &) = default;
};

/// @brief Settings of one node. The parser does not read the secret files named
/// here; loadSecrets does.
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
  /// Overrides the probe budget of the profile: share of the slots spent on
  /// probes, per million.
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

/// @brief Parses and validates settings. Their schema is
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

/// @brief Reads the secret files that the settings name.
/// @param Settings the settings
/// @param Errors receives a fault for each file; errors 112 and 114
/// @return the secrets, or nothing if any file is unreadable or malformed
std::optional<NodeSecrets> loadSecrets(const NodeSettings &Settings,
                                       std::vector<Error> &Errors);
/// @}

/// @name Writing
/// @{

/// @brief Renders settings as a JSON document. Empty strings are left out.
/// @param Settings the settings
/// @return the document, indented
std::string renderNodeSettings(const NodeSettings &Settings);

/// @brief Renders the document that --print-defaults prints.
/// @return the document with every optional field at its default
std::string defaultNodeSettings();

/// @brief Implements --check: reads settings from a file and reports every
/// fault.
/// @param Path the file
/// @param Report receives one line for each fault, or one line of success
/// @return the exit code: 0 if the file is valid, otherwise 2
int checkNodeSettings(const std::string &Path, std::string &Report);
/// @}

/// @name Use
/// @{

/// @return the constants of the profile with the overrides of the settings
DecisionSettings decisionSettings(const NodeSettings &Settings);

/// @brief Converts settings to those of the decision core.
/// @param Settings the settings
/// @param Run incarnation of the node
/// @param Seed seed of the random number generator
NodeCoreSettings coreSettings(const NodeSettings &Settings, Incarnation Run,
                              std::uint64_t Seed);
/// @}

} // namespace hyssopford
