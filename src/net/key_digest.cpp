#include "hyssopford/net/key_digest.hpp"

#include <openssl/evp.h>
#include <stdexcept>

namespace hyssopford {

KeyDigest digestOfKey(std::string_view Key) {
  KeyDigest Result{};
  unsigned int Size = 0;
  if (EVP_Digest(Key.data(), Key.size(), Result.data(), &Size, EVP_sha256(),
                 nullptr) != 1 ||
      Size != Result.size()) {
    throw std::runtime_error("OpenSSL: cannot compute SHA-256");
  }
  return Result;
}

} // namespace hyssopford
