/// @file
/// @brief Priority classes of requests.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hyssopford {

/// @brief Priority class of a request, most urgent first.
enum class Priority : std::uint8_t {
  /// Requests between the organisations' own services.
  High,
  Normal,
  Low,
  Lowest
};

/// Number of priority classes.
inline constexpr std::size_t PriorityCount = 4;

} // namespace hyssopford
