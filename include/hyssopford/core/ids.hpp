/// @file
/// @brief Identifiers of nodes, requests and attempts.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Identifies a node and with it the upstream on its VM. Derived from
/// the node's peer address, so a replacement at the same address has the same
/// identifier and a higher incarnation.
struct NodeId {
  std::uint64_t Value = 0;

  friend auto operator<=>(const NodeId &, const NodeId &) = default;
};

/// @brief Distinguishes the runs of a node that share a NodeId. A later run
/// has a higher value.
struct Incarnation {
  std::uint64_t Value = 0;

  friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

/// @brief One run of one node.
struct NodeRun {
  NodeId Node;
  Incarnation Run;

  friend auto operator<=>(const NodeRun &, const NodeRun &) = default;
};

/// @brief Identifies a caller's request at its ingress node.
struct RequestId {
  std::uint64_t Value = 0;

  friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

/// @brief Identifies one attempt to run a request on one upstream. Sequences of
/// one ingress run increase strictly.
struct AttemptId {
  NodeRun Ingress;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

/// @brief Identifies one claim on an idempotency key. The identifier of a
/// released claim is never reused: a new claim for the same request has a new
/// sequence. Sequences of one ingress run increase strictly.
struct ClaimId {
  NodeRun Ingress;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const ClaimId &, const ClaimId &) = default;
};

/// @brief Hashes a byte string with XXH64.
/// @param Bytes the bytes to hash
/// @param Seed separates independent uses of the hash
/// @return the 64-bit hash value
/// @note Complexity: linear in the length of @p Bytes.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// @brief Combines two hash values, e.g. for rendezvous hashing.
/// @param First the first value
/// @param Second the second value
/// @return a 64-bit hash of both values in this order
std::uint64_t hashPair(std::uint64_t First, std::uint64_t Second);

/// @brief Derives a node's identifier from its peer address.
/// @param Address IP number and port, e.g. "127.0.0.1:7101"
/// @return the identifier; never the zero value
NodeId nodeIdOf(std::string_view Address);

/// @brief Renders an identifier as 16 hexadecimal digits.
/// @param Id the identifier to render
/// @return the text, e.g. for a log line
std::string toString(NodeId Id);

/// @brief Renders an attempt as "node/incarnation/sequence".
/// @param Id the identifier to render
/// @return the text, e.g. for a log line
std::string toString(const AttemptId &Id);

} // namespace hyssopford

template <> struct std::hash<hyssopford::NodeId> {
  std::size_t operator()(const hyssopford::NodeId &Id) const noexcept {
    return Id.Value;
  }
};

template <> struct std::hash<hyssopford::RequestId> {
  std::size_t operator()(const hyssopford::RequestId &Id) const noexcept {
    return Id.Value;
  }
};

template <> struct std::hash<hyssopford::AttemptId> {
  std::size_t operator()(const hyssopford::AttemptId &Id) const noexcept {
    return hyssopford::hashPair(Id.Ingress.Node.Value ^ Id.Ingress.Run.Value,
                                Id.Sequence);
  }
};
