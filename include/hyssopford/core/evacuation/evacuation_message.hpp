/// @file
/// @brief Message that spreads the evacuated failure domains.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief States which failure domains are evacuated.
struct EvacuationNotice {
  /// Number of times that the store lost what it had acknowledged.
  std::uint64_t StoreEra = 0;
  /// Revision of the store at which the set was read. Of two notices, that with
  /// the higher era, then with the higher revision, is newer.
  std::uint64_t Revision = 0;
  /// Names of the failure domains in ascending order.
  std::vector<std::string> Domains;

  friend bool operator==(const EvacuationNotice &,
                         const EvacuationNotice &) = default;
};

} // namespace hyssopford
