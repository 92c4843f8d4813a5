/// @file
/// @brief The value of a directory slot in the store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// Prefix of the keys of the directory slots; the number of the slot follows.
inline constexpr const char *DirectoryPrefix = "hyssopford/directory/";

/// @brief What a slot states. Another program may have written it.
struct DirectoryValue {
  /// Peer addresses, that of the writer first.
  std::vector<std::string> Contacts;
  /// Members that the writer counts; 0 if it states none.
  std::uint32_t Members = 0;

  friend bool operator==(const DirectoryValue &,
                         const DirectoryValue &) = default;
};

/// @brief Renders a value: one contact in each line, then the members.
std::string renderDirectoryValue(const DirectoryValue &Value);

/// @brief Parses a value. Lines that are neither the address of a peer nor a
/// number of members are skipped.
DirectoryValue parseDirectoryValue(std::string_view Text);

} // namespace hyssopford
