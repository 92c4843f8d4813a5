/// @file
/// @brief Digests of the keys of client accounts.
#pragma once

#include "hyssopford/core/accounts/client_account.hpp"

#include <string_view>

namespace hyssopford {

/// @brief Computes the digest by which a key is known.
/// @param Key the bytes of the key
/// @return its SHA-256 digest
/// @throws std::runtime_error if OpenSSL cannot compute it
KeyDigest digestOfKey(std::string_view Key);

} // namespace hyssopford
