/// @file
/// @brief Opaque, shared, immutable bytes.
#pragma once

#include "hyssopford/core/memory_budget.hpp"

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
  /// @param Charge the memory charged for it; returned with the last copy
  explicit Payload(std::string Bytes, MemoryCharge Charge = {})
      : Shared(std::make_shared<const Content>(std::move(Bytes),
                                               std::move(Charge))),
        Length(Shared->Bytes.size()) {}

  /// @brief Refers to a part of the bytes without copying them.
  /// @param Offset first byte of the part
  /// @param Size number of bytes; the part must lie within this payload
  Payload part(std::size_t Offset, std::size_t Size) const {
    Payload Result = *this;
    Result.Start += Offset;
    Result.Length = Size;
    return Result;
  }
  /// @}

  /// @name Content
  /// @{

  /// @return the bytes; valid as long as any copy of this payload lives
  std::string_view bytes() const {
    return Shared ? std::string_view(Shared->Bytes).substr(Start, Length)
                  : std::string_view();
  }

  /// @return the number of bytes
  std::size_t size() const { return Length; }

  /// @return whether the bytes are charged to a memory budget
  bool isCharged() const { return Shared && Shared->Charge.isBounded(); }
  /// @}

  /// @brief Compares the bytes.
  friend bool operator==(const Payload &Left, const Payload &Right) {
    return Left.bytes() == Right.bytes();
  }

private:
  struct Content {
    Content(std::string Text, MemoryCharge Held)
        : Bytes(std::move(Text)), Charge(std::move(Held)) {}

    std::string Bytes;
    MemoryCharge Charge;
  };

  std::shared_ptr<const Content> Shared;
  std::size_t Start = 0;
  std::size_t Length = 0;
};

} // namespace hyssopford
