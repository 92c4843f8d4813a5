/// @file
/// @brief Message authentication codes (MAC) of frames and handshakes.
#pragma once

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief OpenSSL's SHA-256 with the interface that Poco::HMACEngine needs.
class Sha256Engine : public Poco::Crypto::DigestEngine {
public:
  // Poco::HMACEngine requires these names.
  enum {
    BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming)
    DIGEST_SIZE = 32 // NOLINT(readability-identifier-naming)
  };
  Sha256Engine() : DigestEngine("SHA256") {}
};

/// Length of the MAC of a frame in bytes. RFC 2104, section 5, allows
/// truncation to half of the digest.
constexpr std::size_t FrameMacSize = 16;
/// Length of a handshake nonce in bytes.
constexpr std::size_t NonceSize = 16;
/// Length of a handshake MAC in bytes.
constexpr std::size_t HandshakeMacSize = 32;

/// @brief Computes an HMAC-SHA256.
/// @return 32 bytes
std::string hmacSha256(const std::string &Key, std::string_view Text);

/// @brief Compares MACs in constant time, to prevent timing attacks.
bool equalMacs(std::string_view Left, std::string_view Right);

/// @return NonceSize random bytes
std::string makeNonce();

/// @brief Computes the MACs of the frames in one direction of a link. A MAC
/// covers a sequence number that both ends count, so repeated, dropped and
/// reordered frames are detected.
class FrameAuthenticator {
public:
  /// @param Key the key of this direction of this link
  explicit FrameAuthenticator(const std::string &Key);
  ~FrameAuthenticator();
  FrameAuthenticator(const FrameAuthenticator &) = delete;
  FrameAuthenticator &operator=(const FrameAuthenticator &) = delete;

  /// @brief Computes the MAC of the next frame.
  /// @param Content the content of the frame
  /// @return FrameMacSize bytes; their computation advances the sequence number
  std::string nextMac(std::string_view Content);

private:
  // OpenSSL's HMAC keeps the keyed state, while Poco::HMACEngine computes it
  // again for each frame: 0.7 instead of 2.8 µs for 600 bytes.
  EVP_MAC_CTX *Context;
  std::uint64_t Sequence = 0;
};

} // namespace hyssopford
