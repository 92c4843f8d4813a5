/// @file
/// @brief Text form of crash sightings in the store.
#pragma once

#include "hyssopford/core/quarantine/quarantine_message.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford {

/// Most sightings that a record holds; further ones are not read.
inline constexpr std::size_t QuarantineRecordLimit = 512;

/// @brief Renders sightings for the store. Ages are rounded down to
/// milliseconds. Cleared sightings have no place in a record and are left out.
/// @param Sightings the sightings, the most important ones first; those behind
/// QuarantineRecordLimit are left out
/// @return a line with the format, then one for each sighting
std::string renderQuarantineRecord(const std::vector<CrashSighting> &Sightings);

/// @brief Parses a value of the store, which another program may have written.
/// @param Text the value
/// @return the sightings; empty if the first line names no format known here or
/// another line is malformed
std::optional<std::vector<CrashSighting>>
parseQuarantineRecord(std::string_view Text);

} // namespace hyssopford
