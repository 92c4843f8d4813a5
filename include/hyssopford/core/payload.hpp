/// @file
/// @brief Opaque, shared, immutable bytes.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopford {

/// @brief A request or an answer as bytes that the core passes on unread.
/// Copies share the bytes.
class Payload {
public:
  /// @name Construction
  /// @{
  Payload() = default;

  /// @brief Takes ownership of a byte string.
  /// @param Bytes the content
  explicit Payload(std::string Bytes)
      : Shared(std::make_shared<const std::string>(std::move(Bytes))) {}
  /// @}

  /// @name Content
  /// @{

  /// @return the bytes; valid as long as any copy of this payload lives
  std::string_view bytes() const {
    return Shared ? std::string_view(*Shared) : std::string_view();
  }

  /// @return the number of bytes
  std::size_t size() const { return bytes().size(); }
  /// @}

  /// @brief Compares the bytes.
  friend bool operator==(const Payload &Left, const Payload &Right) {
    return Left.bytes() == Right.bytes();
  }

private:
  std::shared_ptr<const std::string> Shared;
};

} // namespace hyssopford
