/// @file
/// @brief Strict validation of HTTP/1.1 message heads (start line and fields).
#pragma once

#include "hyssopford/core/accounts/client_account.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// @brief Limits of one HTTP message.
struct HttpLimits {
  /// Longest request or status line in bytes.
  std::size_t StartLine = 8'192;
  /// Longest head in bytes, start line included.
  std::size_t Head = 32'768;
  /// Maximum number of header fields.
  std::size_t Fields = 100;
  /// Longest body in bytes.
  std::uint64_t Body = 1'048'576;
  /// Field of requests that holds the key of a client account; empty for none.
  std::string CredentialField{};
  /// Fields that a request may have once at most, since the node and the
  /// upstream could choose different ones of several.
  std::vector<std::string> UniqueFields{};
};

/// @brief Why a message is refused.
struct HttpFault {
  /// HTTP status to answer a refused request with.
  int Status = 400;
  std::string Reason;
  /// True if the node lacks the memory for the message.
  bool LacksMemory = false;

  friend bool operator==(const HttpFault &, const HttpFault &) = default;
};

/// @brief How the length of a body is determined (RFC 9112, section 6.3).
enum class BodyFraming : std::uint8_t { None, Length, Chunked, UntilClose };

/// @brief Properties of a head that passed the check.
struct HttpHeadFacts {
  BodyFraming Framing = BodyFraming::None;
  std::uint64_t ContentLength = 0;
  bool KeepAlive = true;
  bool ExpectContinue = false;
  /// Host without port in lower case; requests only.
  std::string Host;
  /// Offset of the path in the request target; above 0 for an absolute-form
  /// target.
  std::size_t TargetOffset = 0;
  /// Status code; responses only.
  int Status = 0;
  /// True if the request has a credential field.
  bool HasCredentialField = false;
  /// Digest of the value of the credential field; empty if there is no such
  /// field, more than one, or one without a value.
  std::optional<KeyDigest> Credential;
  /// Number of header fields.
  std::size_t Fields = 0;
  /// Size of the head in bytes, as HttpReader read it.
  std::size_t HeadBytes = 0;

  /// Memory that the head takes when it was parsed, in bytes.
  std::size_t parsedBytes() const { return HeadBytes + Fields * FieldOverhead; }

  /// Memory that POCO's list takes for one header field besides its bytes: two
  /// strings, two links and the header of the allocated block.
  static constexpr std::size_t FieldOverhead = 112;
};

/// @brief Checks the head of a request.
/// @param Head the bytes from the request line to the empty line, included
/// @param Limits the limits to apply
/// @param Fault receives the reason if the head is refused
/// @return the properties of the head, or nothing if it is refused
/// @note Complexity: linear in the length of @p Head.
std::optional<HttpHeadFacts> checkRequestHead(std::string_view Head,
                                              const HttpLimits &Limits,
                                              HttpFault &Fault);

/// @brief Checks the head of a response.
/// @param Head the bytes from the status line to the empty line, included
/// @param Limits the limits to apply
/// @param IsHeadRequest true if the request's method was HEAD
/// @param Fault receives the reason if the head is refused
/// @return the properties of the head, or nothing if it is refused
std::optional<HttpHeadFacts> checkResponseHead(std::string_view Head,
                                               const HttpLimits &Limits,
                                               bool IsHeadRequest,
                                               HttpFault &Fault);

/// @brief Splits and checks a header or trailer line.
/// @param Line the line without its line end
/// @param Name receives the field name
/// @param Value receives the value without surrounding white space
/// @return whether the line is well formed (RFC 9112, section 5)
bool splitFieldLine(std::string_view Line, std::string_view &Name,
                    std::string_view &Value);

/// @brief Tells whether a line is that of a field, whatever its value.
/// @param Line the line
/// @param Name name of the field; an empty one matches no line
/// @return whether @p Line starts with @p Name and a colon
bool isFieldLine(std::string_view Line, std::string_view Name);

/// @brief Tells whether a text may be the value of a field.
/// @param Text the text
/// @return whether it has no control characters but tabs
bool isFieldValue(std::string_view Text);

/// @brief Compares field names as upstreams do that keep fields in variables
/// (RFC 3875, section 4.1.18): without case, an underscore being a hyphen.
/// @return whether an upstream may take one for the other
bool namesSameVariable(std::string_view Left, std::string_view Right);

/// @brief Compares ASCII texts, such as field names, ignoring case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

} // namespace hyssopford
