/// @file
/// @brief The record of what is known in an era of the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// Key of the record in the store. It has no lease, so that it outlasts all
/// nodes.
inline constexpr const char *EraMarkKey = "hyssopford/era";

/// @brief Written after the store has lost what it had acknowledged, by a node
/// that ran meanwhile. Another program may have written the value.
struct EraMark {
  /// Era of the store in which it was written.
  std::uint64_t Era = 0;
  /// Version of the configuration that the writer has in force. What the store
  /// holds in this era is outdated as long as it is lower.
  std::uint64_t Version = 0;
  /// Peer addresses, that of the writer first.
  std::vector<std::string> Contacts;

  friend bool operator==(const EraMark &, const EraMark &) = default;
};

/// @brief Renders a value: era, version and one contact in each line.
std::string renderEraMark(const EraMark &Value);

/// @brief Parses a value. Lines that it does not know are skipped.
/// @return the record, or nothing if the text states no era
std::optional<EraMark> parseEraMark(std::string_view Text);

} // namespace hyssopford
