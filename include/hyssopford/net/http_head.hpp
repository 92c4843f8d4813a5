/// @file
/// @brief Strict syntax check of HTTP/1.1 message heads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Limits of one HTTP message.
struct HttpLimits {
  /// Longest request or status line.
  std::size_t StartLine = 8'192;
  /// Longest head, start line included.
  std::size_t Head = 32'768;
  /// Most header fields. POCO's own limit is 100.
  std::size_t Fields = 100;
  std::uint64_t Body = 1'048'576;
};

/// @brief Why a message is refused.
struct HttpFault {
  /// Status for the sender of a bad request.
  int Status = 400;
  std::string Reason;

  friend bool operator==(const HttpFault &, const HttpFault &) = default;
};

/// @brief How the length of a body is determined (RFC 9112, section 6.3).
enum class BodyFraming : std::uint8_t { None, Length, Chunked, UntilClose };

/// @brief What the check found out about a head.
struct HttpHeadFacts {
  BodyFraming Framing = BodyFraming::None;
  std::uint64_t ContentLength = 0;
  bool KeepAlive = true;
  bool ExpectContinue = false;
  /// Host without port in lower case; requests only.
  std::string Host;
  /// Where the path starts in the target; above 0 for an absolute form.
  std::size_t TargetOffset = 0;
  /// Status code; responses only.
  int Status = 0;
};

/// @brief Checks the head of a request.
/// @param Head the bytes from the request line to the empty line, included
/// @param Limits the limits to apply
/// @param Fault receives the reason if the head is refused
/// @return the facts, or nothing if the head is refused
/// @note Complexity: linear in the length of @p Head.
std::optional<HttpHeadFacts> checkRequestHead(std::string_view Head,
                                              const HttpLimits &Limits,
                                              HttpFault &Fault);

/// @brief Checks the head of a response.
/// @param Head the bytes from the status line to the empty line, included
/// @param Limits the limits to apply
/// @param ToHead true if the request's method was HEAD
/// @param Fault receives the reason if the head is refused
/// @return the facts, or nothing if the head is refused
std::optional<HttpHeadFacts> checkResponseHead(std::string_view Head,
                                               const HttpLimits &Limits,
                                               bool ToHead, HttpFault &Fault);

/// @brief Checks one header or trailer line without its line end.
/// @param Line the line
/// @param Name receives the field name
/// @param Value receives the value without surrounding white space
/// @return whether the line is well formed (RFC 9112, section 5)
bool splitFieldLine(std::string_view Line, std::string_view &Name,
                    std::string_view &Value);

/// @brief Compares field names and similar tokens without regard to case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

} // namespace hyssopford
